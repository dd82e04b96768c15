// Package clock is the time that a process measures delays with: monotonic, and
// replaceable by one that a test moves.
package clock

import (
	"time"
)

// Clock tells the time since some start and makes timers.
type Clock interface {
	// Now never goes back, whatever is done to the wall clock.
	Now() time.Duration
	// Timer fires once, d from now; at once when d is not positive.
	Timer(d time.Duration) Timer
}

// Timer fires once.
type Timer interface {
	// C receives the time at which the timer fired.
	C() <-chan time.Duration
	// Stop keeps the timer from firing; false when it has fired or was stopped.
	Stop() bool
}

// Real is the machine's monotonic clock. Make it with New.
type Real struct{ start time.Time }

// New returns a real clock. It starts above zero, so that zero can mean never.
func New() *Real { return &Real{start: time.Now().Add(-time.Hour)} }

// Now returns the time since the start.
func (c *Real) Now() time.Duration { return time.Since(c.start) }

// Timer returns a timer of the machine.
func (c *Real) Timer(d time.Duration) Timer {
	t := &realTimer{c: make(chan time.Duration, 1)}
	t.timer = time.AfterFunc(d, func() { t.c <- c.Now() })
	return t
}

type realTimer struct {
	timer *time.Timer
	c     chan time.Duration
}

func (t *realTimer) C() <-chan time.Duration { return t.c }

func (t *realTimer) Stop() bool { return t.timer.Stop() }
