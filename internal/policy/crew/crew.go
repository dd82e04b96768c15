// Package crew decides which process makes the next call for the leader. The
// adviser takes one question at a time from each process, so the rate of answers
// hangs on how soon a process that is free gets the next one.
package crew

import (
	"cmp"
	"maps"
	"time"
)

// Bounds of the choice.
const (
	// age is how long a process counts after it was heard of, keep how long it is
	// remembered.
	age  = 2 * time.Second
	keep = 20 * time.Second
	// firstPause and lastPause bound how long a helper is passed over after a call
	// that failed; the time doubles with each failure in a row.
	firstPause = 500 * time.Millisecond
	lastPause  = 4 * time.Second
	// longParts of longOf is the part of the helpers that long questions may
	// occupy, so that a short one finds one free.
	longParts, longOf = 2, 3
)

// Helper is a process that makes calls for the leader, one question to the adviser
// at a time. The one with an empty address is the leader's own.
type Helper struct {
	Address string
	heard   time.Duration
	busy    bool
	long    bool
	fails   int
	avoid   time.Duration
	used    time.Duration
}

func (h *Helper) own() bool { return h.Address == "" }

// alive tells whether the process was heard of lately; the leader's own always was.
func (h *Helper) alive(now time.Duration) bool { return h.own() || now-h.heard <= age }

// asks tells whether the process can be asked for something now, busy or not.
func (h *Helper) asks(now time.Duration) bool { return h.alive(now) && now >= h.avoid }

// Crew is the processes that make calls for the leader.
type Crew struct{ all map[string]*Helper }

// New returns a crew of the leader's own process alone.
func New() *Crew { return &Crew{all: map[string]*Helper{"": {}}} }

// Hear notes that a process is there.
func (c *Crew) Hear(address string, now time.Duration) {
	h := c.all[address]
	if h == nil {
		h = &Helper{Address: address}
		c.all[address] = h
	}
	h.heard = now
}

// Forget drops processes that were not heard of for long.
func (c *Crew) Forget(now time.Duration) {
	maps.DeleteFunc(c.all, func(_ string, h *Helper) bool { return !h.busy && !h.own() && now-h.heard > keep })
}

// Alive returns the addresses of the other processes that were heard of lately.
func (c *Crew) Alive(now time.Duration) []string {
	var out []string
	for address, h := range c.all {
		if !h.own() && h.alive(now) {
			out = append(out, address)
		}
	}
	return out
}

// Resting counts the helpers that are free, and all that can be asked.
func (c *Crew) Resting(now time.Duration) (resting, asked int) {
	for _, h := range c.all {
		if !h.asks(now) {
			continue
		}
		asked++
		if !h.busy {
			resting++
		}
	}
	return resting, asked
}

// Take returns the process that makes the next call and makes it busy; nil when
// none is free. Those whose last call went well come first, then those that rested
// longest, and the leader's own process last, which has enough to do.
func (c *Crew) Take(long bool, now time.Duration) *Helper {
	var best *Helper
	asked, occupied := 0, 0
	for _, h := range c.all {
		if !h.asks(now) {
			continue
		}
		asked++
		switch {
		case h.busy && h.long:
			occupied++
		case !h.busy && (best == nil || before(h, best)):
			best = h
		}
	}
	if best == nil || long && occupied*longOf >= asked*longParts {
		return nil
	}
	best.busy, best.long = true, long
	return best
}

func before(a, b *Helper) bool {
	if a.own() != b.own() {
		return b.own()
	}
	return cmp.Or(cmp.Compare(a.fails, b.fails), cmp.Compare(a.used, b.used), cmp.Compare(a.Address, b.Address)) < 0
}

// Free notes that a helper's call is over, and whether it went well.
func (c *Crew) Free(h *Helper, worked bool, now time.Duration) {
	h.busy, h.long, h.used = false, false, now
	if worked {
		h.fails = 0
		return
	}
	h.avoid = now + min(firstPause<<min(h.fails, 8), lastPause)
	h.fails++
}
