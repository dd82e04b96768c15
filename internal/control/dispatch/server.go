package dispatch

import (
	"context"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/ranges"
)

// Report is the periodic status report of a backend server.
type Report struct {
	*record.FlowServer
	// Number is the sequence number of the report within an incarnation. A delayed report
	// has a lower number.
	Number uint64
	// Clock is the server's clock in milliseconds; 0 if not sent.
	Clock int64
	// Remaining is the least time in milliseconds until a server that is shutting down
	// exits.
	Remaining int64
}

// AcceptReport processes a report of a backend server. It returns when all changes from the
// report are committed. After it is acknowledged, a server that is shutting down gets no new tasks.
func (d *Dispatcher) AcceptReport(ctx context.Context, r Report) *code.Error {
	receivedAt := d.Now()
	refusal, err := recordOnLeader(ctx, d, errDeposed, func(reply func(*code.Error)) {
		d.handleReport(r, reply)
		d.applyToSession(r, receivedAt)
	})
	if err != nil {
		return err
	}
	return refusal
}

// AcceptReports processes reports that another replica received, like AcceptReport. It returns
// their results in the same order.
func (d *Dispatcher) AcceptReports(ctx context.Context, reports []Report) ([]*code.Error, *code.Error) {
	receivedAt := d.Now()
	return recordOnLeader(ctx, d, errDeposed, func(reply func([]*code.Error)) {
		results, missing := make([]*code.Error, len(reports)), len(reports)
		for i, r := range reports {
			d.handleReport(r, func(err *code.Error) {
				results[i] = err
				if missing--; missing == 0 {
					reply(results)
				}
			})
			d.applyToSession(r, receivedAt)
		}
	})
}

// applyToSession updates the session of a server from its report.
func (d *Dispatcher) applyToSession(r Report, receivedAt time.Duration) {
	if s := d.leader.sessions[r.GetId()]; s != nil && s.incarnation == r.GetBorn() {
		s.applyReport(r, receivedAt)
	}
}

// KnowsReport reports whether the ledger of this replica, leading or not, contains all that a
// report says and only what is committed, so that acknowledging it takes no decision. It is safe for concurrent use.
func (d *Dispatcher) KnowsReport(ctx context.Context, r Report) bool {
	known := make(chan bool, 1)
	ok := d.Host.PostContext(ctx, func() {
		b, found := d.Host.Flows().Server(r.GetId())
		known <- d.Host.LedgerIsCommitted() && found && !b.Ended && !b.ShuttingDown && r.Number >= b.LastReport && isUnchanged(b, r.FlowServer) && !d.extendsSlowStart(b, r.FlowServer)
	})
	if !ok {
		return false
	}
	select {
	case result := <-known:
		return result
	case <-ctx.Done():
		return false
	}
}

// ReportReplica returns the address of the replica that takes the later reports of a server, or
// an empty string if this is the only one. The leader has enough to do with what changes. It
// is safe for concurrent use.
func (d *Dispatcher) ReportReplica(server, zone string) string {
	others := d.reportReplicas.Load()
	if others == nil {
		return ""
	}
	r, ok := ranges.Prefer(server, zone, *others, nil)
	if !ok {
		return ""
	}
	return r.address
}

// updateReportReplicas publishes the replicas that take reports.
func (d *Dispatcher) updateReportReplicas(now time.Duration) {
	var others []*joiningReplica
	for _, replica := range d.joiningReplicas {
		if now-replica.lastGreetingAt < replicaAliveTimeout && !d.isSelf(replica.address) {
			others = append(others, replica)
		}
	}
	d.reportReplicas.Store(&others)
}

