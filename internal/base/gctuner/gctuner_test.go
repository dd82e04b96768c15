package gctuner_test

import (
	"testing"

	"gypsumreel/internal/base/gctuner"
)

// Guards against a fixed percentage. At 100 percent the leader of hundreds of
// servers spent so much time on marking that callers waited for seconds, and a
// process with a small heap must stay small.
func TestPercentGrowsWithTheLiveHeap(t *testing.T) {
	const mb = 1 << 20
	previous := 0
	for _, c := range []struct {
		live uint64
		want int
	}{{0, 50}, {4 * mb, 50}, {10 * mb, 100}, {30 * mb, 300}, {1000 * mb, 400}} {
		got := gctuner.GCPercent(c.live)
		if got != c.want || got < previous {
			t.Errorf("live heap of %d MB: got %d percent, want %d", c.live/mb, got, c.want)
		}
		previous = got
	}
}
