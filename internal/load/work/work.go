// Package work is what the load tool's own backend servers run: tasks whose
// answers can be told from any other's, with a record of what ran how often.
package work

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/fake/server"
)

// Input is what a job passes to its tasks.
type Input struct {
	ID string `json:"id"`
	// Runtime is how long a task runs, in nanoseconds; below 0 until it is stopped.
	Runtime time.Duration `json:"runtime"`
	// AnswerBytes is the length of a task's answer in bytes.
	AnswerBytes int `json:"answer"`
}

// Encode returns the input as a job carries it.
func (i Input) Encode() []byte {
	b, _ := json.Marshal(i) // plain fields only: never fails
	return b
}

// TaskAnswer returns the bytes that one task of a job answers with. They depend on
// id and index, so that another job's answer is noticed.
func TaskAnswer(id string, index uint32, length int) []byte {
	out := make([]byte, length)
	x := xxhash.Sum64String(id) + uint64(index)
	for i := range out {
		x = x*6364136223846793005 + 1442695040888963407
		out[i] = byte(x >> 56)
	}
	return out
}

// JobAnswer returns the answer of a whole job: those of its tasks in their order.
func JobAnswer(id string, count uint32, length int) []byte {
	var out []byte
	for i := range count {
		out = append(out, TaskAnswer(id, i, length)...)
	}
	return out
}

// TaskRuns is what the record holds of one task.
type TaskRuns struct {
	// Started and Ended count the attempts that began and that ran to their end.
	Started, Ended int
	// FirstStart is when the first began.
	FirstStart time.Time
}

// taskKey names a task by its job's id.
type taskKey struct {
	id    string
	index uint32
}

// Record notes what ran. The zero value is ready.
type Record struct {
	mu   sync.Mutex
	runs map[taskKey]TaskRuns
}

// RunTask runs a task as its input says; it fits server.Server.Work.
func (r *Record) RunTask(ctx context.Context, o *v1.Order) server.Result {
	var in Input
	if json.Unmarshal(o.GetInput(), &in) != nil {
		return server.Result{Answer: o.GetInput()}
	}
	key := taskKey{in.ID, o.GetAttempt().GetTask()}
	r.note(key, func(n *TaskRuns) {
		if n.Started == 0 {
			n.FirstStart = time.Now()
		}
		n.Started++
	})
	if !pass(ctx, in.Runtime) {
		return server.Result{ExitCode: 1}
	}
	r.note(key, func(n *TaskRuns) { n.Ended++ })
	return server.Result{Answer: TaskAnswer(in.ID, key.index, in.AnswerBytes)}
}

func (r *Record) note(key taskKey, change func(*TaskRuns)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[taskKey]TaskRuns)
	}
	n := r.runs[key]
	change(&n)
	r.runs[key] = n
}

// pass waits and tells whether ctx is still alive.
func pass(ctx context.Context, d time.Duration) bool {
	if d < 0 {
		<-ctx.Done()
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// JobRuns returns what ran of a job, one element a task.
func (r *Record) JobRuns(id string, count uint32) []TaskRuns {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]TaskRuns, count)
	for i := range out {
		out[i] = r.runs[taskKey{id, uint32(i)}]
	}
	return out
}
