// Package rate measures the use of a guaranteed rate. The use follows from the times of the
// acceptances alone, so that every leader computes the same use from the same ledger. It has
// no side effects.
package rate

import (
	"cmp"
	"slices"
	"time"
)

// BurstSeconds is the size of the burst that a customer may submit, in seconds of its
// guaranteed rate. Callers do not submit at an even rate.
const BurstSeconds = 2

// Bucket is a token bucket. Each acceptance within the rate takes one token.
type Bucket struct {
	// perSecond is the number of tokens that are added in a second, tokens their number at the
	// time filledAt.
	perSecond float64
	tokens    float64
	filledAt  time.Duration
}

// New returns a full bucket for a rate in acceptances per second.
func New(perSecond float64, now time.Duration) Bucket {
	return Bucket{perSecond: perSecond, tokens: burst(perSecond), filledAt: now}
}

// burst returns the most tokens that a bucket holds. A rate of less than one acceptance in
// BurstSeconds still guarantees one at a time.
func burst(perSecond float64) float64 { return max(perSecond*BurstSeconds, 1) }

// Rate returns the guaranteed rate in acceptances per second.
func (b Bucket) Rate() float64 { return b.perSecond }

// Used returns the used part of the burst at a time: 0 for a full bucket, 1 for an empty one.
func (b Bucket) Used(now time.Duration) float64 {
	return 1 - b.withTime(now).tokens/burst(b.perSecond)
}

// Exceeded reports whether an acceptance at a time would be beyond the rate.
func (b Bucket) Exceeded(now time.Duration) bool { return b.withTime(now).tokens < 1 }

// WithAcceptance returns the bucket after an acceptance, and whether the acceptance is beyond
// the rate. Such an acceptance takes no token.
func (b Bucket) WithAcceptance(now time.Duration) (after Bucket, surplus bool) {
	b = b.withTime(now)
	if b.tokens < 1 {
		return b, true
	}
	b.tokens--
	return b, false
}

// withTime returns the bucket refilled up to a time. A clock that stands still or steps back
// refills nothing.
func (b Bucket) withTime(now time.Duration) Bucket {
	if now > b.filledAt {
		b.tokens = min(b.tokens+b.perSecond*(now-b.filledAt).Seconds(), burst(b.perSecond))
		b.filledAt = now
	}
	return b
}

// Acceptance is the acceptance of one flow.
type Acceptance struct {
	ID string
	At time.Duration
}

// Replay returns the bucket after all acceptances of one customer, and the ids of those that
// were beyond the rate. It sorts the acceptances by time.
func Replay(perSecond float64, acceptances []Acceptance) (after Bucket, surplus []string) {
	slices.SortFunc(acceptances, func(a, b Acceptance) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	for i, a := range acceptances {
		if i == 0 {
			after = New(perSecond, a.At)
		}
		var beyond bool
		if after, beyond = after.WithAcceptance(a.At); beyond {
			surplus = append(surplus, a.ID)
		}
	}
	return after, surplus
}
