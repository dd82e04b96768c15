package capacity_test

import (
	"testing"

	"pgregory.net/rapid"

	"gypsumreel/internal/domain/capacity"
	_ "gypsumreel/internal/fake/seed"
)

func drawSize(t *rapid.T, name string) capacity.Size {
	value := rapid.Int64Range(0, 1_000)
	return capacity.Size{CPU: value.Draw(t, name+"cpu"), Memory: value.Draw(t, name+"memory"), Accel: value.Draw(t, name+"accel"), Slots: value.Draw(t, name+"slots")}
}

// What fits into a room leaves a valid rest, and what does not fit leaves none.
func TestFitsMatchesNonNegativeRemainder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need, free := drawSize(t, "need"), drawSize(t, "room")
		if got, want := need.Fits(free), free.Sub(need).Valid(); got != want {
			t.Fatalf("Fits = %v, rest %v", got, free.Sub(need))
		}
	})
}

func TestWithinIgnoresUnlimitedFields(t *testing.T) {
	limit := capacity.Size{CPU: 10, Memory: capacity.Unlimited, Accel: 0, Slots: 1}
	if !(capacity.Size{CPU: 10, Memory: 1 << 40}).Within(limit) {
		t.Error("an unlimited field binds")
	}
	if (capacity.Size{Accel: 1}).Within(limit) {
		t.Error("a limit of nothing binds nothing")
	}
}
