package yield_test

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/base/yield"
)

// work keeps the processor busy for so long.
func work(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; {
		continue
	}
}

// Hundreds of goroutines are ready to run on one processor. One that stands back for all
// of them after each of its small steps would have no time left for itself.
func TestManyOthersLeaveHalfOfTheTime(t *testing.T) {
	const (
		others = 200
		step   = 50 * time.Microsecond
		steps  = 400
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	defer stop.Store(true)
	for range others {
		go func() {
			for !stop.Load() {
				work(step)
				runtime.Gosched()
			}
		}()
	}
	var own yield.Yielder
	own.YieldIfDue()
	begin := time.Now()
	for range steps {
		work(step)
		own.YieldIfDue()
	}
	// Alone the steps take 20 ms; a step between two rests of 10 ms would take 4 s.
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d steps of %v took %v", steps, step, took)
	}
}

// A goroutine that waits has its turn soon, though the other one never ends.
func TestWhatWaitsHasItsTurn(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var turns atomic.Int64
	var stop atomic.Bool
	defer stop.Store(true)
	go func() {
		for !stop.Load() {
			turns.Add(1)
			runtime.Gosched()
		}
	}()
	var own yield.Yielder
	for range 100 {
		work(100 * time.Microsecond)
		own.YieldIfDue()
	}
	if n := turns.Load(); n < 50 {
		t.Errorf("%d turns beside 100 steps", n)
	}
}
