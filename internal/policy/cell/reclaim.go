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
	p.teamsByNeed.Each(func(t *teamState) bool {
		if t.inTable && p.shareDeficit(t) > p.cfg.ShareSlack && t.queues[job.Batch].Len()+t.queues[job.Service].Len() > 0 {
			belowShare = append(belowShare, t)
		}
		return t.usageRatio < 1
	})
	remaining := maxReclaims
	for _, t := range belowShare {
		remaining = p.reclaimForTeam(t, remaining)
	}
	p.startGangReservations()
}

// shareDeficit is the part of the cell that the team misses of its target, room that is
// on its way not counted.
func (p *Planner) shareDeficit(t *teamState) float64 {
	return t.targetShare - t.allocated.Add(t.reserved).Sub(t.stopping).Dominant(p.totalCapacity)
}

// reclaimForTeam makes claims for the team until its lack is covered or left is used
// up, and returns the rest of left.
func (p *Planner) reclaimForTeam(t *teamState, remaining int) int {
	units := t.queues[job.Service].AppendFirst(maxReclaims, nil)
	units = t.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, units)
	for _, u := range units {
		if remaining == 0 || p.atDecisionLimit() || p.shareDeficit(t) <= p.cfg.ShareSlack {
			return remaining
		}
		if !p.eligible(u) {
			continue
		}
		if u.jobState.spec.Whole() {
			for remaining > 0 && p.shareDeficit(t) > p.cfg.ShareSlack && p.mayReserveForGang(u) && !p.atDecisionLimit() {
				remaining--
				if !p.reserveByPreemption(u, false) {
					break
				}
			}
			continue
		}
		remaining--
		srv, victims := p.findVictims(u, u.jobState.spec.Size, false, p.aboveShareFilter(p.cfg.ShareSlack/2))
		if srv == nil {
			continue
		}
		p.reserve(u, srv)
		for _, pt := range victims {
			p.preempt(pt, "taken back for a team below its due")
		}
	}
	return remaining
}
