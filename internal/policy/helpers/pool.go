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
	// aliveTimeout is how long a process counts after it was heard of, keep how long it is
	// remembered.
	aliveTimeout   = 2 * time.Second
	removalTimeout = 20 * time.Second
	// minRetryDelay and lastPause bound how long a helper is passed over after a call
	// that failed; the time doubles with each failure in a row.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// helpersPerReserved is the part of the helpers, one in so many, that long questions
	// leave to short ones however few of these come.
	helpersPerReserved = 8
	// reserveDeviations is how many standard deviations above the mean number of short
	// questions at a time, which come by chance, still find a helper free.
	reserveDeviations = 2
	// longFactor tells long questions from short ones: those that take this many
	// times as long as the shortest kind.
	longFactor = 5
	// parallelQuestionSize is how many servers a question names, at the most, while more
	// than one part of restingOf of the helpers rest.
	parallelQuestionSize = 40
	idleDivisor          = 2
	// shortLoadWindow is how long it counts how many helpers short questions kept busy.
	shortLoadWindow = 2 * time.Second
	// greetingGap is the time between two greetings that come in, on the whole, however
	// many processes there are. leastPause and mostPause bound the time between two
	// of one process; age is more than twice that.
	greetingGap         = 4 * time.Millisecond
	minGreetingInterval = 300 * time.Millisecond
	maxGreetingInterval = 900 * time.Millisecond
)

// Helper is a process that makes calls for the leader, one question to the adviser
// at a time. The one with an empty address is the leader's own.
type Helper struct {
	Address             string
	lastGreeting        time.Duration
	busy                bool
	longQuestion        bool
	consecutiveFailures int
	retryAt             time.Duration
	lastUsed            time.Duration
	startedAt           time.Duration
}

func (h *Helper) isLeader() bool { return h.Address == "" }

// alive tells whether the process was heard of lately; the leader's own always was.
func (h *Helper) alive(now time.Duration) bool {
	return h.isLeader() || now-h.lastGreeting <= aliveTimeout
}

// available tells whether the process can be asked for something now, busy or not.
func (h *Helper) available(now time.Duration) bool { return h.alive(now) && now >= h.retryAt }

// Pool is the processes that make calls for the leader.
type Pool struct {
	helpers map[string]*Helper
	// shortLoad is how many helpers were busy with short questions, on the whole, by
	// the time at.
	shortLoad   float64
	shortLoadAt time.Duration
}

// New returns a crew of the leader's own process alone.
func New() *Pool { return &Pool{helpers: map[string]*Helper{"": {}}} }

// RecordGreeting notes that a process is there.
func (c *Pool) RecordGreeting(address string, now time.Duration) {
	h := c.helpers[address]
	if h == nil {
		h = &Helper{Address: address}
		c.helpers[address] = h
	}
	h.lastGreeting = now
}

// GreetingInterval returns how long a process waits before it makes itself known again.
func (c *Pool) GreetingInterval() time.Duration {
	return min(max(time.Duration(len(c.helpers))*greetingGap, minGreetingInterval), maxGreetingInterval)
}

// RemoveSilent drops processes that were not heard of for long.
func (c *Pool) RemoveSilent(now time.Duration) {
	maps.DeleteFunc(c.helpers, func(_ string, h *Helper) bool { return !h.busy && !h.isLeader() && now-h.lastGreeting > removalTimeout })
}

// Alive returns the addresses of the other processes that were heard of lately.
func (c *Pool) Alive(now time.Duration) []string {
	var out []string
	for address, h := range c.helpers {
		if !h.isLeader() && h.alive(now) {
			out = append(out, address)
		}
	}
	return out
}

// IdleCount counts the helpers that are free, and all that can be asked.
func (c *Pool) IdleCount(now time.Duration) (idle, available int) {
	for _, h := range c.helpers {
		if !h.available(now) {
			continue
		}
		available++
		if !h.busy {
			idle++
		}
	}
	return idle, available
}

// IsLong tells whether a question that takes so long is a long one, by the shortest
// kind there is.
func IsLong(duration, shortest time.Duration) bool { return duration > longFactor*shortest }

// SplitServers divides the servers of a question of which one may name so many at the most:
// several questions side by side while helpers rest and one would take long, since
// each server named makes it longer; else as few as may be, since each costs the
// same besides.
func (c *Pool) SplitServers(servers []string, maxServers int, long bool, now time.Duration) [][]string {
	size := maxServers
	if idle, available := c.IdleCount(now); long && idle*idleDivisor > available {
		size = min(size, parallelQuestionSize)
	}
	parts := (len(servers) + size - 1) / size
	return slices.Collect(slices.Chunk(servers, (len(servers)+parts-1)/max(parts, 1)))
}

// Acquire returns the process that makes the next call and makes it busy; nil when
// none is free. Those whose last call went well come first, then those that rested
// longest, and the leader's own process last, which has enough to do.
func (c *Pool) Acquire(long bool, now time.Duration) *Helper {
	var best *Helper
	available, busyWithLong := 0, 0
	for _, h := range c.helpers {
		if !h.available(now) {
			continue
		}
		available++
		switch {
		case h.busy && h.longQuestion:
			busyWithLong++
		case !h.busy && (best == nil || preferred(h, best)):
			best = h
		}
	}
	if best == nil || long && busyWithLong+c.reservedForShort(available, now) >= available {
		return nil
	}
	best.busy, best.longQuestion, best.startedAt = true, long, now
	return best
}

// reservedForShort returns how many helpers long questions leave free: each is busy for long,
// and a short question, which somebody waits for, must find one at once.
func (c *Pool) reservedForShort(available int, now time.Duration) int {
	c.decayShortLoad(now)
	return max((available+helpersPerReserved-1)/helpersPerReserved, int(math.Round(c.shortLoad+reserveDeviations*math.Sqrt(c.shortLoad))))
}

// decayShortLoad lets what was asked before count less.
func (c *Pool) decayShortLoad(now time.Duration) {
	c.shortLoad *= math.Exp(-float64(now-c.shortLoadAt) / float64(shortLoadWindow))
	c.shortLoadAt = now
}

func preferred(a, b *Helper) bool {
	if a.isLeader() != b.isLeader() {
		return b.isLeader()
	}
	return cmp.Or(cmp.Compare(a.consecutiveFailures, b.consecutiveFailures), cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.Address, b.Address)) < 0
}

// Release notes that a helper's call is over, and whether it went well.
func (c *Pool) Release(h *Helper, succeeded bool, now time.Duration) {
	if !h.longQuestion {
		c.decayShortLoad(now)
		c.shortLoad += float64(now-h.startedAt) / float64(shortLoadWindow)
	}
	h.busy, h.longQuestion, h.lastUsed = false, false, now
	if succeeded {
		h.consecutiveFailures = 0
		return
	}
	h.retryAt = now + min(minRetryDelay<<min(h.consecutiveFailures, 8), maxRetryDelay)
	h.consecutiveFailures++
}
