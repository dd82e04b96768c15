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
	Elapsed time.Duration
	Still   time.Duration
	// Percent is its progress.
	Percent float64
	// Typical is how long such a run takes on a sound server.
	Typical time.Duration
	// Saves tells that it goes on elsewhere from where it is.
	Saves bool
}

// Stuck tells that a run stands still: its server hangs, and it would never end.
func Stuck(r Run) bool {
	least := min(max(stillLeast, time.Duration(stillTimes*float64(r.Typical))), stillMost)
	return r.Still >= max(least, r.Typical/stillParts)
}

// Drags tells that a run is so slow that it ends sooner when it is started over
// on a sound server.
func Drags(r Run) bool {
	if r.Elapsed < dragLeast || r.Percent <= 0 || r.Percent >= 100 || r.Typical <= 0 {
		return false
	}
	left := time.Duration(float64(r.Elapsed) * (100 - r.Percent) / r.Percent)
	again := r.Typical
	if r.Saves {
		again = time.Duration(float64(r.Typical) * (100 - r.Percent) / 100)
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

// Streak is a server's failures in a row. The zero value is none.
type Streak struct {
	count int
	flow  string
}

// Failed notes a failed run and returns how long the server is to be passed over.
func (s *Streak) Failed(flow string) time.Duration {
	if s.flow != flow || s.count == 0 {
		s.count++
	}
	s.flow = flow
	if s.count < streakLeast {
		return 0
	}
	return min(firstRest<<min(s.count-streakLeast, 10), lastRest)
}

// Done notes a run that ended well.
func (s *Streak) Done() { *s = Streak{} }
