package files

import (
	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/base/meter"
)

// RegisterMetrics shows the budget in a set of metrics.
func (b *Budget) RegisterMetrics(set *metrics.Set) {
	for i, r := range b.Rows() {
		gauge := func(what string, value func(Row) int) {
			set.NewGauge(meter.Name("files", what, meter.Label{Name: "use", Value: r.Use}), func() float64 { return float64(value(b.Rows()[i])) })
		}
		gauge("open", func(r Row) int { return r.Open })
		gauge("share", func(r Row) int { return r.Share })
		gauge("waits_total", func(r Row) int { return r.Waits })
	}
}
