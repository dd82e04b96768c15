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
	took time.Duration
}

// Due tells whether a plan is to be made now; changed tells that something did
// since the last.
func (p *Pacer) Due(now time.Duration, changed bool) bool {
	since := now - p.made
	if since < rest*p.took {
		return false
	}
	return changed || since >= every
}

// Made notes a plan that began at a time and took so long.
func (p *Pacer) Made(at, took time.Duration) { p.made, p.took = at, took }
