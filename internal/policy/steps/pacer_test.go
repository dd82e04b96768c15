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
			p.Record(now, plan)
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
	p.Record(time.Hour, 50*time.Microsecond)
	if !p.Due(time.Hour+time.Millisecond, true) {
		t.Error("a change waits although planning is cheap")
	}
	if p.Due(time.Hour+time.Millisecond, false) || !p.Due(time.Hour+time.Second, false) {
		t.Error("without a change a plan is made now and then only")
	}
}

// The process stood still for a moment while a plan was made. Nothing would start
// for a second if that counted as the time that plans take.
func TestStandstillInOnePlanDelaysNoOther(t *testing.T) {
	var p steps.Pacer
	at := time.Second
	for range 3 {
		p.Record(at, 2*time.Millisecond)
		at += 20 * time.Millisecond
	}
	p.Record(at, 200*time.Millisecond)
	if !p.Due(at+220*time.Millisecond, true) {
		t.Error("the next plan waits for what was no plan's time")
	}
	p.Record(at+220*time.Millisecond, 200*time.Millisecond)
	if p.Due(at+440*time.Millisecond, true) {
		t.Error("plans that take long one after the other leave no time for the rest")
	}
}
