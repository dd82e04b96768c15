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

// currentTask returns what the ledger has of the task of a run, if that is its latest.
func (d *Dispatcher) currentTask(r *run) (flows.Task, bool) {
	step, ok := d.Host.Flows().Step(r.StepID)
	if !ok || int(r.Index) >= len(step.Tasks) || step.Tasks[r.Index].Number != r.Number {
		return flows.Task{}, false
	}
	return step.Tasks[r.Index], true
}

// endedUnexpectedly tells whether a life of a server that is over ended without notice.
func (d *Dispatcher) endedUnexpectedly(s *session) bool {
	b, ok := d.Host.Flows().Server(s.id)
	return ok && !d.Host.Flows().Planned(b)
}

// blamedRuns returns the runs that may have crashed a server.
func (d *Dispatcher) blamedRuns(s *session) []*inner.Run {
	candidates := slices.DeleteFunc(d.wantedRuns(s), func(r *run) bool { return r.placedAt > 0 && r.startSentAt == 0 })
	blameRuns := make([]blame.Run, 0, len(candidates))
	for _, r := range candidates {
		t, _ := d.currentTask(r)
		blameRuns = append(blameRuns, blame.Run{Age: d.runAge(s, r), Blamed: t.Blamed})
	}
	var out []*inner.Run
	for _, i := range blame.Suspects(blameRuns) {
		t, _ := d.currentTask(candidates[i])
		event.Log(d.Log, event.RunBlamed, "flow", candidates[i].Flow, "run", candidates[i].String(), "server", s.id, "crashes", t.Crashes+1, "blamed", t.Blamed+1, "beside", len(s.runs)-1)
		out = append(out, candidates[i].Message())
	}
	return out
}

// wantedRuns returns the runs on a server whose flows go on.
func (d *Dispatcher) wantedRuns(s *session) (out []*run) {
	for _, r := range s.runs {
		if _, ok := d.currentTask(r); ok {
			out = append(out, r)
		}
	}
	return out
}

// logFailedFlows logs the flows that the crash of a server was one too many for, of those
// that went on before.
func (d *Dispatcher) logFailedFlows(s *session, wantedBefore []*run) {
	for _, r := range wantedBefore {
		if f, ok := d.Host.Flows().Flow(r.Flow); ok && f.State == v1.FlowState_FLOW_STATE_FAILED {
			event.Log(d.Log, event.FlowGivenUp, "flow", r.Flow, "run", r.String(), "server", s.id, "customer", f.Customer)
		}
	}
}

// startProbation keeps a server for a suspected task that begins there, until it is seen whether
// it crashes it.
func (d *Dispatcher) startProbation(s *session, r *run, now time.Duration) {
	if t, ok := d.currentTask(r); ok && t.Blamed > 0 {
		s.probationUntil = max(s.probationUntil, now+blame.Probation)
	}
}

// freshPeriod is how long after its start a server counts as fresh: one that goes down and
// up by turns does so within seconds.
const freshPeriod = 10 * time.Second

// isFresh tells whether a server's life began moments ago, by the time of day.
func isFresh(b *flows.Server, clock time.Duration) bool {
	return clock-time.Duration(b.Born)*time.Millisecond < freshPeriod
}
