package group

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/replica/quorum"
)

// lateRoundDivisor is the part of an election timeout from which a heartbeat round is told.
const lateRoundDivisor = 2

// latencyMetrics measure what a heartbeat waits for.
type latencyMetrics struct {
	// tickDelay is how late the loop serves its timer, wait how long a message of another
	// replica waits for the loop.
	tickDelay *metrics.PrometheusHistogram
	inboxWait *metrics.PrometheusHistogram
	// heartbeatRound is how long a quorum takes to answer a heartbeat, gap the time between
	// two messages of the leader.
	heartbeatRound   *metrics.PrometheusHistogram
	leaderMessageGap *metrics.PrometheusHistogram
	// lastLeaderMessageAt is when a message of the leader came last.
	lastLeaderMessageAt time.Duration
	logLimit            event.Limit
}

func newLatencyMetrics(set *metrics.Set) *latencyMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	histogram := func(metricName string) *metrics.PrometheusHistogram {
		return set.GetOrCreatePrometheusHistogram(meter.Name("group", metricName))
	}
	return &latencyMetrics{
		tickDelay: histogram("tick_late_seconds"), inboxWait: histogram("message_wait_seconds"),
		heartbeatRound: histogram("round_seconds"), leaderMessageGap: histogram("heartbeat_gap_seconds"),
	}
}

// recordReceived notes a message that the loop takes now.
func (m *latencyMetrics) recordReceived(received receivedMessage, now time.Duration) {
	m.inboxWait.Update((now - received.receivedAt).Seconds())
	switch received.Kind {
	case quorum.Heartbeat, quorum.Append, quorum.Chunk:
		if m.lastLeaderMessageAt > 0 {
			m.leaderMessageGap.Update((received.receivedAt - m.lastLeaderMessageAt).Seconds())
		}
		m.lastLeaderMessageAt = received.receivedAt
	}
}

// recordConfirmedRound notes a heartbeat round that a quorum has answered, and tells of one
// that took so long that the lead is in danger.
func (g *Group) recordConfirmedRound(startedAt time.Duration) {
	duration := g.Now() - startedAt
	g.latencies.heartbeatRound.Update(duration.Seconds())
	if electionTimeout := g.Config.Election; electionTimeout > 0 && duration > electionTimeout/lateRoundDivisor {
		g.latencies.logLimit.Log(g.Log, event.RoundLate, "took", duration.String(), "election", electionTimeout.String())
	}
}
