package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/pace"
)

// knownPace is the pace of a run as far as the leader knows it. It is unknown if another
// leader placed the run or if the latest call that set it was not answered.
type knownPace struct {
	percent int
	known   bool
}

// adjustPace sets the pace of the fill tasks on a server from the tail latency of its
// serving tasks in the latest run list.
func (d *Dispatcher) adjustPace(s *session) {
	var serving []pace.ServingTask
	var fillRuns []*run
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		switch {
		case !ok || !r.reportedByServer || r.stopping:
		case step.Spec.GetFills():
			fillRuns = append(fillRuns, r)
		case step.Spec.GetTarget() > 0:
			serving = append(serving, pace.ServingTask{TailLatency: r.load, TargetLatency: float64(step.Spec.GetTarget())})
		}
	}
	s.mixesFillAndServing = len(fillRuns) > 0 && len(serving) > 0
	if s.paceInherited {
		s.pacePercent, s.paceInherited = pace.Initial(serving), false
	}
	if len(fillRuns) == 0 {
		s.pacePercent = pace.Full
		return
	}
	s.pacePercent = pace.Next(s.pacePercent, serving)
	for _, r := range fillRuns {
		if r.pace != (knownPace{percent: s.pacePercent, known: true}) && r.pendingOrders == 0 {
			d.setPace(s, r, s.pacePercent)
		}
	}
}

// setPace tells a server the pace of a run.
func (d *Dispatcher) setPace(s *session, r *run, percent int) {
	r.pace = knownPace{percent: percent, known: true}
	event.Log(d.Log, event.RunPaced, "flow", r.Flow, "run", r.String(), "server", s.id, "percent", percent)
	r.pendingOrders++
	c := &inner.ServerCall{What: &inner.ServerCall_Pace{Pace: &inner.PaceRun{Run: r.Message(), Percent: uint32(percent)}}}
	d.callServer(s, c, 0, 0, false, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		r.pendingOrders--
		d.flowMetrics.observeCall("pace", a.GetVerdict(), receivedAt-sentAt)
		if a.GetVerdict() != inner.Verdict_VERDICT_DONE {
			r.pace = knownPace{} // sent again with the next run list
		}
	})
}

// evacuate stops the runs that would not end before their server has shut down. A run that saves
// checkpoints continues on another server without loss. Lasting tasks are moved only as
// many at a time as their flow can miss.
func (d *Dispatcher) evacuate(s *session, b *flows.Server, now time.Duration) {
	if s.exitsAt == 0 {
		return
	}
	timeLeft := s.exitsAt - now
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || r.stopping || !r.reportedByServer {
			continue
		}
		switch {
		case step.Spec.GetLasting():
			if !d.canMissTask(step) {
				continue
			}
		case !step.Spec.GetSaves() || r.progressPercent <= 0 || d.remainingTime(step, r, now) <= timeLeft:
			continue
		}
		event.Log(d.Log, event.RunMoved, "flow", r.Flow, "run", r.String(), "server", s.id, "percent", r.progressPercent, "leaves", timeLeft.String(), "born", b.StartedAtMs)
		d.stopRun(s, r)
	}
}

// remainingTime estimates how long a run still takes from its progress.
func (d *Dispatcher) remainingTime(step *flows.Step, r *run, now time.Duration) time.Duration {
	if r.placedAt == 0 || r.progressPercent <= 0 {
		return d.typicalRuntimeOn(step, r)
	}
	return time.Duration(float64(r.progressReportedAt-r.placedAt)*(100-r.progressPercent)/r.progressPercent) - (now - r.progressReportedAt)
}

// canMissTask reports whether the flow tolerates one more missing task of a lasting step.
func (d *Dispatcher) canMissTask(step *flows.Step) bool {
	return d.missingTasks(step) < int(step.Spec.GetAbsent())
}

// missingTasks returns the number of tasks of a lasting step that are not fully at work.
func (d *Dispatcher) missingTasks(step *flows.Step) int {
	missing := 0
	for i, t := range step.Tasks {
		s := d.leader.sessions[t.Server]
		if t.Phase != flows.Placed || s == nil {
			missing++
			continue
		}
		if r := s.runs[flow.TaskID{StepID: step.StepID, Index: uint32(i)}]; r == nil || r.stopping || r.progressPercent < 100 || s.unresponsive {
			missing++
		}
	}
	return missing
}
