// Package task defines the identifiers of tasks and of attempts to run them.
package task

// ID identifies a task by the number of its job in the ledger and the index of the
// task within the job.
type ID struct {
	Job   uint64
	Index uint32
}

// Attempt identifies one placement of a task. The attempts of a task are numbered
// from 1.
type Attempt struct {
	ID
	Number uint32
}

// Compare orders identifiers by job, then by index. It returns -1, 0 or 1.
func (id ID) Compare(o ID) int {
	switch {
	case id.Job != o.Job && id.Job < o.Job, id.Job == o.Job && id.Index < o.Index:
		return -1
	case id == o:
		return 0
	}
	return 1
}
