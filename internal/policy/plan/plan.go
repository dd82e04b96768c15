// Package plan decides what runs where. It is pure: it sees the ledger only
// through the notes it is given, keeps no clock, does no I/O, and gives the
// same decisions for the same notes. Times are durations on the ledger's clock.
package plan

import (
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
)

// Planner decides over what it has been told of the ledger. Its methods are
// called by one goroutine.
type Planner interface {
	// SetTable puts a new revision of the table in force.
	SetTable(t table.Table)
	// SetServer tells of a new or changed backend server.
	SetServer(s backend.Server)
	// AddWaiting tells that a task waits to be placed, not before ready. All tasks of a
	// job that wait are told of before the next Decide: those of a new job at once,
	// and one that is to run again together with its Release. A gang is so seen
	// whole, and what is not told of again is over.
	AddWaiting(q WaitingTask)
	// RemoveWaiting tells that a task waits no more and was not placed.
	RemoveWaiting(id task.ID)
	// SetPlaced tells that a task was placed; it counts until Release. It is told again
	// when an order to stop the task is under way. What Decide placed and Hold does
	// not confirm before the next Decide waits again.
	SetPlaced(h PlacedTask)
	// SetUsage tells what a held task was reported to use, and when that was measured.
	SetUsage(id task.ID, used capacity.Size, at time.Duration)
	// EndAttempt tells that an attempt is proved to run no more.
	EndAttempt(id task.ID, how AttemptEnd)
	// Decide returns at most limit decisions, the most pressing first. The caller
	// applies all of them and tells of their effects before it calls again. A
	// placement of which no Hold tells by then was refused.
	Decide(now time.Duration, limit int) []Decision
}

// WaitingTask is a task that waits.
type WaitingTask struct {
	ID  task.ID
	Job *job.Spec
	// AcceptedAt is when the job was accepted.
	AcceptedAt time.Duration
	// ReadyAt is the earliest time of the next attempt.
	ReadyAt time.Duration
	// Attempts is the number of attempts made before.
	Attempts uint32
}

// PlacedTask is a task that takes capacity on a server.
type PlacedTask struct {
	ID         task.ID
	Job        *job.Spec
	AcceptedAt time.Duration
	Server     string
	// PlacedAt is when it was placed.
	PlacedAt time.Duration
	// Stopping tells that an order to stop or to checkpoint is under way.
	Stopping bool
}

// AttemptEnd says how an attempt ended and when.
type AttemptEnd struct {
	EndedAt time.Duration
	// Started is false when the attempt never started.
	Started bool
	// Failed is true when the task ended by itself with an error.
	Failed bool
	// ServerLost is true when the server went away under it.
	ServerLost bool
}

// Action says what a Decision does.
type Action uint8

// The verbs of decisions.
const (
	// Place starts the tasks of Places, all or none.
	Place Action = iota + 1
	// Preempt stops the task with a checkpoint to make room.
	Preempt
	// Throttle holds the task to its declared size.
	Throttle
	// Stop ends an attempt that breaks its declared size; it is retried if it may be.
	Stop
	// Drop refuses the job as not run: its deadline passed before any placement.
	Drop
	// Park gives the job up with Reason: it failed on several healthy servers.
	Park
	// Quarantine takes Server out of use for its failures.
	Quarantine
	// Restore puts Server back into use.
	Restore
)

// Decision is one thing to commit.
type Decision struct {
	Action Action
	// Job is the job meant by Place, Drop and Park.
	Job uint64
	// Placements are the placements of Place, in the order of their indexes.
	Placements []Placement
	// Task is the task meant by Preempt, Throttle and Stop.
	Task task.ID
	// Server is the server meant by Quarantine and Restore.
	Server string
	// Reason is a short text for people.
	Reason string
}

// Placement puts one task of the decision's job on a server.
type Placement struct {
	Index  uint32
	Server string
}
