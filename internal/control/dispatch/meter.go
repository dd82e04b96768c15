package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/meter"
)

// metricArea is the prefix of the metric names of this package.
const metricArea = "flows"

// flowMetrics holds the metrics of a dispatcher.
type flowMetrics struct {
	set             *metrics.Set
	accepted        *metrics.Counter
	commitSeconds   *metrics.PrometheusHistogram
	planSeconds     *metrics.PrometheusHistogram
	openFlows       *metrics.Gauge
	openBytes       *metrics.Gauge
	servers         *metrics.Gauge
	documentVersion *metrics.Gauge
	drainedZones    *metrics.Gauge
	// heldServers counts the servers at other processes, holders these processes.
	heldServers *metrics.Gauge
	holders     *metrics.Gauge
	// reportedQueues holds the queues with metrics of their load.
	reportedQueues map[string]bool
}

// setSpeeds sets the numbers of servers by speed.
func (m *flowMetrics) setSpeeds(counts map[string]int) {
	for label, n := range counts {
		m.set.GetOrCreateGauge(meter.Name(metricArea, "servers_by_speed", meter.Label{Name: "speed", Value: label}), nil).Set(float64(n))
	}
}

func newFlowMetrics(set *metrics.Set) *flowMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &flowMetrics{
		set:             set,
		accepted:        set.GetOrCreateCounter(meter.Name(metricArea, "accepted_total")),
		commitSeconds:   set.GetOrCreatePrometheusHistogram(meter.Name(metricArea, "commit_seconds")),
		planSeconds:     set.GetOrCreatePrometheusHistogram(meter.Name(metricArea, "plan_seconds")),
		openFlows:       set.GetOrCreateGauge(meter.Name(metricArea, "open"), nil),
		openBytes:       set.GetOrCreateGauge(meter.Name(metricArea, "open_bytes"), nil),
		servers:         set.GetOrCreateGauge(meter.Name(metricArea, "servers"), nil),
		documentVersion: set.GetOrCreateGauge(meter.Name(metricArea, "document_version"), nil),
		drainedZones:    set.GetOrCreateGauge(meter.Name(metricArea, "drained_zones"), nil),
		heldServers:     set.GetOrCreateGauge(meter.Name(metricArea, "held_servers"), nil),
		holders:         set.GetOrCreateGauge(meter.Name(metricArea, "holders"), nil),
		reportedQueues:  map[string]bool{},
	}
}

func (m *flowMetrics) incrementCounter(name string, labels ...meter.Label) {
	m.set.GetOrCreateCounter(meter.Name(metricArea, name, labels...)).Inc()
}

func (m *flowMetrics) countRefusal(c code.Code) {
	m.incrementCounter("refused_total", meter.Label{Name: "code", Value: c.String()})
}

func (m *flowMetrics) countRunEnd(end inner.RunEnd) {
	m.incrementCounter("ends_total", meter.Label{Name: "how", Value: end.String()})
}

// countGoneServer counts a server whose runs have ended, by what proves it.
func (m *flowMetrics) countGoneServer(proof endProof) {
	m.incrementCounter("servers_gone_total", meter.Label{Name: "proof", Value: string(proof)})
}

func (m *flowMetrics) observeCall(call string, verdict inner.Verdict, duration time.Duration) {
	m.incrementCounter("calls_total", meter.Label{Name: "call", Value: call}, meter.Label{Name: "verdict", Value: verdict.String()})
	m.set.GetOrCreatePrometheusHistogram(meter.Name(metricArea, "call_seconds", meter.Label{Name: "call", Value: call})).Update(duration.Seconds())
}

func (m *flowMetrics) observeQuestion(c code.Code, duration time.Duration) {
	m.incrementCounter("questions_total", meter.Label{Name: "code", Value: c.String()})
	m.set.GetOrCreatePrometheusHistogram(meter.Name(metricArea, "question_seconds")).Update(duration.Seconds())
}

func (m *flowMetrics) observeWait(queue string, wait time.Duration) {
	m.set.GetOrCreatePrometheusHistogram(meter.Name(metricArea, "wait_seconds", meter.Label{Name: "queue", Value: queue})).Update(wait.Seconds())
}

// updateGauges sets the gauges to the current values.
func (m *flowMetrics) updateGauges(d *Dispatcher) {
	m.openFlows.Set(float64(d.Host.Flows().OpenFlows()))
	m.openBytes.Set(float64(d.Host.Flows().OpenBytes()))
	m.servers.Set(float64(len(d.leader.sessions)))
	m.drainedZones.Set(float64(len(d.Host.Flows().DrainedZones())))
	m.heldServers.Set(float64(d.leader.held.sessions))
	m.holders.Set(float64(len(d.leader.held.set.Open())))
	m.documentVersion.Set(float64(d.Host.Flows().Config().GetVersion()))
}
