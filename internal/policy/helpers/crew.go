// Package crew decides which process makes the next call for the leader. The
// adviser takes one question at a time from each process, so the rate of answers
// hangs on how soon a process that is free gets the next one.
package helpers

import (
	"cmp"
	"maps"
	"math"
	"slices"
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
	// leastShort is the part of the helpers, one in so many, that long questions
	// leave to short ones however few of these come.
	leastShort = 8
	// chances is how many standard deviations above the mean number of short
	// questions at a time, which come by chance, still find a helper free.
	chances = 2
	// longFactor tells long questions from short ones: those that take this many
	// times as long as the shortest kind.
	longFactor = 5
	// sideBySide is how many servers a question names, at the most, while more
	// than one part of restingOf of the helpers rest.
	sideBySide = 40
	restingOf  = 2
	// shortMemory is how long it counts how many helpers short questions kept busy.
	shortMemory = 2 * time.Second
	// greetGap is the time between two greetings that come in, on the whole, however
	// many processes there are. leastPause and mostPause bound the time between two
	// of one process; age is more than twice that.
	greetGap   = 4 * time.Millisecond
	leastPause = 300 * time.Millisecond
	mostPause  = 900 * time.Millisecond
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
	begun   time.Duration
}

func (h *Helper) own() bool { return h.Address == "" }

// alive tells whether the process was heard of lately; the leader's own always was.
func (h *Helper) alive(now time.Duration) bool { return h.own() || now-h.heard <= age }

// asks tells whether the process can be asked for something now, busy or not.
func (h *Helper) asks(now time.Duration) bool { return h.alive(now) && now >= h.avoid }

// Pool is the processes that make calls for the leader.
type Pool struct {
	all map[string]*Helper
	// short is how many helpers were busy with short questions, on the whole, by
	// the time at.
	short float64
	at    time.Duration
}

// New returns a crew of the leader's own process alone.
func New() *Pool { return &Pool{all: map[string]*Helper{"": {}}} }

// RecordGreeting notes that a process is there.
func (c *Pool) RecordGreeting(address string, now time.Duration) {
	h := c.all[address]
	if h == nil {
		h = &Helper{Address: address}
		c.all[address] = h
	}
	h.heard = now
}

// GreetingInterval returns how long a process waits before it makes itself known again.
func (c *Pool) GreetingInterval() time.Duration {
	return min(max(time.Duration(len(c.all))*greetGap, leastPause), mostPause)
}

// RemoveSilent drops processes that were not heard of for long.
func (c *Pool) RemoveSilent(now time.Duration) {
	maps.DeleteFunc(c.all, func(_ string, h *Helper) bool { return !h.busy && !h.own() && now-h.heard > keep })
}

// Alive returns the addresses of the other processes that were heard of lately.
func (c *Pool) Alive(now time.Duration) []string {
	var out []string
	for address, h := range c.all {
		if !h.own() && h.alive(now) {
			out = append(out, address)
		}
	}
	return out
}

// IdleCount counts the helpers that are free, and all that can be asked.
func (c *Pool) IdleCount(now time.Duration) (resting, asked int) {
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

// IsLong tells whether a question that takes so long is a long one, by the shortest
// kind there is.
func IsLong(takes, shortest time.Duration) bool { return takes > longFactor*shortest }

// SplitServers divides the servers of a question of which one may name so many at the most:
// several questions side by side while helpers rest and one would take long, since
// each server named makes it longer; else as few as may be, since each costs the
// same besides.
func (c *Pool) SplitServers(servers []string, most int, long bool, now time.Duration) [][]string {
	size := most
	if resting, asked := c.IdleCount(now); long && resting*restingOf > asked {
		size = min(size, sideBySide)
	}
	parts := (len(servers) + size - 1) / size
	return slices.Collect(slices.Chunk(servers, (len(servers)+parts-1)/max(parts, 1)))
}

// Acquire returns the process that makes the next call and makes it busy; nil when
// none is free. Those whose last call went well come first, then those that rested
// longest, and the leader's own process last, which has enough to do.
func (c *Pool) Acquire(long bool, now time.Duration) *Helper {
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
	if best == nil || long && occupied+c.kept(asked, now) >= asked {
		return nil
	}
	best.busy, best.long, best.begun = true, long, now
	return best
}

// kept returns how many helpers long questions leave free: each is busy for long,
// and a short question, which somebody waits for, must find one at once.
func (c *Pool) kept(asked int, now time.Duration) int {
	c.fade(now)
	return max((asked+leastShort-1)/leastShort, int(math.Round(c.short+chances*math.Sqrt(c.short))))
}

// fade lets what was asked before count less.
func (c *Pool) fade(now time.Duration) {
	c.short *= math.Exp(-float64(now-c.at) / float64(shortMemory))
	c.at = now
}

func before(a, b *Helper) bool {
	if a.own() != b.own() {
		return b.own()
	}
	return cmp.Or(cmp.Compare(a.fails, b.fails), cmp.Compare(a.used, b.used), cmp.Compare(a.Address, b.Address)) < 0
}

// Release notes that a helper's call is over, and whether it went well.
func (c *Pool) Release(h *Helper, worked bool, now time.Duration) {
	if !h.long {
		c.fade(now)
		c.short += float64(now-h.begun) / float64(shortMemory)
	}
	h.busy, h.long, h.used = false, false, now
	if worked {
		h.fails = 0
		return
	}
	h.avoid = now + min(firstPause<<min(h.fails, 8), lastPause)
	h.fails++
}
