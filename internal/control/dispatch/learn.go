package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/pace"
	"gypsumreel/internal/policy/watchdog"
)

// serverSpeed is the average ratio of actual to declared runtimes on one server. It is
// compared with the average over all servers. It is known to this leader only; machineSpeeds
// takes its place where speeds decide where work goes.
type serverSpeed struct {
	runtimeRatio float64
	runCount     int
}

// Parameters of the speed estimate.
const (
	// speedWeight is the weight of the latest run. After about ten runs the earlier ones
	// have little influence.
	speedWeight = 0.2
	// minSpeedRuns is the number of runs that a speed estimate requires.
	minSpeedRuns = 3
)

// learnSpeed updates a server's speed from the duration of a run.
func (d *Dispatcher) learnSpeed(s *session, r *run, end inner.RunEnd, now time.Duration) {
	if end != inner.RunEnd_RUN_END_DONE || r.placedAt == 0 {
		return
	}
	step, ok := d.Host.Flows().Step(r.StepID)
	if !ok || step.Spec.GetRuntime() == 0 || r.Number > 1 {
		return
	}
	ratio := (now - r.placedAt).Seconds() * float64(time.Second/time.Millisecond) / float64(step.Spec.GetRuntime())
	speed := d.leader.serverSpeeds[s.id]
	if speed == nil {
		speed = &serverSpeed{runtimeRatio: ratio}
		d.leader.serverSpeeds[s.id] = speed
	}
	s.speed = speed
	speed.runtimeRatio += speedWeight * (ratio - speed.runtimeRatio)
	speed.runCount++
}

// relativeSpeed returns a server's speed relative to the average, or 1 if it is not known.
func (d *Dispatcher) relativeSpeed(s *session) float64 {
	speed := s.speed
	if speed == nil || speed.runCount < minSpeedRuns || speed.runtimeRatio <= 0 || d.leader.runtimeRatio == 0 {
		return 1
	}
	return d.leader.runtimeRatio / speed.runtimeRatio
}

// updateRuntimeRatio updates the average ratio of actual to declared runtimes. It iterates
// over all servers, so it runs only periodically.
func (d *Dispatcher) updateRuntimeRatio() {
	sum, count := 0.0, 0
	for _, speed := range d.leader.serverSpeeds {
		if speed.runCount >= minSpeedRuns {
			sum += speed.runtimeRatio
			count++
		}
	}
	if count > 0 {
		d.leader.runtimeRatio = sum / float64(count)
	}
}

// typicalRuntime returns the expected runtime of a run on a healthy server: the declared
// runtime, corrected by the average ratio of actual to declared runtimes.
func (d *Dispatcher) typicalRuntime(s *flows.Step) time.Duration {
	declared := millis.Duration(s.Spec.GetRuntime())
	return time.Duration(float64(declared) * max(d.leader.runtimeRatio, 1))
}

// judgeRunEnd updates the failure streak of a server from a run's end. A step that failed
// there is tried on other servers: the cause of the failure is unknown, and a server that
// fails every run would use up all attempts of the step. A failure that does not count against the
// server says only that the step fails.
func (d *Dispatcher) judgeRunEnd(s *session, r *run, end inner.RunEnd, isSuspect bool, now time.Duration) {
	switch end {
	case inner.RunEnd_RUN_END_DONE:
		s.failureStreak.RecordSuccess()
	case inner.RunEnd_RUN_END_FAILED:
		d.delayRestart(r, now)
		d.avoidServerForStep(s, r)
		if !isSuspect {
			return
		}
		s.lastFailureAt, s.lastFailureTook = now, d.Host.LedgerTime()-r.allocation.PlacedAt
		if pause := s.failureStreak.RecordFailure(r.Flow); pause > 0 {
			s.avoidUntil = max(s.avoidUntil, now+pause)
			event.Log(d.Log, event.ServerQuarantined, "server", s.id, "flow", r.Flow, "rest", pause.String())
		}
	}
}

// avoidServerForStep makes the planner prefer other servers for the step.
func (d *Dispatcher) avoidServerForStep(s *session, r *run) {
	if d.leader.avoidedServers[r.StepID] == nil {
		d.leader.avoidedServers[r.StepID] = map[string]bool{}
	}
	d.leader.avoidedServers[r.StepID][s.id] = true
}

// inspectRuns stops runs that make no progress or are much too slow, so that they are
// placed on another server. It also evacuates servers that are shutting
// down.
func (d *Dispatcher) inspectRuns(s *session, now time.Duration) {
	if s.unresponsive || !s.listReceived || s.endProof != "" || s.lastAnswerAt == s.inspectedListAt {
		return // no new run list since the last check
	}
	s.inspectedListAt = s.lastAnswerAt
	if b, ok := d.Host.Flows().Server(s.id); ok && b.ShuttingDown {
		d.evacuate(s, b, now)
	}
	for _, r := range s.runs {
		if r.stopping || !r.reportedByServer || r.placedAt == 0 || r.progressReportedAt == 0 || now-r.progressReportedAt > maxLongPoll+callTimeout {
			continue
		}
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || step.Spec.GetLasting() || step.Spec.GetGang() || step.Spec.GetFills() && s.pacePercent < pace.Full {
			continue // the run may be throttled, or may wait for the rest of its gang
		}
		progress := watchdog.Run{Elapsed: r.progressReportedAt - r.placedAt, SinceProgress: r.progressReportedAt - r.progressChangedAt, ProgressPercent: r.progressPercent, TypicalRuntime: d.typicalRuntimeOn(step, r), Checkpoints: step.Spec.GetSaves()}
		if !(r.Number <= maxStuckMoves && watchdog.IsStuck(progress)) && !(r.Number <= maxSlowMoves && watchdog.IsSlow(progress)) {
			continue
		}
		event.Log(d.Log, event.RunMoved, "flow", r.Flow, "run", r.String(), "server", s.id, "percent", r.progressPercent, "still", progress.SinceProgress.String(), "elapsed", progress.Elapsed.String(), "typical", progress.TypicalRuntime.String())
		d.avoidServerForStep(s, r)
		s.avoidUntil = max(s.avoidUntil, now+suspectServerPause)
		d.stopRun(s, r)
	}
}

// Limits of how often a task is moved. Its declared runtime may be far too low, and a task
// that is slow on every server still has to complete.
const (
	maxStuckMoves = 3
	maxSlowMoves  = 1
)

// suspectServerPause is how long a server gets no new tasks after a run on it was stuck or
// slow. Each further such run extends the pause.
const suspectServerPause = 2 * time.Second
