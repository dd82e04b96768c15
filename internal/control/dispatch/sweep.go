package dispatch

import (
	"maps"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/steps"
)

// sweep removes what is no longer needed and updates the values that are computed periodically
// because they depend on all flows or all servers.
func (d *Dispatcher) sweep(now time.Duration) {
	for _, part := range []func(){
		d.removeExpired,
		d.removeStateOfEnded,
		d.updatePending,
		d.updateRuntimeRatio,
		d.updateMachineSpeeds,
		d.updateContention,
		func() { d.checkForecasts(now) },
		d.chooseUrgentServers,
		func() { d.removeExpiredProcesses(now) },
		func() { d.flowMetrics.updateGauges(d) },
		func() { d.updateLoad(now) },
	} {
		part()
		d.Host.YieldProcessor()
	}
}

// removeExpired removes flows whose retention has ended, and servers that are gone, from the
// ledger.
func (d *Dispatcher) removeExpired() {
	const maxRemoved = 500 // flows in one command
	ledger := d.Host.Flows()
	cutoff := d.Host.LedgerTime() - d.Retention
	expired := &record.FlowForget{}
	entry := 0
	for id, candidate := range ledger.Flows() {
		entry++
		d.yieldAt(entry)
		if candidate.Final() && candidate.EndedAt < cutoff && candidate.HeldRuns == 0 && len(expired.Flows) < maxRemoved {
			expired.Flows = append(expired.Flows, id)
		}
	}
	for id, b := range ledger.Servers() {
		if b.Ended && len(b.HeldRuns) == 0 && d.leader.sessions[id] == nil {
			expired.Servers = append(expired.Servers, id)
		}
	}
	if len(expired.Flows)+len(expired.Servers) > 0 {
		d.applyOrLog(&record.Flow{What: &record.Flow_Forget{Forget: expired}})
	}
}

// removeStateOfEnded removes what the leader keeps of flows and steps that have ended.
func (d *Dispatcher) removeStateOfEnded() {
	ledger := d.Host.Flows()
	for id := range d.leader.adviceByStep {
		if s, ok := ledger.Step(id); !ok || s.Flow.Final() || s.DoneTasks == len(s.Tasks) {
			delete(d.leader.adviceByStep, id)
		}
	}
	maps.DeleteFunc(d.leader.stepTimes, func(id flow.StepID, _ steps.Timing) bool {
		s, ok := ledger.Step(id)
		return !ok || s.DoneTasks == len(s.Tasks)
	})
	maps.DeleteFunc(d.leader.avoidedServers, func(id flow.StepID, _ map[string]bool) bool {
		s, ok := ledger.Step(id)
		return !ok || s.DoneTasks == len(s.Tasks)
	})
	for id := range d.leader.surplusFlows {
		if f, ok := ledger.Flow(id); !ok || f.Final() {
			delete(d.leader.surplusFlows, id)
		}
	}
	now := d.Now()
	maps.DeleteFunc(d.leader.sessionsClosedAt, func(_ string, closedAt time.Duration) bool { return now-closedAt >= lateCallTime })
	d.removeRestarts()
	d.removeAttemptState()
}

// startDueTurns starts the due turns of recurring flows. A turn waits while there is no memory for it.
func (d *Dispatcher) startDueTurns() {
	ledger := d.Host.Flows()
	for id := range d.leader.recurringFlows {
		f, ok := ledger.Flow(id)
		if !ok || f.Final() || f.NextTurn >= f.Spec.GetTimes() {
			delete(d.leader.recurringFlows, id)
			continue
		}
		due := millis.At(f.Spec.GetFirst(), f.NextTurn, f.Spec.GetEvery())
		if due <= d.Host.LedgerTime() && d.hasMemoryFor(flow.TurnBytes(f.Spec)) {
			event.Log(d.Log, event.TurnBegun, "flow", id, "turn", f.NextTurn, "late", (d.Host.LedgerTime() - due).String())
			d.applyOrLog(&record.Flow{What: &record.Flow_Due{Due: &record.FlowDue{Id: id}}})
		}
	}
}
