// Package admission decides whether a flow is accepted while customers compete for too little
// room. Package admit does so for jobs. It has no side effects.
package admission

import (
	"time"
)

// Bounds of the time after which a refused caller may retry.
const (
	// MinRetry is longer than the leader needs to learn the room that a plan leaves.
	MinRetry = 200 * time.Millisecond
	// MaxRetry limits the time for which a caller relies on one forecast.
	MaxRetry = 10 * time.Second
	// jitterShare is the part of the time to a retry by which callers are spread. Callers that
	// were refused in one burst would otherwise return in one.
	jitterShare = 0.5
)

// forecastError is the factor by which a flow may begin earlier than forecast, because the work
// before it ends earlier than declared.
const forecastError = 2

// Flow describes a flow that a caller submits.
type Flow struct {
	// Surplus is true when the flow is beyond the guaranteed rate of its customer.
	Surplus bool
	// Begin is the forecast of the time until the flow begins, or 0 if it can begin at once.
	Begin time.Duration
	// Slack is the longest time until the flow begins with which it ends within its objective; it
	// is negative if the flow cannot. WorthlessAfter is the longest time until it begins with
	// which its end has a value to its caller.
	Slack          time.Duration
	WorthlessAfter time.Duration
}

// Reason tells why a flow is refused.
type Reason string

// Reasons of a refusal.
const (
	// Accepted means that the flow is not refused.
	Accepted Reason = ""
	// BeyondRate means that the flow is beyond the guaranteed rate of its customer and could
	// not begin in time.
	BeyondRate Reason = "beyond-rate"
	// NoValue means that the flow would begin so late that its end has no value, even if the
	// forecast is too long by forecastError.
	NoValue Reason = "no-value"
)

// Decide returns why a flow is refused, or Accepted. A flow that can begin at once is always
// accepted: room that stays free helps nobody.
func Decide(f Flow) Reason {
	switch {
	case f.Begin <= 0:
		return Accepted
	case f.Surplus && f.Begin > f.Slack:
		return BeyondRate
	case f.Begin/forecastError > f.WorthlessAfter:
		return NoValue
	}
	return Accepted
}

// RetryAfter returns the time after which a refused flow could be accepted. jitter is a random
// number in [0, 1) that spreads the callers.
func RetryAfter(f Flow, jitter float64) time.Duration {
	wait := min(max(f.Begin-max(f.Slack, 0), MinRetry), MaxRetry)
	return wait + time.Duration(jitter*jitterShare*float64(wait))
}
