package dispatch

import (
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/blame"
)

// currentTask returns the ledger's task of a run if the run is the latest one of that task.
func (d *Dispatcher) currentTask(r *run) (flows.Task, bool) {
	step, ok := d.Host.Flows().Step(r.StepID)
	if !ok || int(r.Index) >= len(step.Tasks) || step.Tasks[r.Index].LatestRun != r.Number {
		return flows.Task{}, false
	}
	return step.Tasks[r.Index], true
}

// endedUnexpectedly reports whether the server's incarnation ended without prior notice.
func (d *Dispatcher) endedUnexpectedly(s *session) bool {
	b, ok := d.Host.Flows().Server(s.id)
	return ok && !d.Host.Flows().ShutdownPlanned(b)
}

// blamedRuns returns the runs that may have caused the crash of a server.
func (d *Dispatcher) blamedRuns(s *session) []*inner.Run {
	candidates := slices.DeleteFunc(d.wantedRuns(s), (*run).neverSent)
	blameRuns := make([]blame.Run, 0, len(candidates))
	for _, r := range candidates {
		t, _ := d.currentTask(r)
		blameRuns = append(blameRuns, blame.Run{Age: d.runAge(s, r), Blamed: t.BlamedCrashes})
	}
	var blamed []*inner.Run
	for _, i := range blame.Suspects(blameRuns) {
		t, _ := d.currentTask(candidates[i])
		event.Log(d.Log, event.RunBlamed, "flow", candidates[i].Flow, "run", candidates[i].String(), "server", s.id, "crashes", t.ConsecutiveCrashes+1, "blamed", t.BlamedCrashes+1, "beside", len(s.runs)-1)
		blamed = append(blamed, candidates[i].Message())
	}
	return blamed
}

// sparedRuns returns the runs on a crashed server against which the crash is no evidence. A run
// that the server has reported was there, and a blamed one may have caused the crash. A lasting task
// that is not blamed is spared all the same: it has to be started again however it ends. Of the
// others it is not known whether their start arrived: the order was not sent, not answered, or
// sent by another leader. A crash counts against such a run only if its task is already suspected
// or if no other run on the server is in doubt. Without that, a task that crashes each server
// before its start is answered would be started for ever.
func (d *Dispatcher) sparedRuns(s *session, blamed []*inner.Run) (spared []*run) {
	var unreported []*run
	isBlamed := func(r *run) bool {
		return slices.ContainsFunc(blamed, func(m *inner.Run) bool { return flow.RunIDFromMessage(m) == r.RunID })
	}
	for _, r := range s.runs {
		switch {
		case !r.reportedByServer:
			unreported = append(unreported, r)
		case d.isLasting(r) && !isBlamed(r):
			spared = append(spared, r)
		}
	}
	for _, r := range unreported {
		t, _ := d.currentTask(r)
		mayHaveCaused := !r.neverSent() && (t.BlamedCrashes > 0 || len(unreported) == 1)
		if !isBlamed(r) && !mayHaveCaused {
			spared = append(spared, r)
		}
	}
	return spared
}

// isLasting reports whether a run's task lasts until its flow is cancelled.
func (d *Dispatcher) isLasting(r *run) bool {
	step, ok := d.Host.Flows().Step(r.StepID)
	return ok && step.Spec.GetLasting()
}

// neverSent reports whether this leader placed the run and has not sent its start.
func (r *run) neverSent() bool { return r.placedAt > 0 && r.startSentAt == 0 }

// wantedRuns returns the runs on a server whose tasks are still active in the ledger.
func (d *Dispatcher) wantedRuns(s *session) (wanted []*run) {
	for _, r := range s.runs {
		if _, ok := d.currentTask(r); ok {
			wanted = append(wanted, r)
		}
	}
	return wanted
}

// logFailedFlows logs the flows that failed because this server crash exceeded their limit
// of crashes. wantedBefore holds the runs that were active before the crash.
func (d *Dispatcher) logFailedFlows(s *session, wantedBefore []*run) {
	for _, r := range wantedBefore {
		if f, ok := d.Host.Flows().Flow(r.Flow); ok && f.State == v1.FlowState_FLOW_STATE_FAILED {
			event.Log(d.Log, event.FlowGivenUp, "flow", r.Flow, "run", r.String(), "server", s.id, "customer", f.Customer)
		}
	}
}

// recordStart records the time of a start. If the task is suspected of crashing servers, its
// server is reserved for it until its probation ends.
func (d *Dispatcher) recordStart(s *session, r *run, now time.Duration) {
	s.lastStartAt = now
	if t, ok := d.currentTask(r); ok && t.BlamedCrashes > 0 {
		s.probationUntil = max(s.probationUntil, now+blame.ProbationPeriod)
	}
}

// recentStartPeriod is the time after its start during which a server counts as recently started.
// A server in a crash loop crashes again within seconds.
const recentStartPeriod = 10 * time.Second

// isRecentlyStarted reports whether the server's incarnation started within recentStartPeriod. The
// end of its slow start, which is its first report if it has none, is on the ledger's clock. The
// clock of its machine may differ from that.
func isRecentlyStarted(b *flows.Server, clock time.Duration) bool {
	return clock-b.SlowStartEndsAt < recentStartPeriod
}
