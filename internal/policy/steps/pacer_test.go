package steps_test

import (
	"testing"
	"time"

	"gypsumreel/internal/policy/steps"
)

// Under overload, a plan takes 20 ms and the input changes on every turn of the thread. A
// leader that plans on every turn misses its heartbeats and is deposed.
func TestPlanningUsesABoundedPartOfTheThread(t *testing.T) {
	const turnTime, planTime = time.Millisecond, 20 * time.Millisecond
	var p steps.Pacer
	now, planning := time.Hour, time.Duration(0)
	begin := now
	for now < begin+10*time.Second {
		if p.Due(now, true) {
			p.Record(now, planTime)
			now += planTime
			planning += planTime
		}
		now += turnTime
	}
	if share := planning.Seconds() / (now - begin).Seconds(); share > 0.25 || share < 0.1 {
		t.Errorf("planning takes %.2f of the time of the thread, want 0.1 to 0.25", share)
	}
}

func TestShortPlansRunAfterEachChange(t *testing.T) {
	var p steps.Pacer
	p.Record(time.Hour, 50*time.Microsecond)
	if !p.Due(time.Hour+time.Millisecond, true) {
		t.Error("a changed input does not cause a plan although plans are short")
	}
	if p.Due(time.Hour+time.Millisecond, false) || !p.Due(time.Hour+time.Second, false) {
		t.Error("without a change, the next plan is not due after the maximum interval, or is due earlier")
	}
}

// The process is paused during one plan. If the pause counted as planning time, nothing would
// start for a second.
func TestOneSlowPlanDoesNotDelayTheNext(t *testing.T) {
	var p steps.Pacer
	at := time.Second
	for range 3 {
		p.Record(at, 2*time.Millisecond)
		at += 20 * time.Millisecond
	}
	p.Record(at, 200*time.Millisecond)
	if !p.Due(at+220*time.Millisecond, true) {
		t.Error("one slow plan delays the next one")
	}
	p.Record(at+220*time.Millisecond, 200*time.Millisecond)
	if p.Due(at+440*time.Millisecond, true) {
		t.Error("several slow plans in a row do not delay the next one")
	}
}
