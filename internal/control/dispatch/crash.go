package dispatch

import (
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/blame"
)

// task returns what the ledger has of the task of a run, if that is its latest.
func (d *Dispatcher) task(r *run) (flows.Task, bool) {
	step, ok := d.Host.Flows().Step(r.StepID)
	if !ok || int(r.Index) >= len(step.Tasks) || step.Tasks[r.Index].LatestRun != r.Number {
		return flows.Task{}, false
	}
	return step.Tasks[r.Index], true
}

// crashed tells whether a life of a server that is over ended without notice.
func (d *Dispatcher) crashed(s *session) bool {
	b, ok := d.Host.Flows().Server(s.id)
	return ok && !d.Host.Flows().ShutdownPlanned(b)
}

// blamed returns the runs that may have crashed a server.
func (d *Dispatcher) blamed(s *session) []*inner.Run {
	all := slices.DeleteFunc(d.wanted(s), func(r *run) bool { return r.placed > 0 && r.sent == 0 })
	judged := make([]blame.Run, 0, len(all))
	for _, r := range all {
		t, _ := d.task(r)
		judged = append(judged, blame.Run{Age: d.age(s, r), Blamed: t.BlamedCrashes})
	}
	var out []*inner.Run
	for _, i := range blame.Suspects(judged) {
		t, _ := d.task(all[i])
		event.Log(d.Log, event.RunBlamed, "flow", all[i].Flow, "run", all[i].String(), "server", s.id, "crashes", t.ConsecutiveCrashes+1, "blamed", t.BlamedCrashes+1, "beside", len(s.runs)-1)
		out = append(out, all[i].Message())
	}
	return out
}

// wanted returns the runs on a server whose flows go on.
func (d *Dispatcher) wanted(s *session) (out []*run) {
	for _, r := range s.runs {
		if _, ok := d.task(r); ok {
			out = append(out, r)
		}
	}
	return out
}

// givenUp logs the flows that the crash of a server was one too many for, of those
// that went on before.
func (d *Dispatcher) givenUp(s *session, before []*run) {
	for _, r := range before {
		if f, ok := d.Host.Flows().Flow(r.Flow); ok && f.State == v1.FlowState_FLOW_STATE_FAILED {
			event.Log(d.Log, event.FlowGivenUp, "flow", r.Flow, "run", r.String(), "server", s.id, "customer", f.Customer)
		}
	}
}

// onProbation keeps a server for a suspected task that begins there, until it is seen whether
// it crashes it.
func (d *Dispatcher) onProbation(s *session, r *run, now time.Duration) {
	if t, ok := d.task(r); ok && t.BlamedCrashes > 0 {
		s.probation = max(s.probation, now+blame.ProbationPeriod)
	}
}

// freshTime is how long after its start a server counts as fresh: one that goes down and
// up by turns does so within seconds.
const freshTime = 10 * time.Second

// fresh tells whether a server's life began moments ago, by the time of day.
func fresh(b *flows.Server, clock time.Duration) bool {
	return clock-time.Duration(b.StartedAtMs)*time.Millisecond < freshTime
}
