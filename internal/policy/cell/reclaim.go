package cell

import (
	"time"

	"gypsumreel/internal/domain/job"
)

// Bounds of taking back.
const (
	// reclaimInterval is the time between two rounds; a weight edited far is so
	// reached in steps and not by one wave of preemption.
	reclaimInterval = 20 * time.Millisecond
	// maxReclaims is the number of claims made in one round.
	maxReclaims = 8
)

// reclaimShares preempts, for teams below their due, the cheapest tasks of teams above
// theirs.
func (p *Planner) reclaimShares() {
	if p.disabled(SharePreempt) || p.atDecisionLimit() || p.now < p.reclaimedAt+reclaimInterval {
		return
	}
	p.reclaimedAt = p.now
	var belowShare []*teamState
	p.teamsByNeed.Each(func(c *teamState) bool {
		if c.inTable && p.shareDeficit(c) > p.cfg.ShareSlack && c.queues[job.Batch].Len()+c.queues[job.Service].Len() > 0 {
			belowShare = append(belowShare, c)
		}
		return c.usageRatio < 1
	})
	remaining := maxReclaims
	for _, c := range belowShare {
		remaining = p.reclaimForTeam(c, remaining)
	}
	p.startGangReservations()
}

// shareDeficit is the part of the cell that the team misses of its target, room that is
// on its way not counted.
func (p *Planner) shareDeficit(c *teamState) float64 {
	return c.targetShare - c.allocated.Add(c.reserved).Sub(c.stopping).Dominant(p.totalCapacity)
}

// reclaimForTeam makes claims for the team until its lack is covered or left is used
// up, and returns the rest of left.
func (p *Planner) reclaimForTeam(c *teamState, remaining int) int {
	units := c.queues[job.Service].AppendFirst(maxReclaims, nil)
	units = c.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, units)
	for _, u := range units {
		if remaining == 0 || p.atDecisionLimit() || p.shareDeficit(c) <= p.cfg.ShareSlack {
			return remaining
		}
		if !p.eligible(u) {
			continue
		}
		if u.jobState.spec.Whole() {
			for remaining > 0 && p.shareDeficit(c) > p.cfg.ShareSlack && p.mayReserveForGang(u) && !p.atDecisionLimit() {
				remaining--
				if !p.reserveByPreemption(u, false) {
					break
				}
			}
			continue
		}
		remaining--
		srv, stop := p.findVictims(u, u.jobState.spec.Size, false, p.aboveShareFilter(p.cfg.ShareSlack/2))
		if srv == nil {
			continue
		}
		p.reserve(u, srv)
		for _, h := range stop {
			p.preempt(h, "taken back for a team below its due")
		}
	}
	return remaining
}
