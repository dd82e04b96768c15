package watchdog_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/watchdog"
)

// The progress of a run on a hanging server never changes. A long run that advances by one
// percent from time to time is healthy.
func TestIsStuck(t *testing.T) {
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

// Runs on a server that has become many times slower end sooner elsewhere, even more so if they
// resume from a checkpoint. A run that takes twice the expected time is left alone.
func TestIsSlow(t *testing.T) {
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

// A server that fails every task at once always has free room. Without a pause it would attract
// all waiting tasks and use up their attempts.
func TestFailureStreak(t *testing.T) {
	var s watchdog.FailureStreak
	if d := s.RecordFailure("a"); d != 0 {
		t.Errorf("one failure pauses the server for %v", d)
	}
	if d := s.RecordFailure("a"); d != 0 {
		t.Errorf("two failed tasks of one flow pause the server for %v", d)
	}
	first, second := s.RecordFailure("b"), s.RecordFailure("c")
	if first == 0 || second != 2*first {
		t.Errorf("pauses of %v and %v, want the second to be twice the first", first, second)
	}
	s.RecordSuccess()
	if d := s.RecordFailure("d"); d != 0 {
		t.Errorf("one failure after a success pauses the server for %v", d)
	}
}

// Guards against a lasting task that fails at once and is started again without a pause, and against
// one that worked and waits.
func TestRestartsOfTasksThatFailAtOnceAreDelayed(t *testing.T) {
	var r watchdog.Restarts
	var got []time.Duration
	now := time.Minute
	for range 7 {
		got = append(got, r.RecordFailure(now, time.Millisecond))
		if r.RecordFailure(now, time.Millisecond) != 0 || r.Allowed(now) {
			t.Error("a failure during the pause lengthens it, or the pause is none")
		}
		now += got[len(got)-1]
		if !r.Allowed(now) {
			t.Error("the step may not be started after the pause")
		}
	}
	ms := time.Millisecond
	if diff := cmp.Diff([]time.Duration{50 * ms, 100 * ms, 200 * ms, 400 * ms, 800 * ms, time.Second, time.Second}, got); diff != "" {
		t.Error("pauses (-want +got):", diff)
	}
	if pause := r.RecordFailure(now, 3*time.Second); pause != 0 || !r.Allowed(now) {
		t.Errorf("pause of %v after a run that had begun its work", pause)
	}
}
