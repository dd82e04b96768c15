// Package job defines the specification of a job as a caller submits it.
package job

import (
	"time"

	"gypsumreel/internal/domain/capacity"
)

// Kind determines which scheduling policy applies to a job.
type Kind uint8

// The kinds of job.
const (
	Urgent Kind = iota + 1
	Batch
	Gang
	Service
)

var kindNames = [...]string{"none", "urgent", "batch", "gang", "service"}

// String returns the kind's name in lower case, or "none" for an unknown kind.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return kindNames[0]
	}
	return kindNames[k]
}

// Spec is one job as submitted. It must not be changed after it is created.
type Spec struct {
	// ID is the caller's request id, unique within the team.
	ID   string
	Team string
	Kind Kind
	// Name identifies the program, so that jobs of the same program can be grouped.
	Name string
	// Count is the number of tasks.
	Count uint32
	// Size is the declared resource demand of each task.
	Size capacity.Size
	// EstimatedRuntime is the caller's estimate for each task; 0 if unknown.
	EstimatedRuntime time.Duration
	// AtMostOnce is true if a task may be run at most once.
	AtMostOnce bool
	// Input is passed to every task unchanged.
	Input []byte
	// PlacementTimeout is the time from acceptance after which an unplaced job is
	// refused; 0 means no limit.
	PlacementTimeout time.Duration
	Labels           map[string]string
	// MinRunningTasks is the number of a service's tasks that must stay running while
	// tasks are replaced.
	MinRunningTasks uint32
}

// AllOrNothing reports whether the tasks of the job must all start together.
func (s *Spec) AllOrNothing() bool { return s.Kind == Gang }

// TotalSize returns the sum of the sizes of all tasks.
func (s *Spec) TotalSize() capacity.Size { return s.Size.Times(int64(s.Count)) }
