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
	fault, err := runOnLeader(ctx, d, errDeposed, func(reply func(*code.Error)) {
		if ctx.Err() != nil {
			// Whoever asked has given up, and may have asked for the opposite
			// elsewhere: carried out now, the older order would come last.
			reply(errNotLeading)
			return
		}
		if !d.Host.HasZone(zone) {
			err := code.New(code.Unknown, "zone %q", zone)
			event.Fail(d.Log, event.ZoneRefused, err, "zone", zone, "drain", drain)
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
			event.Log(d.Log, event.ZoneMarked, "zone", zone, "drain", drain, "term", d.leader.term)
			reply(nil)
		})
	})
	if err != nil {
		return err
	}
	return fault
}

// checkZones plans anew when a zone was drained or taken back, by whichever way
// that came, and moves lasting tasks out of those that are drained.
func (d *Dispatcher) checkZones() {
	ledger := d.Host.Flows()
	if !maps.Equal(d.leader.drainedZones, ledger.Zones()) {
		d.leader.drainedZones = maps.Clone(ledger.Zones())
		d.leader.planNeeded = true
	}
	if len(d.leader.drainedZones) == 0 {
		return
	}
	for _, s := range d.leader.sortedSessions {
		if b, ok := ledger.Server(s.id); ok && ledger.Drained(b.Zone) {
			d.moveLastingTasks(s)
		}
	}
}

// moveLastingTasks stops lasting tasks that find room elsewhere, as far as their flow
// can miss them. What ends by itself runs on.
func (d *Dispatcher) moveLastingTasks(s *session) {
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || r.stopping || !r.reportedByServer || !step.Spec.GetLasting() || !d.canMissTask(step) || !d.hasServerWithRoom(step) {
			continue
		}
		event.Log(d.Log, event.RunMoved, "flow", r.Flow, "run", r.String(), "server", s.id, "cause", "zone")
		d.stopRun(s, r)
	}
}

// hasServerWithRoom tells whether some server has room for a task of the step now.
func (d *Dispatcher) hasServerWithRoom(step *flows.Step) bool {
	ledger, now := d.Host.Flows(), d.Now()
	q, ok := ledger.QueueOf(step.Flow)
	if !ok {
		return false
	}
	for _, s := range d.leader.sortedSessions {
		b, known := ledger.Server(s.id)
		if known && ledger.Takes(b) && s.isUsable(now) && b.Pool == q.GetPool() && steps.Labelled(step.Spec.GetLabel(), b) && flow.SizeOf(step.Spec).Fits(b.Free()) {
			return true
		}
	}
	return false
}

// allZonesDrained tells that a pool has servers and all that could take work are in drained
// zones: what is handed in now would wait until an operator takes one back.
func (d *Dispatcher) allZonesDrained(pool string) bool {
	ledger := d.Host.Flows()
	if len(ledger.Zones()) == 0 {
		return false
	}
	drained := false
	for _, b := range ledger.Servers() {
		if b.Pool != pool || b.Over {
			continue
		}
		if ledger.Takes(b) {
			return false
		}
		drained = drained || ledger.Drained(b.Zone)
	}
	return drained
}
