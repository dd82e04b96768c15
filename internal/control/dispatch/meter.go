package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/meter"
)

// area names the metrics of this part.
const area = "flows"

// meters are the metrics of a dispatcher.
type meters struct {
	set      *metrics.Set
	accepted *metrics.Counter
	commit   *metrics.PrometheusHistogram
	plan     *metrics.PrometheusHistogram
	open     *metrics.Gauge
	servers  *metrics.Gauge
	version  *metrics.Gauge
	drained  *metrics.Gauge
}

func newMeters(set *metrics.Set) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meters{
		set:      set,
		accepted: set.GetOrCreateCounter(meter.Name(area, "accepted_total")),
		commit:   set.GetOrCreatePrometheusHistogram(meter.Name(area, "commit_seconds")),
		plan:     set.GetOrCreatePrometheusHistogram(meter.Name(area, "plan_seconds")),
		open:     set.GetOrCreateGauge(meter.Name(area, "open"), nil),
		servers:  set.GetOrCreateGauge(meter.Name(area, "servers"), nil),
		version:  set.GetOrCreateGauge(meter.Name(area, "document_version"), nil),
		drained:  set.GetOrCreateGauge(meter.Name(area, "drained_zones"), nil),
	}
}

func (m *meters) count(what string, labels ...meter.Label) {
	m.set.GetOrCreateCounter(meter.Name(area, what, labels...)).Inc()
}

func (m *meters) refused(c code.Code) {
	m.count("refused_total", meter.Label{Name: "code", Value: c.String()})
}

func (m *meters) end(how inner.RunEnd) {
	m.count("ends_total", meter.Label{Name: "how", Value: how.String()})
}

func (m *meters) call(what string, v inner.Verdict, took time.Duration) {
	m.count("calls_total", meter.Label{Name: "call", Value: what}, meter.Label{Name: "verdict", Value: v.String()})
	m.set.GetOrCreatePrometheusHistogram(meter.Name(area, "call_seconds", meter.Label{Name: "call", Value: what})).Update(took.Seconds())
}

func (m *meters) advise(c code.Code, took time.Duration) {
	m.count("questions_total", meter.Label{Name: "code", Value: c.String()})
	m.set.GetOrCreatePrometheusHistogram(meter.Name(area, "question_seconds")).Update(took.Seconds())
}

func (m *meters) waited(queue string, d time.Duration) {
	m.set.GetOrCreatePrometheusHistogram(meter.Name(area, "wait_seconds", meter.Label{Name: "queue", Value: queue})).Update(d.Seconds())
}

// look sets the gauges.
func (m *meters) look(d *Dispatcher) {
	m.open.Set(float64(d.Host.Flows().OpenFlows()))
	m.servers.Set(float64(len(d.lead.sessions)))
	m.drained.Set(float64(len(d.Host.Flows().DrainedZones())))
	m.version.Set(float64(d.Host.Flows().Config().GetVersion()))
}
