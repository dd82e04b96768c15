package clock_test

import (
	"testing"
	"time"

	"gypsumreel/internal/base/clock"
)

// Guards against a scheduled task starting two seconds early because the clocks
// of the leader's machine and of one other machine jumped.
func TestMedianClockIgnoresAMinorityOfWrongClocks(t *testing.T) {
	const boot, day = time.Hour, 20_000 * 24 * time.Hour
	var c clock.MedianClock
	if _, ok := c.TimeOfDay(boot); ok {
		t.Error("TimeOfDay returned a time without any sample")
	}
	for i, clockError := range []time.Duration{0, 2400 * time.Millisecond, 2400 * time.Millisecond, 3 * time.Millisecond, -2 * time.Millisecond} {
		c.Observe(string(rune('a'+i)), day+clockError, boot)
	}
	got, ok := c.TimeOfDay(boot + time.Second)
	if want := day + time.Second + 3*time.Millisecond; !ok || got != want {
		t.Errorf("time of day is %v, want %v", got, want)
	}
	// After a suspension all samples but the one with the wrong clock have expired.
	c.Observe("b", day+time.Hour, boot+time.Minute)
	if got, ok := c.TimeOfDay(boot + time.Minute); !ok || got != day+time.Minute+3*time.Millisecond {
		t.Errorf("with a single sample the time of day is %v", got)
	}
}
