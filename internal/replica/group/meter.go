package group

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/replica/quorum"
)

// lateParts is the part of an election timeout from which a heartbeat round is told.
const lateParts = 2

// meters measure what a heartbeat waits for.
type meters struct {
	// tick is how late the loop serves its timer, wait how long a message of another
	// replica waits for the loop.
	tick *metrics.PrometheusHistogram
	wait *metrics.PrometheusHistogram
	// round is how long a quorum takes to answer a heartbeat, gap the time between
	// two messages of the leader.
	round *metrics.PrometheusHistogram
	gap   *metrics.PrometheusHistogram
	// heard is when a message of the leader came last.
	heard time.Duration
	limit event.RateLimiter
}

func newMeters(set *metrics.Set) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	histogram := func(what string) *metrics.PrometheusHistogram {
		return set.GetOrCreatePrometheusHistogram(meter.Name("group", what))
	}
	return &meters{
		tick: histogram("tick_late_seconds"), wait: histogram("message_wait_seconds"),
		round: histogram("round_seconds"), gap: histogram("heartbeat_gap_seconds"),
	}
}

// received notes a message that the loop takes now.
func (m *meters) received(a arrival, now time.Duration) {
	m.wait.Update((now - a.at).Seconds())
	switch a.Kind {
	case quorum.Heartbeat, quorum.AppendEntries, quorum.SnapshotChunk:
		if m.heard > 0 {
			m.gap.Update((a.at - m.heard).Seconds())
		}
		m.heard = a.at
	}
}

// confirmed notes a heartbeat round that a quorum has answered, and tells of one
// that took so long that the lead is in danger.
func (g *Group) confirmed(start time.Duration) {
	took := g.Now() - start
	g.meter.round.Update(took.Seconds())
	if election := g.Config.ElectionTimeout; election > 0 && took > election/lateParts {
		g.meter.limit.Log(g.Log, event.RoundLate, "took", took.String(), "election", election.String())
	}
}
