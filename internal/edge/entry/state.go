package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/edge/operator"
)

// State is the state of an entry as a dump shows it.
type State struct {
	Cell     string
	Name     string
	Phase    string
	Leader   string
	Fresh    bool
	Pending  int
	Revision uint64
}

func (e *Entry) currentState() any {
	leader, _ := e.leaderClient.Leader()
	return State{
		Cell: e.Cell, Name: e.Name, Phase: phaseNames[e.phase.Load()], Leader: leader.Name,
		Fresh: e.leaderClient.InContact(), Pending: e.leaderClient.Pending(), Revision: e.leaderClient.TableRevision(),
	}
}

// logAuditor writes audit records to the log. It is the default auditor.
type logAuditor struct{ log logr.Logger }

// RecordCall logs the record.
func (a logAuditor) RecordCall(_ context.Context, r operator.AuditRecord) {
	id := event.Audit
	if r.Code != code.OK {
		id = event.AuditRefused
	}
	event.Log(a.log, id, "key", r.KeyID, "peer", r.PeerAddress, "call", r.Call, "subject", r.Subject,
		"change", r.ChangeID, "code", uint32(r.Code), "revision", r.TableRevision)
}

// newCallCounter returns an interceptor that counts the calls of clients by procedure.
func newCallCounter(set *metrics.Set) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			set.GetOrCreateCounter(`gypsumreel_entry_calls_total{call="` + req.Spec().Procedure + `"}`).Inc()
			return next(ctx, req)
		}
	}
}

// Dump returns the state of the entry for a state dump.
func (e *Entry) Dump() any { e.init(); return e.currentState() }
