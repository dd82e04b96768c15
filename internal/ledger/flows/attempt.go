package flows

import (
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
)

// countEnd updates the successes and failures of a server from the end of a run that it held.
// Other ends say nothing about the server. The values follow from commands that every replica
// applies. They are not part of the digest and no transition depends on them, so replicas of an
// earlier build stay in step. isSuspect reports whether a failure counts against the server.
func (b *Server) countEnd(h *HeldRun, runEnd inner.RunEnd, isSuspect bool) {
	switch {
	case runEnd == inner.RunEnd_RUN_END_DONE:
		b.ConsecutiveFailures, b.LastFailedFlow, b.ProvenAt = 0, "", max(b.ProvenAt, h.PlacedAt)
	case runEnd == inner.RunEnd_RUN_END_FAILED && isSuspect:
		if b.ConsecutiveFailures == 0 || b.LastFailedFlow != h.Flow {
			b.ConsecutiveFailures++ // a flow at fault fails with several tasks and counts once
		}
		b.LastFailedFlow = h.Flow
	}
}

// FailureSuspectsServer reports whether a run that fails now counts against its server, or else
// against its own step. It is called before the end is recorded.
func (l *Ledger) FailureSuspectsServer(now time.Duration, h *HeldRun) bool {
	s, ok := l.Step(h.StepID)
	switch {
	case !ok:
		return true
	case s.runsUntilCancelled() && now-h.PlacedAt >= flow.LastingStartTime:
		return false
	}
	const failing = 1 // the run that fails is still among the placed ones
	return !s.isDoubtful(failing) || !s.hasFailedBeside(h.Server)
}

// isDoubtful reports whether the tasks of a step may fail wherever they run: none is done, and more
// have failed than run without a failure so far. The given number of its placed tasks is left out.
func (s *Step) isDoubtful(ignored int) bool {
	if s.Spec.GetGang() {
		return s.FailedRuns > 0 && s.DoneTasks == 0
	}
	return s.FailedTasks > 0 && s.DoneTasks == 0 && s.PlacedTasks-ignored-s.FailedTasks < s.FailedTasks
}

// hasFailedBeside reports whether a task of the step has failed on another server than the given one.
func (s *Step) hasFailedBeside(server string) bool {
	return slices.ContainsFunc(s.Tasks, func(t Task) bool {
		return slices.ContainsFunc(t.FailedServers, func(id string) bool { return id != server })
	})
}

// inheritFailures takes over the failures of an earlier incarnation. A restart does not mend
// the machine. The time of the success is not taken over: the new process has not yet ended a
// run.
func (b *Server) inheritFailures(previous *Server) {
	b.ConsecutiveFailures, b.LastFailedFlow = previous.ConsecutiveFailures, previous.LastFailedFlow
}

// addFailedServer records the server of a failed run of a task of the step. Only the latest
// servers are kept, at most as many as the task has attempts. The slice is replaced, since a
// snapshot may share it.
func (s *Step) addFailedServer(t *Task, id string, attempts uint32) {
	if slices.Contains(t.FailedServers, id) {
		return
	}
	kept := t.FailedServers[max(0, len(t.FailedServers)+1-int(attempts)):]
	if len(t.FailedServers) == 0 {
		s.FailedTasks++
	}
	s.FailedServers += len(kept) + 1 - len(t.FailedServers)
	t.FailedServers = append(slices.Clone(kept), id)
}

// forgetFailedServers forgets the failed runs of a task that has begun its work since.
func (s *Step) forgetFailedServers(t *Task) {
	if len(t.FailedServers) > 0 {
		s.FailedTasks--
	}
	s.FailedServers -= len(t.FailedServers)
	t.FailedServers = nil
}

// MaxAttempts returns the number of failed runs of a task, or of a gang, after which the flow
// fails.
func (l *Ledger) MaxAttempts(f *Flow) uint32 {
	q, ok := l.QueueOf(f)
	if !ok || q.GetAttempts() == 0 {
		return DefaultAttempts
	}
	return q.GetAttempts()
}
