package state

import (
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/ledger/chart"
	"gypsumreel/internal/ledger/command"
)

// Job is one accepted or refused job. It is immutable.
type Job struct {
	Number uint64
	Spec   *job.Spec
	// RequestHash is the hash of the request, to tell a resend from other content.
	RequestHash uint64
	AcceptedAt  time.Duration
	Outcome     v1.Outcome
	Code        code.Code
	// GiveUpCode is the reason for which the job was given up; code.OK when it was not.
	GiveUpCode code.Code
	Cancelled  bool
	// EndedAt is when the outcome became final.
	EndedAt time.Duration

	// Tasks by phase, derived from the tasks.
	WaitingTasks uint32
	HeldTasks    uint32
	FinalTasks   uint32

	hash uint64
}

// Final tells whether the outcome never changes again.
func (j *Job) Final() bool { return j.Outcome >= v1.Outcome_OUTCOME_DONE }

// RequestID returns the job's name as its caller knows it.
func (j *Job) RequestID() RequestID { return RequestID{Team: j.Spec.Team, ID: j.Spec.ID} }

// Task is one task of a job. It is immutable.
type Task struct {
	ID    task.ID
	Phase Phase
	// Attempt is the number of the latest attempt, 0 before the first.
	Attempt     uint32
	Server      string
	Incarnation uint64
	// PhaseSince is when the phase was entered.
	PhaseSince time.Duration
	ExitCode   int32
	// Started tells that the program ran in some attempt.
	Started bool
	// SaveCheckpoint tells that a stopping task is to leave a checkpoint and run again.
	SaveCheckpoint bool
	Answer         []byte
	Checkpoint     []byte

	hash uint64
}

// CurrentAttempt returns the name of the latest attempt.
func (t *Task) CurrentAttempt() task.Attempt { return task.Attempt{ID: t.ID, Number: t.Attempt} }

func (s *State) accept(a *record.Accept) Result {
	if j, ok := s.known(a.GetTeam(), a.GetSpec()); ok {
		return s.again(j, a.GetSpec())
	}
	k, ok := s.keys[a.GetKey()]
	if !ok || k.Withdrawn || k.Team != a.GetTeam() {
		return refused(code.InvalidKey, "")
	}
	j := s.newJob(a.GetTeam(), a.GetSpec())
	j.Outcome = v1.Outcome_OUTCOME_QUEUED
	s.putJob(j)
	for i := range j.Spec.Count {
		id := task.ID{Job: j.Number, Index: i}
		s.putTask(&Task{ID: id, Phase: Queued, PhaseSince: s.at})
		s.watch().TaskQueued(s.jobs[j.Number], s.tasks[id])
	}
	return Result{Job: s.jobs[j.Number]}
}

// refuse keeps the id as not run for good. Without the record a copy of the
// request that was delayed in a connection could be accepted after its caller
// was told "not run".
func (s *State) refuse(r *record.Refuse) Result {
	if j, ok := s.known(r.GetTeam(), r.GetSpec()); ok {
		return s.again(j, r.GetSpec())
	}
	j := s.newJob(r.GetTeam(), r.GetSpec())
	j.Outcome = v1.Outcome_OUTCOME_NOT_RUN
	j.Code = code.Code(r.GetCode())
	j.EndedAt = s.at
	s.putJob(j)
	return Result{Job: s.jobs[j.Number]}
}

func (s *State) known(team string, spec *v1.Spec) (*Job, bool) {
	return s.FindJob(RequestID{Team: team, ID: spec.GetId()})
}

// again answers a resend with the first outcome. The same id with other content
// is a caller's mistake that must not be answered with a stranger's outcome.
func (s *State) again(j *Job, spec *v1.Spec) Result {
	if j.RequestHash != sumSpec(j.Spec.Team, spec) {
		return refused(code.IDReused, j.Spec.ID)
	}
	return Result{Job: j}
}

func (s *State) newJob(team string, spec *v1.Spec) *Job {
	j := &Job{Number: s.next, Spec: command.SpecFromMessage(team, spec), RequestHash: sumSpec(team, spec), AcceptedAt: s.at}
	s.next++
	return j
}

