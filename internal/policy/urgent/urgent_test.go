package urgent_test

import (
	"testing"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/policy/urgent"
)

// The reserve grows with a burst, fades when none comes, and never takes more
// than its part of the cell.
func TestReserveFollowsArrivals(t *testing.T) {
	var r urgent.Reserve
	one, cell := capacity.Size{CPU: 1, Slots: 1}, capacity.Size{CPU: 1000, Slots: 1000}
	target := func() int { n, _ := r.Target(cell); return n }
	if target() != 0 {
		t.Error("something is reserved before anything urgent came")
	}
	for i := range 10 {
		r.RecordArrival(time.Duration(i)*10*time.Millisecond, one)
	}
	if target() != 10 {
		t.Errorf("%d rooms after a burst of 10", target())
	}
	r.Advance(20 * time.Minute)
	if target() != 0 {
		t.Errorf("%d rooms after 20 quiet minutes", target())
	}
	for range 500 {
		r.RecordArrival(20*time.Minute, one)
	}
	if target() != 50 {
		t.Errorf("%d rooms, the cap is a twentieth of 1000", target())
	}
}
