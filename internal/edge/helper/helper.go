// Package helper lets the leader make calls through other processes. It forwards
// questions to the adviser, which accepts one question at a time per machine, and calls
// to backend servers that the leader cannot reach. Helpers are stateless: the leader makes
// all decisions, and each call contains all necessary data.
package helper

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/wire"
)

// Adviser sends a question to the adviser and returns its answer.
type Adviser interface {
	Advise(ctx context.Context, r *inner.AdviseRequest) *inner.AdviseReply
}

// Backends makes calls to backend servers.
type Backends interface {
	Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer
}

// LeaderObserver is notified of a new leader and returns the greeting of its process.
type LeaderObserver interface {
	LeaderAnnounced(address string, w *inner.Welcome) *inner.Greeting
}

// Server implements the Helper service, which makes calls for the leader. The exported
// fields are set before use.
type Server struct {
	Cell     string
	Adviser  Adviser
	Backends Backends
	// LeaderObserver is notified of new leaders. If nil, announcements are ignored.
	LeaderObserver LeaderObserver
}

var _ inner.Helper = (*Server)(nil)

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return inner.NewHelperServer(s) }

// Advise forwards a question to the adviser.
func (s *Server) Advise(ctx context.Context, r *inner.AdviseRequest) (*inner.AdviseReply, error) {
	if err := s.checkCell(r.GetCell()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetBudget())*time.Millisecond)
	defer cancel()
	return s.Adviser.Advise(ctx, r), nil
}

// Relay forwards a call to a backend server.
func (s *Server) Relay(ctx context.Context, c *inner.ServerCall) (*inner.ServerAnswer, error) {
	if err := s.checkCell(c.GetCell()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.GetBudget())*time.Millisecond)
	defer cancel()
	return s.Backends.Call(ctx, c), nil
}

// Announce notifies LeaderObserver of a new leader.
func (s *Server) Announce(_ context.Context, a *inner.Announcement) (*inner.Greeting, error) {
	if err := s.checkCell(a.GetCell()); err != nil {
		return nil, err
	}
	if s.LeaderObserver == nil {
		return &inner.Greeting{}, nil
	}
	return s.LeaderObserver.LeaderAnnounced(a.GetAddress(), a.GetWelcome()), nil
}

func (s *Server) checkCell(cell string) error {
	if cell != s.Cell {
		return twirp.NewError(twirp.PermissionDenied, "wrong cell: this is cell "+s.Cell)
	}
	return nil
}

// Client calls the Helper service of other processes and of this one. The exported
// fields are set before use.
type Client struct {
	Local      *Server
	HTTPClient *http.Client
}

// Advise sends a question to the adviser through the process at address. If address is
// empty, this process sends it.
func (c *Client) Advise(ctx context.Context, address string, r *inner.AdviseRequest) *inner.AdviseReply {
	if address == "" {
		return c.Local.Adviser.Advise(ctx, r)
	}
	reply, err := inner.NewHelperProtobufClient("http://"+address, c.HTTPClient).Advise(ctx, r)
	if err != nil {
		return &inner.AdviseReply{Code: uint32(code.LeaderTimeout), Detail: err.Error()}
	}
	return reply
}

// Announce announces a new leader to the process at address and returns its greeting. It
// returns nil if the process does not answer.
func (c *Client) Announce(ctx context.Context, address string, a *inner.Announcement) *inner.Greeting {
	greeting, err := inner.NewHelperProtobufClient("http://"+address, c.HTTPClient).Announce(ctx, a)
	if err != nil {
		return nil
	}
	return greeting
}

// Relay calls a backend server through the process at address. The verdict is
// VERDICT_UNSENT only if the connection to that process failed. After any other failure
// the backend server may have received the call, so the verdict is VERDICT_SILENT.
func (c *Client) Relay(ctx context.Context, address string, call *inner.ServerCall) *inner.ServerAnswer {
	answer, err := inner.NewHelperProtobufClient("http://"+address, c.HTTPClient).Relay(ctx, call)
	switch {
	case err == nil:
		return answer
	case wire.NeverSent(err):
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_UNSENT, Detail: err.Error()}
	}
	return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT, Detail: errors.Wrap(err, "relay").Error()}
}
