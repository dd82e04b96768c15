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
	// ShedThreshold is the part of the cell's queue from which teams are refused that hold
	// more of it than their part.
	ShedThreshold = 0.8
	// MinRetryAfter is the shortest hint.
	MinRetryAfter = 200 * time.Millisecond
	// MaxRetryAfter is the longest hint.
	MaxRetryAfter = 30 * time.Second
)

// View is what admission looks at.
type View struct {
	// Row is the team's row of the table.
	Row team.Row
	// TeamWaiting is the number of the team's jobs that wait.
	TeamWaiting int
	// CellWaiting is the number of jobs of all teams that wait.
	CellWaiting int
	// MaxWaiting is the most that may wait in all.
	MaxWaiting int
	// WaitingTeams is the number of teams with waiting jobs, this one included.
	WaitingTeams int
	// ServerSizes holds the sizes of the kinds of server announced.
	ServerSizes []capacity.Size
	// TotalCapacity is the room of all announced servers together.
	TotalCapacity capacity.Size
	// DrainRate is the team's waiting jobs placed a second; 0 when unknown.
	DrainRate float64
}

// Check refuses the job or returns nil. The duration tells the caller when to
// come back; 0 means never with this request. Jitter lies in [0, 1).
func Check(spec *job.Spec, v View, jitter float64) (*code.Error, time.Duration) {
	if err := possible(spec, v); err != nil {
		return err, 0
	}
	if v.Row.Queue > 0 && v.TeamWaiting >= int(v.Row.Queue) {
		return code.New(code.QueueFull, "team %s has %d jobs waiting", spec.Team, v.TeamWaiting), hint(v, jitter)
	}
	if crowded(v) {
		return code.New(code.Overloaded, "%d jobs wait in all", v.CellWaiting), hint(v, jitter)
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
	if len(v.ServerSizes) == 0 {
		return nil
	}
	if spec.Whole() && !least.Fits(v.TotalCapacity) {
		return code.New(code.NeverFits, "the cell has %v in all", v.TotalCapacity)
	}
	for _, s := range v.ServerSizes {
		if spec.Size.Fits(s) {
			return nil
		}
	}
	return code.New(code.NeverFits, "no server holds %v", spec.Size)
}

// crowded refuses, once the cell's queue is nearly full, the teams that take
// more than an equal part of it; the others are still let in until it is full.
func crowded(v View) bool {
	if v.MaxWaiting <= 0 || float64(v.CellWaiting) < ShedThreshold*float64(v.MaxWaiting) {
		return false
	}
	return v.CellWaiting >= v.MaxWaiting && v.TeamWaiting > 0 || v.TeamWaiting*max(1, v.WaitingTeams) > v.CellWaiting
}

// late refuses batch that would wait beyond its deadline anyway; urgent work does
// not wait behind the team's queue and is always let in.
func late(spec *job.Spec, v View) bool {
	return spec.Deadline > 0 && spec.Kind != job.Urgent && v.DrainRate > 0 && ahead(v) > spec.Deadline
}

func ahead(v View) time.Duration {
	if v.DrainRate <= 0 {
		return 0
	}
	return time.Duration(float64(v.TeamWaiting) / v.DrainRate * float64(time.Second))
}

// hint spreads the returns over the time in which a tenth of the queue drains.
func hint(v View, jitter float64) time.Duration {
	base := min(max(ahead(v)/10, MinRetryAfter), MaxRetryAfter/2)
	return base + time.Duration(jitter*float64(base))
}
