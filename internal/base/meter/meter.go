// Package meter builds the names of metrics and holds the metrics that all processes
// have. A metric name consists of the prefix gypsumreel, the area, the measured
// quantity and its unit.
package meter

import (
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Prefix is the first part of every metric name.
const Prefix = "gypsumreel"

// ProcessMetrics holds the metrics that every process exports. /metrics writes it
// together with the sets of the components that the process runs.
var ProcessMetrics = metrics.NewSet()

// Label is one label of a metric.
type Label struct{ Name, Value string }

// Name returns gypsumreel_AREA_QUANTITY with the given labels. Label values are quoted
// and may contain any text.
func Name(area, quantity string, labels ...Label) string {
	var b strings.Builder
	b.WriteString(Prefix + "_" + area + "_" + quantity)
	for i, l := range labels {
		b.WriteString(string("{,"[min(i, 1)]) + l.Name + "=" + strconv.Quote(l.Value))
	}
	if len(labels) > 0 {
		b.WriteByte('}')
	}
	return b.String()
}
