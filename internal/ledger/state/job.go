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
	// RequestHash is the hash of the request. It distinguishes a resend from a
	// different request with the same id.
	RequestHash uint64
	AcceptedAt  time.Duration
	Outcome     v1.Outcome
	Code        code.Code
	// GiveUpCode is the reason why the job was given up, or code.OK if it was not.
	GiveUpCode code.Code
	Cancelled  bool
	// EndedAt is the time at which the outcome became final.
	EndedAt time.Duration

	// The counts below are derived from the phases of the tasks.
	WaitingTasks uint32
	HeldTasks    uint32
	FinalTasks   uint32

	recordHash uint64
}

// Final reports whether the outcome is final.
func (j *Job) Final() bool { return j.Outcome >= v1.Outcome_OUTCOME_DONE }

// RequestID returns the identifiers that the caller uses for the job.
func (j *Job) RequestID() RequestID { return RequestID{Team: j.Spec.Team, ID: j.Spec.ID} }

// Task is one task of a job. It is immutable.
type Task struct {
	ID    task.ID
	Phase Phase
	// Attempt is the number of the latest attempt. It is 0 before the first attempt.
	Attempt     uint32
	Server      string
	Incarnation uint64
	// PhaseSince is the time at which the task entered its phase.
	PhaseSince time.Duration
	ExitCode   int32
	// Started is true if the program ran in some attempt.
	Started bool
	// SaveCheckpoint is true if a stopping task has to leave a checkpoint and run
	// again.
	SaveCheckpoint bool
	Answer         []byte
	Checkpoint     []byte

	recordHash uint64
}

// CurrentAttempt returns the id of the latest attempt.
func (t *Task) CurrentAttempt() task.Attempt { return task.Attempt{ID: t.ID, Number: t.Attempt} }

func (s *State) acceptJob(a *record.Accept) Result {
	if j, ok := s.findJobBySpec(a.GetTeam(), a.GetSpec()); ok {
		return s.answerResend(j, a.GetSpec())
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
		s.putTask(&Task{ID: id, Phase: Queued, PhaseSince: s.now})
		s.observer().WaitingAdded(s.jobs[j.Number], s.tasks[id])
	}
	return Result{Job: s.jobs[j.Number]}
}

// refuseJob records the job id as not run. Without the record, a copy of the request
// that was delayed in a connection could still be accepted after the caller received
// "not run".
func (s *State) refuseJob(r *record.Refuse) Result {
	if j, ok := s.findJobBySpec(r.GetTeam(), r.GetSpec()); ok {
		return s.answerResend(j, r.GetSpec())
	}
	j := s.newJob(r.GetTeam(), r.GetSpec())
	j.Outcome = v1.Outcome_OUTCOME_NOT_RUN
	j.Code = code.Code(r.GetCode())
	j.EndedAt = s.now
	s.putJob(j)
	return Result{Job: s.jobs[j.Number]}
}

func (s *State) findJobBySpec(team string, spec *v1.Spec) (*Job, bool) {
	return s.FindJob(RequestID{Team: team, ID: spec.GetId()})
}

// answerResend answers a resent request with the recorded job. A different request with
// the same id is a mistake of the caller and is refused, so that it does not receive
// the outcome of another request.
func (s *State) answerResend(j *Job, spec *v1.Spec) Result {
	if j.RequestHash != hashSpec(j.Spec.Team, spec) {
		return refused(code.IDReused, j.Spec.ID)
	}
	return Result{Job: j}
}

func (s *State) newJob(team string, spec *v1.Spec) *Job {
	j := &Job{Number: s.nextJobNumber, Spec: command.SpecFromMessage(team, spec), RequestHash: hashSpec(team, spec), AcceptedAt: s.now}
	s.nextJobNumber++
	return j
}

func (s *State) cancelJobs(c *record.Cancel) Result {
	for _, number := range c.GetJobs() {
		j, ok := s.jobs[number]
		if !ok || j.Final() || j.Cancelled {
			continue
		}
		next := *j
		next.Cancelled = true
		s.putJob(&next)
		s.giveUpJob(number)
	}
	return Result{}
}

// dropJob gives a job up for a reason of the scheduling policy. A passed deadline no
// longer counts once a task of the job was placed, because the outcome "not run" could
// then be false.
func (s *State) dropJob(d *record.Drop) Result {
	j, ok := s.jobs[d.GetJob()]
	if !ok || j.Final() || j.GiveUpCode != code.OK {
		return refused(code.NotFound, "")
	}
	reason := code.Code(d.GetCode())
	if reason == code.DeadlinePassed && !s.neverPlaced(j) {
		return refused(code.InUse, "a task of the job was already placed")
	}
	next := *j
	next.GiveUpCode = reason
	s.putJob(&next)
	s.giveUpJob(d.GetJob())
	return Result{}
}

func (s *State) neverPlaced(j *Job) bool {
	for i := range j.Spec.Count {
		if s.tasks[task.ID{Job: j.Number, Index: i}].Attempt > 0 {
			return false
		}
	}
	return true
}

// giveUpJob ends the queued tasks of a job and stops those that hold capacity.
func (s *State) giveUpJob(number uint64) {
	j := s.jobs[number]
	for i := range j.Spec.Count {
		t := s.tasks[task.ID{Job: number, Index: i}]
		switch t.Phase {
		case Queued:
			s.observer().WaitingRemoved(t.ID)
			s.giveUpTask(t)
		case WaitingForGang:
			s.giveUpTask(t)
		case Placed:
			s.stopTask(t, false)
		}
	}
	s.updateOutcome(number)
}

// giveUpTask ends a task that holds no capacity, because its job was given up.
func (s *State) giveUpTask(t *Task) {
	next := *t
	s.moveTask(&next, giveUpEvent(t.Started))
}

// giveUpEvent returns the state chart event for a task whose job was given up.
func giveUpEvent(started bool) chart.Event {
	if started {
		return chart.GiveUpStarted
	}
	return chart.GiveUpUnstarted
}

// updateOutcome updates the outcome of a job. The outcome becomes final once all tasks
// are final.
func (s *State) updateOutcome(number uint64) {
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
	next.Outcome, next.Code = s.finalOutcome(j)
	next.EndedAt = s.now
	s.putJob(&next)
	s.observer().JobEnded(s.jobs[number])
}

// finalOutcome derives the outcome of a job from the final phases of its tasks.
func (s *State) finalOutcome(j *Job) (v1.Outcome, code.Code) {
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

// forgetRecords removes the given ended jobs, results of changes, and gone servers that
// hold no task.
func (s *State) forgetRecords(f *record.Forget) Result {
	for _, number := range f.GetJobs() {
		if j, ok := s.jobs[number]; ok && j.Final() {
			s.removeJob(j)
		}
	}
	for _, id := range f.GetChanges() {
		s.removeChangeResult(id)
	}
	for _, id := range f.GetServers() {
		if b, ok := s.servers[id]; ok && len(s.placedTasks[id]) == 0 && b.Server.State == gone {
			s.removeServer(id)
		}
	}
	s.trimRetention()
	return Result{}
}
