package state

import (
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
)

// Observer is told what a command changed, after the change. Values given are immutable.
type Observer interface {
	// TableChanged tells of a new revision.
	TableChanged(t table.Table)
	// ServerChanged tells of a new or changed backend server.
	ServerChanged(b Server)
	// TaskQueued tells that a task waits to be placed.
	TaskQueued(j *Job, t *Task)
	// TaskUnqueued tells that a task waits no more and was not placed.
	TaskUnqueued(id task.ID)
	// TaskPlaced tells that a task was placed.
	TaskPlaced(j *Job, t *Task)
	// TaskStopping tells that an order to stop the task is due.
	TaskStopping(j *Job, t *Task)
	// TaskReleased tells that a task's attempt runs no more.
	TaskReleased(j *Job, t *Task, how AttemptEnd)
	// JobEnded tells that a job's outcome is final.
	JobEnded(j *Job)
}

// blind is the Watch of a replica that only follows.
type blind struct{}

func (blind) TableChanged(table.Table)             {}
func (blind) ServerChanged(Server)                 {}
func (blind) TaskQueued(*Job, *Task)               {}
func (blind) TaskUnqueued(task.ID)                 {}
func (blind) TaskPlaced(*Job, *Task)               {}
func (blind) TaskStopping(*Job, *Task)             {}
func (blind) TaskReleased(*Job, *Task, AttemptEnd) {}
func (blind) JobEnded(*Job)                        {}

func (s *State) watch() Observer {
	if s.Observer == nil {
		return blind{}
	}
	return s.Observer
}
