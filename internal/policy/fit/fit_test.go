package fit_test

import (
	"testing"

	"pgregory.net/rapid"

	"gypsumreel/internal/domain/capacity"
	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/policy/fit"
)

var most = capacity.Size{CPU: 16_000, Memory: 32 << 10, Accel: 4, Slots: 8}

func size(t *rapid.T, name string) capacity.Size {
	return capacity.Size{
		CPU:    rapid.Int64Range(0, most.CPU).Draw(t, name+" cpu"),
		Memory: rapid.Int64Range(0, most.Memory).Draw(t, name+" memory"),
		Accel:  rapid.Int64Range(0, most.Accel).Draw(t, name+" accel"),
		Slots:  rapid.Int64Range(0, most.Slots).Draw(t, name+" slots"),
	}
}

// remainder is what a search is to keep small.
func remainder(need, free capacity.Size) float64 {
	r := free.Sub(need).Dominant(most)
	if need.Accel == 0 && free.Accel > 0 {
		r++
	}
	return r
}

// A search finds something whenever a scan of all would, and what it finds is at
// most one level worse than the best of the scan.
func TestBestAgreesWithAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := fit.NewIndex[int]()
		x.Grow(most)
		free := make([]capacity.Size, rapid.IntRange(1, 30).Draw(t, "servers"))
		spots := make([]fit.Element[int], len(free))
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			i := rapid.IntRange(0, len(free)-1).Draw(t, "server")
			spots[i].Item = i
			free[i] = size(t, "free")
			x.Update(&spots[i], free[i])
			check(t, x, free, size(t, "need"))
		}
	})
}

func check(t *rapid.T, x *fit.Index[int], free []capacity.Size, need capacity.Size) {
	best := fit.WorstScore
	for _, f := range free {
		if need.Fits(f) && !f.IsZero() {
			best = min(best, remainder(need, f))
		}
	}
	got, _, ok := x.Best(need, fit.WorstScore, nil)
	if need.IsZero() {
		return
	}
	if ok != (best < fit.WorstScore) {
		t.Fatalf("found %v, a scan finds the score %v", ok, best)
	}
	if !ok {
		return
	}
	if !need.Fits(free[got]) {
		t.Fatalf("%v does not fit into %v", need, free[got])
	}
	if r := remainder(need, free[got]); r > best+1.0/4+1e-9 {
		t.Fatalf("leaves %v, the best leaves %v", r, best)
	}
}

// A full cell of 4,000 servers is looked at in far fewer places.
func TestCellsStayFewerThanItems(t *testing.T) {
	x := fit.NewIndex[int]()
	x.Grow(most)
	spots := make([]fit.Element[int], 4000)
	for i := range spots {
		n := int64(i % 7)
		x.Update(&spots[i], most.Sub(capacity.Size{CPU: 2000, Memory: 4096, Slots: 1}.Times(n)))
	}
	if x.BucketCount() != 7 {
		t.Errorf("%d cells for 7 kinds of room", x.BucketCount())
	}
}
