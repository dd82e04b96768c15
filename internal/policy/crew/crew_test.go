package crew_test

import (
	"testing"
	"time"

	"gypsumreel/internal/policy/crew"
)

const now = time.Hour

func TestHelpersTakeTurnsAndTheLeaderComesLast(t *testing.T) {
	c := crew.New()
	c.Hear("a", now)
	c.Hear("b", now)
	first, second, third := c.Take(false, now), c.Take(false, now), c.Take(false, now)
	if first.Address != "a" || second.Address != "b" || third.Address != "" {
		t.Errorf("asked %q, %q and %q", first.Address, second.Address, third.Address)
	}
	if h := c.Take(false, now); h != nil {
		t.Errorf("%q was asked twice at a time", h.Address)
	}
	c.Free(second, true, now+1)
	c.Free(first, true, now+2)
	if h := c.Take(false, now+3); h.Address != "b" {
		t.Errorf("asked %q, which rested less", h.Address)
	}
}

// Long questions come in a burst and all helpers could be busy with them for a
// second. An urgent flow then has to find one that is free.
func TestLongQuestionsLeaveHelpersFree(t *testing.T) {
	c := crew.New()
	for _, a := range []string{"a", "b", "c", "d", "e"} {
		c.Hear(a, now)
	}
	long := 0
	for c.Take(true, now) != nil {
		long++
	}
	if long != 4 {
		t.Errorf("%d of 6 helpers are busy with long questions, 4 may be", long)
	}
	if c.Take(false, now) == nil {
		t.Error("no helper is free for a short question")
	}
}

// A fault keeps some helpers from being reached. They look as if they had rested
// longest; asked first again and again, they would cost every flow a failed
// question.
func TestHelpersThatFailedComeLast(t *testing.T) {
	c := crew.New()
	c.Hear("a", now)
	c.Hear("b", now)
	h := c.Take(false, now)
	c.Free(h, false, now)
	other := c.Take(false, now+1)
	c.Free(other, true, now+2)
	for at := now + 3; at < now+time.Second; at += 50 * time.Millisecond {
		next := c.Take(false, at)
		if next.Address == h.Address {
			t.Fatalf("%q failed %v ago and was asked before %q", h.Address, at-now, other.Address)
		}
		c.Free(next, true, at+1)
	}
	c.Take(false, now+time.Second)
	c.Take(false, now+time.Second)
	if c.Take(false, now+time.Second) == nil {
		t.Error("the helper that failed is not asked when nobody else is free")
	}
}

func TestPauseGrowsWithFailuresAndEnds(t *testing.T) {
	c := crew.New()
	c.Hear("a", now)
	at := now
	var pauses []time.Duration
	for range 5 {
		c.Hear("a", at)
		h := c.Take(false, at)
		if h.Address != "a" {
			t.Fatalf("%q was asked", h.Address)
		}
		c.Free(h, false, at)
		begin := at
		for resting, _ := c.Resting(at); resting < 2; resting, _ = c.Resting(at) {
			at += 10 * time.Millisecond
			c.Hear("a", at)
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
	c := crew.New()
	c.Hear("a", now)
	late := now + 3*time.Second
	if got := c.Alive(late); len(got) != 0 {
		t.Errorf("%v count as alive", got)
	}
	if h := c.Take(false, late); h.Address != "" {
		t.Errorf("%q was asked", h.Address)
	}
	c.Forget(now + time.Minute)
	if _, asked := c.Resting(now); asked != 1 {
		t.Errorf("%d helpers are remembered", asked)
	}
}
