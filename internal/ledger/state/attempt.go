package state

import (
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/ledger/chart"
)

// placeTasks starts attempts, all or none. It checks again what the planner checked,
// in the one place where every placement passes: capacity, the team's limit,
// the server's state and session, and that gangs are whole.
func (s *State) placeTasks(p *record.Place) Result {
	j, ok := s.jobs[p.GetJob()]
	if !ok || j.Final() || j.Cancelled || j.GiveUpCode != code.OK {
		return refused(code.Unknown, "job")
	}
	if j.Spec.Whole() && uint32(len(p.GetSpots())) != j.Spec.Count {
		return refused(code.Internal, "part of a gang")
	}
	if r := s.checkPlacement(j, p.GetSpots()); r.Code != code.OK {
		return r
	}
	for _, spot := range p.GetSpots() {
		t := *s.tasks[task.ID{Job: j.Number, Index: spot.GetIndex()}]
		t.Attempt++
		t.Server = spot.GetServer()
		t.Incarnation = spot.GetIncarnation()
		s.moveTask(&t, chart.Place)
		s.observer().TaskPlaced(s.jobs[j.Number], &t)
	}
	s.updateOutcome(j.Number)
	return Result{}
}

// checkPlacement tells whether all spots fit at once.
func (s *State) checkPlacement(j *Job, spots []*record.Spot) Result {
	addedByServer := map[string]capacity.Size{}
	seen := map[uint32]bool{}
	for _, spot := range spots {
		t, ok := s.tasks[task.ID{Job: j.Number, Index: spot.GetIndex()}]
		if !ok || t.Phase != Queued || seen[t.ID.Index] {
			return refused(code.Internal, "task does not wait")
		}
		seen[t.ID.Index] = true
		b, ok := s.Server(spot.GetServer())
		if !ok || b.Incarnation != spot.GetIncarnation() || !b.AcceptsWork() {
			return refused(code.Stale, spot.GetServer())
		}
		addedByServer[b.ID] = addedByServer[b.ID].Add(j.Spec.Size)
		if !b.HeldCapacity.Add(addedByServer[b.ID]).Fits(b.Capacity) {
			return refused(code.NeverFits, b.ID)
		}
	}
	row, ok := s.table.Row(j.Spec.Team)
	teamTotal := s.TeamHeldCapacity(j.Spec.Team).Add(j.Spec.Size.Times(int64(len(spots))))
	if !ok || !teamTotal.Within(row.Limit) {
		return refused(code.NeverFits, "limit of the team")
	}
	return Result{}
}

// AcceptsWork tells whether the server may be given new work. Quarantined servers
// take the policy's probes.
func (b Server) AcceptsWork() bool {
	if b.IsDrained() {
		return false
	}
	return b.Server.State == backend.Ready || b.Server.State == backend.Quarantined
}

// recordEnd takes an attempt's end as its server reported it.
func (s *State) recordEnd(e *record.End) Result {
	t, ok := s.tasks[task.ID{Job: e.GetJob(), Index: e.GetIndex()}]
	if !ok || t.Attempt != e.GetAttempt() || !t.Phase.HoldsCapacity() {
		return refused(code.Unknown, "attempt")
	}
	j := s.jobs[t.ID.Job]
	next := *t
	next.Started = t.Started || e.GetStarted()
	if len(e.GetCheckpoint()) > 0 {
		next.Checkpoint = e.GetCheckpoint()
	}
	end := AttemptEnd{Started: e.GetStarted(), Failed: e.GetEnded() && e.GetExit() != 0}
	if e.GetEnded() {
		next.ExitCode, next.Answer = e.GetExit(), e.GetAnswer()
	}
	s.releaseTask(j, &next, end, e.GetEnded() && s.isTaskDone(j, &next))
	return Result{}
}

// isTaskDone tells whether a task that ended by itself is done for good: it
// succeeded, it may not be repeated, or nobody wants it any more.
func (s *State) isTaskDone(j *Job, t *Task) bool {
	if j.Spec.Kind == job.Service {
		return j.Spec.Once || j.Cancelled
	}
	return t.ExitCode == 0 || j.Spec.Once || j.Cancelled || j.GiveUpCode != code.OK
}

// AttemptEnd says how an attempt ended.
type AttemptEnd struct {
	// Started is false when the program was never started.
	Started bool
	// Failed tells that it ended by itself with an error.
	Failed bool
	// Lost tells that its server went away under it.
	Lost bool
}

