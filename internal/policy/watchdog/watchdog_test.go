package watchdog_test

import (
	"testing"
	"time"

	"gypsumreel/internal/policy/watchdog"
)

// A server hangs: what it runs shows the same progress for ever. A long run that
// shows a percent now and then is sound.
func TestStuck(t *testing.T) {
	for _, c := range []struct {
		still, typical time.Duration
		want           bool
	}{
		{time.Second, time.Second, false},
		{3 * time.Second, time.Second, true},
		{time.Second, 600 * time.Millisecond, true},
		{700 * time.Millisecond, 100 * time.Millisecond, false},
		{2 * time.Second, 6 * time.Second, false},
		{3 * time.Second, time.Minute, false},
		{7 * time.Second, time.Minute, true},
	} {
		if got := watchdog.IsStuck(watchdog.Run{SinceProgress: c.still, TypicalRuntime: c.typical}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// A server has turned slow by many times. Its runs end sooner elsewhere, the more
// so when they go on from a checkpoint; a run that is off by twice is left alone.
func TestDrags(t *testing.T) {
	for _, c := range []struct {
		elapsed time.Duration
		percent float64
		saves   bool
		want    bool
	}{
		{time.Second, 1, true, false},
		{3 * time.Second, 10, false, true},
		{3 * time.Second, 30, false, false},
		{6 * time.Second, 50, false, false},
		{12 * time.Second, 50, true, true},
		{12 * time.Second, 90, true, false},
	} {
		r := watchdog.Run{Elapsed: c.elapsed, ProgressPercent: c.percent, TypicalRuntime: 6 * time.Second, Checkpoints: c.saves}
		if got := watchdog.IsSlow(r); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// A server fails all that it starts, and at once, so it always has room: without
// a pause it would draw in everything that waits and use up its attempts.
func TestStreak(t *testing.T) {
	var s watchdog.FailureStreak
	if d := s.RecordFailure("a"); d != 0 {
		t.Errorf("one failure rests it for %v", d)
	}
	if d := s.RecordFailure("a"); d != 0 {
		t.Errorf("two tasks of one flow rest it for %v", d)
	}
	first, second := s.RecordFailure("b"), s.RecordFailure("c")
	if first == 0 || second != 2*first {
		t.Errorf("rests of %v and %v", first, second)
	}
	s.RecordSuccess()
	if d := s.RecordFailure("d"); d != 0 {
		t.Errorf("one failure after a good end rests it for %v", d)
	}
}
