package pace_test

import (
	"testing"

	"gypsumreel/internal/policy/pace"
)

// What fills a server disturbs what serves there so much that its answers take
// three times as long as they may. The disturbance grows with the pace; looked at
// twice a second, it must be gone well within four seconds, and what fills must
// get back most of what does no harm.
func TestLatencyTargetIsMetAndCapacityIsUsed(t *testing.T) {
	latencyAt := func(percent int) float64 { return 50 + 2.5*float64(percent) }
	percent, missed := pace.Full, 0
	for round := range 60 {
		if latencyAt(percent) > 100 {
			missed++
			if round > 5 {
				t.Errorf("missed at look %d with a pace of %d", round, percent)
			}
		}
		percent = pace.Next(percent, []pace.ServiceTask{{TailLatency: latencyAt(percent), TargetLatency: 100}})
	}
	if missed > 4 || percent < 5 {
		t.Errorf("missed %d times, the pace is %d in the end", missed, percent)
	}
}

func TestPaceWithoutServicesAndWithUnreachableTarget(t *testing.T) {
	if got := pace.Next(pace.Full, nil); got != pace.Full {
		t.Error(got)
	}
	percent := pace.Full
	for range 5 {
		percent = pace.Next(percent, []pace.ServiceTask{{TailLatency: 500, TargetLatency: 100}})
	}
	if percent != 0 {
		t.Error(percent)
	}
	if got := pace.Next(0, []pace.ServiceTask{{TailLatency: 1, TargetLatency: 100}}); got == 0 {
		t.Error("a stopped task never goes on")
	}
}
