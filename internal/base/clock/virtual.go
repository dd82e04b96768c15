package clock

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Virtual is a clock that stands still until it is moved. The zero value is
// ready and stands at zero.
type Virtual struct {
	mu     sync.Mutex
	now    time.Duration
	timers []*virtualTimer
	made   uint64
}

// Now returns the time that the clock was moved to.
func (c *Virtual) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Timer returns a timer that Advance fires.
func (c *Virtual) Timer(d time.Duration) Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made++
	t := &virtualTimer{clock: c, at: c.now + max(d, 0), order: c.made, c: make(chan time.Duration, 1)}
	if d <= 0 {
		t.c <- c.now
		return t
	}
	c.timers = append(c.timers, t)
	return t
}

// Advance moves the clock. Timers fire in the order of their times, those of one
// time in the order in which they were made.
func (c *Virtual) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += max(d, 0)
	slices.SortFunc(c.timers, func(a, b *virtualTimer) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := c.timers[0]
		c.timers = c.timers[1:]
		t.c <- t.at
	}
}

// Next returns when the next timer fires; false when there is none.
func (c *Virtual) Next() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.timers) == 0 {
		return 0, false
	}
	first := slices.MinFunc(c.timers, func(a, b *virtualTimer) int { return cmp.Compare(a.at, b.at) })
	return first.at, true
}

type virtualTimer struct {
	clock *Virtual
	at    time.Duration
	order uint64
	c     chan time.Duration
}

func (t *virtualTimer) C() <-chan time.Duration { return t.c }

func (t *virtualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	i := slices.Index(t.clock.timers, t)
	if i < 0 {
		return false
	}
	t.clock.timers = slices.Delete(t.clock.timers, i, i+1)
	return true
}
