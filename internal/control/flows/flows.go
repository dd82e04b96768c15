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

// maxRequestTime bounds a request whose entry names no budget, or a longer one.
const maxRequestTime = 5 * time.Second

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
	if err := s.checkCell(a.GetCell()); err != nil {
		return nil, err
	}
	status := s.Leader.Status()
	if !status.Leads {
		return &inner.FlowAnswer{Code: uint32(code.NoLeader), Leader: status.Address}, nil
	}
	limit := maxRequestTime
	if b := time.Duration(a.GetBudget()) * time.Millisecond; b > 0 {
		limit = min(limit, b)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer := s.Dispatcher.Ask(ctx, a)
	if code.Code(answer.GetCode()) == code.NoLeader {
		answer.Leader = s.Leader.Status().Address
	}
	return answer, nil
}

// Greet makes a process known to the leader, or tells who leads.
func (s *Server) Greet(ctx context.Context, g *inner.Greeting) (*inner.Welcome, error) {
	if err := s.checkCell(g.GetCell()); err != nil {
		return nil, err
	}
	if status := s.Leader.Status(); !status.Leads {
		s.Dispatcher.RegisterProcess(g)
		return &inner.Welcome{Leader: status.Address, Term: status.Term}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return s.Dispatcher.Greet(ctx, g), nil
}

func (s *Server) checkCell(cell string) error {
	if cell != s.Cell {
		return twirp.NewError(twirp.PermissionDenied, "this is cell "+s.Cell)
	}
	return nil
}
