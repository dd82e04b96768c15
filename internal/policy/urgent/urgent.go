// Package urgent sizes the reserve that is kept free for urgent work. The reserve follows
// recent arrivals: it has one block for each urgent task that arrives within the time in
// which a used block is freed again.
package urgent

import (
	"math"
	"time"

	"gypsumreel/internal/domain/capacity"
)

// Parameters of the reserve.
const (
	// ArrivalWindow is the length of the window in which arrivals are counted.
	ArrivalWindow = time.Second
	// PeakHalfLife is the half-life of the peak number of arrivals.
	PeakHalfLife = 2 * time.Minute
	// MaxReservedFraction is the largest fraction of the cell that is reserved.
	MaxReservedFraction = 0.05
)

// Reserve tracks the arrivals of urgent tasks and computes the capacity to keep free.
type Reserve struct {
	windowStart    time.Duration
	windowArrivals float64
	peakArrivals   float64
	maxTaskSize    capacity.Size
	// decayedAt is the time up to which the decay of peakArrivals is applied.
	decayedAt time.Duration
}

// RecordArrival records the arrival of an urgent task of the given size.
func (r *Reserve) RecordArrival(now time.Duration, size capacity.Size) {
	r.Advance(now)
	r.windowArrivals++
	r.peakArrivals = max(r.peakArrivals, r.windowArrivals)
	r.maxTaskSize = r.maxTaskSize.Max(size)
}

// Advance applies the decay of the peak up to now and starts a new window if the current one
// has ended.
func (r *Reserve) Advance(now time.Duration) {
	if now > r.decayedAt {
		r.peakArrivals *= math.Exp2(-float64(now-r.decayedAt) / float64(PeakHalfLife))
		r.decayedAt = now
	}
	if now-r.windowStart >= ArrivalWindow {
		r.windowStart, r.windowArrivals = now, 0
	}
}

// Target returns the number of blocks to keep free and the size of each block. Together
// they take at most MaxReservedFraction of total.
func (r *Reserve) Target(total capacity.Size) (int, capacity.Size) {
	taskFraction := r.maxTaskSize.DominantShare(total)
	if taskFraction <= 0 {
		return 0, capacity.Size{}
	}
	maxBlocks := math.Floor(MaxReservedFraction / taskFraction)
	return int(min(maxBlocks, math.Ceil(r.peakArrivals-0.5))), r.maxTaskSize
}
