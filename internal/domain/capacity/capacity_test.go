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

// Fits must report true exactly when subtracting the demand leaves no negative
// field.
func TestFitsMatchesNonNegativeRemainder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need, free := drawSize(t, "need"), drawSize(t, "room")
		if got, want := need.Fits(free), free.Sub(need).Valid(); got != want {
			t.Fatalf("Fits = %v, remainder %v", got, free.Sub(need))
		}
	})
}

func TestWithinIgnoresUnlimitedFields(t *testing.T) {
	limit := capacity.Size{CPU: 10, Memory: capacity.Unlimited, Accel: 0, Slots: 1}
	if !(capacity.Size{CPU: 10, Memory: 1 << 40}).Within(limit) {
		t.Error("a size was refused because of an unlimited field")
	}
	if (capacity.Size{Accel: 1}).Within(limit) {
		t.Error("one accelerator was allowed by a limit of 0")
	}
}
