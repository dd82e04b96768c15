// Package load counts events of the last seconds and cuts lists of customers and queues to a
// limited size. It has no side effects.
package load

import (
	"slices"
	"time"
)

// Window is the time that a Counter covers. It is long enough for an operator to see a rate,
// and short enough to show that a burst is over.
const Window = 10 * time.Second

// A Counter counts by buckets of this length.
const (
	bucketLength = time.Second
	bucketCount  = int64(Window / bucketLength)
)

// Counter counts the events of the last Window. Events leave it a second at a time. The zero
// value is an empty counter.
type Counter struct {
	// buckets holds the events by second; the bucket with number n is at n modulo bucketCount.
	buckets [bucketCount]uint32
	// latest is the number of the newest bucket, counted from time 0 of the clock.
	latest int64
}

// Add counts an event.
func (c *Counter) Add(now time.Duration) {
	c.advance(now)
	c.buckets[c.latest%bucketCount]++
}

// Sum returns the number of events of the last Window.
func (c *Counter) Sum(now time.Duration) uint32 {
	c.advance(now)
	sum := uint32(0)
	for _, n := range c.buckets {
		sum += n
	}
	return sum
}

// advance clears the buckets that are older than Window. A clock that stands still or goes
// back clears none.
func (c *Counter) advance(now time.Duration) {
	bucket := int64(now / bucketLength)
	for next := max(c.latest+1, bucket-bucketCount+1); next <= bucket; next++ {
		c.buckets[next%bucketCount] = 0
	}
	c.latest = max(c.latest, bucket)
}

// Largest sorts rows so that the largest come first, and returns the first n of them and the
// others.
func Largest[T any](rows []T, n int, compare func(a, b T) int) (largest, others []T) {
	slices.SortFunc(rows, func(a, b T) int { return compare(b, a) })
	n = min(n, len(rows))
	return rows[:n], rows[n:]
}
