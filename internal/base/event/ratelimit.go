package event

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// LogInterval is the minimum time between two log lines of the same event of a
// RateLimiter.
const LogInterval = time.Second

// RateLimiter logs events that can occur thousands of times per second. It writes one
// line per second for each kind of event, with the number of lines omitted since the
// previous one. The event counters include the omitted events. The zero value is
// ready to use.
type RateLimiter struct {
	// Now returns the time of day. If it is nil, time.Now is used.
	Now func() time.Time

	mu sync.Mutex
	// lastLogged and omitted are keyed by the number of the event.
	lastLogged map[uint32]time.Time
	omitted    map[uint32]int
}

// Log logs the event, or counts it as omitted if the previous line of the same event
// is less than LogInterval ago.
func (l *RateLimiter) Log(logger logr.Logger, d Definition, kv ...any) {
	omitted, ok := l.allow(d.Number)
	if !ok {
		countEvent(d)
		return
	}
	if omitted > 0 {
		kv = append(kv, "left_out", omitted)
	}
	Log(logger, d, kv...)
}

// allow reports whether a line of the event may be written now, and how many lines
// were omitted before it.
func (l *RateLimiter) allow(number uint32) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.Now != nil {
		now = l.Now()
	}
	if l.lastLogged == nil {
		l.lastLogged, l.omitted = map[uint32]time.Time{}, map[uint32]int{}
	}
	if loggedAt, found := l.lastLogged[number]; found && now.Sub(loggedAt) < LogInterval {
		l.omitted[number]++
		return 0, false
	}
	omitted = l.omitted[number]
	l.lastLogged[number], l.omitted[number] = now, 0
	return omitted, true
}
