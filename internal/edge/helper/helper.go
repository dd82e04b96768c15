// Package helper is how processes make calls for the leader: questions to the
// adviser, which takes one at a time from each machine, and calls to backend
// servers that the leader itself cannot reach. Helpers keep no state: whoever
// leads decides, and a call carries all that it needs.
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

// Adviser asks the adviser.
type Adviser interface {
	Advise(ctx context.Context, r *inner.AdviseRequest) *inner.AdviseReply
}

// Backends calls backend servers.
type Backends interface {
	Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer
}

// LeaderObserver is told of a new leader, and says who it is itself.
type LeaderObserver interface {
	LeaderAnnounced(address string, w *inner.Welcome) *inner.Greeting
}

// Server makes calls for the leader. The exported fields are set before use.
type Server struct {
	Cell     string
	Adviser  Adviser
	Backends Backends
	// LeaderObserver is told of new leaders; nil for nobody is.
	LeaderObserver LeaderObserver
}

var _ inner.Helper = (*Server)(nil)

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return inner.NewHelperServer(s) }

// Advise asks the adviser.
func (s *Server) Advise(ctx context.Context, r *inner.AdviseRequest) (*inner.AdviseReply, error) {
	if err := s.check(r.GetCell()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetBudget())*time.Millisecond)
	defer cancel()
	return s.Adviser.Advise(ctx, r), nil
}

// Relay calls a backend server.
func (s *Server) Relay(ctx context.Context, c *inner.ServerCall) (*inner.ServerAnswer, error) {
	if err := s.check(c.GetCell()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.GetBudget())*time.Millisecond)
	defer cancel()
	return s.Backends.Call(ctx, c), nil
}

// Announce takes the word of a new leader.
func (s *Server) Announce(_ context.Context, a *inner.Announcement) (*inner.Greeting, error) {
	if err := s.check(a.GetCell()); err != nil {
		return nil, err
	}
	if s.LeaderObserver == nil {
		return &inner.Greeting{}, nil
	}
	return s.LeaderObserver.LeaderAnnounced(a.GetAddress(), a.GetWelcome()), nil
}

func (s *Server) check(cell string) error {
	if cell != s.Cell {
		return twirp.NewError(twirp.PermissionDenied, "this is cell "+s.Cell)
	}
	return nil
}

// Client calls helpers, this process among them. The exported fields are set
// before use.
type Client struct {
	Local      *Server
	HTTPClient *http.Client
}

// Advise lets the process at that address ask; this process when it is empty.
func (p *Client) Advise(ctx context.Context, address string, r *inner.AdviseRequest) *inner.AdviseReply {
	if address == "" {
		return p.Local.Adviser.Advise(ctx, r)
	}
	rep, err := inner.NewHelperProtobufClient("http://"+address, p.HTTPClient).Advise(ctx, r)
	if err != nil {
		return &inner.AdviseReply{Code: uint32(code.LeaderTimeout), Detail: err.Error()}
	}
	return rep
}

// Announce tells the process at that address who leads; nil when it does not answer.
func (p *Client) Announce(ctx context.Context, address string, a *inner.Announcement) *inner.Greeting {
	g, err := inner.NewHelperProtobufClient("http://"+address, p.HTTPClient).Announce(ctx, a)
	if err != nil {
		return nil
	}
	return g
}

// Relay lets the process at that address call a backend server. What goes wrong
// on the way to it may have happened after the call left.
func (p *Client) Relay(ctx context.Context, address string, c *inner.ServerCall) *inner.ServerAnswer {
	rep, err := inner.NewHelperProtobufClient("http://"+address, p.HTTPClient).Relay(ctx, c)
	switch {
	case err == nil:
		return rep
	case wire.NeverSent(err):
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_UNSENT, Detail: err.Error()}
	}
	return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT, Detail: errors.Wrap(err, "relay").Error()}
}
