package urgent_test

import (
	"testing"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/policy/urgent"
)

// The reserve must grow with a burst of arrivals, decay without arrivals, and never exceed
// its maximum fraction of the cell.
func TestReserveFollowsArrivals(t *testing.T) {
	var r urgent.Reserve
	taskSize, cellSize := capacity.Size{CPU: 1, Slots: 1}, capacity.Size{CPU: 1000, Slots: 1000}
	blocks := func() int { n, _ := r.Target(cellSize); return n }
	if blocks() != 0 {
		t.Error("blocks are reserved before the first urgent task arrived")
	}
	for i := range 10 {
		r.RecordArrival(time.Duration(i)*10*time.Millisecond, taskSize)
	}
	if blocks() != 10 {
		t.Errorf("%d blocks after a burst of 10, want 10", blocks())
	}
	r.Advance(20 * time.Minute)
	if blocks() != 0 {
		t.Errorf("%d blocks after 20 minutes without arrivals, want 0", blocks())
	}
	for range 500 {
		r.RecordArrival(20*time.Minute, taskSize)
	}
	if blocks() != 50 {
		t.Errorf("%d blocks, want 50, the maximum for a cell of 1000", blocks())
	}
}
