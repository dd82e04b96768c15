// Package yield lets a goroutine with long computations share its processor. On a
// single processor all other goroutines, such as the one that sends heartbeats,
// would wait until the computation ends. With hundreds of ready goroutines, a
// goroutine that yields to all of them after every step would make no progress.
package yield

import (
	"runtime"
	"time"
)

// maxSlice bounds the time between two yields. A waiting goroutine may have to
// wait for several such slices.
const maxSlice = 20 * time.Millisecond

// Yielder decides when one goroutine yields its processor. The zero value is ready.
type Yielder struct {
	// startedAt is the start of the current time slice. The goroutine does not
	// yield before minDuration has passed, which is the time that the other
	// goroutines took at the last yield.
	startedAt   time.Time
	minDuration time.Duration
}

// YieldIfDue lets the other goroutines run if the caller has run at least as long
// as they did at the last yield.
func (y *Yielder) YieldIfDue() {
	now := time.Now()
	if now.Sub(y.startedAt) < y.minDuration {
		return
	}
	runtime.Gosched()
	y.startedAt = time.Now()
	y.minDuration = min(y.startedAt.Sub(now), maxSlice)
}
