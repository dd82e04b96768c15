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

// SetZoneDrain starts or ends the drain of an availability zone. It returns when the change is
// committed. From the commit of a drain on, no leader starts a task in the zone. An order whose
// sender has given up is not executed: the sender may have sent the opposite order to another
// replica, and executing this one now would undo the newer one.
func (d *Dispatcher) SetZoneDrain(ctx context.Context, zone string, drain bool) *code.Error {
	refusal, err := runOnLeader(ctx, d, errDeposed, func(reply func(*code.Error)) {
		if !d.Host.HasZone(zone) {
			err := code.New(code.NotFound, "zone %q", zone)
			event.LogError(d.Log, event.ZoneRefused, err, "zone", zone, "drain", drain)
			reply(err)
			return
		}
		// A change without effect is committed as well. The commit proves that no newer
		// order exists.
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
	return refusal
}

// checkZones requests a new plan when the drained zones have changed for any reason, and
// moves lasting tasks out of drained zones.
func (d *Dispatcher) checkZones() {
	ledger := d.Host.Flows()
	if !maps.Equal(d.leader.drainedZones, ledger.DrainedZones()) {
		d.leader.drainedZones = maps.Clone(ledger.DrainedZones())
		d.leader.planNeeded = true
	}
	if len(d.leader.drainedZones) == 0 {
		return
	}
	for _, s := range d.leader.sortedSessions {
		if b, ok := ledger.Server(s.id); ok && ledger.ZoneDrained(b.Zone) {
			d.moveLastingTasks(s)
		}
	}
}

// moveLastingTasks stops lasting tasks that fit on another server, as far as their flow can
// miss them. Other tasks run to their end.
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

// hasServerWithRoom reports whether a usable server has room for a task of the step.
func (d *Dispatcher) hasServerWithRoom(step *flows.Step) bool {
	ledger, now := d.Host.Flows(), d.Now()
	q, ok := ledger.QueueOf(step.Flow)
	if !ok {
		return false
	}
	for _, s := range d.leader.sortedSessions {
		b, known := ledger.Server(s.id)
		if known && d.acceptsTasks(s, b, now) && b.Pool == q.GetPool() && steps.HasLabel(step.Spec.GetLabel(), b) && flow.TaskSize(step.Spec).Fits(b.FreeCapacity()) && hasRoomApart(step, s.id) {
			return true
		}
	}
	return false
}

// hasRoomApart reports whether one more task of a step may run on a server beside the others there.
func hasRoomApart(step *flows.Step, server string) bool {
	limit := step.Spec.GetApart()
	if limit == 0 {
		return true
	}
	placed := uint32(0)
	for _, t := range step.Tasks {
		if t.Phase == flows.Placed && t.Server == server {
			placed++
		}
	}
	return placed < limit
}

// allZonesDrained reports whether the pool has servers and all of them that could take
// tasks are in drained zones. A new flow would wait until an operator ends a drain.
func (d *Dispatcher) allZonesDrained(pool string) bool {
	ledger := d.Host.Flows()
	if len(ledger.DrainedZones()) == 0 {
		return false
	}
	hasDrainedServer := false
	for _, b := range ledger.Servers() {
		if b.Pool != pool || b.Ended {
			continue
		}
		if ledger.AcceptsWork(b) {
			return false
		}
		hasDrainedServer = hasDrainedServer || ledger.ZoneDrained(b.Zone)
	}
	return hasDrainedServer
}
