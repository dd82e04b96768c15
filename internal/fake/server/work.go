package server

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// Result is how a task ended.
type Result struct {
	// ExitCode is 0 for success.
	ExitCode int32
	Answer   []byte
	// Crash makes the whole server die and come back as a fresh incarnation.
	Crash bool
}

// Work runs a task until it ends or ctx does.
type Work func(ctx context.Context, o *v1.Order) Result

// TaskScript is an input that Obey understands, as a JSON object.
type TaskScript struct {
	// Sleep is the run time, as time.ParseDuration reads it.
	Sleep string `json:"sleep,omitempty"`
	// ExitCode is the exit to end with.
	ExitCode int32 `json:"fail,omitempty"`
	// AnswerSize is the length of the answer in bytes; 0 echoes the input.
	AnswerSize int `json:"size,omitempty"`
	// Crash makes the server die at the end of the run time.
	Crash bool `json:"crash,omitempty"`
}

// Input returns the wish as a job's input.
func (s TaskScript) Input() []byte {
	b, _ := json.Marshal(s) // cannot fail: plain fields only
	return b
}

// RunScript does what a Wish says and echoes any other input at once.
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
		answer = Pattern(script.AnswerSize)
	}
	return Result{ExitCode: script.ExitCode, Answer: answer, Crash: script.Crash}
}

// SleepAndEcho returns work that takes the time given and then echoes its input.
func SleepAndEcho(d time.Duration) Work {
	return func(ctx context.Context, o *v1.Order) Result {
		sleep(ctx, d)
		return Result{Answer: o.GetInput()}
	}
}

// Pattern returns n bytes in which no two pieces of an answer are alike.
func Pattern(n int) []byte {
	b := make([]byte, 0, n+20)
	for i := 0; len(b) < n; i++ {
		b = strconv.AppendInt(b, int64(i), 36)
		b = append(b, ' ')
	}
	return b[:n]
}

// addRunTime returns a checkpoint: the milliseconds run so far.
func addRunTime(earlier []byte, d time.Duration) []byte {
	return strconv.AppendInt(nil, (parseRunTime(earlier) + d).Milliseconds(), 10)
}

func parseRunTime(checkpoint []byte) time.Duration {
	n, _ := strconv.ParseInt(string(checkpoint), 10, 64)
	return time.Duration(n) * time.Millisecond
}
