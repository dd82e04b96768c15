package setaside_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/setaside"
)

// A step whose plan does not end: it is tried again after a time that doubles, and again after a
// second once it was planned well for long enough.
func TestPauseDoublesUpToABoundAndStartsAnew(t *testing.T) {
	var s setaside.Set[string]
	now, got := time.Duration(0), []time.Duration(nil)
	for range 8 {
		pause := s.Add("a", now)
		if !s.Contains("a", now+pause-1) || s.Contains("a", now+pause) {
			t.Errorf("after %v the value is not set aside for %v", now, pause)
		}
		got, now = append(got, pause/time.Second), now+pause
	}
	now += time.Minute
	got = append(got, s.Add("a", now)/time.Second)
	if diff := cmp.Diff([]time.Duration{1, 2, 4, 8, 16, 32, 60, 60, 1}, got); diff != "" {
		t.Error(diff)
	}
}

// Several reports of one plan that stood: each other replica hears of it.
func TestValueThatIsSetAsideDoesNotCountAgain(t *testing.T) {
	var s setaside.Set[string]
	s.Add("a", 0)
	if pause := s.Add("a", 400*time.Millisecond); pause != 600*time.Millisecond || s.Contains("a", time.Second) {
		t.Errorf("the value is set aside for %v more, want what was left", pause)
	}
}

// A fault that affects each step of a large backlog.
func TestSetIsBounded(t *testing.T) {
	var s setaside.Set[int]
	const values = 3000
	for i := range values {
		s.Add(i, time.Duration(i))
	}
	present := s.Present(values)
	if len(present) == 0 || len(present) > 1000 || !present[values-1] {
		t.Errorf("%d values are set aside, want at most 1000 with the latest", len(present))
	}
	if got := s.Present(time.Hour); got != nil {
		t.Errorf("%d values are set aside after an hour", len(got))
	}
}
