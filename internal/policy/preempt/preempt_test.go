package preempt_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/domain/capacity"
	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/policy/preempt"
)

func cpu(n int64) capacity.Size { return capacity.Size{CPU: n} }

func TestChooseTakesTheCheapestThatSuffices(t *testing.T) {
	candidates := []preempt.Victim[string]{{"small", cpu(1), 1}, {"large", cpu(4), 3}, {"dear", cpu(4), 9}}
	got, lost, ok := preempt.Choose(cpu(4), cpu(0), candidates)
	if diff := cmp.Diff([]preempt.Victim[string]{{"large", cpu(4), 3}}, got); diff != "" || lost != 3 || !ok {
		t.Error(diff, lost, ok)
	}
}

// What is chosen makes room, and nothing chosen could have been left running.
func TestChooseIsEnoughAndNotTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []preempt.Victim[int]
		sum := cpu(0)
		for i := range rapid.IntRange(0, 8).Draw(t, "victims") {
			v := preempt.Victim[int]{Item: i, Freed: cpu(rapid.Int64Range(1, 5).Draw(t, "room")), LostWork: float64(i)}
			candidates = append(candidates, v)
			sum = sum.Add(v.Freed)
		}
		need, free := cpu(rapid.Int64Range(1, 20).Draw(t, "need")), cpu(rapid.Int64Range(-3, 3).Draw(t, "free"))
		possible := need.Fits(free.Add(sum))
		chosen, _, ok := preempt.Choose(need, free, candidates)
		if ok != possible {
			t.Fatalf("chosen %v, possible %v", ok, possible)
		}
		for _, v := range chosen {
			free = free.Add(v.Freed)
		}
		if ok && !need.Fits(free) {
			t.Fatalf("%v is too little for %v", free, need)
		}
		for _, v := range chosen {
			if len(chosen) > 1 && need.Fits(free.Sub(v.Freed)) {
				t.Fatalf("%v need not stop", v)
			}
		}
	})
}
