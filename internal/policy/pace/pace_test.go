package pace_test

import (
	"testing"

	"gypsumreel/internal/policy/pace"
)

// What fills a server disturbs what serves there so much that its answers take
// three times as long as they may. The disturbance grows with the pace; looked at
// twice a second, it must be gone well within four seconds, and what fills must
// get back most of what does no harm.
func TestTargetIsMetSoonAndRoomIsUsed(t *testing.T) {
	tail := func(percent int) float64 { return 50 + 2.5*float64(percent) }
	now, missed := pace.Full, 0
	for look := range 60 {
		if tail(now) > 100 {
			missed++
			if look > 5 {
				t.Errorf("missed at look %d with a pace of %d", look, now)
			}
		}
		now = pace.Next(now, []pace.ServiceTask{{TailLatency: tail(now), TargetLatency: 100}})
	}
	if missed > 4 || now < 5 {
		t.Errorf("missed %d times, the pace is %d in the end", missed, now)
	}
}

func TestNobodyServesOrNothingHelps(t *testing.T) {
	if got := pace.Next(pace.Full, nil); got != pace.Full {
		t.Error(got)
	}
	now := pace.Full
	for range 5 {
		now = pace.Next(now, []pace.ServiceTask{{TailLatency: 500, TargetLatency: 100}})
	}
	if now != 0 {
		t.Error(now)
	}
	if got := pace.Next(0, []pace.ServiceTask{{TailLatency: 1, TargetLatency: 100}}); got == 0 {
		t.Error("a stopped task never goes on")
	}
}
