// Package watchdog detects runs that are stuck or too slow, and backend servers that fail tasks
// repeatedly. It has no side effects.
package watchdog

import "time"

// Parameters for runs.
const (
	// minStall is the shortest time without progress that counts as stuck. A run that resumes
	// from a checkpoint shows no progress for some time. The threshold is stallFactor times the
	// typical run time, since a caller may be waiting for a short run, and at most maxStall.
	minStall    = 800 * time.Millisecond
	stallFactor = 1.25
	maxStall    = 2500 * time.Millisecond
	// stallDivisor sets the time within which a healthy run shows progress, in whole percents, to
	// a tenth of its typical run time.
	stallDivisor = 10
	// slowdownFactor is how many times longer the rest of a run must take than a restart on
	// another server. Declared run times can be wrong by a factor of several, so a small value
	// would stop healthy runs.
	slowdownFactor = 3
	// minSlowTime is the minimum time before a run is judged and the minimum time that a
	// restart must save.
	minSlowTime = 2 * time.Second
)

// Run holds the observed progress of a run.
type Run struct {
	// Elapsed is the time since the start of the run. SinceProgress is the time since its
	// progress last changed.
	Elapsed       time.Duration
	SinceProgress time.Duration
	// ProgressPercent is the progress of the run, from 0 to 100.
	ProgressPercent float64
	// TypicalRuntime is the run time of such a run on a healthy server.
	TypicalRuntime time.Duration
	// Checkpoints is true when the run can resume on another server from its present progress.
	Checkpoints bool
}

// IsStuck reports whether a run has made no progress for so long that its server must be
// hanging. The run would never end.
func IsStuck(r Run) bool {
	threshold := min(max(minStall, time.Duration(stallFactor*float64(r.TypicalRuntime))), maxStall)
	return r.SinceProgress >= max(threshold, r.TypicalRuntime/stallDivisor)
}

// IsSlow reports whether a run is so slow that it ends sooner if it is restarted on a healthy
// server.
func IsSlow(r Run) bool {
	if r.Elapsed < minSlowTime || r.ProgressPercent <= 0 || r.ProgressPercent >= 100 || r.TypicalRuntime <= 0 {
		return false
	}
	remaining := time.Duration(float64(r.Elapsed) * (100 - r.ProgressPercent) / r.ProgressPercent)
	restarted := r.TypicalRuntime
	if r.Checkpoints {
		restarted = time.Duration(float64(r.TypicalRuntime) * (100 - r.ProgressPercent) / 100)
	}
	return remaining > slowdownFactor*restarted && remaining-restarted > minSlowTime
}

// Parameters for servers.
const (
	// minFailures is the number of failures in a row, of different flows, after which a server
	// is paused. One task in twenty fails by its own fault, so a healthy server has two failures
	// in a row in one case in four hundred.
	minFailures = 2
	// minPause and maxPause limit the time for which a server gets no tasks. The time doubles
	// with each further failure in a row. The first task after a pause tests whether the server
	// has recovered.
	minPause = 500 * time.Millisecond
	maxPause = 8 * time.Second
)

// FailureStreak counts the failures in a row on a server. The zero value has none.
type FailureStreak struct {
	count    int
	lastFlow string
}

// RecordFailure counts a failed run and returns how long the server is to be paused. Several
// failures of the same flow count once.
func (s *FailureStreak) RecordFailure(flow string) time.Duration {
	if s.lastFlow != flow || s.count == 0 {
		s.count++
	}
	s.lastFlow = flow
	if s.count < minFailures {
		return 0
	}
	return min(minPause<<min(s.count-minFailures, 10), maxPause)
}

// RecordSuccess ends the streak after a successful run.
func (s *FailureStreak) RecordSuccess() { *s = FailureStreak{} }
