package clock

import (
	"maps"
	"slices"
	"time"
)

const (
	// sampleLifetime is how long a sample counts. It is many times the interval
	// between two samples of a process, so that a few may be lost.
	sampleLifetime = 5 * time.Second
	// minSamples is the smallest number of samples whose median tolerates one
	// wrong clock.
	minSamples = 3
	// medianLifetime is how long a computed median is reused. Every decision reads
	// the time of day, so the median is not recomputed each time.
	medianLifetime = 50 * time.Millisecond
)

// MedianClock is a time of day computed as the median of the clocks of many
// processes. The clock of a single machine may jump by seconds: scheduled work
// would then start too early and waiting work would appear older than it is. The
// median is correct while most clocks are. The zero value has no samples.
type MedianClock struct {
	// samples holds the latest sample of each process.
	samples map[string]sample
	// offset is the median offset of the time of day from the monotonic clock; 0
	// before the first median. It was computed at computedAt.
	offset     time.Duration
	computedAt time.Duration
}

// sample is the latest clock reading of one process.
type sample struct {
	// offset is the process's time of day minus the local monotonic clock.
	offset     time.Duration
	receivedAt time.Duration
}

// Observe records the time of day of a process, since 1970, that was received at
// now on the local monotonic clock.
func (c *MedianClock) Observe(process string, timeOfDay, now time.Duration) {
	if c.samples == nil {
		c.samples = map[string]sample{}
	}
	c.samples[process] = sample{offset: timeOfDay - now, receivedAt: now}
}

// TimeOfDay returns the time of day, since 1970, at now on the local monotonic
// clock. With too few recent samples it continues from the last median, because
// the monotonic clock still advances. It returns false before the first median.
func (c *MedianClock) TimeOfDay(now time.Duration) (time.Duration, bool) {
	if c.computedAt > 0 && now-c.computedAt < medianLifetime {
		return now + c.offset, true
	}
	c.computedAt = 0
	maps.DeleteFunc(c.samples, func(_ string, s sample) bool { return now-s.receivedAt > sampleLifetime })
	if len(c.samples) < minSamples {
		return now + c.offset, c.offset != 0
	}
	offsets := make([]time.Duration, 0, len(c.samples))
	for _, s := range c.samples {
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	c.offset, c.computedAt = offsets[(len(offsets)-1)/2], now
	return now + c.offset, true
}
