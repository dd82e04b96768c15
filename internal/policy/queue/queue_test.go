package queue_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/policy/queue"
)

type item struct{ key, rank int }

func compare(a, b item) int {
	if a.rank != b.rank {
		return a.rank - b.rank
	}
	return a.key - b.key
}

// The queue holds what a sorted list would hold after the same changes.
func TestQueueKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(func(i item) int { return i.key }, func(a, b item) bool { return compare(a, b) < 0 })
		var list []item
		for range rapid.IntRange(0, 100).Draw(t, "changes") {
			i := item{rapid.IntRange(0, 20).Draw(t, "key"), rapid.IntRange(0, 5).Draw(t, "rank")}
			list = slices.DeleteFunc(list, func(o item) bool { return o.key == i.key })
			if rapid.Bool().Draw(t, "remove") {
				q.Remove(i.key)
				continue
			}
			q.Add(i)
			list = append(list, i)
		}
		slices.SortFunc(list, compare)
		if diff := cmp.Diff(list, q.AppendFirst(1000, nil), cmp.AllowUnexported(item{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		if q.Len() != len(list) {
			t.Fatalf("%d items, want %d", q.Len(), len(list))
		}
	})
}
