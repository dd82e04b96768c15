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
	// Exit is 0 for success.
	Exit   int32
	Answer []byte
	// Crash makes the whole server die and come back as a fresh incarnation.
	Crash bool
}

// Work runs a task until it ends or ctx does.
type Work func(ctx context.Context, o *v1.Order) Result

// Wish is an input that Obey understands, as a JSON object.
type Wish struct {
	// Sleep is the run time, as time.ParseDuration reads it.
	Sleep string `json:"sleep,omitempty"`
	// Fail is the exit to end with.
	Fail int32 `json:"fail,omitempty"`
	// Size is the length of the answer in bytes; 0 echoes the input.
	Size int `json:"size,omitempty"`
	// Crash makes the server die at the end of the run time.
	Crash bool `json:"crash,omitempty"`
}

// Input returns the wish as a job's input.
func (w Wish) Input() []byte {
	b, _ := json.Marshal(w) // cannot fail: plain fields only
	return b
}

// Obey does what a Wish says and echoes any other input at once.
func Obey(ctx context.Context, o *v1.Order) Result {
	var w Wish
	if json.Unmarshal(o.GetInput(), &w) != nil {
		return Result{Answer: o.GetInput()}
	}
	d, _ := time.ParseDuration(w.Sleep)
	if d -= loadProgress(o.GetCheckpoint()); d > 0 {
		sleep(ctx, d)
	}
	answer := o.GetInput()
	if w.Size > 0 {
		answer = Pattern(w.Size)
	}
	return Result{Exit: w.Fail, Answer: answer, Crash: w.Crash}
}

// Timed returns work that takes the time given and then echoes its input.
func Timed(d time.Duration) Work {
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

// saveProgress returns a checkpoint: the milliseconds run so far.
func saveProgress(earlier []byte, d time.Duration) []byte {
	return strconv.AppendInt(nil, (loadProgress(earlier) + d).Milliseconds(), 10)
}

func loadProgress(checkpoint []byte) time.Duration {
	n, _ := strconv.ParseInt(string(checkpoint), 10, 64)
	return time.Duration(n) * time.Millisecond
}
