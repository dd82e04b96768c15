// Package holder lets the leader keep backend servers at other processes. A holder has the
// connections to a range of servers, makes the leader's calls to them and repeats the holds,
// so that the leader's work follows what changes on the servers and not their number. It
// takes no decision: leases, acknowledgements and orders are the leader's, word for word.
package holder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
)

// Backends makes calls to backend servers.
type Backends interface {
	Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer
}

const (
	// linkTimeout is the time without a request of the leader after which a link ends. It
	// exceeds the longest pause of a leader that still leads.
	linkTimeout = 3 * time.Second
	// maxLists limits the lists under way that are not long polls. A new leader asks for those of
	// all servers in one request, and the holder has votes to cast meanwhile.
	maxLists = 64
	// placeTime is the time for which a list under way counts.
	placeTime = 150 * time.Millisecond
	// maxWait limits the time for which a reply is delayed.
	maxWait = time.Second
)

// Server implements the Holder service. The exported fields are set before use.
type Server struct {
	Cell     string
	Backends Backends

	mu sync.Mutex
	// term is the highest term of a leader that opened a link.
	term uint64
	link *link
}

var _ inner.Holder = (*Server)(nil)

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return inner.NewHolderServer(s) }

// Exchange starts the calls of the request and returns the results that are ready.
func (s *Server) Exchange(ctx context.Context, r *inner.HolderRequest) (*inner.HolderReply, error) {
	if r.GetCell() != s.Cell {
		return nil, twirp.NewError(twirp.PermissionDenied, "wrong cell: this is cell "+s.Cell)
	}
	l, refusal := s.linkFor(r)
	if refusal != nil {
		return refusal, nil
	}
	l.handle(r)
	wait := min(time.Duration(r.GetWait())*time.Millisecond, maxWait)
	select {
	case <-time.After(wait):
	case <-l.ctx.Done():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &inner.HolderReply{Term: r.GetTerm(), Results: l.takeResults()}, nil
}

// linkFor returns the link of a request, or the reply that refuses it. A request that opens a
// newer link ends the current one.
func (s *Server) linkFor(r *inner.HolderRequest) (*link, *inner.HolderReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refuse := func(c code.Code, detail string) *inner.HolderReply {
		return &inner.HolderReply{Code: uint32(c), Detail: detail, Term: s.term}
	}
	current := s.link
	switch {
	case r.GetTerm() < s.term:
		return nil, refuse(code.NoLeader, "a later leader has opened a link")
	case current != nil && current.term == r.GetTerm() && current.number == r.GetLink() && current.ctx.Err() == nil:
		return current, nil
	case !r.GetOpens() || current != nil && current.term == r.GetTerm() && r.GetLink() <= current.number:
		return nil, refuse(code.SessionReplaced, "the link has ended")
	}
	if current != nil {
		current.cancel()
	}
	s.term = r.GetTerm()
	s.link = newLink(r, s.Backends)
	return s.link, nil
}

// Close ends the link. Leases that it would have renewed expire.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		s.link.cancel()
	}
}

// Servers returns the number of backend servers that this process holds now, for state dumps
// and metrics.
func (s *Server) Servers() int {
	s.mu.Lock()
	l := s.link
	s.mu.Unlock()
	if l == nil || l.ctx.Err() != nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.watches)
}

// Client calls the Holder service of other processes. The exported fields are set before use.
type Client struct {
	HTTPClient *http.Client
}

// Exchange makes one exchange with the process at address. It returns nil if there was no
// answer.
func (c *Client) Exchange(ctx context.Context, address string, r *inner.HolderRequest) *inner.HolderReply {
	reply, err := inner.NewHolderProtobufClient("http://"+address, c.HTTPClient).Exchange(ctx, r)
	if err != nil {
		return nil
	}
	return reply
}
