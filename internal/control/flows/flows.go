// Package flows is a control replica's service for flows: requests that entries
// forward, and processes that make themselves known.
package flows

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/control/leader"
)

// patience bounds a request whose entry names no budget, or a longer one.
const patience = 5 * time.Second

// Server implements inner.Flows. The exported fields are set before use.
type Server struct {
	Cell       string
	Leader     *leader.Leader
	Dispatcher *dispatch.Dispatcher
}

var _ inner.Flows = (*Server)(nil)

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return inner.NewFlowsServer(s) }

// Ask answers a caller's request, or tells who leads.
func (s *Server) Ask(ctx context.Context, a *inner.FlowAsk) (*inner.FlowAnswer, error) {
	if err := s.check(a.GetCell()); err != nil {
		return nil, err
	}
	st := s.Leader.Status()
	if !st.Leads {
		return &inner.FlowAnswer{Code: uint32(code.NoLeader), Leader: st.Address}, nil
	}
	limit := patience
	if b := time.Duration(a.GetBudget()) * time.Millisecond; b > 0 {
		limit = min(limit, b)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rep := s.Dispatcher.Ask(ctx, a)
	if code.Code(rep.GetCode()) == code.NoLeader {
		rep.Leader = s.Leader.Status().Address
	}
	return rep, nil
}

// Greet makes a process known to the leader, or tells who leads.
func (s *Server) Greet(ctx context.Context, g *inner.Greeting) (*inner.Welcome, error) {
	if err := s.check(g.GetCell()); err != nil {
		return nil, err
	}
	if st := s.Leader.Status(); !st.Leads {
		s.Dispatcher.RegisterProcess(g)
		return &inner.Welcome{Leader: st.Address, Term: st.Term}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return s.Dispatcher.Greet(ctx, g), nil
}

func (s *Server) check(cell string) error {
	if cell != s.Cell {
		return twirp.NewError(twirp.PermissionDenied, "this is cell "+s.Cell)
	}
	return nil
}
