// Package lease holds the rules of leases: how long a backend server may run
// what it was given without hearing from the leader, and how long the leader
// waits before it treats a lease as over. Renewals are not logged.
package lease

import "time"

// Defaults of a lease.
const (
	// DefaultLength is how long a server may go on after its last confirmed renewal.
	DefaultLength = 6 * time.Second
	// DefaultMaxClockDrift bounds how much two clocks' rates differ, as a fraction.
	DefaultMaxClockDrift = 0.01
)

// Terms are what leader and backend servers agree on.
type Terms struct {
	// Length of a lease, counted from the start of a confirmed heartbeat round.
	Length time.Duration
	// MaxClockDrift bounds the difference of two clocks' rates, as a fraction of 1.
	MaxClockDrift float64
}

// ExpiryWait returns how long the leader waits on its own clock until a lease of full
// length is over on any server's clock.
func (t Terms) ExpiryWait() time.Duration {
	return t.Length + time.Duration(float64(t.Length)*t.MaxClockDrift)
}

// Grant returns the lease of a renewal, counted by the server from when it sent
// its request. start is the start of the latest heartbeat round that a quorum
// confirmed, received when the request came. Since the send is not after
// received, the lease ends by start+Length whatever the answer's delay. A plain
// Length from the send would be wrong: with a round that began before the send
// it would reach past the wait of a leader elected in between, and a task would
// run in two places. Nor is it ever longer than Length: with a request that was
// held back the round may have begun after it came, and a server with a slow
// clock would run on beyond the wait, which allows for drift over one length.
func (t Terms) Grant(start, received time.Duration) time.Duration {
	return max(0, min(t.Length, start+t.Length-received))
}

// Tracker notes until when each server's lease may reach, on the leader's clock.
type Tracker struct {
	terms   Terms
	elected time.Duration
	ends    map[string]time.Duration
}

// NewTracker returns the book of a leader elected at the time given. Its
// predecessor may have renewed any lease until then, so none is over before a
// full wait has passed.
func NewTracker(terms Terms, elected time.Duration) *Tracker {
	return &Tracker{terms: terms, elected: elected, ends: map[string]time.Duration{}}
}

// Renew notes a renewal before its answer leaves, and returns what to grant.
func (b *Tracker) Renew(server string, start, received time.Duration) time.Duration {
	grant := b.terms.Grant(start, received)
	if grant > 0 {
		b.ends[server] = max(b.ends[server], start+b.terms.ExpiryWait())
	}
	return grant
}

// Expired tells whether the server's lease is over on every clock.
func (b *Tracker) Expired(server string, now time.Duration) bool {
	return now > b.elected+b.terms.ExpiryWait() && now > b.ends[server]
}

// Remaining returns how long it takes until the server's lease is over on every clock.
func (b *Tracker) Remaining(server string, now time.Duration) time.Duration {
	return max(0, max(b.elected+b.terms.ExpiryWait(), b.ends[server])-now)
}

// Forget drops a server's line; its session must be closed before.
func (b *Tracker) Forget(server string) { delete(b.ends, server) }
