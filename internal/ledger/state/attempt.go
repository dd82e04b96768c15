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

// placeTasks starts either all of the given attempts or none. It repeats the planner's
// checks, because every placement passes through here: capacity, the team's limit, the
// server's state and session, and that gangs are placed as a whole.
func (s *State) placeTasks(p *record.Place) Result {
	j, ok := s.jobs[p.GetJob()]
	if !ok || j.Final() || j.Cancelled || j.GiveUpCode != code.OK {
		return refused(code.NotFound, "job is unknown, final or given up")
	}
	if j.Spec.AllOrNothing() && uint32(len(p.GetSpots())) != j.Spec.Count {
		return refused(code.Internal, "gang is not placed as a whole")
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

// checkPlacement returns a refusal unless all attempts fit at the same time.
func (s *State) checkPlacement(j *Job, spots []*record.Spot) Result {
	addedByServer := map[string]capacity.Size{}
	seen := map[uint32]bool{}
	for _, spot := range spots {
		t, ok := s.tasks[task.ID{Job: j.Number, Index: spot.GetIndex()}]
		if !ok || t.Phase != Queued || seen[t.ID.Index] {
			return refused(code.Internal, "task is not queued, or is placed twice")
		}
		seen[t.ID.Index] = true
		b, ok := s.Server(spot.GetServer())
		if !ok || b.Incarnation != spot.GetIncarnation() || !b.AcceptsWork() {
			return refused(code.SessionReplaced, spot.GetServer())
		}
		addedByServer[b.ID] = addedByServer[b.ID].Add(j.Spec.Size)
		if !b.HeldCapacity.Add(addedByServer[b.ID]).Fits(b.Capacity) {
			return refused(code.Unplaceable, b.ID)
		}
	}
	row, ok := s.table.Row(j.Spec.Team)
	teamTotal := s.TeamHeldCapacity(j.Spec.Team).Add(j.Spec.Size.Times(int64(len(spots))))
	if !ok || !teamTotal.Within(row.Limit) {
		return refused(code.Unplaceable, "limit of the team exceeded")
	}
	return Result{}
}

// AcceptsWork reports whether the server may be given new work. Quarantined servers
// still accept the probes that the policy sends.
func (b Server) AcceptsWork() bool {
	if b.IsDrained() {
		return false
	}
	return b.Server.State == backend.Ready || b.Server.State == backend.Quarantined
}

// recordEnd records the end of an attempt as reported by its server.
func (s *State) recordEnd(e *record.End) Result {
	t, ok := s.tasks[task.ID{Job: e.GetJob(), Index: e.GetIndex()}]
	if !ok || t.Attempt != e.GetAttempt() || !t.Phase.HoldsCapacity() {
		return refused(code.NotFound, "attempt is not the latest or holds no capacity")
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

// isTaskDone reports whether a task that ended by itself is done: it succeeded, it may
// not be repeated, or its job was cancelled or given up.
func (s *State) isTaskDone(j *Job, t *Task) bool {
	if j.Spec.Kind == job.Service {
		return j.Spec.AtMostOnce || j.Cancelled
	}
	return t.ExitCode == 0 || j.Spec.AtMostOnce || j.Cancelled || j.GiveUpCode != code.OK
}

// AttemptEnd describes how an attempt ended.
type AttemptEnd struct {
	// Started is false if the program was never started.
	Started bool
	// Failed is true if the program ended by itself with an error.
	Failed bool
	// Lost is true if the attempt's server was fenced while the attempt was placed on
	// it.
	Lost bool
}

// releaseTask frees the capacity of an ended attempt and moves its task to the next
// phase.
func (s *State) releaseTask(j *Job, t *Task, end AttemptEnd, done bool) {
	id := t.ID
	t.SaveCheckpoint = false
	s.moveTask(t, s.nextEvent(j, t, end, done))
	s.observer().AttemptEnded(j, s.tasks[id], end)
	if t.Phase == Queued {
		s.observer().WaitingAdded(s.jobs[id.Job], s.tasks[id])
	}
	if j.Spec.AllOrNothing() && (t.Phase == WaitingForGang || s.hasTaskWaitingForGang(j)) {
		s.restartGang(id.Job)
	}
	s.updateOutcome(id.Job)
}

// nextEvent returns the state chart event that the end of an attempt causes for its
// task.
func (s *State) nextEvent(j *Job, t *Task, end AttemptEnd, done bool) chart.Event {
	jobGivenUp := j.Cancelled || j.GiveUpCode != code.OK
	switch {
	case done:
		return chart.Finish
	case end.Lost && j.Spec.AtMostOnce:
		// The start order may have been sent and the program may have run. A second
		// attempt could repeat it, and the outcome "not run" could be false.
		return chart.EndUnknown
	case j.Spec.AtMostOnce && t.Started && !j.Cancelled:
		// The server stopped the program while it was running. The program must not
		// start again, and the ledger does not know how far it got.
		return chart.EndUnknown
	case jobGivenUp:
		t.Started = t.Started || end.Lost
		return giveUpEvent(t.Started)
	case j.Spec.AllOrNothing():
		return chart.WaitForGang
	}
	return chart.Requeue
}

// hasTaskWaitingForGang reports whether a task of the gang waits for the others to
// stop. The last of the others may end by itself in the meantime. Without this check
// the gang would then wait forever.
func (s *State) hasTaskWaitingForGang(j *Job) bool {
	for i := range j.Spec.Count {
		if s.tasks[task.ID{Job: j.Number, Index: i}].Phase == WaitingForGang {
			return true
		}
	}
	return false
}

// restartGang keeps a gang whole after one of its attempts ended early. It stops the
// other attempts, and once none of them holds capacity it queues all tasks again
// together.
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
	if j.Spec.AtMostOnce {
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
		s.observer().WaitingAdded(s.jobs[number], s.tasks[task.ID{Job: number, Index: i}])
	}
}

// endUnrepeatableGang ends a gang that may not be repeated and has lost a task. The
// tasks that never started end too, because a gang never runs in part. If no task
// started, the gang is queued again.
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
		s.observer().WaitingAdded(s.jobs[j.Number], s.tasks[t.ID])
	}
}

// haltTasks marks attempts to be stopped. A gang is always stopped as a whole.
func (s *State) haltTasks(h *record.Halt) Result {
	j, ok := s.jobs[h.GetJob()]
	if !ok {
		return refused(code.NotFound, "job is unknown")
	}
	if j.Spec.AtMostOnce && !j.Cancelled && !h.GetIdle() {
		return refused(code.InUse, "job may not be repeated")
	}
	indexes := h.GetIndexes()
	if j.Spec.AllOrNothing() {
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