func (s *State) cancel(c *record.Cancel) Result {
	for _, number := range c.GetJobs() {
		j, ok := s.jobs[number]
		if !ok || j.Final() || j.Cancelled {
			continue
		}
		next := *j
		next.Cancelled = true
		s.putJob(&next)
		s.giveUp(number)
	}
	return Result{}
}

// drop ends a job for a reason of the policy. A deadline is no reason once a
// task of the job was placed: "not run" would not be true.
func (s *State) drop(d *record.Drop) Result {
	j, ok := s.jobs[d.GetJob()]
	if !ok || j.Final() || j.GiveUpCode != code.OK {
		return refused(code.NotFound, "")
	}
	given := code.Code(d.GetCode())
	if given == code.DeadlinePassed && !s.untouched(j) {
		return refused(code.InUse, "a task was placed")
	}
	next := *j
	next.GiveUpCode = given
	s.putJob(&next)
	s.giveUp(d.GetJob())
	return Result{}
}

func (s *State) untouched(j *Job) bool {
	for i := range j.Spec.Count {
		if s.tasks[task.ID{Job: j.Number, Index: i}].Attempt > 0 {
			return false
		}
	}
	return true
}

// giveUp ends the waiting tasks of a job and halts those that hold capacity.
func (s *State) giveUp(number uint64) {
	j := s.jobs[number]
	for i := range j.Spec.Count {
		t := s.tasks[task.ID{Job: number, Index: i}]
		switch t.Phase {
		case Queued:
			s.watch().TaskUnqueued(t.ID)
			s.finish(t)
		case WaitingForGang:
			s.finish(t)
		case Placed:
			s.stopping(t, false)
		}
	}
	s.conclude(number)
}

// finish ends a task that will not be placed (again) because its job was given up.
func (s *State) finish(t *Task) {
	next := *t
	s.move(&next, givenUp(t.Started))
}

// givenUp returns the event for a task whose job was given up.
func givenUp(started bool) chart.Event {
	if started {
		return chart.GiveUpStarted
	}
	return chart.GiveUpUnstarted
}

// conclude gives a job its outcome once all of its tasks are final.
func (s *State) conclude(number uint64) {
	j := s.jobs[number]
	if j.Final() {
		return
	}
	next := *j
	if j.FinalTasks < j.Spec.Count {
		next.Outcome = v1.Outcome_OUTCOME_QUEUED
		if j.HeldTasks > 0 {
			next.Outcome = v1.Outcome_OUTCOME_RUNNING
		}
		if next.Outcome != j.Outcome {
			s.putJob(&next)
		}
		return
	}
	next.Outcome, next.Code = s.outcome(j)
	next.EndedAt = s.at
	s.putJob(&next)
	s.watch().JobEnded(s.jobs[number])
}

// outcome sums up the final phases of a job's tasks.
func (s *State) outcome(j *Job) (v1.Outcome, code.Code) {
	ran, failed := false, false
	for i := range j.Spec.Count {
		t := s.tasks[task.ID{Job: j.Number, Index: i}]
		if t.Phase == Unknown {
			return v1.Outcome_OUTCOME_UNKNOWN, code.ServerLost
		}
		ran = ran || t.Phase == Done
		failed = failed || t.ExitCode != 0
	}
	switch {
	case !ran && j.Cancelled:
		return v1.Outcome_OUTCOME_NOT_RUN, code.Cancelled
	case !ran:
		return v1.Outcome_OUTCOME_NOT_RUN, j.GiveUpCode
	case j.Cancelled:
		return v1.Outcome_OUTCOME_DONE, code.Stopped
	case j.GiveUpCode != code.OK:
		return v1.Outcome_OUTCOME_DONE, j.GiveUpCode
	case failed:
		return v1.Outcome_OUTCOME_DONE, code.TaskFailed
	}
	return v1.Outcome_OUTCOME_DONE, code.OK
}

// forget drops ended jobs, old answers and servers that are gone and empty.
func (s *State) forget(f *record.Forget) Result {
	for _, number := range f.GetJobs() {
		if j, ok := s.jobs[number]; ok && j.Final() {
			s.removeJob(j)
		}
	}
	for _, id := range f.GetChanges() {
		s.removeAnswer(id)
	}
	for _, id := range f.GetServers() {
		if b, ok := s.servers[id]; ok && len(s.placed[id]) == 0 && b.Server.State == gone {
			s.removeServer(id)
		}
	}
	s.trim()
	return Result{}
}
