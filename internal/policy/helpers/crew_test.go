package helpers_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/policy/helpers"
)

const now = time.Hour

func TestHelpersTakeTurnsAndTheLeaderComesLast(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	c.RecordGreeting("b", now)
	first, second, third := c.Acquire(false, now), c.Acquire(false, now), c.Acquire(false, now)
	if first.Address != "a" || second.Address != "b" || third.Address != "" {
		t.Errorf("asked %q, %q and %q", first.Address, second.Address, third.Address)
	}
	if h := c.Acquire(false, now); h != nil {
		t.Errorf("%q was asked twice at a time", h.Address)
	}
	c.Release(second, true, now+1)
	c.Release(first, true, now+2)
	if h := c.Acquire(false, now+3); h.Address != "b" {
		t.Errorf("asked %q, which rested less", h.Address)
	}
}

// Long questions come in a burst and all helpers could be busy with them for a
// second. An urgent flow then has to find one that is free; where many urgent ones
// come, several have to be.
func TestLongQuestionsLeaveHelpersFree(t *testing.T) {
	for name, test := range map[string]struct {
		// short is how many helpers short questions keep busy, want how many long
		// ones may then, of 24.
		short, want int
	}{"none": {0, 21}, "some": {2, 19}, "many": {6, 13}} {
		c := helpers.New()
		for i := range 23 {
			c.RecordGreeting(fmt.Sprint(i), now)
		}
		at := now
		for range 200 {
			var busy []*helpers.Helper
			for range test.short {
				busy = append(busy, c.Acquire(false, at))
			}
			at += 50 * time.Millisecond
			for _, h := range busy {
				c.Release(h, true, at)
			}
			for i := range 23 {
				c.RecordGreeting(fmt.Sprint(i), at)
			}
		}
		long := 0
		for c.Acquire(true, at) != nil {
			long++
		}
		if long != test.want {
			t.Errorf("%s: long questions keep %d of 24 helpers busy, want %d", name, long, test.want)
		}
	}
}

// A fault keeps some helpers from being reached. They look as if they had rested
// longest; asked first again and again, they would cost every flow a failed
// question.
func TestHelpersThatFailedComeLast(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	c.RecordGreeting("b", now)
	h := c.Acquire(false, now)
	c.Release(h, false, now)
	other := c.Acquire(false, now+1)
	c.Release(other, true, now+2)
	for at := now + 3; at < now+time.Second; at += 50 * time.Millisecond {
		next := c.Acquire(false, at)
		if next.Address == h.Address {
			t.Fatalf("%q failed %v ago and was asked before %q", h.Address, at-now, other.Address)
		}
		c.Release(next, true, at+1)
	}
	c.Acquire(false, now+time.Second)
	c.Acquire(false, now+time.Second)
	if c.Acquire(false, now+time.Second) == nil {
		t.Error("the helper that failed is not asked when nobody else is free")
	}
}

func TestPauseGrowsWithFailuresAndEnds(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	at := now
	var pauses []time.Duration
	for range 5 {
		c.RecordGreeting("a", at)
		h := c.Acquire(false, at)
		if h.Address != "a" {
			t.Fatalf("%q was asked", h.Address)
		}
		c.Release(h, false, at)
		begin := at
		for resting, _ := c.IdleCount(at); resting < 2; resting, _ = c.IdleCount(at) {
			at += 10 * time.Millisecond
			c.RecordGreeting("a", at)
		}
		pauses = append(pauses, at-begin)
	}
	for i, want := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		if pauses[i] != want*time.Millisecond {
			t.Errorf("pause %d is %v", i, pauses[i])
		}
	}
}

func TestSilentHelpersAreLeftAndForgotten(t *testing.T) {
	c := helpers.New()
	c.RecordGreeting("a", now)
	late := now + 3*time.Second
	if got := c.Alive(late); len(got) != 0 {
		t.Errorf("%v count as alive", got)
	}
	if h := c.Acquire(false, late); h.Address != "" {
		t.Errorf("%q was asked", h.Address)
	}
	c.RemoveSilent(now + time.Minute)
	if _, asked := c.IdleCount(now); asked != 1 {
		t.Errorf("%d helpers are remembered", asked)
	}
}

// Each of a thousand processes that greets three times a second leaves the leader
// little time for anything else; one that is heard of too seldom counts as gone.
func TestManyProcessesGreetLessOften(t *testing.T) {
	for _, n := range []int{1, 10, 150, 1000} {
		c := helpers.New()
		for i := range n {
			c.RecordGreeting(fmt.Sprint(i), 0)
		}
		pause := c.GreetingInterval()
		if n <= 10 && pause > 300*time.Millisecond || n >= 150 && float64(n)/pause.Seconds() > 250 && pause < 900*time.Millisecond {
			t.Errorf("%d processes greet every %v", n, pause)
		}
		if len(c.Alive(2*pause)) != n {
			t.Errorf("%d processes that greet every %v count as gone after two pauses", n, pause)
		}
	}
}
