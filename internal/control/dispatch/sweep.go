package dispatch

import (
	"maps"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/steps"
)

// sweep forgets flows that ended long ago and servers that are over.
func (d *Dispatcher) sweep(now time.Duration) {
	const most = 500
	ledger := d.Host.Flows()
	before := d.Host.LedgerTime() - d.Retention
	f := &record.FlowForget{}
	for id, one := range ledger.Flows() {
		if one.Final() && one.EndedAt < before && one.HeldRuns == 0 && len(f.Flows) < most {
			f.Flows = append(f.Flows, id)
		}
	}
	for id, b := range ledger.Servers() {
		if b.Ended && len(b.HeldRuns) == 0 && d.lead.sessions[id] == nil {
			f.Servers = append(f.Servers, id)
		}
	}
	if len(f.Flows)+len(f.Servers) > 0 {
		d.decide(&record.Flow{What: &record.Flow_Forget{Forget: f}})
	}
	for id := range d.lead.advice {
		if s, ok := ledger.Step(id); !ok || s.Flow.Final() || s.DoneTasks == len(s.Tasks) {
			delete(d.lead.advice, id)
		}
	}
	maps.DeleteFunc(d.lead.times, func(id flow.StepID, _ steps.Timing) bool {
		s, ok := ledger.Step(id)
		return !ok || s.DoneTasks == len(s.Tasks)
	})
	maps.DeleteFunc(d.lead.shunned, func(id flow.StepID, _ map[string]bool) bool {
		s, ok := ledger.Step(id)
		return !ok || s.DoneTasks == len(s.Tasks)
	})
	for id := range d.lead.surplus {
		if f, ok := ledger.Flow(id); !ok || f.Final() {
			delete(d.lead.surplus, id)
		}
	}
	d.average()
	d.gather()
	d.forgetHelpers(now)
	d.meter.look(d)
}

// beginTurns begins the turns of flows that run at times and are due.
func (d *Dispatcher) beginTurns() {
	ledger := d.Host.Flows()
	for id := range d.lead.timed {
		f, ok := ledger.Flow(id)
		if !ok || f.Final() || f.NextTurn >= f.Spec.GetTimes() {
			delete(d.lead.timed, id)
			continue
		}
		due := time.Duration(f.Spec.GetFirst()+int64(f.NextTurn)*int64(f.Spec.GetEvery())) * time.Millisecond
		if due <= d.Host.LedgerTime() {
			event.Log(d.Log, event.TurnBegun, "flow", id, "turn", f.NextTurn, "late", (d.Host.LedgerTime() - due).String())
			d.decide(&record.Flow{What: &record.Flow_Due{Due: &record.FlowDue{Id: id}}})
		}
	}
}
