package files

import (
	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/base/meter"
)

// RegisterMetrics shows the budget in a set of metrics.
func (b *Budget) RegisterMetrics(set *metrics.Set) {
	for i, r := range b.Usage() {
		gauge := func(what string, value func(PurposeUsage) int) {
			set.NewGauge(meter.Name("files", what, meter.Label{Name: "use", Value: r.Use}), func() float64 { return float64(value(b.Usage()[i])) })
		}
		gauge("open", func(r PurposeUsage) int { return r.Open })
		gauge("share", func(r PurposeUsage) int { return r.Share })
		gauge("waits_total", func(r PurposeUsage) int { return r.Waits })
	}
}
