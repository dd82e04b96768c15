// Package meter holds how metrics are named, and those that every process has.
// A name is gypsumreel, the area, what is counted, and its unit.
package meter

import (
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Prefix begins every name.
const Prefix = "gypsumreel"

// ProcessMetrics holds the metrics of all processes; /metrics shows it beside the sets
// of the parts that a process runs.
var ProcessMetrics = metrics.NewSet()

// Label is one label of a metric.
type Label struct{ Name, Value string }

// Name returns gypsumreel_AREA_WHAT with labels, whose values may hold any text.
func Name(area, what string, labels ...Label) string {
	var b strings.Builder
	b.WriteString(Prefix + "_" + area + "_" + what)
	for i, l := range labels {
		b.WriteString(string("{,"[min(i, 1)]) + l.Name + "=" + strconv.Quote(l.Value))
	}
	if len(labels) > 0 {
		b.WriteByte('}')
	}
	return b.String()
}
