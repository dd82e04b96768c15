// Package task names tasks and the attempts to run them.
package task

// ID names a task: the job's number in the ledger and the task's place in it.
type ID struct {
	Job   uint64
	Index uint32
}

// Attempt names one placement of a task; numbers start at 1.
type Attempt struct {
	ID
	Number uint32
}

// Compare orders ids by job, then index.
func (id ID) Compare(o ID) int {
	switch {
	case id.Job != o.Job && id.Job < o.Job, id.Job == o.Job && id.Index < o.Index:
		return -1
	case id == o:
		return 0
	}
	return 1
}
