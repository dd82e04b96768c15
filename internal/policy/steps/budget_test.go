package steps_test

import (
	"fmt"
	"iter"
	"testing"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/steps"
)

// granting returns permissions that name one server, n times.
func granting(server string, n int) func(flow.StepID) iter.Seq2[string, steps.Permission] {
	return func(flow.StepID) iter.Seq2[string, steps.Permission] {
		return func(yield func(string, steps.Permission) bool) {
			for range n {
				if !yield(server, steps.Granted) {
					return
				}
			}
		}
	}
}

// endless returns an item in pool "pool" that needs permits and has more tasks than there is room
// for.
func endless(id string) steps.Item {
	out := item(id, tasks(200, 4000))
	out.NeedsPermit = true
	return out
}

// endlessView returns a view with some items whose work is n times as much as usual, and a last
// item, which the plan can place.
func endlessView(n int, items ...steps.Item) steps.View {
	other, last := server("c", 4000), item("y", tasks(1, 1000))
	other.Pool, last.Pool, last.Priority = "other", "other", 1
	v := view([]steps.Server{server("a", 4000), server("b", 4000), other}, append(items, last)...)
	v.Permissions = granting("a", n)
	return v
}

// Guards against a loop of the planner that takes all time of the leader: the item is given up as a
// whole, wherever the bound is reached, and the others are placed.
func TestItemWithEndlessWorkIsGivenUp(t *testing.T) {
	givenUp := 0
	for n := range 300 {
		plan := makeInTime(t, endlessView(n, endless("x")))
		if placed(plan)["y on c"] != 1 {
			t.Fatalf("n = %d: the plan places %v, want y on c too", n, placed(plan))
		}
		if len(plan.GivenUp) == 0 {
			continue
		}
		givenUp++
		if plan.GivenUp[0].Step.Flow != "x" || len(plan.Placements) != 1 || len(plan.Questions) != 0 {
			t.Fatalf("n = %d: the plan gives up %v, places %v and asks %v, want nothing of x", n, plan.GivenUp, placed(plan), plan.Questions)
		}
	}
	if givenUp == 0 {
		t.Error("no plan gave up the item")
	}
}

// Guards against a plan that takes too long because the work for many items is endless: it ends,
// and what was not given up is left to the next plan.
func TestPlanEndsAfterSeveralItemsWithEndlessWork(t *testing.T) {
	var items []steps.Item
	for i := range 100 {
		items = append(items, endless(fmt.Sprintf("x%02d", i)))
	}
	plan := makeInTime(t, endlessView(1000, items...))
	if n := len(plan.GivenUp); n == 0 || n > len(items)/10 || len(plan.Placements) != 0 {
		t.Errorf("%d items were given up and %d placed, want a few and none", n, len(plan.Placements))
	}
}
