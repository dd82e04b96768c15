package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumreel/internal/domain/lease"
	_ "gypsumreel/internal/fake/seed"
)

// Guards against a task that runs in two places. A leader whose confirmed round is
// old answers a renewal late, and a new leader is elected in between. The server
// counts the grant from the time of sending, so its lease must expire before the
// wait of the new leader ends, also with the maximum clock drift.
func TestNoLeaseOutlivesTheNextLeadersWait(t *testing.T) {
	terms := lease.Terms{Length: lease.DefaultLength, MaxClockDrift: lease.DefaultMaxClockDrift}
	rapid.Check(t, func(t *rapid.T) {
		drawMillis := func(name string, maxMillis int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, maxMillis).Draw(t, name)) * time.Millisecond
		}
		roundStart := 10*time.Second + drawMillis("start", 20_000)
		// A delayed request may be granted from a round that began after the
		// request was received.
		receivedAt := roundStart + drawMillis("age", 10_000) - drawMillis("held", 3_000)
		sentAt := receivedAt - drawMillis("way", 5_000)
		// The next leader is elected after the start of the confirmed round.
		nextElectedAt := roundStart + drawMillis("elected", 10_000)

		oldTracker := lease.NewTracker(terms, 0)
		grant := oldTracker.Renew("s", roundStart, receivedAt)
		if grant == 0 {
			return
		}
		// The server's clock may run slower than the leader's.
		leaseEnd := sentAt + time.Duration(float64(grant)*(1+terms.MaxClockDrift))
		nextTracker := lease.NewTracker(terms, nextElectedAt)
		if nextTracker.Expired("s", leaseEnd-1) {
			t.Fatalf("the next leader treats the lease as expired at %v, but it ends at %v", leaseEnd-1, leaseEnd)
		}
		if oldTracker.Expired("s", leaseEnd-1) {
			t.Fatalf("the granting leader treats the lease as expired at %v, but it ends at %v", leaseEnd-1, leaseEnd)
		}
	})
}

func TestGrantIsNeverNegative(t *testing.T) {
	terms := lease.Terms{Length: time.Second}
	if grant := terms.Grant(0, 5*time.Second); grant != 0 {
		t.Errorf("a round older than the lease length grants %v, want 0", grant)
	}
}
