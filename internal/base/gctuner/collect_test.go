package gctuner_test

import (
	"testing"

	"gypsumreel/internal/base/gctuner"
)

// The leader of hundreds of servers collected at twice its live heap, and callers
// waited for seconds while it marked; a process with little to hold has to stay
// small all the same.
func TestGarbageFollowsTheLiveHeap(t *testing.T) {
	const mb = 1 << 20
	last := 0
	for _, c := range []struct {
		live uint64
		want int
	}{{0, 50}, {4 * mb, 50}, {10 * mb, 100}, {30 * mb, 300}, {1000 * mb, 400}} {
		got := gctuner.GCPercent(c.live)
		if got != c.want || got < last {
			t.Errorf("%d MB: %d percent, want %d", c.live/mb, got, c.want)
		}
		last = got
	}
}
