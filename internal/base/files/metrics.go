package files

import (
	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/base/meter"
)

// RegisterMetrics adds gauges for the usage of each purpose to a set of metrics.
func (b *Budget) RegisterMetrics(set *metrics.Set) {
	for i, usage := range b.Usage() {
		gauge := func(name string, value func(PurposeUsage) int) {
			set.NewGauge(meter.Name("files", name, meter.Label{Name: "use", Value: usage.Use}), func() float64 { return float64(value(b.Usage()[i])) })
		}
		gauge("open", func(r PurposeUsage) int { return r.Open })
		gauge("share", func(r PurposeUsage) int { return r.Share })
		gauge("waits_total", func(r PurposeUsage) int { return r.Waits })
	}
}
