package state

import (
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
)

// Observer is notified of each change after it took effect. The passed values are
// immutable.
type Observer interface {
	// TableChanged is called for a new revision of the table.
	TableChanged(t table.Table)
	// ServerChanged is called for a new or changed backend server.
	ServerChanged(b Server)
	// WaitingAdded is called for a task that starts to wait for a placement.
	WaitingAdded(j *Job, t *Task)
	// WaitingRemoved is called for a waiting task that will not be placed.
	WaitingRemoved(id task.ID)
	// TaskPlaced is called for a task with a new attempt.
	TaskPlaced(j *Job, t *Task)
	// TaskStopping is called for a task whose attempt has to be ordered to stop.
	TaskStopping(j *Job, t *Task)
	// AttemptEnded is called for a task whose attempt ended.
	AttemptEnded(j *Job, t *Task, end AttemptEnd)
	// JobEnded is called for a job whose outcome became final.
	JobEnded(j *Job)
}

// noopObserver is the Observer of a follower.
type noopObserver struct{}

func (noopObserver) TableChanged(table.Table)             {}
func (noopObserver) ServerChanged(Server)                 {}
func (noopObserver) WaitingAdded(*Job, *Task)             {}
func (noopObserver) WaitingRemoved(task.ID)               {}
func (noopObserver) TaskPlaced(*Job, *Task)               {}
func (noopObserver) TaskStopping(*Job, *Task)             {}
func (noopObserver) AttemptEnded(*Job, *Task, AttemptEnd) {}
func (noopObserver) JobEnded(*Job)                        {}

func (s *State) observer() Observer {
	if s.Observer == nil {
		return noopObserver{}
	}
	return s.Observer
}
