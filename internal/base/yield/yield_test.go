package yield_test

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/base/yield"
)

// busyLoop keeps the processor busy for the given duration.
func busyLoop(d time.Duration) {
	for startedAt := time.Now(); time.Since(startedAt) < d; {
		continue
	}
}

// Guards against starvation of the yielding goroutine: on a single processor with
// 200 ready goroutines, yielding after each small step would leave it no time.
func TestYieldingGoroutineKeepsHalfOfTheTime(t *testing.T) {
	const (
		goroutines = 200
		step       = 50 * time.Microsecond
		steps      = 400
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	defer stop.Store(true)
	for range goroutines {
		go func() {
			for !stop.Load() {
				busyLoop(step)
				runtime.Gosched()
			}
		}()
	}
	var yielder yield.Yielder
	yielder.YieldIfDue()
	startedAt := time.Now()
	for range steps {
		busyLoop(step)
		yielder.YieldIfDue()
	}
	// Without other goroutines the steps take 20 ms in total. Yielding for 10 ms
	// after each step would take 4 s.
	if elapsed := time.Since(startedAt); elapsed > time.Second {
		t.Errorf("%d steps of %v took %v", steps, step, elapsed)
	}
}

// Guards against starvation of the other goroutines by a computation that does not
// end.
func TestWaitingGoroutineIsScheduled(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var loops atomic.Int64
	var stop atomic.Bool
	defer stop.Store(true)
	go func() {
		for !stop.Load() {
			loops.Add(1)
			runtime.Gosched()
		}
	}()
	var yielder yield.Yielder
	for range 100 {
		busyLoop(100 * time.Microsecond)
		yielder.YieldIfDue()
	}
	if n := loops.Load(); n < 50 {
		t.Errorf("the other goroutine ran %d times during 100 steps, want at least 50", n)
	}
}
