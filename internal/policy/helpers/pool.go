// Package helpers selects the process that sends the next call for the leader. The adviser
// accepts one question at a time from each process, so the rate of answers depends on how soon
// an idle process gets the next question.
package helpers

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits and time constants of the selection.
const (
	// aliveTimeout is the time after its last greeting for which a process counts as alive.
	// removalTimeout is the time after which it is removed from the pool.
	aliveTimeout   = 2 * time.Second
	removalTimeout = 20 * time.Second
	// minRetryDelay and maxRetryDelay are the limits of the time for which a helper is skipped
	// after a failed call. The time doubles with each failure in a row.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// helpersPerReserved sets the minimum share of helpers reserved for short questions to one
	// in eight, however few short questions there are.
	helpersPerReserved = 8
	// reserveDeviations is how many standard deviations above the mean number of concurrent
	// short questions are covered by the reserved helpers. Short questions arrive at random.
	reserveDeviations = 2
	// longFactor distinguishes long questions from short ones. A question is long if it takes
	// more than this multiple of the shortest kind.
	longFactor = 5
	// parallelQuestionSize limits the servers in a long question while more than 1/idleDivisor
	// of the helpers are idle.
	parallelQuestionSize = 40
	idleDivisor          = 2
	// shortLoadWindow is the time constant of the average number of helpers that are busy with
	// short questions.
	shortLoadWindow = 2 * time.Second
	// greetingGap is the target for the average time between two greetings received by the
	// leader, whatever the number of processes. minGreetingInterval and maxGreetingInterval
	// limit the time between two greetings of one process. aliveTimeout is more than twice the
	// maximum.
	greetingGap         = 4 * time.Millisecond
	minGreetingInterval = 300 * time.Millisecond
	maxGreetingInterval = 900 * time.Millisecond
)

// Helper is a process that sends calls for the leader, one question to the adviser at a time.
// The helper with an empty address is the process of the leader.
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

// isLeader reports whether the helper is the process of the leader.
func (h *Helper) isLeader() bool { return h.Address == "" }

// alive reports whether the process sent a greeting recently. The process of the leader is
// always alive.
func (h *Helper) alive(now time.Duration) bool {
	return h.isLeader() || now-h.lastGreeting <= aliveTimeout
}

// available reports whether the helper is alive and not waiting for a retry. It may be busy.
func (h *Helper) available(now time.Duration) bool { return h.alive(now) && now >= h.retryAt }

// Pool holds the processes that send calls for the leader.
type Pool struct {
	helpers map[string]*Helper
	// shortLoad is the moving average of helpers busy with short questions, updated at
	// shortLoadAt.
	shortLoad   float64
	shortLoadAt time.Duration
}

// New returns a pool that contains only the process of the leader.
func New() *Pool { return &Pool{helpers: map[string]*Helper{"": {}}} }

// RecordGreeting adds a process to the pool or marks it as alive.
func (p *Pool) RecordGreeting(address string, now time.Duration) {
	h := p.helpers[address]
	if h == nil {
		h = &Helper{Address: address}
		p.helpers[address] = h
	}
	h.lastGreeting = now
}

// GreetingInterval returns the time that a process waits before its next greeting.
func (p *Pool) GreetingInterval() time.Duration {
	return min(max(time.Duration(len(p.helpers))*greetingGap, minGreetingInterval), maxGreetingInterval)
}

// RemoveSilent removes idle processes that sent no greeting for removalTimeout.
func (p *Pool) RemoveSilent(now time.Duration) {
	maps.DeleteFunc(p.helpers, func(_ string, h *Helper) bool { return !h.busy && !h.isLeader() && now-h.lastGreeting > removalTimeout })
}

// Alive returns the addresses of the other processes that are alive.
func (p *Pool) Alive(now time.Duration) []string {
	var out []string
	for address, h := range p.helpers {
		if !h.isLeader() && h.alive(now) {
			out = append(out, address)
		}
	}
	return out
}

// IdleCount returns the number of idle helpers and the number of available helpers, idle or
// busy.
func (p *Pool) IdleCount(now time.Duration) (idle, available int) {
	for _, h := range p.helpers {
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

// IsLong reports whether a question of the given duration is long compared with the shortest
// kind of question.
func IsLong(duration, shortest time.Duration) bool { return duration > longFactor*shortest }

// SplitServers divides servers into questions of at most maxServers each. A long question is
// split further while many helpers are idle, since its duration grows with each server.
// Otherwise it returns as few questions as possible, since each has a base cost.
func (p *Pool) SplitServers(servers []string, maxServers int, long bool, now time.Duration) [][]string {
	size := maxServers
	if idle, available := p.IdleCount(now); long && idle*idleDivisor > available {
		size = min(size, parallelQuestionSize)
	}
	parts := (len(servers) + size - 1) / size
	return slices.Collect(slices.Chunk(servers, (len(servers)+parts-1)/max(parts, 1)))
}

// Acquire selects the helper for the next call and marks it as busy. It returns nil if no
// helper is free. It prefers helpers whose last call succeeded, then those that were idle
// longest. The process of the leader comes last, since it has other work.
func (p *Pool) Acquire(long bool, now time.Duration) *Helper {
	var best *Helper
	available, busyWithLong := 0, 0
	for _, h := range p.helpers {
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
	if best == nil || long && busyWithLong+p.reservedForShort(available, now) >= available {
		return nil
	}
	best.busy, best.longQuestion, best.startedAt = true, long, now
	return best
}

// reservedForShort returns the number of helpers that long questions must leave free. A long
// question keeps its helper busy for long, and a short question, whose caller waits for the
// result, needs a helper at once.
func (p *Pool) reservedForShort(available int, now time.Duration) int {
	p.decayShortLoad(now)
	return max((available+helpersPerReserved-1)/helpersPerReserved, int(math.Round(p.shortLoad+reserveDeviations*math.Sqrt(p.shortLoad))))
}

// decayShortLoad reduces the weight of past short questions in the moving average.
func (p *Pool) decayShortLoad(now time.Duration) {
	p.shortLoad *= math.Exp(-float64(now-p.shortLoadAt) / float64(shortLoadWindow))
	p.shortLoadAt = now
}

// preferred reports whether helper a is selected before helper b.
func preferred(a, b *Helper) bool {
	if a.isLeader() != b.isLeader() {
		return b.isLeader()
	}
	return cmp.Or(cmp.Compare(a.consecutiveFailures, b.consecutiveFailures), cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.Address, b.Address)) < 0
}

// Release marks a helper as idle after a call. After a failed call, the helper is skipped for
// some time.
func (p *Pool) Release(h *Helper, succeeded bool, now time.Duration) {
	if !h.longQuestion {
		p.decayShortLoad(now)
		p.shortLoad += float64(now-h.startedAt) / float64(shortLoadWindow)
	}
	h.busy, h.longQuestion, h.lastUsed = false, false, now
	if succeeded {
		h.consecutiveFailures = 0
		return
	}
	h.retryAt = now + min(minRetryDelay<<min(h.consecutiveFailures, 8), maxRetryDelay)
	h.consecutiveFailures++
}
