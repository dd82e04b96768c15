package speed

import "time"

// The number of runs that should fit into the time that is left, since a run that fails is
// repeated. A gang fails with any of its members, so it is repeated more often.
const (
	taskRuns = 2
	gangRuns = 3
)

// Step is what has to be known of a step to tell which servers suit it. Both times follow from
// the declared run time. Callers judge a flow by the time that its work actually takes, so an
// error of the declared one changes both times by the same factor. The zero value suits the
// fastest servers best.
type Step struct {
	// Runtime is the run time of a task on a server of average speed.
	Runtime time.Duration
	// Budget is the time within which the step has to end for its flow to be in time.
	Budget time.Duration
	// Gang is true if the tasks run only together.
	Gang bool
}

// On returns the run time on a server of the given relative speed.
func (s Step) On(speed float64) time.Duration {
	if speed <= 0 {
		return s.Runtime
	}
	return time.Duration(float64(s.Runtime) / speed)
}

// inTime reports whether a task ends in time on servers of the given speed, also if runs fail.
func (s Step) inTime(speed float64) bool {
	if s.Gang {
		return gangRuns*s.On(speed) <= s.Budget
	}
	return taskRuns*s.On(speed) <= s.Budget
}

// PrefersSlow reports whether a server of the given speed is used before a faster one: its
// tasks end in time there, and leave the faster server to steps whose tasks do not.
func (s Step) PrefersSlow(speed float64) bool { return s.Runtime > 0 && s.inTime(speed) }
