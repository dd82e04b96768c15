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

// State is what a dump of an entry shows.
type State struct {
	Cell     string
	Name     string
	Phase    string
	Leader   string
	Fresh    bool
	Pending  int
	Revision uint64
}

func (e *Entry) state() any {
	leader, _ := e.pool.Leader()
	return State{
		Cell: e.Cell, Name: e.Name, Phase: phaseNames[e.phase.Load()], Leader: leader.Name,
		Fresh: e.pool.InContact(), Pending: e.pool.Pending(), Revision: e.pool.TableRevision(),
	}
}

// logAudit writes the audit to the log when nothing else is set.
type logAudit struct{ log logr.Logger }

// RecordCall logs the record.
func (a logAudit) RecordCall(_ context.Context, r operator.AuditRecord) {
	id := event.Audit
	if r.Code != code.OK {
		id = event.AuditRefused
	}
	event.Log(a.log, id, "key", r.KeyID, "peer", r.PeerAddress, "call", r.Call, "subject", r.Subject,
		"change", r.ChangeID, "code", uint32(r.Code), "revision", r.TableRevision)
}

// newCount returns an interceptor that counts calls from outside.
func newCount(set *metrics.Set) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			set.GetOrCreateCounter(`gypsumreel_entry_calls_total{call="` + req.Spec().Procedure + `"}`).Inc()
			return next(ctx, req)
		}
	}
}

// Dump returns the state of the process for a person to read.
func (e *Entry) Dump() any { e.init(); return e.state() }
