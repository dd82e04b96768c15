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
	windowStart    time.Duration
	windowArrivals float64
	peakArrivals   float64
	maxTaskSize    capacity.Size
	decayedAt      time.Duration
}

// RecordArrival notes an urgent task of the given size.
func (r *Reserve) RecordArrival(now time.Duration, size capacity.Size) {
	r.Advance(now)
	r.windowArrivals++
	r.peakArrivals = max(r.peakArrivals, r.windowArrivals)
	r.maxTaskSize = r.maxTaskSize.Max(size)
}

// Advance lets the peak fade.
func (r *Reserve) Advance(now time.Duration) {
	if now > r.decayedAt {
		r.peakArrivals *= math.Exp2(-float64(now-r.decayedAt) / float64(PeakHalfLife))
		r.decayedAt = now
	}
	if now-r.windowStart >= ArrivalWindow {
		r.windowStart, r.windowArrivals = now, 0
	}
}

// Target returns the number of rooms to keep free and the size of each. It is
// never more than Most of total.
func (r *Reserve) Target(total capacity.Size) (int, capacity.Size) {
	taskFraction := r.maxTaskSize.Dominant(total)
	if taskFraction <= 0 {
		return 0, capacity.Size{}
	}
	maxBlocks := math.Floor(MaxReservedFraction / taskFraction)
	return int(min(maxBlocks, math.Ceil(r.peakArrivals-0.5))), r.maxTaskSize
}
