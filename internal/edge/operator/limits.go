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
	// maxKeys bounds the keys remembered; an unknown key is not proved to exist.
	maxKeys = 1024
)

// RateLimits bounds the rate of calls by key. The zero value has the defaults.
type RateLimits struct {
	Rate  rate.Limit
	Burst int

	mu   sync.Mutex
	keys map[string]*rate.Limiter
}

// Allow tells whether one more call with the key is within the limit.
func (l *RateLimits) Allow(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == nil || len(l.keys) >= maxKeys {
		l.keys = make(map[string]*rate.Limiter)
	}
	one, ok := l.keys[key]
	if !ok {
		one = rate.NewLimiter(l.bounds())
		l.keys[key] = one
	}
	return one.Allow()
}

func (l *RateLimits) bounds() (rate.Limit, int) {
	r, b := l.Rate, l.Burst
	if r == 0 {
		r = DefaultRate
	}
	if b == 0 {
		b = DefaultBurst
	}
	return r, b
}
