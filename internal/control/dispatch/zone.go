package dispatch

import (
	"context"
	"maps"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/steps"
)

// Zone drains an availability zone, or takes it back. It returns once that is
// committed: from then on nothing is started there, whoever leads.
func (d *Dispatcher) Zone(ctx context.Context, zone string, drain bool) *code.Error {
	fault, err := ask(ctx, d, errDeposed, func(reply func(*code.Error)) {
		if ctx.Err() != nil {
			// Whoever asked has given up, and may have asked for the opposite
			// elsewhere: carried out now, the older order would come last.
			reply(errNotLeading)
			return
		}
		if !d.Host.HasZone(zone) {
			err := code.New(code.NotFound, "zone %q", zone)
			event.LogError(d.Log, event.ZoneRefused, err, "zone", zone, "drain", drain)
			reply(err)
			return
		}
		// One that changes nothing is committed as well, which proves that it is
		// the newest word.
		if err := d.Host.ApplyCommand(&record.Flow{What: &record.Flow_Zone{Zone: &record.ZoneMark{Zone: zone, Drain: drain}}}); err != nil {
			reply(err)
			return
		}
		d.Host.AfterCommit(func() {
			event.Log(d.Log, event.ZoneMarked, "zone", zone, "drain", drain, "term", d.lead.term)
			reply(nil)
		})
	})
	if err != nil {
		return err
	}
	return fault
}

// lookAtZones plans anew when a zone was drained or taken back, by whichever way
// that came, and moves lasting tasks out of those that are drained.
func (d *Dispatcher) lookAtZones() {
	ledger := d.Host.Flows()
	if !maps.Equal(d.lead.drained, ledger.DrainedZones()) {
		d.lead.drained = maps.Clone(ledger.DrainedZones())
		d.lead.dirty = true
	}
	if len(d.lead.drained) == 0 {
		return
	}
	for _, s := range d.lead.sorted {
		if b, ok := ledger.Server(s.id); ok && ledger.ZoneDrained(b.Zone) {
			d.moveLasting(s)
		}
	}
}

// moveLasting stops lasting tasks that find room elsewhere, as far as their flow
// can miss them. What ends by itself runs on.
func (d *Dispatcher) moveLasting(s *session) {
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || r.stopping || !r.there || !step.Spec.GetLasting() || !d.spares(step) || !d.roomFor(step) {
			continue
		}
		event.Log(d.Log, event.RunMoved, "flow", r.Flow, "run", r.String(), "server", s.id, "cause", "zone")
		d.unwant(s, r)
	}
}

// roomFor tells whether some server has room for a task of the step now.
func (d *Dispatcher) roomFor(step *flows.Step) bool {
	ledger, now := d.Host.Flows(), d.Now()
	q, ok := ledger.QueueOf(step.Flow)
	if !ok {
		return false
	}
	for _, s := range d.lead.sorted {
		b, known := ledger.Server(s.id)
		if known && ledger.AcceptsWork(b) && s.usable(now) && b.Pool == q.GetPool() && steps.HasLabel(step.Spec.GetLabel(), b) && flow.SizeOf(step.Spec).Fits(b.FreeCapacity()) {
			return true
		}
	}
	return false
}

// closed tells that a pool has servers and all that could take work are in drained
// zones: what is handed in now would wait until an operator takes one back.
func (d *Dispatcher) closed(pool string) bool {
	ledger := d.Host.Flows()
	if len(ledger.DrainedZones()) == 0 {
		return false
	}
	drained := false
	for _, b := range ledger.Servers() {
		if b.Pool != pool || b.Ended {
			continue
		}
		if ledger.AcceptsWork(b) {
			return false
		}
		drained = drained || ledger.ZoneDrained(b.Zone)
	}
	return drained
}
