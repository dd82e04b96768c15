// Package flows is the RPC service of a control replica for flows. It handles requests that
// entries forward and greetings of processes.
package flows

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/domain/flow"
)

// maxRequestTime is the timeout of a request without a budget and the upper bound of any
// budget.
const maxRequestTime = 5 * time.Second

// registerTimeout is the timeout of the registration of a process at a replica that does not
// lead. It is short, because the process waits to hear which replica leads.
const registerTimeout = 100 * time.Millisecond

// Server implements inner.Flows. The exported fields must be set before use.
type Server struct {
	Cell       string
	Leader     *leader.Leader
	Dispatcher *dispatch.Dispatcher
	// SetAside leaves a step out of plans for some time; it may be nil. It must not wait for the
	// control thread.
	SetAside func(id flow.StepID)
}

var _ inner.Flows = (*Server)(nil)

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return inner.NewFlowsServer(s) }

// Ask answers a caller's request. A replica that does not lead returns the address of the
// leader. A request without an answer ends when the replica gives up the lead.
func (s *Server) Ask(ctx context.Context, a *inner.FlowAsk) (*inner.FlowAnswer, error) {
	if err := s.checkCell(a.GetCell()); err != nil {
		return nil, err
	}
	lead := s.Leader.Lead()
	status := s.Leader.Status()
	if !status.Leads {
		return &inner.FlowAnswer{Code: uint32(code.NoLeader), Leader: status.Address}, nil
	}
	limit := maxRequestTime
	if b := millis.Duration(a.GetBudget()); b > 0 {
		limit = min(limit, b)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(lead, cancel)()
	answer := s.Dispatcher.Ask(ctx, a)
	if code.Code(answer.GetCode()) == code.NoLeader {
		answer.Leader = s.Leader.Status().Address
	}
	return answer, nil
}

// Load reports who waits, runs and is refused. A replica that does not lead returns the address
// of the leader.
func (s *Server) Load(ctx context.Context, r *inner.LoadRequest) (*inner.LoadReport, error) {
	if err := s.checkCell(r.GetCell()); err != nil {
		return nil, err
	}
	if status := s.Leader.Status(); !status.Leads {
		return &inner.LoadReport{Code: uint32(code.NoLeader), Leader: status.Address}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxRequestTime)
	defer cancel()
	report := s.Dispatcher.Load(ctx)
	if code.Code(report.GetCode()) == code.NoLeader {
		report.Leader = s.Leader.Status().Address
	}
	return report, nil
}

// Report handles reports of backend servers that another replica received.
func (s *Server) Report(ctx context.Context, batch *inner.ReportBatch) (*inner.ReportBatchReply, error) {
	if err := s.checkCell(batch.GetCell()); err != nil {
		return nil, err
	}
	codes := make([]uint32, len(batch.GetReports()))
	var reports []dispatch.Report
	var positions []int // of the reports in the batch
	for i, r := range batch.GetReports() {
		server := &record.FlowServer{}
		if err := proto.Unmarshal(r.GetServer(), server); err != nil {
			codes[i] = uint32(code.Malformed) // the other reports hold
			continue
		}
		positions = append(positions, i)
		reports = append(reports, dispatch.Report{FlowServer: server, Number: r.GetNumber(), Clock: r.GetClock(), Remaining: max(r.GetRemaining()-int64(r.GetAge()), 0)})
	}
	if len(reports) == 0 {
		return &inner.ReportBatchReply{Codes: codes}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	results, err := s.Dispatcher.AcceptReports(ctx, reports)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	for i, result := range results {
		if result != nil {
			codes[positions[i]] = uint32(result.Code)
		}
	}
	return &inner.ReportBatchReply{Codes: codes}, nil
}

// Greet registers a process with the leader. A replica that does not lead returns the
// address of the leader.
func (s *Server) Greet(ctx context.Context, g *inner.Greeting) (*inner.Welcome, error) {
	if err := s.checkCell(g.GetCell()); err != nil {
		return nil, err
	}
	if status := s.Leader.Status(); !status.Leads {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		s.Dispatcher.RegisterProcess(ctx, g)
		return &inner.Welcome{Leader: status.Address, Term: status.Term}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return s.Dispatcher.Greet(ctx, g), nil
}

// StepStood sets a step aside at which the plan of another replica did not end. This replica may lead
// next, and would plan the same.
func (s *Server) StepStood(_ context.Context, m *inner.StoodStep) (*inner.StoodStepReply, error) {
	if err := s.checkCell(m.GetCell()); err != nil {
		return nil, err
	}
	if s.SetAside != nil {
		s.SetAside(flow.StepID{Flow: m.GetFlow(), Turn: m.GetTurn(), Step: m.GetStep()})
	}
	return &inner.StoodStepReply{}, nil
}

func (s *Server) checkCell(cell string) error {
	if cell != s.Cell {
		return twirp.NewError(twirp.PermissionDenied, "wrong cell: this is cell "+s.Cell)
	}
	return nil
}
