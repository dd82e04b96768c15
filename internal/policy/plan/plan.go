// Package plan defines the interface between the leader and a planner, which decides which
// task runs on which backend server. Planners are pure: they learn of the ledger only
// through the calls of Planner, read no clock, do no I/O, and return the same decisions for
// the same calls. All times are durations on the ledger's clock.
package plan

import (
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
)

// Planner makes scheduling decisions from the state that its methods report. One goroutine
// calls all methods.
type Planner interface {
	// SetTable replaces the table by a new revision.
	SetTable(t table.Table)
	// SetServer adds or updates a backend server.
	SetServer(s backend.Server)
	// AddWaiting adds a task that waits to be placed, which happens no earlier than at its
	// ReadyAt. The caller adds
	// all waiting tasks of a job before the next Decide: the tasks of a new job together, and
	// a task to be retried together with its EndAttempt. A gang is therefore always complete,
	// and a task that is not added again has ended.
	AddWaiting(t WaitingTask)
	// RemoveWaiting removes a task that no longer waits and was not placed.
	RemoveWaiting(id task.ID)
	// SetPlaced records that a task was placed. The task takes capacity until EndAttempt. The
	// caller calls it again when an order to stop the task has been issued. A task that Decide
	// placed waits again if SetPlaced does not confirm it before the next Decide.
	SetPlaced(t PlacedTask)
	// SetUsage records the usage reported for a placed task and the time of the measurement.
	SetUsage(id task.ID, usage capacity.Size, measuredAt time.Duration)
	// EndAttempt records that an attempt has verifiably stopped running.
	EndAttempt(id task.ID, end AttemptEnd)
	// Decide returns at most limit decisions, the most urgent first. The caller applies all of
	// them and reports their effects before it calls Decide again. A placement that SetPlaced
	// has not reported by then was refused.
	Decide(now time.Duration, limit int) []Decision
}

// WaitingTask is a task that waits to be placed.
type WaitingTask struct {
	ID  task.ID
	Job *job.Spec
	// AcceptedAt is the time at which the job was accepted.
	AcceptedAt time.Duration
	// ReadyAt is the earliest time of the next attempt.
	ReadyAt time.Duration
	// Attempts is the number of earlier attempts.
	Attempts uint32
}

// PlacedTask is a task that takes capacity on a backend server.
type PlacedTask struct {
	ID         task.ID
	Job        *job.Spec
	AcceptedAt time.Duration
	Server     string
	// PlacedAt is the time at which the task was placed.
	PlacedAt time.Duration
	// Stopping is true if an order to stop or to checkpoint the task has been issued.
	Stopping bool
}

// AttemptEnd describes the end of an attempt.
type AttemptEnd struct {
	EndedAt time.Duration
	// Started is false if the attempt never started.
	Started bool
	// Failed is true if the task ended by itself with an error.
	Failed bool
	// ServerLost is true if the backend server was lost during the attempt.
	ServerLost bool
}

// Action is the kind of a Decision.
type Action uint8

// The kinds of decisions.
const (
	// Place starts all tasks of Placements, or none.
	Place Action = iota + 1
	// Preempt stops the task with a checkpoint to free its capacity.
	Preempt
	// Throttle limits the task to its declared size.
	Throttle
	// Stop ends an attempt that exceeds its declared size. The task is retried if it may run
	// more than once.
	Stop
	// Drop ends the job as not run, because its deadline passed before any placement.
	Drop
	// Park gives the job up for Reason, because it used up its failure budget.
	Park
	// Quarantine stops placements on Server because of its failures.
	Quarantine
	// Restore allows placements on Server again.
	Restore
)

// Decision is one change for the leader to commit.
type Decision struct {
	Action Action
	// Job is the job that Place, Drop and Park apply to.
	Job uint64
	// Placements holds the placements of Place, ordered by task index.
	Placements []Placement
	// Task is the task that Preempt, Throttle and Stop apply to.
	Task task.ID
	// Server is the ID of the backend server that Quarantine and Restore apply to.
	Server string
	// Reason is a short explanation for operators.
	Reason string
}

// Placement assigns one task of the decision's job to a backend server.
type Placement struct {
	Index  uint32
	Server string
}
