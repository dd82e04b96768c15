// Package gctuner adjusts GOGC, the garbage collection target percentage, to the
// size of the live heap. A collection marks the whole live heap. In a small cell
// marking is fast, and garbage as large as the live heap would waste memory. In a
// large cell marking takes processor time that the leader needs for its decisions.
// A fixed percentage suits only one size of cell.
package gctuner

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// balancedHeapBytes is the live heap size with a percentage of 100. The
	// percentage grows and shrinks in proportion to the live heap.
	balancedHeapBytes = 10 << 20
	// minPercent and maxPercent bound the percentage. The memory limit of the
	// process bounds the garbage as well.
	minPercent = 50
	maxPercent = 400
	// startupPercent is the minimum during startupDuration. A process that has just
	// started may have a backlog to process, and its heap still grows.
	startupPercent  = 300
	startupDuration = 10 * time.Second
	// pollInterval is the time between two readings of the live heap size.
	pollInterval = 500 * time.Millisecond
	// minChangeDivisor limits how often the percentage is set, because setting it
	// stops the process for a moment. A change must exceed one fifth of the
	// current value.
	minChangeDivisor = 5
)

// GCPercent returns the garbage collection target percentage for a live heap of
// the given size in bytes.
func GCPercent(liveBytes uint64) int {
	const balancedPercent = 100
	return int(min(max(balancedPercent*liveBytes/balancedHeapBytes, minPercent), maxPercent))
}

// Run adjusts the garbage collector until ctx ends.
func Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	startedAt, currentPercent := time.Now(), startupPercent
	debug.SetGCPercent(currentPercent)
	for {
		metrics.Read(samples)
		percent := GCPercent(samples[0].Value.Uint64())
		if time.Since(startedAt) < startupDuration {
			percent = max(percent, startupPercent)
		}
		if (percent-currentPercent)*minChangeDivisor > currentPercent || (currentPercent-percent)*minChangeDivisor > currentPercent {
			currentPercent = percent
			debug.SetGCPercent(percent)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
