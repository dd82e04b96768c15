package clock_test

import (
	"testing"
	"time"

	"gypsumreel/internal/base/clock"
)

// A task that is due at noon starts two seconds early: the time of day of the
// machine that leads has jumped, and of one more. The others know better.
func TestAgreedTimeStandsWhenSomeJump(t *testing.T) {
	const boot, day = time.Hour, 20_000 * 24 * time.Hour
	var a clock.MedianClock
	if _, ok := a.TimeOfDay(boot); ok {
		t.Error("a time of day by nobody's word")
	}
	for i, wrong := range []time.Duration{0, 2400 * time.Millisecond, 2400 * time.Millisecond, 3 * time.Millisecond, -2 * time.Millisecond} {
		a.Observe(string(rune('a'+i)), day+wrong, boot)
	}
	got, ok := a.TimeOfDay(boot + time.Second)
	if want := day + time.Second + 3*time.Millisecond; !ok || got != want {
		t.Errorf("the time is %v, want %v", got, want)
	}
	// A leader that was suspended has heard nobody lately; its own clock is wrong.
	a.Observe("b", day+time.Hour, boot+time.Minute)
	if got, ok := a.TimeOfDay(boot + time.Minute); !ok || got != day+time.Minute+3*time.Millisecond {
		t.Errorf("by one voice the time is %v", got)
	}
}
