package dispatch

import (
	"context"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/ledger/flows"
)

// Report is what a backend server says of itself now and then.
type Report struct {
	*record.FlowServer
	// Number counts the reports of one life; a late one has a lower number.
	Number uint64
	// Clock is the server's clock in milliseconds; 0 when it is not told.
	Clock int64
	// Remaining is the least time in milliseconds that a leaving server has left.
	Remaining int64
}

// Report takes a report. It returns once everything that the report changes is
// committed: an acknowledged server gets no new work once it leaves.
func (d *Dispatcher) Report(ctx context.Context, r Report) *code.Error {
	received := d.Now()
	rep, err := ask(ctx, d, errDeposed, func(reply func(*code.Error)) {
		d.report(r, reply)
		if s := d.lead.sessions[r.GetId()]; s != nil && s.born == r.GetBorn() {
			s.reported(r, received)
		}
	})
	if err != nil {
		return err
	}
	return rep
}

func (d *Dispatcher) report(r Report, reply func(*code.Error)) {
	ledger := d.Host.Flows()
	old, known := ledger.Server(r.GetId())
	s := d.lead.sessions[r.GetId()]
	switch {
	case known && r.GetBorn() < old.StartedAtMs:
		reply(nil) // a late report of a life before
		return
	case known && r.GetBorn() == old.StartedAtMs && (old.Ended || r.Number < old.LastReport):
		reply(nil)
		return
	case s != nil && s.born < r.GetBorn():
		// The life before this one has ended. What may still be on its way to
		// it must not reach the new one unseen, so the new one is taken only
		// when that is settled.
		d.ending(s, "another life")
		if d.lead.sessions[r.GetId()] != nil {
			reply(code.New(code.MembershipChangePending, "the life before is being closed"))
			return
		}
	case s != nil && s.born == r.GetBorn() && r.Number < s.call:
		reply(nil)
		return
	case known && s != nil && same(old, r.FlowServer) && !d.colder(old, r.FlowServer):
		// What it repeats may still be on its way into the log.
		d.Host.AfterCommit(func() { reply(nil) })
		return
	}
	if known && old.StartedAtMs == r.GetBorn() && old.ShuttingDown {
		r.Leaving = true
	}
	r.FlowServer.Call = r.Number
	if !d.decide(&record.Flow{What: &record.Flow_Server{Server: r.FlowServer}}) {
		reply(code.New(code.SessionReplaced, "%s", r.GetId()))
		return
	}
	now, _ := ledger.Server(r.GetId())
	if s := d.lead.sessions[r.GetId()]; s == nil {
		d.open(now)
		d.takeIn()
		event.Log(d.Log, event.ServerAnnounced, "server", r.GetId(), "born", r.GetBorn(), "pool", r.GetPool(), "address", r.GetAddress(), "cpu", now.Capacity.CPU, "memory", now.Capacity.Memory)
	} else {
		s.address = now.Address
	}
	if now.ShuttingDown && (!known || !old.ShuttingDown) {
		event.Log(d.Log, event.ServerDraining, "server", r.GetId(), "born", r.GetBorn(), "remaining", r.Remaining, "held", len(now.HeldRuns))
	}
	d.Host.AfterCommit(func() { reply(nil) })
}

// coldSlack is how much later than known a server may say that it stops being slow
// before that is recorded: what it says is rough, and its report is on its way a while.
const coldSlack = time.Second

// colder tells whether a server says that it stays slow for longer than is known.
func (d *Dispatcher) colder(b *flows.Server, r *record.FlowServer) bool {
	return d.Host.LedgerTime()+time.Duration(r.GetCold())*time.Millisecond > max(b.WarmUpEndsAt, d.Host.LedgerTime())+coldSlack
}

// same tells whether a report says nothing new.
func same(b *flows.Server, r *record.FlowServer) bool {
	size := capacity.Size{CPU: r.GetCapacity().GetCpu(), Memory: r.GetCapacity().GetMemory(), Accel: r.GetCapacity().GetAccel(), Slots: r.GetCapacity().GetSlots()}
	return b.StartedAtMs == r.GetBorn() && b.Address == r.GetAddress() && b.Pool == r.GetPool() && b.Machine == r.GetMachine() && b.Zone == r.GetZone() &&
		b.Capacity == size && slices.Equal(b.Labels, r.GetLabels()) && (b.ShuttingDown || !r.GetLeaving())
}

// Leave takes a server's word that it ends. What it held counts as running
// until that is proved: the word may be a late one, of a life before.
func (d *Dispatcher) Leave(ctx context.Context, id string) *code.Error {
	_, err := ask(ctx, d, errDeposed, func(reply func(struct{})) {
		if b, ok := d.Host.Flows().Server(id); ok && !b.Ended && !b.ShuttingDown {
			leaving := message(b)
			leaving.Leaving = true
			d.decide(&record.Flow{What: &record.Flow_Server{Server: leaving}})
		}
		event.Log(d.Log, event.ServerLeft, "server", id)
		d.Host.AfterCommit(func() { reply(struct{}{}) })
	})
	return err
}

func message(b *flows.Server) *record.FlowServer {
	return &record.FlowServer{
		Id: b.ID, Born: b.StartedAtMs, Address: b.Address, Zone: b.Zone, Pool: b.Pool, Machine: b.Machine,
		Capacity: sizeMessage(b.Capacity), Labels: b.Labels, Leaving: b.ShuttingDown, Cursor: b.EndCursor, Call: b.LastReport,
	}
}
