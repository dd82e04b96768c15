package steps_test

import (
	"testing"
	"time"

	"gypsumreel/internal/policy/steps"
)

// Twice as much comes as can run. Each plan over the backlog takes 20 ms, and
// something changes at every turn of the thread. The leader that plans at each
// turn misses its heartbeats and is deposed; planning must leave it most of its time.
func TestPlanningLeavesTimeForTheRest(t *testing.T) {
	const turn, plan = time.Millisecond, 20 * time.Millisecond
	var p steps.Pacer
	now, planning := time.Hour, time.Duration(0)
	begin := now
	for now < begin+10*time.Second {
		if p.Due(now, true) {
			p.Made(now, plan)
			now += plan
			planning += plan
		}
		now += turn
	}
	if share := planning.Seconds() / (now - begin).Seconds(); share > 0.25 || share < 0.1 {
		t.Errorf("planning takes %.2f of the thread", share)
	}
}

func TestShortPlansFollowEachChange(t *testing.T) {
	var p steps.Pacer
	p.Made(time.Hour, 50*time.Microsecond)
	if !p.Due(time.Hour+time.Millisecond, true) {
		t.Error("a change waits although planning is cheap")
	}
	if p.Due(time.Hour+time.Millisecond, false) || !p.Due(time.Hour+time.Second, false) {
		t.Error("without a change a plan is made now and then only")
	}
}