// releaseTask gives an attempt's capacity back and decides what becomes of its task.
func (s *State) releaseTask(j *Job, t *Task, end AttemptEnd, done bool) {
	id := t.ID
	t.SaveCheckpoint = false
	s.moveTask(t, s.nextEvent(j, t, end, done))
	s.observer().TaskReleased(j, s.tasks[id], end)
	if t.Phase == Queued {
		s.observer().TaskQueued(s.jobs[id.Job], s.tasks[id])
	}
	if j.Spec.Whole() && (t.Phase == WaitingForGang || s.hasTaskWaitingForGang(j)) {
		s.restartGang(id.Job)
	}
	s.updateOutcome(id.Job)
}

// nextEvent returns the event that an attempt's end is for its task.
func (s *State) nextEvent(j *Job, t *Task, end AttemptEnd, done bool) chart.Event {
	jobGivenUp := j.Cancelled || j.GiveUpCode != code.OK
	switch {
	case done:
		return chart.Finish
	case end.Lost && j.Spec.Once:
		// The order may have left and the program may have run: a second
		// attempt could repeat it, and "not run" might be false.
		return chart.EndUnknown
	case j.Spec.Once && t.Started && !j.Cancelled:
		// Stopped in the middle by its server: it must not start again, and
		// what it did so far is not known here.
		return chart.EndUnknown
	case jobGivenUp:
		t.Started = t.Started || end.Lost
		return giveUpEvent(t.Started)
	case j.Spec.Whole():
		return chart.WaitForGang
	}
	return chart.Requeue
}

// hasTaskWaitingForGang tells whether a task of the gang waits for the others to stop. The
// last of them may end by itself meanwhile; without this look the gang would
// then rest for ever.
func (s *State) hasTaskWaitingForGang(j *Job) bool {
	for i := range j.Spec.Count {
		if s.tasks[task.ID{Job: j.Number, Index: i}].Phase == WaitingForGang {
			return true
		}
	}
	return false
}

// restartGang keeps a gang whole after one of its attempts ended early: the others
// are halted, and once none holds capacity all of them wait again together.
func (s *State) restartGang(number uint64) {
	j := s.jobs[number]
	for i := range j.Spec.Count {
		if t := s.tasks[task.ID{Job: number, Index: i}]; t.Phase == Placed {
			s.stopTask(t, true)
		}
	}
	j = s.jobs[number]
	if j.HeldTasks > 0 || j.Cancelled || j.GiveUpCode != code.OK {
		return
	}
	if j.Spec.Once {
		s.endUnrepeatableGang(j)
		return
	}
	for i := range j.Spec.Count {
		t := *s.tasks[task.ID{Job: number, Index: i}]
		if t.Phase.Final() && t.Phase != Done {
			continue
		}
		t.ExitCode, t.Answer = 0, nil
		s.moveTask(&t, chart.Retry)
	}
	for i := range j.Spec.Count {
		s.observer().TaskQueued(s.jobs[number], s.tasks[task.ID{Job: number, Index: i}])
	}
}

// endUnrepeatableGang ends a gang that may not be repeated and lost a task: those that never
// started could only run without the others. If none started, the gang waits again.
func (s *State) endUnrepeatableGang(j *Job) {
	noneStarted := true
	for i := range j.Spec.Count {
		t := s.tasks[task.ID{Job: j.Number, Index: i}]
		noneStarted = noneStarted && t.Phase == WaitingForGang && !t.Started
	}
	for i := range j.Spec.Count {
		t := *s.tasks[task.ID{Job: j.Number, Index: i}]
		if t.Phase != WaitingForGang {
			continue
		}
		if !noneStarted {
			s.moveTask(&t, giveUpEvent(t.Started))
			continue
		}
		s.moveTask(&t, chart.Retry)
		s.observer().TaskQueued(s.jobs[j.Number], s.tasks[t.ID])
	}
}

// haltTasks marks attempts to be stopped. A gang is halted whole.
func (s *State) haltTasks(h *record.Halt) Result {
	j, ok := s.jobs[h.GetJob()]
	if !ok {
		return refused(code.Unknown, "job")
	}
	if j.Spec.Once && !j.Cancelled && !h.GetIdle() {
		return refused(code.InUse, "may not be repeated")
	}
	indexes := h.GetIndexes()
	if j.Spec.Whole() {
		indexes = nil
		for i := range j.Spec.Count {
			indexes = append(indexes, i)
		}
	}
	for _, i := range indexes {
		if t, ok := s.tasks[task.ID{Job: j.Number, Index: i}]; ok && t.Phase == Placed {
			s.stopTask(t, h.GetCheckpoint())
		}
	}
	return Result{}
}

func (s *State) stopTask(t *Task, saveCheckpoint bool) {
	next := *t
	next.SaveCheckpoint = saveCheckpoint
	s.moveTask(&next, chart.Stop)
	s.observer().TaskStopping(s.jobs[t.ID.Job], &next)
}
