// Package urgent sizes the reserve that is kept free for urgent work. The
// reserve follows what arrived lately: one task's room for each urgent task that
// arrives while a taken room is made free again.
package urgent

import (
	"math"
	"time"

	"gypsumreel/internal/domain/capacity"
)

// Bounds of the reserve.
const (
	// ArrivalWindow is the time in which arrivals are counted against the reserve.
	ArrivalWindow = time.Second
	// PeakHalfLife is the time after which an old peak counts half.
	PeakHalfLife = 2 * time.Minute
	// MaxReservedFraction is the largest part of the cell that is reserved.
	MaxReservedFraction = 0.05
)

// Reserve learns the arrivals and says what to keep free.
type Reserve struct {
	start time.Duration
	count float64
	peak  float64
	size  capacity.Size
	last  time.Duration
}

// RecordArrival notes an urgent task of the given size.
func (r *Reserve) RecordArrival(now time.Duration, size capacity.Size) {
	r.Advance(now)
	r.count++
	r.peak = max(r.peak, r.count)
	r.size = r.size.Max(size)
}

// Advance lets the peak fade.
func (r *Reserve) Advance(now time.Duration) {
	if now > r.last {
		r.peak *= math.Exp2(-float64(now-r.last) / float64(PeakHalfLife))
		r.last = now
	}
	if now-r.start >= ArrivalWindow {
		r.start, r.count = now, 0
	}
}

// Target returns the number of rooms to keep free and the size of each. It is
// never more than Most of total.
func (r *Reserve) Target(total capacity.Size) (int, capacity.Size) {
	part := r.size.Dominant(total)
	if part <= 0 {
		return 0, capacity.Size{}
	}
	most := math.Floor(MaxReservedFraction / part)
	return int(min(most, math.Ceil(r.peak-0.5))), r.size
}
