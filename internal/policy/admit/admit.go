// Package admit implements admission control. It refuses jobs that can never run, jobs
// that exceed a queue limit and jobs that would miss their deadline, so that callers learn
// early that a job is not run. It is pure: the caller passes the jitter of the retry time.
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
	// ShedThreshold is the fill level of the cell's queue above which jobs are refused from
	// teams that have more than an equal part of the waiting jobs.
	ShedThreshold = 0.8
	// MinRetryAfter is the shortest retry time returned.
	MinRetryAfter = 200 * time.Millisecond
	// MaxRetryAfter is the longest retry time returned, jitter included.
	MaxRetryAfter = 30 * time.Second
)

// View is the state of the team and the cell that admission depends on.
type View struct {
	// Row is the team's row in the table.
	Row team.Row
	// TeamWaiting is the number of waiting jobs of the team.
	TeamWaiting int
	// CellWaiting is the number of waiting jobs of all teams.
	CellWaiting int
	// MaxWaiting is the limit of waiting jobs of all teams. No limit applies if it is not positive.
	MaxWaiting int
	// WaitingTeams is the number of teams with waiting jobs, including this one.
	WaitingTeams int
	// ServerSizes holds the different capacities of the announced backend servers.
	ServerSizes []capacity.Size
	// TotalCapacity is the capacity of all announced backend servers together.
	TotalCapacity capacity.Size
	// PlacementRate is the number of the team's waiting jobs that are placed per second, 0 if unknown.
	PlacementRate float64
}

// Check returns nil if the job is admitted, otherwise the reason of the refusal. The duration
// is the time after which the caller may retry. It is 0 if a retry of the same job cannot
// succeed. Jitter lies in [0, 1).
func Check(spec *job.Spec, v View, jitter float64) (*code.Error, time.Duration) {
	if err := checkFits(spec, v); err != nil {
		return err, 0
	}
	if v.Row.MaxWaitingJobs > 0 && v.TeamWaiting >= int(v.Row.MaxWaitingJobs) {
		return code.New(code.QueueFull, "team %s already has %d waiting jobs", spec.Team, v.TeamWaiting), retryAfter(v, jitter)
	}
	if overloaded(v) {
		return code.New(code.Overloaded, "%d jobs are waiting in the cell", v.CellWaiting), retryAfter(v, jitter)
	}
	if missesDeadline(spec, v) {
		return code.New(code.DeadlinePassed, "the estimated wait of %s is longer than the deadline", estimatedWait(v)), retryAfter(v, jitter)
	}
	return nil, 0
}

// checkFits refuses malformed jobs and jobs that exceed the team limit, the largest server or,
// for gangs, the cell.
func checkFits(spec *job.Spec, v View) *code.Error {
	if spec.Count == 0 || !spec.Size.Valid() {
		return code.New(code.Malformed, "invalid job: count %d, size %v", spec.Count, spec.Size)
	}
	minSize := spec.Size
	if spec.AllOrNothing() {
		minSize = spec.TotalSize()
	}
	if !minSize.Within(v.Row.Limit) {
		return code.New(code.Unplaceable, "the job exceeds the team limit of %v", v.Row.Limit)
	}
	if len(v.ServerSizes) == 0 {
		return nil
	}
	if spec.AllOrNothing() && !minSize.Fits(v.TotalCapacity) {
		return code.New(code.Unplaceable, "the gang exceeds the total cell capacity of %v", v.TotalCapacity)
	}
	for _, s := range v.ServerSizes {
		if spec.Size.Fits(s) {
			return nil
		}
	}
	return code.New(code.Unplaceable, "no server has the capacity for a task of %v", spec.Size)
}

// overloaded reports whether the cell's queue is too full for a job of this team. Above
// ShedThreshold, teams with more than an equal part of the waiting jobs are refused. Other
// teams are admitted until the queue is full.
func overloaded(v View) bool {
	if v.MaxWaiting <= 0 || float64(v.CellWaiting) < ShedThreshold*float64(v.MaxWaiting) {
		return false
	}
	return v.CellWaiting >= v.MaxWaiting && v.TeamWaiting > 0 || v.TeamWaiting*max(1, v.WaitingTeams) > v.CellWaiting
}

// missesDeadline reports whether the job would wait beyond its deadline. Urgent jobs are always
// admitted, because they do not wait behind the team's queue.
func missesDeadline(spec *job.Spec, v View) bool {
	return spec.PlacementTimeout > 0 && spec.Kind != job.Urgent && v.PlacementRate > 0 && estimatedWait(v) > spec.PlacementTimeout
}

// estimatedWait returns the time until the team's waiting jobs are placed, 0 if unknown.
func estimatedWait(v View) time.Duration {
	if v.PlacementRate <= 0 {
		return 0
	}
	return time.Duration(float64(v.TeamWaiting) / v.PlacementRate * float64(time.Second))
}

// retryAfter returns a time between one and two tenths of the estimated wait, so that the
// retries of refused callers are spread out.
func retryAfter(v View, jitter float64) time.Duration {
	base := min(max(estimatedWait(v)/10, MinRetryAfter), MaxRetryAfter/2)
	return base + time.Duration(jitter*float64(base))
}
