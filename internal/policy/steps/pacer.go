package steps

import "time"

const (
	// maxPlanInterval is the longest time between two plans while something waits.
	maxPlanInterval = 50 * time.Millisecond
	// pauseFactor is how many times as long as it took the last plan must be over before
	// the next: planning takes a fifth of its thread at most.
	pauseFactor = 5
)

// Pacer says when a plan is due. A plan over a long backlog takes long; made
// whenever something changes it would leave its thread no time for anything
// else, the leader would be deposed, and the backlog grow while nobody leads.
// The zero value has made no plan.
type Pacer struct {
	startedAt time.Duration
	// latestDuration is what the latest plan took, before the one before it.
	latestDuration, previousDuration time.Duration
}

// Due tells whether a plan is to be made now; changed tells that something did
// since the last.
func (p *Pacer) Due(now time.Duration, changed bool) bool {
	since := now - p.startedAt
	if since < pauseFactor*p.typicalDuration() {
		return false
	}
	return changed || since >= maxPlanInterval
}

// typicalDuration returns how long plans take now. A long backlog makes each plan long; what
// stops the whole process for a moment, such as a collection of garbage, only one.
// Counted as the plan's own time that would leave everything waiting for five times
// as long again.
func (p *Pacer) typicalDuration() time.Duration { return min(p.latestDuration, p.previousDuration) }

// Record notes a plan that began at a time and took so long.
func (p *Pacer) Record(startedAt, duration time.Duration) {
	p.startedAt, p.latestDuration, p.previousDuration = startedAt, duration, p.latestDuration
}
