package operator

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// DefaultRate is the sustained number of calls per second allowed for one key.
	DefaultRate = 50
	// DefaultBurst is the number of calls that one key may make at once.
	DefaultBurst = 200
	// maxTrackedKeys bounds the number of limiters kept. A caller can present any
	// number of key ids, because they are checked only later, by the leader.
	maxTrackedKeys = 1024
)

// RateLimits limits the rate of calls for each key. The zero value uses the defaults.
type RateLimits struct {
	Rate  rate.Limit
	Burst int

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// Allow reports whether one more call with the key is within the limit.
func (l *RateLimits) Allow(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiters == nil || len(l.limiters) >= maxTrackedKeys {
		l.limiters = make(map[string]*rate.Limiter)
	}
	limiter, ok := l.limiters[key]
	if !ok {
		limiter = rate.NewLimiter(l.rateAndBurst())
		l.limiters[key] = limiter
	}
	return limiter.Allow()
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
