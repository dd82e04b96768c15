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
		ms := func(name string, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, most).Draw(t, name)) * time.Millisecond
		}
		start := 10*time.Second + ms("start", 20_000)
		// A request that is held back may be granted from a round that began
		// after it came in.
		received := start + ms("age", 10_000) - ms("held", 3_000)
		sent := received - ms("way", 5_000)
		// A later leader is elected after the round that this one had confirmed began.
		elected := start + ms("elected", 10_000)

		old := lease.NewTracker(terms, 0)
		grant := old.Renew("s", start, received)
		if grant == 0 {
			return
		}
		// The server's clock may be the slower one.
		end := sent + time.Duration(float64(grant)*(1+terms.MaxClockDrift))
		next := lease.NewTracker(terms, elected)
		if next.Expired("s", end-1) {
			t.Fatalf("the next leader calls the lease over at %v, it ends at %v", end-1, end)
		}
		if old.Expired("s", end-1) {
			t.Fatalf("the same leader calls the lease over at %v, it ends at %v", end-1, end)
		}
	})
}

func TestGrantIsNeverNegative(t *testing.T) {
	terms := lease.Terms{Length: time.Second}
	if g := terms.Grant(0, 5*time.Second); g != 0 {
		t.Errorf("an old round grants %v", g)
	}
}
