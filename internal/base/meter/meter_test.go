package meter_test

import (
	"testing"

	"gypsumreel/internal/base/meter"
)

func TestNames(t *testing.T) {
	for want, got := range map[string]string{
		`gypsumreel_entry_calls_total`: meter.Name("entry", "calls_total"),
		`gypsumreel_a_b{c="\"",d="e"}`: meter.Name("a", "b", meter.Label{Name: "c", Value: `"`}, meter.Label{Name: "d", Value: "e"}),
	} {
		meter.ProcessMetrics.GetOrCreateCounter(got).Inc()
		if got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
