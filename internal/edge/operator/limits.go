package operator

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// DefaultRate is the calls per second that one key may make.
	DefaultRate = 50
	// DefaultBurst is how many of them may come at once.
	DefaultBurst = 200
	// maxTrackedKeys bounds the keys remembered; an unknown key is not proved to exist.
	maxTrackedKeys = 1024
)

// RateLimits bounds the rate of calls by key. The zero value has the defaults.
type RateLimits struct {
	Rate  rate.Limit
	Burst int

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// Allow tells whether one more call with the key is within the limit.
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
