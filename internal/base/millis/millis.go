// Package millis converts times in milliseconds that come from outside of the process. A value
// beyond the range of the result gives the end of that range and never wraps around.
package millis

import (
	"math"
	"time"
)

// MaxDuration is the longest duration that FromFloat, Duration and Scale return. The sum of two such
// durations does not overflow.
const MaxDuration time.Duration = math.MaxInt64 / 2

// maxCount is MaxDuration in milliseconds.
const maxCount = int64(MaxDuration / time.Millisecond)

// Duration returns a number of milliseconds as a duration.
func Duration[T int64 | uint64](ms T) time.Duration {
	switch {
	case ms > T(maxCount):
		return MaxDuration
	case int64(ms) < -maxCount:
		return -MaxDuration
	}
	return time.Duration(ms) * time.Millisecond
}

// Scale returns a fractional number of milliseconds as a duration.
func Scale(ms float64) time.Duration {
	switch {
	case !(ms < float64(maxCount)): // also not a number
		return MaxDuration
	case ms < -float64(maxCount):
		return -MaxDuration
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// FromFloat returns a fractional number of milliseconds as a whole one. A negative number gives 0.
func FromFloat(ms float64) uint64 { return uint64(max(Scale(ms), 0) / time.Millisecond) }

// At returns the time since 1970 at which occurrence n of something is due that is due for the first
// time after first milliseconds and then each every milliseconds.
func At(first int64, n uint32, every uint64) time.Duration {
	const latest = math.MaxInt64 / int64(time.Millisecond)
	first = max(first, 0)
	if n > 0 && every > uint64(latest)/uint64(n) {
		return math.MaxInt64
	}
	if since := int64(every * uint64(n)); first <= latest-since {
		return time.Duration(first+since) * time.Millisecond
	}
	return math.MaxInt64
}
