package crew_test

import (
	"fmt"
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
// second. An urgent flow then has to find one that is free; where many urgent ones
// come, several have to be.
func TestLongQuestionsLeaveHelpersFree(t *testing.T) {
	for name, test := range map[string]struct {
		// short is how many helpers short questions keep busy, want how many long
		// ones may then, of 24.
		short, want int
	}{"none": {0, 21}, "some": {2, 19}, "many": {6, 13}} {
		c := crew.New()
		for i := range 23 {
			c.Hear(fmt.Sprint(i), now)
		}
		at := now
		for range 200 {
			var busy []*crew.Helper
			for range test.short {
				busy = append(busy, c.Take(false, at))
			}
			at += 50 * time.Millisecond
			for _, h := range busy {
				c.Free(h, true, at)
			}
			for i := range 23 {
				c.Hear(fmt.Sprint(i), at)
			}
		}
		long := 0
		for c.Take(true, at) != nil {
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

// Each of a thousand processes that greets three times a second leaves the leader
// little time for anything else; one that is heard of too seldom counts as gone.
func TestManyProcessesGreetLessOften(t *testing.T) {
	for _, n := range []int{1, 10, 150, 1000} {
		c := crew.New()
		for i := range n {
			c.Hear(fmt.Sprint(i), 0)
		}
		pause := c.Pause()
		if n <= 10 && pause > 300*time.Millisecond || n >= 150 && float64(n)/pause.Seconds() > 250 && pause < 900*time.Millisecond {
			t.Errorf("%d processes greet every %v", n, pause)
		}
		if len(c.Alive(2*pause)) != n {
			t.Errorf("%d processes that greet every %v count as gone after two pauses", n, pause)
		}
	}
}
