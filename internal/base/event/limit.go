package event

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// LogInterval is the least time between two lines of one event of a Limit.
const LogInterval = time.Second

// RateLimiter logs events that can come in thousands: one line a second of each kind,
// with the number of those left out. The counters count all of them. The zero
// value is ready.
type RateLimiter struct {
	// Now is the time of day; nil for the system's.
	Now func() time.Time

	mu   sync.Mutex
	last map[uint32]time.Time
	left map[uint32]int
}

// Log logs the event, or counts it as left out.
func (l *RateLimiter) Log(logger logr.Logger, id Definition, kv ...any) {
	left, ok := l.take(id.Number)
	if !ok {
		count(id)
		return
	}
	if left > 0 {
		kv = append(kv, "left_out", left)
	}
	Log(logger, id, kv...)
}

func (l *RateLimiter) take(number uint32) (left int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.Now != nil {
		now = l.Now()
	}
	if l.last == nil {
		l.last, l.left = map[uint32]time.Time{}, map[uint32]int{}
	}
	if at, seen := l.last[number]; seen && now.Sub(at) < LogInterval {
		l.left[number]++
		return 0, false
	}
	left = l.left[number]
	l.last[number], l.left[number] = now, 0
	return left, true
}
