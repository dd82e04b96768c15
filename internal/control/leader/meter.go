package leader

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	basemeter "gypsumreel/internal/base/meter"
)

// meter holds the control thread's metrics.
type meter struct {
	placements *metrics.Counter
	decisions  *metrics.Counter
	preempted  *metrics.Counter
	lost       *metrics.Counter
	refused    *metrics.Counter
	accepted   *metrics.Counter
	commits    *metrics.PrometheusHistogram

	waiting, running, held, servers atomic.Int64
}

func newMeter(set *metrics.Set) *meter {
	if set == nil {
		set = metrics.NewSet()
	}
	counter := func(what string) *metrics.Counter { return set.GetOrCreateCounter(basemeter.Name("control", what)) }
	m := &meter{
		placements: counter("placements_total"), decisions: counter("decisions_total"), preempted: counter("preemptions_total"),
		lost: counter("attempts_lost_total"), refused: counter("refused_total"), accepted: counter("accepted_total"),
		commits: set.GetOrCreatePrometheusHistogram(basemeter.Name("control", "commit_seconds")),
	}
	for what, n := range map[string]*atomic.Int64{
		"waiting_jobs": &m.waiting, "running_tasks": &m.running, "held_replies": &m.held, "servers_ready": &m.servers,
	} {
		set.GetOrCreateGauge(basemeter.Name("control", what), func() float64 { return float64(n.Load()) })
	}
	return m
}

// measure sets the gauges; a replica that follows shows zeros.
func (l *Leader) measure() {
	m := l.meter
	if l.lead == nil {
		for _, n := range []*atomic.Int64{&m.waiting, &m.running, &m.held, &m.servers} {
			n.Store(0)
		}
		return
	}
	waiting := 0
	for _, r := range l.st.Table().Rows() {
		waiting += l.st.TeamWaitingJobs(r.Name)
	}
	m.waiting.Store(int64(waiting))
	m.running.Store(int64(l.lead.seen.running))
	m.held.Store(int64(len(l.lead.held)))
	m.servers.Store(int64(l.lead.seen.ready))
}

// proposed is when commands up to an index were handed to the group.
type proposed struct {
	index uint64
	at    time.Duration
}

// settle measures the commits up to an index.
func (l *Leader) settle(index uint64) {
	ld := l.lead
	n := 0
	for n < len(ld.proposed) && ld.proposed[n].index <= index {
		l.meter.commits.Update((l.Now() - ld.proposed[n].at).Seconds())
		n++
	}
	ld.proposed = ld.proposed[n:]
}
