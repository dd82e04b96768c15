package steps

import "time"

const (
	// every is the longest time between two plans while something waits.
	every = 50 * time.Millisecond
	// rest is how many times as long as it took the last plan must be over before
	// the next: planning takes a fifth of its thread at most.
	rest = 5
)

// Pacer says when a plan is due. A plan over a long backlog takes long; made
// whenever something changes it would leave its thread no time for anything
// else, the leader would be deposed, and the backlog grow while nobody leads.
// The zero value has made no plan.
type Pacer struct {
	made time.Duration
	// took is what the latest plan took, before the one before it.
	took, before time.Duration
}

// Due tells whether a plan is to be made now; changed tells that something did
// since the last.
func (p *Pacer) Due(now time.Duration, changed bool) bool {
	since := now - p.made
	if since < rest*p.usual() {
		return false
	}
	return changed || since >= every
}

// usual returns how long plans take now. A long backlog makes each plan long; what
// stops the whole process for a moment, such as a collection of garbage, only one.
// Counted as the plan's own time that would leave everything waiting for five times
// as long again.
func (p *Pacer) usual() time.Duration { return min(p.took, p.before) }

// Record notes a plan that began at a time and took so long.
func (p *Pacer) Record(at, took time.Duration) { p.made, p.took, p.before = at, took, p.took }
