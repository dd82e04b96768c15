package fit_test

import (
	"testing"

	"pgregory.net/rapid"

	"gypsumreel/internal/domain/capacity"
	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/policy/fit"
)

// maxSize is the capacity of an empty server in the tests.
var maxSize = capacity.Size{CPU: 16_000, Memory: 32 << 10, Accel: 4, Slots: 8}

func drawSize(t *rapid.T, name string) capacity.Size {
	return capacity.Size{
		CPU:    rapid.Int64Range(0, maxSize.CPU).Draw(t, name+" cpu"),
		Memory: rapid.Int64Range(0, maxSize.Memory).Draw(t, name+" memory"),
		Accel:  rapid.Int64Range(0, maxSize.Accel).Draw(t, name+" accel"),
		Slots:  rapid.Int64Range(0, maxSize.Slots).Draw(t, name+" slots"),
	}
}

// remainder returns the score that a search minimizes, computed from the exact free capacity.
func remainder(need, free capacity.Size) float64 {
	score := free.Sub(need).DominantShare(maxSize)
	if need.Accel == 0 && free.Accel > 0 {
		score++
	}
	return score
}

// A search of the index must find an item whenever a scan of all items does. The item may be
// at most one level worse than the best of the scan.
func TestBestMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := fit.NewIndex[int]()
		x.Grow(maxSize)
		free := make([]capacity.Size, rapid.IntRange(1, 30).Draw(t, "servers"))
		elements := make([]fit.Element[int], len(free))
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			i := rapid.IntRange(0, len(free)-1).Draw(t, "server")
			elements[i].Item = i
			free[i] = drawSize(t, "free")
			x.Update(&elements[i], free[i])
			checkAgainstScan(t, x, free, drawSize(t, "need"))
		}
	})
}

// checkAgainstScan compares the result of a search with a scan of all items.
func checkAgainstScan(t *rapid.T, x *fit.Index[int], free []capacity.Size, need capacity.Size) {
	best := fit.WorstScore
	for _, f := range free {
		if need.Fits(f) && !f.IsZero() {
			best = min(best, remainder(need, f))
		}
	}
	selected, _, ok := x.Best(need, fit.WorstScore, nil)
	if need.IsZero() {
		return
	}
	if ok != (best < fit.WorstScore) {
		t.Fatalf("index search found an item: %v, best score of a full scan: %v", ok, best)
	}
	if !ok {
		return
	}
	if !need.Fits(free[selected]) {
		t.Fatalf("need %v does not fit into the free capacity %v of the selected item", need, free[selected])
	}
	if score := remainder(need, free[selected]); score > best+1.0/4+1e-9 {
		t.Fatalf("selected item has score %v, best score of a full scan is %v", score, best)
	}
}

// Items with equal free capacity must share a bucket. Otherwise a search of 4,000 servers
// would examine each of them.
func TestEqualSizesShareABucket(t *testing.T) {
	x := fit.NewIndex[int]()
	x.Grow(maxSize)
	elements := make([]fit.Element[int], 4000)
	for i := range elements {
		tasks := int64(i % 7)
		x.Update(&elements[i], maxSize.Sub(capacity.Size{CPU: 2000, Memory: 4096, Slots: 1}.Times(tasks)))
	}
	if x.BucketCount() != 7 {
		t.Errorf("%d buckets for 7 different free capacities", x.BucketCount())
	}
}
