package helpers_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/policy/helpers"
)

const now = time.Hour

func TestHelpersRotateAndTheLeaderComesLast(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	c.RecordGreeting("b", now)
	first, second, third := c.Acquire(false, now), c.Acquire(false, now), c.Acquire(false, now)
	if first.Address != "a" || second.Address != "b" || third.Address != "" {
		t.Errorf("selected helpers %q, %q and %q, want a, b and the leader", first.Address, second.Address, third.Address)
	}
	if h := c.Acquire(false, now); h != nil {
		t.Errorf("busy helper %q was selected again", h.Address)
	}
	c.Release(second, true, now+1)
	c.Release(first, true, now+2)
	if h := c.Acquire(false, now+3); h.Address != "b" {
		t.Errorf("selected helper %q, want b, which has been idle longer", h.Address)
	}
}

// A burst of long questions can keep all helpers busy for a second. An urgent flow then needs
// an idle helper, and several are needed if many urgent flows arrive.
func TestLongQuestionsLeaveHelpersFree(t *testing.T) {
	for name, tc := range map[string]struct {
		// short is the number of helpers kept busy by short questions. want is the number of 24
		// helpers that long questions may then use.
		short, want int
	}{"none": {0, 21}, "some": {2, 19}, "many": {6, 13}} {
		c := helpers.New()
		for i := range 23 {
			c.RecordGreeting(fmt.Sprint(i), now)
		}
		clock := now
		for range 200 {
			var busy []*helpers.Helper
			for range tc.short {
				busy = append(busy, c.Acquire(false, clock))
			}
			clock += 50 * time.Millisecond
			for _, h := range busy {
				c.Release(h, true, clock)
			}
			for i := range 23 {
				c.RecordGreeting(fmt.Sprint(i), clock)
			}
		}
		long := 0
		for c.Acquire(true, clock) != nil {
			long++
		}
		if long != tc.want {
			t.Errorf("%s: long questions keep %d of 24 helpers busy, want %d", name, long, tc.want)
		}
	}
}

// Helpers that cannot be reached seem to have been idle longest. If they were selected first,
// every flow would pay for a failed question.
func TestHelpersThatFailedComeLast(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	c.RecordGreeting("b", now)
	h := c.Acquire(false, now)
	c.Release(h, false, now)
	other := c.Acquire(false, now+1)
	c.Release(other, true, now+2)
	for clock := now + 3; clock < now+time.Second; clock += 50 * time.Millisecond {
		next := c.Acquire(false, clock)
		if next.Address == h.Address {
			t.Fatalf("helper %q failed %v ago and was selected before %q", h.Address, clock-now, other.Address)
		}
		c.Release(next, true, clock+1)
	}
	c.Acquire(false, now+time.Second)
	c.Acquire(false, now+time.Second)
	if c.Acquire(false, now+time.Second) == nil {
		t.Error("the helper that failed is not selected although no other is idle")
	}
}

func TestRetryDelayDoublesUpToItsMaximum(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	clock := now
	var delays []time.Duration
	for range 5 {
		c.RecordGreeting("a", clock)
		h := c.Acquire(false, clock)
		if h.Address != "a" {
			t.Fatalf("selected helper %q, want a", h.Address)
		}
		c.Release(h, false, clock)
		releasedAt := clock
		for idle, _ := c.IdleCount(clock); idle < 2; idle, _ = c.IdleCount(clock) {
			clock += 10 * time.Millisecond
			c.RecordGreeting("a", clock)
		}
		delays = append(delays, clock-releasedAt)
	}
	for i, want := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		if delays[i] != want*time.Millisecond {
			t.Errorf("retry delay %d is %v, want %v", i, delays[i], want*time.Millisecond)
		}
	}
}

func TestSilentHelpersAreSkippedAndRemoved(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	late := now + 3*time.Second
	if got := c.Alive(late); len(got) != 0 {
		t.Errorf("silent helpers %v count as alive", got)
	}
	if h := c.Acquire(false, late); h.Address != "" {
		t.Errorf("selected helper %q, want the leader", h.Address)
	}
	c.RemoveSilent(now + time.Minute)
	if _, available := c.IdleCount(now); available != 1 {
		t.Errorf("%d helpers are left in the pool, want 1", available)
	}
}

// A thousand processes that each send three greetings a second would use up the time of the
// leader. A process that sends them too seldom would count as lost.
func TestManyProcessesGreetLessOften(t *testing.T) {
	for _, n := range []int{1, 10, 150, 1000} {
		c := helpers.New()
		for i := range n {
			c.RecordGreeting(fmt.Sprint(i), 0)
		}
		interval := c.GreetingInterval()
		if n <= 10 && interval > 300*time.Millisecond || n >= 150 && float64(n)/interval.Seconds() > 250 && interval < 900*time.Millisecond {
			t.Errorf("with %d processes, the greeting interval is %v", n, interval)
		}
		if len(c.Alive(2*interval)) != n {
			t.Errorf("with %d processes and a greeting interval of %v, some do not count as alive after two intervals", n, interval)
		}
	}
}
