package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/pace"
	"gypsumreel/internal/policy/watchdog"
)

// serverSpeed is how fast a server works: how long runs took there beside what was
// declared, compared with the same of all servers of its pool.
type serverSpeed struct {
	runtimeRatio float64
	runCount     int
}

// Bounds of what is learned of a server's speed.
const (
	// speedWeight is the weight of the latest run: after about ten runs what was
	// before has little weight left.
	speedWeight = 0.2
	// minSpeedRuns is the least number of runs that tell anything.
	minSpeedRuns = 3
)

// learnSpeed takes the time that a run took.
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

// relativeSpeed returns how fast a server works beside the others; 1 when nothing is known.
func (d *Dispatcher) relativeSpeed(s *session) float64 {
	speed := s.speed
	if speed == nil || speed.runCount < minSpeedRuns || speed.runtimeRatio <= 0 || d.leader.runtimeRatio == 0 {
		return 1
	}
	return d.leader.runtimeRatio / speed.runtimeRatio
}

// updateRuntimeRatio works out how far declared times are off on the whole. It goes over all
// servers, so it is done now and then.
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

// typicalRuntime returns how long a run of the step takes on a sound server: what was
// declared, corrected by how far declared times are off on the whole.
func (d *Dispatcher) typicalRuntime(s *flows.Step) time.Duration {
	declared := time.Duration(s.Spec.GetRuntime()) * time.Millisecond
	return time.Duration(float64(declared) * max(d.leader.runtimeRatio, 1))
}

// judgeRunEnd notes how a run ended for the judgement of its server. The step that
// failed there is tried elsewhere: whose fault it was is not known, and a
// server that fails everything would use up all its attempts.
func (d *Dispatcher) judgeRunEnd(s *session, r *run, end inner.RunEnd, now time.Duration) {
	switch end {
	case inner.RunEnd_RUN_END_DONE:
		s.failureStreak.Done()
	case inner.RunEnd_RUN_END_FAILED:
		d.avoidServerForStep(s, r)
		if pause := s.failureStreak.Failed(r.Flow); pause > 0 {
			s.avoidUntil = max(s.avoidUntil, now+pause)
			event.Log(d.Log, event.ServerQuarantined, "server", s.id, "flow", r.Flow, "rest", pause.String())
		}
	}
}

// avoidServerForStep notes that a step is better tried elsewhere.
func (d *Dispatcher) avoidServerForStep(s *session, r *run) {
	if d.leader.avoidedServers[r.StepID] == nil {
		d.leader.avoidedServers[r.StepID] = map[string]bool{}
	}
	d.leader.avoidedServers[r.StepID][s.id] = true
}

// moveStuckRuns looks for runs that stand still or crawl, and moves them to another
// server: they are stopped, and placed again where they last failed not.
func (d *Dispatcher) moveStuckRuns(s *session, now time.Duration) {
	if s.unresponsive || !s.listReceived || s.closeReason != "" || s.lastAnswerAt == s.inspectedListAt {
		return // nothing new was listed since the last look
	}
	s.inspectedListAt = s.lastAnswerAt
	if b, ok := d.Host.Flows().Server(s.id); ok && b.Leaving {
		d.evacuate(s, b, now)
	}
	for _, r := range s.runs {
		if r.stopping || !r.reportedByServer || r.placedAt == 0 || r.progressReportedAt == 0 || now-r.progressReportedAt > maxLongPoll+callTimeout {
			continue
		}
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || step.Spec.GetLasting() || step.Spec.GetGang() || step.Spec.GetFills() && s.pacePercent < pace.Full {
			continue // it may stand still by order, or until others are there
		}
		progress := watchdog.Run{Elapsed: r.progressReportedAt - r.placedAt, Still: r.progressReportedAt - r.progressChangedAt, Percent: r.progressPercent, Typical: d.typicalRuntime(step), Saves: step.Spec.GetSaves()}
		if !(r.Number <= maxStuckMoves && watchdog.Stuck(progress)) && !(r.Number <= maxSlowMoves && watchdog.Drags(progress)) {
			continue
		}
		event.Log(d.Log, event.RunMoved, "flow", r.Flow, "run", r.String(), "server", s.id, "percent", r.progressPercent, "still", progress.Still.String(), "elapsed", progress.Elapsed.String(), "typical", progress.Typical.String())
		d.avoidServerForStep(s, r)
		s.avoidUntil = max(s.avoidUntil, now+suspectServerPause)
		d.stopRun(s, r)
	}
}

// A task is moved so often at most: what was declared may be far off, and a task
// that is slow everywhere must come to its end somewhere.
const (
	maxStuckMoves = 3
	maxSlowMoves  = 1
)

// suspectServerPause is how long a server gets nothing new on which a run stood still or
// crawled; it is renewed while more of them do.
const suspectServerPause = 2 * time.Second
