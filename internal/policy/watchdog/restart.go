package watchdog

import (
	"time"

	"gypsumreel/internal/domain/flow"
)

// Parameters of the restarts of lasting tasks.
const (
	// minRestartPause and maxRestartPause limit the pause before the tasks of a step are started
	// again. It doubles with each run that fails before it has begun its work. A task that can run
	// again is at work well within the time that its users bear.
	minRestartPause = 50 * time.Millisecond
	maxRestartPause = time.Second
)

// Restarts delays the restarts of the tasks of a lasting step that fail at once. Their load would
// otherwise grow with the number of such tasks and the speed at which they fail. The zero value
// delays nothing.
type Restarts struct {
	pause     time.Duration
	allowedAt time.Duration
}

// RecordFailure records a run that failed after a time, and returns the pause before the next one.
// Failures during a pause do not lengthen it: they are of runs that were started together.
func (r *Restarts) RecordFailure(now, lasted time.Duration) time.Duration {
	if lasted >= flow.LastingStartTime {
		*r = Restarts{}
		return 0
	}
	if now < r.allowedAt {
		return 0
	}
	r.pause = min(max(2*r.pause, minRestartPause), maxRestartPause)
	r.allowedAt = now + r.pause
	return r.pause
}

// Allowed reports whether tasks may be started now.
func (r *Restarts) Allowed(now time.Duration) bool { return now >= r.allowedAt }