func (d *Dispatcher) handleReport(r Report, reply func(*code.Error)) {
	ledger := d.Host.Flows()
	previous, known := ledger.Server(r.GetId())
	s := d.leader.sessions[r.GetId()]
	switch {
	case known && r.GetBorn() < previous.StartedAtMs:
		reply(nil) // delayed report of an earlier incarnation
		return
	case known && r.GetBorn() == previous.StartedAtMs && (previous.Ended || r.Number < previous.LastReport):
		reply(nil)
		return
	case s != nil && s.incarnation < r.GetBorn():
		// The previous incarnation has ended. Calls in transit to it could reach the new
		// one, so the new one is accepted only when they are settled.
		d.beginClosing(s, proofOfLaterReport(s, r))
		if d.leader.sessions[r.GetId()] != nil {
			reply(code.New(code.MembershipChangePending, "the session of the previous incarnation is still being closed"))
			return
		}
	case s != nil && s.incarnation == r.GetBorn() && r.Number < s.reportNumber:
		reply(nil)
		return
	case known && s != nil && isUnchanged(previous, r.FlowServer) && !d.extendsSlowStart(previous, r.FlowServer):
		// The change that this report repeats may not be committed yet.
		d.Host.AfterCommit(func() { reply(nil) })
		return
	}
	if known && previous.StartedAtMs == r.GetBorn() && previous.ShuttingDown {
		r.Leaving = true
	}
	r.FlowServer.Call = r.Number
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Server{Server: r.FlowServer}}) {
		reply(code.New(code.SessionReplaced, "%s", r.GetId()))
		return
	}
	current, _ := ledger.Server(r.GetId())
	if s := d.leader.sessions[r.GetId()]; s == nil {
		d.openSession(current, known || d.mayHaveFormer(r.GetId()))
		d.sendFirstHolds()
		event.Log(d.Log, event.ServerAnnounced, "server", r.GetId(), "born", r.GetBorn(), "pool", r.GetPool(), "address", r.GetAddress(), "cpu", current.Capacity.CPU, "memory", current.Capacity.Memory)
	} else {
		s.address = current.Address
	}
	if current.ShuttingDown && (!known || !previous.ShuttingDown) {
		event.Log(d.Log, event.ServerDraining, "server", r.GetId(), "born", r.GetBorn(), "remaining", r.Remaining, "held", len(current.HeldRuns))
	}
	d.Host.AfterCommit(func() { reply(nil) })
}

// slowStartMargin is the minimum extension of a server's slow start that is recorded. The
// reported time is approximate and includes the delay of the report.
const slowStartMargin = time.Second

// extendsSlowStart reports whether the server announces a longer slow start than the ledger
// has.
func (d *Dispatcher) extendsSlowStart(b *flows.Server, r *record.FlowServer) bool {
	return d.Host.LedgerTime()+millis.Duration(r.GetCold()) > max(b.SlowStartEndsAt, d.Host.LedgerTime())+slowStartMargin
}

// isUnchanged reports whether the report equals the server's state in the ledger.
func isUnchanged(b *flows.Server, r *record.FlowServer) bool {
	size := capacity.Size{CPU: r.GetCapacity().GetCpu(), Memory: r.GetCapacity().GetMemory(), Accel: r.GetCapacity().GetAccel(), Slots: r.GetCapacity().GetSlots()}
	return b.StartedAtMs == r.GetBorn() && b.Address == r.GetAddress() && b.Pool == r.GetPool() && b.Machine == r.GetMachine() && b.Zone == r.GetZone() &&
		b.Capacity == size && slices.Equal(b.Labels, r.GetLabels()) && (b.ShuttingDown || !r.GetLeaving())
}

// AcceptExitNotice handles the notice that a server exits. The notice names no incarnation,
// and it may be a delayed one of an earlier incarnation. A server reports its graceful
// shutdown before it sends the notice, so one that has not reported it is not recorded as
// shutting down, which would withhold work from it for good. It gets no new tasks until it
// answers a hold sent after the notice. The server's runs count as running until their end
// is proved.
func (d *Dispatcher) AcceptExitNotice(ctx context.Context, id string) *code.Error {
	_, err := recordOnLeader(ctx, d, errDeposed, func(reply func(struct{})) {
		b, known := d.Host.Flows().Server(id)
		expected := known && b.ShuttingDown
		if s := d.leader.sessions[id]; s != nil && !expected {
			s.exitNoticeAt = d.Now()
		}
		event.Log(d.Log, event.ServerLeft, "server", id, "expected", expected)
		d.Host.AfterCommit(func() { reply(struct{}{}) })
	})
	return err
}
