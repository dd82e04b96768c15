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
	// Queue tells that a task waits to be placed, not before ready. All tasks of a
	// job that wait are told of before the next Decide: those of a new job at once,
	// and one that is to run again together with its Release. A gang is so seen
	// whole, and what is not told of again is over.
	Queue(q Queued)
	// Unqueue tells that a task waits no more and was not placed.
	Unqueue(id task.ID)
	// Hold tells that a task was placed; it counts until Release. It is told again
	// when an order to stop the task is under way. What Decide placed and Hold does
	// not confirm before the next Decide waits again.
	Hold(h Held)
	// Use tells what a held task was reported to use, and when that was measured.
	Use(id task.ID, used capacity.Size, at time.Duration)
	// Release tells that an attempt is proved to run no more.
	Release(id task.ID, how End)
	// Decide returns at most limit decisions, the most pressing first. The caller
	// applies all of them and tells of their effects before it calls again. A
	// placement of which no Hold tells by then was refused.
	Decide(now time.Duration, limit int) []Decision
}

// Queued is a task that waits.
type Queued struct {
	ID  task.ID
	Job *job.Spec
	// Accepted is when the job was accepted.
	Accepted time.Duration
	// Ready is the earliest time of the next attempt.
	Ready time.Duration
	// Attempts is the number of attempts made before.
	Attempts uint32
}

// Held is a task that takes capacity on a server.
type Held struct {
	ID       task.ID
	Job      *job.Spec
	Accepted time.Duration
	Server   string
	// Since is when it was placed.
	Since time.Duration
	// Stopping tells that an order to stop or to checkpoint is under way.
	Stopping bool
}

// End says how an attempt ended and when.
type End struct {
	At time.Duration
	// Ran is false when the attempt never started.
	Ran bool
	// Failed is true when the task ended by itself with an error.
	Failed bool
	// Lost is true when the server went away under it.
	Lost bool
}

// Verb says what a Decision does.
type Verb uint8

// The verbs of decisions.
const (
	// Place starts the tasks of Places, all or none.
	Place Verb = iota + 1
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
	Verb Verb
	// Job is the job meant by Place, Drop and Park.
	Job uint64
	// Places are the placements of Place, in the order of their indexes.
	Places []Placement
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
