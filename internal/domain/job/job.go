// Package job holds what a caller asked for.
package job

import (
	"time"

	"gypsumreel/internal/domain/capacity"
)

// Kind says which policy decides about a job.
type Kind uint8

// The kinds of job.
const (
	Urgent Kind = iota + 1
	Batch
	Gang
	Service
)

var kindNames = [...]string{"none", "urgent", "batch", "gang", "service"}

// String returns the kind's name in lower case.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return kindNames[0]
	}
	return kindNames[k]
}

// Spec is one job as submitted. It is immutable once made.
type Spec struct {
	// ID is the caller's request id, unique within the team.
	ID   string
	Team string
	Kind Kind
	// Name groups runs of the same program.
	Name string
	// Count is the number of tasks.
	Count uint32
	// Size is the declared size of each task.
	Size capacity.Size
	// EstimatedRuntime is the caller's estimate for each task; 0 when unknown.
	EstimatedRuntime time.Duration
	// AtMostOnce marks tasks that may run at most once.
	AtMostOnce bool
	Input      []byte
	// PlacementTimeout bounds the wait for a placement, from acceptance; 0 for none.
	PlacementTimeout time.Duration
	Labels           map[string]string
	// MinRunningTasks is the least number of a service's tasks that replacement leaves running.
	MinRunningTasks uint32
}

// AllOrNothing tells whether the tasks start together or not at all.
func (s *Spec) AllOrNothing() bool { return s.Kind == Gang }

// TotalSize returns the size of all tasks together.
func (s *Spec) TotalSize() capacity.Size { return s.Size.Times(int64(s.Count)) }
