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

// place starts attempts, all or none. It checks again what the planner checked,
// in the one place where every placement passes: capacity, the team's limit,
// the server's state and session, and that gangs are whole.
func (s *State) place(p *record.Place) Result {
	j, ok := s.jobs[p.GetJob()]
	if !ok || j.Final() || j.Cancelled || j.GiveUpCode != code.OK {
		return refused(code.NotFound, "job")
	}
	if j.Spec.Whole() && uint32(len(p.GetSpots())) != j.Spec.Count {
		return refused(code.Internal, "part of a gang")
	}
	if r := s.room(j, p.GetSpots()); r.Code != code.OK {
		return r
	}
	for _, spot := range p.GetSpots() {
		t := *s.tasks[task.ID{Job: j.Number, Index: spot.GetIndex()}]
		t.Attempt++
		t.Server = spot.GetServer()
		t.Incarnation = spot.GetIncarnation()
		s.move(&t, chart.Place)
		s.watch().TaskPlaced(s.jobs[j.Number], &t)
	}
	s.conclude(j.Number)
	return Result{}
}

// room tells whether all spots fit at once.
func (s *State) room(j *Job, spots []*record.Spot) Result {
	more := map[string]capacity.Size{}
	seen := map[uint32]bool{}
	for _, spot := range spots {
		t, ok := s.tasks[task.ID{Job: j.Number, Index: spot.GetIndex()}]
		if !ok || t.Phase != Queued || seen[t.ID.Index] {
			return refused(code.Internal, "task does not wait")
		}
		seen[t.ID.Index] = true
		b, ok := s.Server(spot.GetServer())
		if !ok || b.Incarnation != spot.GetIncarnation() || !b.AcceptsWork() {
			return refused(code.SessionReplaced, spot.GetServer())
		}
		more[b.ID] = more[b.ID].Add(j.Spec.Size)
		if !b.HeldCapacity.Add(more[b.ID]).Fits(b.Capacity) {
			return refused(code.Unplaceable, b.ID)
		}
	}
	row, ok := s.table.Row(j.Spec.Team)
	total := s.TeamHeldCapacity(j.Spec.Team).Add(j.Spec.Size.Times(int64(len(spots))))
	if !ok || !total.Within(row.Limit) {
		return refused(code.Unplaceable, "limit of the team")
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

// end takes an attempt's end as its server reported it.
func (s *State) end(e *record.End) Result {
	t, ok := s.tasks[task.ID{Job: e.GetJob(), Index: e.GetIndex()}]
	if !ok || t.Attempt != e.GetAttempt() || !t.Phase.HoldsCapacity() {
		return refused(code.NotFound, "attempt")
	}
	j := s.jobs[t.ID.Job]
	next := *t
	next.Started = t.Started || e.GetStarted()
	if len(e.GetCheckpoint()) > 0 {
		next.Checkpoint = e.GetCheckpoint()
	}
	how := AttemptEnd{Started: e.GetStarted(), Failed: e.GetEnded() && e.GetExit() != 0}
	if e.GetEnded() {
		next.ExitCode, next.Answer = e.GetExit(), e.GetAnswer()
	}
	s.release(j, &next, how, e.GetEnded() && s.endsFor(j, &next))
	return Result{}
}

// endsFor tells whether a task that ended by itself is done for good: it
// succeeded, it may not be repeated, or nobody wants it any more.
func (s *State) endsFor(j *Job, t *Task) bool {
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

// release gives an attempt's capacity back and decides what becomes of its task.
func (s *State) release(j *Job, t *Task, how AttemptEnd, done bool) {
	id := t.ID
	t.SaveCheckpoint = false
	s.move(t, s.after(j, t, how, done))
	s.watch().TaskReleased(j, s.tasks[id], how)
	if t.Phase == Queued {
		s.watch().TaskQueued(s.jobs[id.Job], s.tasks[id])
	}
	if j.Spec.Whole() && (t.Phase == WaitingForGang || s.resting(j)) {
		s.unite(id.Job)
	}
	s.conclude(id.Job)
}

// after returns the event that an attempt's end is for its task.
func (s *State) after(j *Job, t *Task, how AttemptEnd, done bool) chart.Event {
	gaveUp := j.Cancelled || j.GiveUpCode != code.OK
	switch {
	case done:
		return chart.Finish
	case how.Lost && j.Spec.Once:
		// The order may have left and the program may have run: a second
		// attempt could repeat it, and "not run" might be false.
		return chart.EndUnknown
	case j.Spec.Once && t.Started && !j.Cancelled:
		// Stopped in the middle by its server: it must not start again, and
		// what it did so far is not known here.
		return chart.EndUnknown
	case gaveUp:
		t.Started = t.Started || how.Lost
		return givenUp(t.Started)
	case j.Spec.Whole():
		return chart.WaitForGang
	}
	return chart.Requeue
}

// resting tells whether a task of the gang waits for the others to stop. The
// last of them may end by itself meanwhile; without this look the gang would
// then rest for ever.
func (s *State) resting(j *Job) bool {
	for i := range j.Spec.Count {
		if s.tasks[task.ID{Job: j.Number, Index: i}].Phase == WaitingForGang {
			return true
		}
	}
	return false
}

// unite keeps a gang whole after one of its attempts ended early: the others
// are halted, and once none holds capacity all of them wait again together.
func (s *State) unite(number uint64) {
	j := s.jobs[number]
	for i := range j.Spec.Count {
		if t := s.tasks[task.ID{Job: number, Index: i}]; t.Phase == Placed {
			s.stopping(t, true)
		}
	}
	j = s.jobs[number]
	if j.HeldTasks > 0 || j.Cancelled || j.GiveUpCode != code.OK {
		return
	}
	if j.Spec.Once {
		s.settle(j)
		return
	}
	for i := range j.Spec.Count {
		t := *s.tasks[task.ID{Job: number, Index: i}]
		if t.Phase.Final() && t.Phase != Done {
			continue
		}
		t.ExitCode, t.Answer = 0, nil
		s.move(&t, chart.Retry)
	}
	for i := range j.Spec.Count {
		s.watch().TaskQueued(s.jobs[number], s.tasks[task.ID{Job: number, Index: i}])
	}
}

// settle ends a gang that may not be repeated and lost a task: those that never
// started could only run without the others. If none started, the gang waits again.
func (s *State) settle(j *Job) {
	fresh := true
	for i := range j.Spec.Count {
		t := s.tasks[task.ID{Job: j.Number, Index: i}]
		fresh = fresh && t.Phase == WaitingForGang && !t.Started
	}
	for i := range j.Spec.Count {
		t := *s.tasks[task.ID{Job: j.Number, Index: i}]
		if t.Phase != WaitingForGang {
			continue
		}
		if !fresh {
			s.move(&t, givenUp(t.Started))
			continue
		}
		s.move(&t, chart.Retry)
		s.watch().TaskQueued(s.jobs[j.Number], s.tasks[t.ID])
	}
}

// halt marks attempts to be stopped. A gang is halted whole.
func (s *State) halt(h *record.Halt) Result {
	j, ok := s.jobs[h.GetJob()]
	if !ok {
		return refused(code.NotFound, "job")
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
			s.stopping(t, h.GetCheckpoint())
		}
	}
	return Result{}
}

func (s *State) stopping(t *Task, save bool) {
	next := *t
	next.SaveCheckpoint = save
	s.move(&next, chart.Stop)
	s.watch().TaskStopping(s.jobs[t.ID.Job], &next)
}
