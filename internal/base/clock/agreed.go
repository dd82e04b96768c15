package clock

import (
	"maps"
	"slices"
	"time"
)

const (
	// sampleLifetime is how long a process's word counts: many times as long as the
	// pause between two, so that a few may be lost.
	sampleLifetime = 5 * time.Second
	// minSamples is the least number of voices of which one may be wrong.
	minSamples = 3
	// medianLifetime is how long the median stands: every decision asks for the time.
	medianLifetime = 50 * time.Millisecond
)

// MedianClock is the time of day by the word of many processes. That of a single machine
// may jump by seconds: scheduled work would begin too early, and all that waits
// would look older than it is. The median stands while most are right. The zero
// value has heard nobody.
type MedianClock struct {
	samples map[string]sample
	// offset is the median as found at made, 0 before there was one.
	offset     time.Duration
	computedAt time.Duration
}

// sample is what one process said last: its time of day beyond our steady clock.
type sample struct {
	offset     time.Duration
	receivedAt time.Duration
}

// Observe takes a process's time of day, since 1970, at a time on our steady clock.
func (a *MedianClock) Observe(from string, timeOfDay, now time.Duration) {
	if a.samples == nil {
		a.samples = map[string]sample{}
	}
	a.samples[from] = sample{offset: timeOfDay - now, receivedAt: now}
}

// TimeOfDay returns the time of day, since 1970, at a time on our steady clock. While too
// few are heard the last median stands, since our steady clock goes on; false before
// there was one.
func (a *MedianClock) TimeOfDay(now time.Duration) (time.Duration, bool) {
	if a.computedAt > 0 && now-a.computedAt < medianLifetime {
		return now + a.offset, true
	}
	a.computedAt = 0
	maps.DeleteFunc(a.samples, func(_ string, v sample) bool { return now-v.receivedAt > sampleLifetime })
	if len(a.samples) < minSamples {
		return now + a.offset, a.offset != 0
	}
	all := make([]time.Duration, 0, len(a.samples))
	for _, v := range a.samples {
		all = append(all, v.offset)
	}
	slices.Sort(all)
	a.offset, a.computedAt = all[(len(all)-1)/2], now
	return now + a.offset, true
}
