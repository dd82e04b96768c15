// Package lease defines the leases of backend servers. A lease limits how long a
// server may run its tasks without contact to the leader. It also determines how
// long the leader waits before it treats the lease as expired. Renewals are not
// written to the replicated log.
package lease

import "time"

// Defaults of a lease.
const (
	// DefaultLength is how long a server may continue after its last confirmed renewal.
	DefaultLength = 6 * time.Second
	// DefaultMaxClockDrift is the maximum difference between the rates of two clocks, as
	// a fraction of 1.
	DefaultMaxClockDrift = 0.01
)

// Terms are the lease parameters that the leader and the backend servers share.
type Terms struct {
	// Length is the duration of a lease from the start of a confirmed heartbeat round.
	Length time.Duration
	// MaxClockDrift is the maximum difference between the rates of two clocks, as a
	// fraction of 1.
	MaxClockDrift float64
}

// ExpiryWait returns the time on the leader's clock after which a lease of full
// length has expired on every server's clock.
func (t Terms) ExpiryWait() time.Duration {
	return t.Length + time.Duration(float64(t.Length)*t.MaxClockDrift)
}

// Grant returns the duration of the lease that a renewal grants. The server counts
// it from the time at which it sent the request. roundStart is the start of the
// latest heartbeat round that a quorum confirmed. receivedAt is the time at which
// the leader received the request. The server sent the request no later than
// receivedAt, so the lease ends by roundStart+Length however long the reply takes.
//
// Granting Length from the time of sending would be unsafe. If the round began
// before the request was sent, the lease could outlast the wait of a leader that
// was elected in between, and a task would run in two places.
//
// The grant never exceeds Length. If the request was delayed before processing, the
// round may have begun after the request was received. A server with a slow clock
// could then run past ExpiryWait, which allows for drift over one Length only.
func (t Terms) Grant(roundStart, receivedAt time.Duration) time.Duration {
	return max(0, min(t.Length, roundStart+t.Length-receivedAt))
}

// Tracker records, on the leader's clock, by when the lease of each server has
// expired.
type Tracker struct {
	terms     Terms
	electedAt time.Duration
	expiresBy map[string]time.Duration
}

// NewTracker returns the Tracker of a leader that was elected at electedAt. The
// previous leader may have renewed any lease until then, so no lease counts as
// expired before ExpiryWait has passed.
func NewTracker(terms Terms, electedAt time.Duration) *Tracker {
	return &Tracker{terms: terms, electedAt: electedAt, expiresBy: map[string]time.Duration{}}
}

// Renew records a renewal and returns the duration to grant. It must be called
// before the reply is sent.
func (t *Tracker) Renew(server string, roundStart, receivedAt time.Duration) time.Duration {
	grant := t.terms.Grant(roundStart, receivedAt)
	if grant > 0 {
		t.expiresBy[server] = max(t.expiresBy[server], roundStart+t.terms.ExpiryWait())
	}
	return grant
}

// Expired reports whether the server's lease has expired on every clock.
func (t *Tracker) Expired(server string, now time.Duration) bool {
	return now > t.electedAt+t.terms.ExpiryWait() && now > t.expiresBy[server]
}

// Remaining returns the time until the server's lease has expired on every clock.
func (t *Tracker) Remaining(server string, now time.Duration) time.Duration {
	return max(0, max(t.electedAt+t.terms.ExpiryWait(), t.expiresBy[server])-now)
}

// Forget removes the record of a server's lease. The session of the server must be
// closed first.
func (t *Tracker) Forget(server string) { delete(t.expiresBy, server) }
