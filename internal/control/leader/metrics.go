package leader

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	basemeter "gypsumreel/internal/base/meter"
)

// controlMetrics holds the metrics of the control thread.
type controlMetrics struct {
	placements    *metrics.Counter
	decisions     *metrics.Counter
	preemptions   *metrics.Counter
	lostAttempts  *metrics.Counter
	refusedJobs   *metrics.Counter
	acceptedJobs  *metrics.Counter
	commitSeconds *metrics.PrometheusHistogram
	turnSeconds   *metrics.PrometheusHistogram

	waitingJobs, runningTasks, heldReplies, readyServers atomic.Int64
}

// newControlMetrics registers the metrics in set, or in a new set if set is nil.
func newControlMetrics(set *metrics.Set) *controlMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	counter := func(metric string) *metrics.Counter { return set.GetOrCreateCounter(basemeter.Name("control", metric)) }
	m := &controlMetrics{
		placements: counter("placements_total"), decisions: counter("decisions_total"), preemptions: counter("preemptions_total"),
		lostAttempts: counter("attempts_lost_total"), refusedJobs: counter("refused_total"), acceptedJobs: counter("accepted_total"),
		commitSeconds: set.GetOrCreatePrometheusHistogram(basemeter.Name("control", "commit_seconds")),
		turnSeconds:   set.GetOrCreatePrometheusHistogram(basemeter.Name("control", "turn_seconds")),
	}
	for metric, n := range map[string]*atomic.Int64{
		"waiting_jobs": &m.waitingJobs, "running_tasks": &m.runningTasks, "held_replies": &m.heldReplies, "servers_ready": &m.readyServers,
	} {
		set.GetOrCreateGauge(basemeter.Name("control", metric), func() float64 { return float64(n.Load()) })
	}
	return m
}

// setGauges sets the gauges; they are zero on a follower.
func (l *Leader) setGauges() {
	m := l.controlMetrics
	if l.leadership == nil {
		for _, n := range []*atomic.Int64{&m.waitingJobs, &m.runningTasks, &m.heldReplies, &m.readyServers} {
			n.Store(0)
		}
		return
	}
	waiting := 0
	for _, r := range l.ledger.Table().Rows() {
		waiting += l.ledger.TeamWaitingJobs(r.Name)
	}
	m.waitingJobs.Store(int64(waiting))
	m.runningTasks.Store(int64(l.leadership.reported.runningTasks))
	m.heldReplies.Store(int64(len(l.leadership.heldReplies)))
	m.readyServers.Store(int64(l.leadership.reported.readyServers))
}

// registerProgressGauges registers the ages of the present turn and of the oldest proposal. They
// are read without the control thread, since they matter most while it stands.
func (l *Leader) registerProgressGauges() {
	if l.Metrics == nil {
		return
	}
	l.Metrics.GetOrCreateGauge(basemeter.Name("control", "turn_age_seconds"), func() float64 { return l.Turns.Progress(l.Now()).TurnAge.Seconds() })
	l.Metrics.GetOrCreateGauge(basemeter.Name("control", "proposal_age_seconds"), func() float64 { return l.Turns.Progress(l.Now()).ProposalAge.Seconds() })
}

// oldestProposal returns when the oldest proposal without a commit was made; 0 if there is none.
func (l *Leader) oldestProposal() time.Duration {
	switch lead := l.leadership; {
	case lead == nil:
		return 0
	case len(lead.inFlightProposals) > 0:
		return lead.inFlightProposals[0].proposedAt
	default:
		return lead.proposalRefusedAt
	}
}

// inFlightProposal records when the commands up to a log index were handed to the
// group.
type inFlightProposal struct {
	lastIndex  uint64
	proposedAt time.Duration
}

// measureCommits records the commit latency of the proposals up to a log index.
func (l *Leader) measureCommits(index uint64) {
	lead := l.leadership
	n := 0
	for n < len(lead.inFlightProposals) && lead.inFlightProposals[n].lastIndex <= index {
		l.controlMetrics.commitSeconds.Update((l.Now() - lead.inFlightProposals[n].proposedAt).Seconds())
		n++
	}
	lead.inFlightProposals = lead.inFlightProposals[n:]
}
