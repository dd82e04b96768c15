// Package admit decides whether a submission is taken: what can never run, what no queue has room
// for, and what would come too late is refused at once, so that "not run" is
// said early and truly. It is pure; the jitter of hints is passed in.
package admit

import (
	"time"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/team"
)

// Bounds of admission.
const (
	// Shed is the part of the cell's queue from which teams are refused that hold
	// more of it than their part.
	Shed = 0.8
	// FirstRetry is the shortest hint.
	FirstRetry = 200 * time.Millisecond
	// LongestRetry is the longest hint.
	LongestRetry = 30 * time.Second
)

// View is what admission looks at.
type View struct {
	// Row is the team's row of the table.
	Row team.Row
	// Waiting is the number of the team's jobs that wait.
	Waiting int
	// Cell is the number of jobs of all teams that wait.
	Cell int
	// Bound is the most that may wait in all.
	Bound int
	// Teams is the number of teams with waiting jobs, this one included.
	Teams int
	// Largest holds the sizes of the kinds of server announced.
	Largest []capacity.Size
	// Total is the room of all announced servers together.
	Total capacity.Size
	// Drain is the team's waiting jobs placed a second; 0 when unknown.
	Drain float64
}

// Check refuses the job or returns nil. The duration tells the caller when to
// come back; 0 means never with this request. Jitter lies in [0, 1).
func Check(spec *job.Spec, v View, jitter float64) (*code.Error, time.Duration) {
	if err := possible(spec, v); err != nil {
		return err, 0
	}
	if v.Row.Queue > 0 && v.Waiting >= int(v.Row.Queue) {
		return code.New(code.QueueFull, "team %s has %d jobs waiting", spec.Team, v.Waiting), hint(v, jitter)
	}
	if crowded(v) {
		return code.New(code.Overloaded, "%d jobs wait in all", v.Cell), hint(v, jitter)
	}
	if late(spec, v) {
		return code.New(code.DeadlinePassed, "about %s of work waits before it", ahead(v)), hint(v, jitter)
	}
	return nil, 0
}

// possible refuses what no server, or no limit of the team, could ever hold.
func possible(spec *job.Spec, v View) *code.Error {
	if spec.Count == 0 || !spec.Size.Valid() {
		return code.New(code.Malformed, "count %d, size %v", spec.Count, spec.Size)
	}
	least := spec.Size
	if spec.Whole() {
		least = spec.Total()
	}
	if !least.Within(v.Row.Limit) {
		return code.New(code.NeverFits, "the team's limit is %v", v.Row.Limit)
	}
	if len(v.Largest) == 0 {
		return nil
	}
	if spec.Whole() && !least.Fits(v.Total) {
		return code.New(code.NeverFits, "the cell has %v in all", v.Total)
	}
	for _, s := range v.Largest {
		if spec.Size.Fits(s) {
			return nil
		}
	}
	return code.New(code.NeverFits, "no server holds %v", spec.Size)
}

// crowded refuses, once the cell's queue is nearly full, the teams that take
// more than an equal part of it; the others are still let in until it is full.
func crowded(v View) bool {
	if v.Bound <= 0 || float64(v.Cell) < Shed*float64(v.Bound) {
		return false
	}
	return v.Cell >= v.Bound && v.Waiting > 0 || v.Waiting*max(1, v.Teams) > v.Cell
}

// late refuses batch that would wait beyond its deadline anyway; urgent work does
// not wait behind the team's queue and is always let in.
func late(spec *job.Spec, v View) bool {
	return spec.Deadline > 0 && spec.Kind != job.Urgent && v.Drain > 0 && ahead(v) > spec.Deadline
}

func ahead(v View) time.Duration {
	if v.Drain <= 0 {
		return 0
	}
	return time.Duration(float64(v.Waiting) / v.Drain * float64(time.Second))
}

// hint spreads the returns over the time in which a tenth of the queue drains.
func hint(v View, jitter float64) time.Duration {
	base := min(max(ahead(v)/10, FirstRetry), LongestRetry/2)
	return base + time.Duration(jitter*float64(base))
}
