// Package work implements the tasks that the load tool's own backend servers run. Each
// task has a distinct answer, and a Recorder counts the attempts of
// each task.
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

// Input is the input that a job passes to its tasks.
type Input struct {
	// ID distinguishes the answers and attempts of different jobs.
	ID string `json:"id"`
	// Runtime is the run time of a task in nanoseconds. A task with a value below 0 runs
	// until it is stopped.
	Runtime time.Duration `json:"runtime"`
	// AnswerBytes is the length of a task's answer.
	AnswerBytes int `json:"answer"`
}

// Encode returns the input as the JSON that a job carries.
func (i Input) Encode() []byte {
	b, _ := json.Marshal(i) // cannot fail: the struct has only plain fields
	return b
}

// TaskAnswer returns the answer of one task. It is derived from the job id and the
// task index, so that the answer of another job does not match.
func TaskAnswer(id string, index uint32, length int) []byte {
	answer := make([]byte, length)
	// The constants are those of a 64-bit linear congruential generator.
	state := xxhash.Sum64String(id) + uint64(index)
	for i := range answer {
		state = state*6364136223846793005 + 1442695040888963407
		answer[i] = byte(state >> 56)
	}
	return answer
}

// JobAnswer returns the answer of a job: the answers of its tasks in order.
func JobAnswer(id string, count uint32, length int) []byte {
	var answer []byte
	for i := range count {
		answer = append(answer, TaskAnswer(id, i, length)...)
	}
	return answer
}

// AttemptCounts counts the attempts of one task.
type AttemptCounts struct {
	// Started counts the attempts that started, and Ended counts the attempts that ran to
	// their end.
	Started, Ended int
	// FirstStart is when the first attempt started.
	FirstStart time.Time
}

// taskKey identifies a task by the id of its job and its index.
type taskKey struct {
	id    string
	index uint32
}

// Recorder records the attempts of all tasks. The zero value is ready to use.
type Recorder struct {
	mu       sync.Mutex
	attempts map[taskKey]AttemptCounts
}

// RunTask runs a task as described by its input and counts the attempt. It can be used as
// server.Server.Work.
func (r *Recorder) RunTask(ctx context.Context, order *v1.Order) server.Result {
	var input Input
	if json.Unmarshal(order.GetInput(), &input) != nil {
		return server.Result{Answer: order.GetInput()}
	}
	key := taskKey{input.ID, order.GetAttempt().GetTask()}
	r.update(key, func(counts *AttemptCounts) {
		if counts.Started == 0 {
			counts.FirstStart = time.Now()
		}
		counts.Started++
	})
	if !sleep(ctx, input.Runtime) {
		return server.Result{ExitCode: 1}
	}
	r.update(key, func(counts *AttemptCounts) { counts.Ended++ })
	return server.Result{Answer: TaskAnswer(input.ID, key.index, input.AnswerBytes)}
}

func (r *Recorder) update(key taskKey, change func(*AttemptCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = make(map[taskKey]AttemptCounts)
	}
	counts := r.attempts[key]
	change(&counts)
	r.attempts[key] = counts
}

// sleep waits for d and reports whether ctx is still active. If d is negative, it
// waits until ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
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

// JobAttempts returns the recorded attempts of a job, one element per task.
func (r *Recorder) JobAttempts(id string, count uint32) []AttemptCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]AttemptCounts, count)
	for i := range out {
		out[i] = r.attempts[taskKey{id, uint32(i)}]
	}
	return out
}
