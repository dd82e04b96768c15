// Package collect adapts the garbage collector to the live heap. A collection marks
// all that is live. In a small cell that is soon done, and garbage as large as the
// live heap costs memory for little; in a large one the leader would spend on
// marking what its decisions need. A fixed setting suits one size of cell only.
package gctuner

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// evenHeap is the live heap, in bytes, beside which as much garbage may pile up;
	// beside a larger one more times as much, beside a smaller one less.
	evenHeap = 10 << 20
	// leastPercent and mostPercent bound the garbage beside the live heap. The
	// process's memory limit bounds it as well.
	leastPercent = 50
	mostPercent  = 400
	// firstPercent holds for firstTime: a process that has just started may have to
	// work off what came while it was away, and its heap still grows.
	firstPercent = 300
	firstTime    = 10 * time.Second
	// every is the time between two looks.
	every = 500 * time.Millisecond
	// step is by how many parts the percentage differs at least when it is set anew,
	// which stops the process for a moment.
	step = 5
)

// GCPercent returns the garbage that may pile up beside a live heap of so many bytes,
// in percent of it.
func GCPercent(live uint64) int {
	const even = 100
	return int(min(max(even*live/evenHeap, leastPercent), mostPercent))
}

// Run adapts the collector until ctx ends.
func Run(ctx context.Context) {
	ticks := time.NewTicker(every)
	defer ticks.Stop()
	read := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	begin, set := time.Now(), firstPercent
	debug.SetGCPercent(set)
	for {
		metrics.Read(read)
		p := GCPercent(read[0].Value.Uint64())
		if time.Since(begin) < firstTime {
			p = max(p, firstPercent)
		}
		if (p-set)*step > set || (set-p)*step > set {
			set = p
			debug.SetGCPercent(p)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}
