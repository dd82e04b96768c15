package operator

import (
	"container/list"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// DefaultRate is the sustained number of calls per second allowed for one key.
	DefaultRate = 50
	// DefaultBurst is the number of calls that one key may make at once.
	DefaultBurst = 200
	// MaxTrackedKeys bounds the number of limiters kept. A caller can present any
	// number of key ids, because they are checked only later, by the leader.
	MaxTrackedKeys = 1024
)

// RateLimits limits the rate of calls for each key. The zero value uses the defaults.
type RateLimits struct {
	Rate  rate.Limit
	Burst int

	mu       sync.Mutex
	limiters map[string]*list.Element
	// byUse holds the keyLimiters, the most recently used one first.
	byUse list.List
}

type keyLimiter struct {
	key string
	*rate.Limiter
}

// Allow reports whether one more call with the key is within the limit. The limiter that was
// unused for the longest time makes room for that of a new key, so that made-up keys do not
// reset the limits of the keys in use.
func (l *RateLimits) Allow(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiters == nil {
		l.limiters = make(map[string]*list.Element)
	}
	e, ok := l.limiters[key]
	if !ok {
		if len(l.limiters) >= MaxTrackedKeys {
			delete(l.limiters, l.byUse.Remove(l.byUse.Back()).(keyLimiter).key)
		}
		e = l.byUse.PushFront(keyLimiter{key, rate.NewLimiter(l.rateAndBurst())})
		l.limiters[key] = e
	}
	l.byUse.MoveToFront(e)
	return e.Value.(keyLimiter).Allow()
}

func (l *RateLimits) rateAndBurst() (rate.Limit, int) {
	limit, burst := l.Rate, l.Burst
	if limit == 0 {
		limit = DefaultRate
	}
	if burst == 0 {
		burst = DefaultBurst
	}
	return limit, burst
}
