package group

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/replica/quorum"
)

// lateRoundDivisor sets the threshold for logging a slow heartbeat round: the
// election timeout divided by this number.
const lateRoundDivisor = 2

// latencyMetrics are histograms of the delays that heartbeats can suffer.
type latencyMetrics struct {
	// tickDelay is the time from the moment a tick is due until the event loop
	// handles it.
	tickDelay *metrics.PrometheusHistogram
	// inboxWait is the time that a message from another replica waits in the inbox.
	inboxWait *metrics.PrometheusHistogram
	// heartbeatRound is the time that a quorum takes to answer a heartbeat.
	heartbeatRound *metrics.PrometheusHistogram
	// leaderMessageGap is the time between two messages from the leader.
	leaderMessageGap *metrics.PrometheusHistogram
	// lastLeaderMessageAt is the time at which the last message from a leader was
	// received.
	lastLeaderMessageAt time.Duration
	// logLimit limits how often slow heartbeat rounds are logged.
	logLimit event.RateLimiter
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

// recordReceived updates the histograms for a message that the event loop takes
// from the inbox at the time now.
func (m *latencyMetrics) recordReceived(received receivedMessage, now time.Duration) {
	m.inboxWait.Update((now - received.receivedAt).Seconds())
	switch received.Kind {
	case quorum.Heartbeat, quorum.AppendEntries, quorum.SnapshotChunk:
		if m.lastLeaderMessageAt > 0 {
			m.leaderMessageGap.Update((received.receivedAt - m.lastLeaderMessageAt).Seconds())
		}
		m.lastLeaderMessageAt = received.receivedAt
	}
}

// recordConfirmedRound records the duration of a heartbeat round that a quorum has
// answered. It logs a round that took so long that the leader may soon lose its
// leadership.
func (g *Group) recordConfirmedRound(startedAt time.Duration) {
	duration := g.Now() - startedAt
	g.latencies.heartbeatRound.Update(duration.Seconds())
	if electionTimeout := g.Config.ElectionTimeout; electionTimeout > 0 && duration > electionTimeout/lateRoundDivisor {
		g.latencies.logLimit.Log(g.Log, event.RoundLate, "took", duration.String(), "election", electionTimeout.String())
	}
}
