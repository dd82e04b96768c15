package clock_test

import (
	"testing"
	"time"

	"gypsumreel/internal/base/clock"
)

func fired(t clock.Timer) (time.Duration, bool) {
	select {
	case at := <-t.C():
		return at, true
	default:
		return 0, false
	}
}

func TestVirtualTimersFireWhenDue(t *testing.T) {
	var c clock.Virtual
	early, late, off, now := c.Timer(time.Second), c.Timer(3*time.Second), c.Timer(time.Second), c.Timer(0)
	if at, ok := fired(now); !ok || at != 0 {
		t.Error("a timer of no length has not fired")
	}
	if !off.Stop() || off.Stop() {
		t.Error("stopping twice is not told apart from stopping once")
	}
	if at, ok := c.Next(); !ok || at != time.Second {
		t.Errorf("next is %v, %v", at, ok)
	}
	c.Advance(2 * time.Second)
	if at, ok := fired(early); !ok || at != time.Second {
		t.Errorf("early fired at %v, %v", at, ok)
	}
	if _, ok := fired(late); ok {
		t.Error("late fired early")
	}
	if _, ok := fired(off); ok {
		t.Error("a stopped timer fired")
	}
	c.Advance(time.Second)
	if at, ok := fired(late); !ok || at != 3*time.Second || c.Now() != at {
		t.Errorf("late fired at %v, %v", at, ok)
	}
}

func TestRealTimerFires(t *testing.T) {
	c := clock.New()
	before := c.Now()
	if at := <-c.Timer(time.Millisecond).C(); at-before < time.Millisecond {
		t.Errorf("fired after %v", at-before)
	}
	if !c.Timer(time.Hour).Stop() {
		t.Error("a timer that waits can't be stopped")
	}
}
