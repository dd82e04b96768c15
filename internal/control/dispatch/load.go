package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/policy/load"
)

const (
	// maxLoadAge is the age up to which a report answers further calls, so that frequent calls
	// do not take the control thread.
	maxLoadAge = time.Second
	// loadMetricsInterval is the interval at which the metrics by queue are updated. They are
	// read less often than that.
	loadMetricsInterval = 5 * time.Second
)

// loadState holds what the leader counts for its report of the load. A new leader starts with
// empty counts.
type loadState struct {
	// counts holds the recent submissions by customer.
	counts map[string]*submissionCounts
	// report is the latest report, made at reportedAt; nil if there is none.
	report     *inner.LoadReport
	reportedAt time.Duration
	// metricsAt is when the metrics by queue were last updated.
	metricsAt time.Duration
}

// submissionCounts counts the recent submissions of one customer.
type submissionCounts struct {
	accepted load.Counter
	refused  map[code.Code]*load.Counter
}

// Load returns a report of the load. It is safe for concurrent use.
func (d *Dispatcher) Load(ctx context.Context) *inner.LoadReport {
	report, err := runOnLeader(ctx, d, errNotLeading, func(reply func(*inner.LoadReport)) { reply(d.currentLoad(d.Now())) })
	if err != nil {
		return &inner.LoadReport{Code: uint32(err.Code), Detail: err.Detail}
	}
	return report
}

// currentLoad returns a report that is at most maxLoadAge old.
func (d *Dispatcher) currentLoad(now time.Duration) *inner.LoadReport {
	state := &d.leader.load
	if state.report == nil || now-state.reportedAt > maxLoadAge {
		state.report, state.reportedAt = d.newLoadReport(now), now
	}
	return state.report
}

// countAcceptance counts an accepted flow for the report.
func (d *Dispatcher) countAcceptance(customer string) {
	d.submissionCounts(customer).accepted.Add(d.Now())
}

// countRefusal counts a refused flow in the metrics and for the report. The customer is empty
// if the request has no valid key.
func (d *Dispatcher) countRefusal(customer string, c code.Code) {
	d.flowMetrics.countRefusal(c)
	counts := d.submissionCounts(customer)
	if counts.refused[c] == nil {
		counts.refused[c] = &load.Counter{}
	}
	counts.refused[c].Add(d.Now())
}

// submissionCounts returns the counts of a customer, which are new if there are none.
func (d *Dispatcher) submissionCounts(customer string) *submissionCounts {
	state := &d.leader.load
	if state.counts == nil {
		state.counts = map[string]*submissionCounts{}
	}
	counts := state.counts[customer]
	if counts == nil {
		counts = &submissionCounts{refused: map[code.Code]*load.Counter{}}
		state.counts[customer] = counts
	}
	return counts
}

// updateLoad updates the metrics by queue and removes the counts of customers that submit
// nothing any more.
func (d *Dispatcher) updateLoad(now time.Duration) {
	state := &d.leader.load
	if now-state.metricsAt < loadMetricsInterval {
		return
	}
	state.metricsAt = now
	for customer, counts := range state.counts {
		if counts.isEmpty(now) {
			delete(state.counts, customer)
		}
	}
	d.flowMetrics.setQueueLoads(d.currentLoad(now).GetQueues())
}

func (c *submissionCounts) isEmpty(now time.Duration) bool {
	sum := c.accepted.Sum(now)
	for _, refused := range c.refused {
		sum += refused.Sum(now)
	}
	return sum == 0
}

// setQueueLoads sets the metrics of the queues of a report and removes those of other queues,
// which keeps the number of labels within that of a report.
func (m *flowMetrics) setQueueLoads(queues []*inner.QueueLoad) {
	reported := map[string]bool{}
	for _, q := range queues {
		reported[q.GetName()] = true
		m.set.GetOrCreateGauge(queueMetric("waiting_tasks", q.GetName()), nil).Set(float64(q.GetTasks()))
		m.set.GetOrCreateGauge(queueMetric("running_cpu", q.GetName()), nil).Set(float64(q.GetRunningCpu()))
	}
	for name := range m.reportedQueues {
		if !reported[name] {
			m.set.UnregisterMetric(queueMetric("waiting_tasks", name))
			m.set.UnregisterMetric(queueMetric("running_cpu", name))
		}
	}
	m.reportedQueues = reported
}

// queueMetric returns the full name of a metric of a queue.
func queueMetric(name, queue string) string {
	return meter.Name(metricArea, name, meter.Label{Name: "queue", Value: queue})
}
