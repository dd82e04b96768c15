// Package watchdog judges runs and backend servers by what they show: runs that
// stand still or crawl, and servers that fail what others run. It is pure.
package watchdog

import "time"

// Bounds of the judgement of runs.
const (
	// stillLeast is the shortest standstill, between two lists, that tells anything:
	// a run that goes on from a checkpoint shows no progress for some time. Somebody
	// may wait for a run that should be over in less, so that of a short run tells
	// after stillTimes as long as it should take, that of any after stillMost.
	stillLeast = 800 * time.Millisecond
	stillTimes = 1.25
	stillMost  = 2500 * time.Millisecond
	// stillParts is the part of a run's typical time in which a sound one shows
	// progress at least once, in whole percents.
	stillParts = 10
	// dragFactor is how many times as long the rest of a run must take as
	// starting it over elsewhere. Declared times are off by up to a few times,
	// so a small factor would stop sound work.
	dragFactor = 3
	// dragLeast is the least time a run is looked at before it is judged, and
	// the least time that moving it must save.
	dragLeast = 2 * time.Second
)

// Run is what is known of a run.
type Run struct {
	// Elapsed is how long it has run, Still how long its progress has not moved.
	Elapsed       time.Duration
	SinceProgress time.Duration
	// ProgressPercent is its progress.
	ProgressPercent float64
	// TypicalRuntime is how long such a run takes on a sound server.
	TypicalRuntime time.Duration
	// Checkpoints tells that it goes on elsewhere from where it is.
	Checkpoints bool
}

// IsStuck tells that a run stands still: its server hangs, and it would never end.
func IsStuck(r Run) bool {
	least := min(max(stillLeast, time.Duration(stillTimes*float64(r.TypicalRuntime))), stillMost)
	return r.SinceProgress >= max(least, r.TypicalRuntime/stillParts)
}

// IsSlow tells that a run is so slow that it ends sooner when it is started over
// on a sound server.
func IsSlow(r Run) bool {
	if r.Elapsed < dragLeast || r.ProgressPercent <= 0 || r.ProgressPercent >= 100 || r.TypicalRuntime <= 0 {
		return false
	}
	left := time.Duration(float64(r.Elapsed) * (100 - r.ProgressPercent) / r.ProgressPercent)
	again := r.TypicalRuntime
	if r.Checkpoints {
		again = time.Duration(float64(r.TypicalRuntime) * (100 - r.ProgressPercent) / 100)
	}
	return left > dragFactor*again && left-again > dragLeast
}

// Bounds of the judgement of servers.
const (
	// streakLeast is the number of failures in a row, of different flows, from
	// which a server is passed over. One task in twenty fails by its own fault,
	// so two in a row on a sound server are one case in four hundred.
	streakLeast = 2
	// firstRest and lastRest bound how long a server is passed over; the time
	// doubles with each further failure in a row. What it is given after that is
	// the test whether it is sound again.
	firstRest = 500 * time.Millisecond
	lastRest  = 8 * time.Second
)

// FailureStreak is a server's failures in a row. The zero value is none.
type FailureStreak struct {
	count int
	flow  string
}

// RecordFailure notes a failed run and returns how long the server is to be passed over.
func (s *FailureStreak) RecordFailure(flow string) time.Duration {
	if s.flow != flow || s.count == 0 {
		s.count++
	}
	s.flow = flow
	if s.count < streakLeast {
		return 0
	}
	return min(firstRest<<min(s.count-streakLeast, 10), lastRest)
}

// RecordSuccess notes a run that ended well.
func (s *FailureStreak) RecordSuccess() { *s = FailureStreak{} }
