package state

import (
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
)

// Watch is told what a command changed, after the change. Values given are immutable.
type Watch interface {
	// Table tells of a new revision.
	Table(t table.Table)
	// Server tells of a new or changed backend server.
	Server(b Server)
	// Queue tells that a task waits to be placed.
	Queue(j *Job, t *Task)
	// Unqueue tells that a task waits no more and was not placed.
	Unqueue(id task.ID)
	// Hold tells that a task was placed.
	Hold(j *Job, t *Task)
	// Stopping tells that an order to stop the task is due.
	Stopping(j *Job, t *Task)
	// Release tells that a task's attempt runs no more.
	Release(j *Job, t *Task, how End)
	// Ended tells that a job's outcome is final.
	Ended(j *Job)
}

// blind is the Watch of a replica that only follows.
type blind struct{}

func (blind) Table(table.Table)        {}
func (blind) Server(Server)            {}
func (blind) Queue(*Job, *Task)        {}
func (blind) Unqueue(task.ID)          {}
func (blind) Hold(*Job, *Task)         {}
func (blind) Stopping(*Job, *Task)     {}
func (blind) Release(*Job, *Task, End) {}
func (blind) Ended(*Job)               {}

func (s *State) watch() Watch {
	if s.Watch == nil {
		return blind{}
	}
	return s.Watch
}
