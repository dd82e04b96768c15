package cell

import (
	"time"

	"gypsumreel/internal/domain/job"
)

// Bounds of the preemption for shares.
const (
	// reclaimInterval is the minimum time between two rounds of preemption. After a large
	// change of a weight, preemption is therefore spread over several rounds.
	reclaimInterval = 20 * time.Millisecond
	// maxReclaims bounds the preemption attempts in one round.
	maxReclaims = 8
)

// reclaimShares preempts tasks of teams above their fair share for teams below their target
// share. It selects the tasks that lose the least work.
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

// shareDeficit returns the fraction of the cell by which the team is below its target share.
// Reserved capacity counts as allocated, capacity of stopping tasks does not.
func (p *Planner) shareDeficit(t *teamState) float64 {
	return t.targetShare - t.allocated.Add(t.reserved).Sub(t.stopping).DominantShare(p.totalCapacity)
}

// reclaimForTeam preempts for the team until its deficit is within ShareSlack or the
// remaining attempts are used up. It returns the number of attempts that are left.
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
		if u.jobState.spec.AllOrNothing() {
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
			p.preempt(pt, "capacity needed for a team below its target share")
		}
	}
	return remaining
}
