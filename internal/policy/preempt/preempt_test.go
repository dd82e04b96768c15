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

// A victim that suffices alone must be preferred over several small ones, and the one with
// the least lost work among those.
func TestChooseTakesCheapestSufficientVictim(t *testing.T) {
	candidates := []preempt.Victim[string]{{"small", cpu(1), 1}, {"large", cpu(4), 3}, {"expensive", cpu(4), 9}}
	got, lost, ok := preempt.Choose(cpu(4), cpu(0), candidates)
	if diff := cmp.Diff([]preempt.Victim[string]{{"large", cpu(4), 3}}, got); diff != "" || lost != 3 || !ok {
		t.Error(diff, lost, ok)
	}
}

// The chosen victims must free enough capacity, and each of them must be needed for it.
func TestChooseIsSufficientAndMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []preempt.Victim[int]
		sum := cpu(0)
		for i := range rapid.IntRange(0, 8).Draw(t, "victims") {
			v := preempt.Victim[int]{Item: i, Freed: cpu(rapid.Int64Range(1, 5).Draw(t, "room")), LostWork: float64(i)}
			candidates = append(candidates, v)
			sum = sum.Add(v.Freed)
		}
		need, free := cpu(rapid.Int64Range(1, 20).Draw(t, "need")), cpu(rapid.Int64Range(-3, 3).Draw(t, "free"))
		sufficient := need.Fits(free.Add(sum))
		chosen, _, ok := preempt.Choose(need, free, candidates)
		if ok != sufficient {
			t.Fatalf("victims found: %v, enough candidates: %v", ok, sufficient)
		}
		for _, v := range chosen {
			free = free.Add(v.Freed)
		}
		if ok && !need.Fits(free) {
			t.Fatalf("free capacity %v after preemption is less than %v", free, need)
		}
		for _, v := range chosen {
			if len(chosen) > 1 && need.Fits(free.Sub(v.Freed)) {
				t.Fatalf("victim %v is not needed", v)
			}
		}
	})
}
