package dispatch

import (
	"maps"
	"time"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/watchdog"
)

// delayRestart delays the next runs of a lasting step after a run that failed. Such tasks are started
// again however they end, and one that fails at once would be started without a pause.
func (d *Dispatcher) delayRestart(r *run, now time.Duration) {
	step, ok := d.Host.Flows().Step(r.StepID)
	if !ok || !step.Spec.GetLasting() {
		return
	}
	restarts := d.leader.restarts[r.StepID]
	if restarts == nil {
		restarts = &watchdog.Restarts{}
		d.leader.restarts[r.StepID] = restarts
	}
	pause := restarts.RecordFailure(now, d.Host.LedgerTime()-r.allocation.PlacedAt)
	if pause == 0 {
		return
	}
	term := d.leader.term
	time.AfterFunc(pause, func() { d.postInTerm(term, func() { d.leader.planNeeded = true }) })
}

// mayRestart reports whether the queued tasks of a step may be placed now.
func (d *Dispatcher) mayRestart(id flow.StepID, now time.Duration) bool {
	restarts := d.leader.restarts[id]
	return restarts == nil || restarts.Allowed(now)
}

// removeRestarts removes what is kept of steps that have ended.
func (d *Dispatcher) removeRestarts() {
	maps.DeleteFunc(d.leader.restarts, func(id flow.StepID, _ *watchdog.Restarts) bool {
		_, ok := d.Host.Flows().Step(id)
		return !ok
	})
}
