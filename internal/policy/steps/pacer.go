package steps

import "time"

const (
	// maxPlanInterval is the longest time between two plans while steps are waiting.
	maxPlanInterval = 50 * time.Millisecond
	// pauseFactor is the minimum time between the starts of two plans, as a multiple of the
	// duration of a plan. Planning uses a fifth of the time of its thread at most.
	pauseFactor = 5
)

// Pacer decides when the next plan is due. A plan over a long backlog takes long. If one were
// made after every change, the leader would miss its heartbeats and lose the election, and the
// backlog would grow while there is no leader. The zero value has made no plan.
type Pacer struct {
	startedAt time.Duration
	// latestDuration and previousDuration are the durations of the last two plans.
	latestDuration, previousDuration time.Duration
}

// Due reports whether a plan is due now. changed is true if the input changed since the last
// plan.
func (p *Pacer) Due(now time.Duration, changed bool) bool {
	since := now - p.startedAt
	if since < pauseFactor*p.typicalDuration() {
		return false
	}
	return changed || since >= maxPlanInterval
}

// typicalDuration returns the shorter duration of the last two plans. A long backlog makes
// every plan long, but a pause of the whole process, such as a garbage collection, affects only
// one. Counting that pause would delay the next plan by five times its length.
func (p *Pacer) typicalDuration() time.Duration { return min(p.latestDuration, p.previousDuration) }

// Record stores the start and the duration of a plan.
func (p *Pacer) Record(startedAt, duration time.Duration) {
	p.startedAt, p.latestDuration, p.previousDuration = startedAt, duration, p.latestDuration
}
