package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumreel/internal/domain/lease"
	_ "gypsumreel/internal/fake/seed"
)

// A task runs in two places: a server's renewal is answered by a leader whose
// confirmed round is old, its answer is late, and a new leader is elected in
// between. The server counts its grant from the send, so whatever the times are,
// its lease must be over when the new leader's wait is, even on clocks whose
// rates differ by the stated drift.
func TestNoLeaseOutlivesTheNextLeadersWait(t *testing.T) {
	terms := lease.Terms{Length: lease.DefaultLength, MaxClockDrift: lease.DefaultMaxClockDrift}
	rapid.Check(t, func(t *rapid.T) {
		drawMillis := func(name string, maxMillis int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, maxMillis).Draw(t, name)) * time.Millisecond
		}
		roundStart := 10*time.Second + drawMillis("start", 20_000)
		// A request that is held back may be granted from a round that began
		// after it came in.
		receivedAt := roundStart + drawMillis("age", 10_000) - drawMillis("held", 3_000)
		sentAt := receivedAt - drawMillis("way", 5_000)
		// A later leader is elected after the round that this one had confirmed began.
		nextElectedAt := roundStart + drawMillis("elected", 10_000)

		oldTracker := lease.NewTracker(terms, 0)
		grant := oldTracker.Renew("s", roundStart, receivedAt)
		if grant == 0 {
			return
		}
		// The server's clock may be the slower one.
		leaseEnd := sentAt + time.Duration(float64(grant)*(1+terms.MaxClockDrift))
		nextTracker := lease.NewTracker(terms, nextElectedAt)
		if nextTracker.Expired("s", leaseEnd-1) {
			t.Fatalf("the next leader calls the lease over at %v, it ends at %v", leaseEnd-1, leaseEnd)
		}
		if oldTracker.Expired("s", leaseEnd-1) {
			t.Fatalf("the same leader calls the lease over at %v, it ends at %v", leaseEnd-1, leaseEnd)
		}
	})
}

func TestGrantIsNeverNegative(t *testing.T) {
	terms := lease.Terms{Length: time.Second}
	if grant := terms.Grant(0, 5*time.Second); grant != 0 {
		t.Errorf("an old round grants %v", grant)
	}
}
