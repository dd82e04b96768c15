package server

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// Result is the outcome of a task.
type Result struct {
	// ExitCode is 0 for success.
	ExitCode int32
	Answer   []byte
	// Crash makes the server crash and start again as a new incarnation.
	Crash bool
}

// TaskFunc runs a task until it ends or ctx is cancelled.
type TaskFunc func(ctx context.Context, o *v1.Order) Result

// TaskScript is a job input that tells RunScript what to do, encoded as JSON.
type TaskScript struct {
	// Sleep is the run time in the format of time.ParseDuration.
	Sleep string `json:"sleep,omitempty"`
	// ExitCode is the exit code of the task.
	ExitCode int32 `json:"fail,omitempty"`
	// AnswerSize is the length of the answer in bytes. If 0, the answer is the input.
	AnswerSize int `json:"size,omitempty"`
	// Crash makes the server crash at the end of the run time.
	Crash bool `json:"crash,omitempty"`
}

// Input returns the script encoded as a job input.
func (s TaskScript) Input() []byte {
	b, _ := json.Marshal(s) // cannot fail: all fields are basic types
	return b
}

// RunScript runs a TaskScript. It immediately returns any other input as the answer.
func RunScript(ctx context.Context, o *v1.Order) Result {
	var script TaskScript
	if json.Unmarshal(o.GetInput(), &script) != nil {
		return Result{Answer: o.GetInput()}
	}
	d, _ := time.ParseDuration(script.Sleep)
	if d -= parseRunTime(o.GetCheckpoint()); d > 0 {
		sleep(ctx, d)
	}
	answer := o.GetInput()
	if script.AnswerSize > 0 {
		answer = AnswerPattern(script.AnswerSize)
	}
	return Result{ExitCode: script.ExitCode, Answer: answer, Crash: script.Crash}
}

// SleepAndEcho returns a TaskFunc that sleeps for d and returns the input as the answer.
func SleepAndEcho(d time.Duration) TaskFunc {
	return func(ctx context.Context, o *v1.Order) Result {
		sleep(ctx, d)
		return Result{Answer: o.GetInput()}
	}
}

// AnswerPattern returns n bytes of increasing numbers, so that no two chunks of an answer are equal.
func AnswerPattern(n int) []byte {
	b := make([]byte, 0, n+20)
	for i := 0; len(b) < n; i++ {
		b = strconv.AppendInt(b, int64(i), 36)
		b = append(b, ' ')
	}
	return b[:n]
}

// addRunTime returns a checkpoint with the total run time in milliseconds, d included.
func addRunTime(checkpoint []byte, d time.Duration) []byte {
	return strconv.AppendInt(nil, (parseRunTime(checkpoint) + d).Milliseconds(), 10)
}

func parseRunTime(checkpoint []byte) time.Duration {
	n, _ := strconv.ParseInt(string(checkpoint), 10, 64)
	return time.Duration(n) * time.Millisecond
}
