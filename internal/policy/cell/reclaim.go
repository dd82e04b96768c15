package cell

import (
	"time"

	"gypsumreel/internal/domain/job"
)

// Bounds of taking back.
const (
	// reclaimPeriod is the time between two rounds; a weight edited far is so
	// reached in steps and not by one wave of preemption.
	reclaimPeriod = 20 * time.Millisecond
	// mostReclaims is the number of claims made in one round.
	mostReclaims = 8
)

// reclaim preempts, for teams below their due, the cheapest tasks of teams above
// theirs.
func (p *Planner) reclaim() {
	if p.lacks(SharePreempt) || p.full() || p.now < p.reclaims+reclaimPeriod {
		return
	}
	p.reclaims = p.now
	var poor []*account
	p.order.Each(func(c *account) bool {
		if c.known && p.lack(c) > p.cfg.ShareSlack && c.queues[job.Batch].Len()+c.queues[job.Service].Len() > 0 {
			poor = append(poor, c)
		}
		return c.ratio < 1
	})
	left := mostReclaims
	for _, c := range poor {
		left = p.reclaimFor(c, left)
	}
	p.beginGangs()
}

// lack is the part of the cell that the team misses of its target, room that is
// on its way not counted.
func (p *Planner) lack(c *account) float64 {
	return c.target - c.held.Add(c.coming).Sub(c.leaving).Dominant(p.total)
}

// reclaimFor makes claims for the team until its lack is covered or left is used
// up, and returns the rest of left.
func (p *Planner) reclaimFor(c *account, left int) int {
	units := c.queues[job.Service].AppendFirst(mostReclaims, nil)
	units = c.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, units)
	for _, u := range units {
		if left == 0 || p.full() || p.lack(c) <= p.cfg.ShareSlack {
			return left
		}
		if !p.eligible(u) {
			continue
		}
		if u.work.spec.Whole() {
			for left > 0 && p.lack(c) > p.cfg.ShareSlack && p.mayGather(u) && !p.full() {
				left--
				if !p.keepByForce(u, false) {
					break
				}
			}
			continue
		}
		left--
		srv, stop := p.victims(u, u.work.spec.Size, false, p.overdue(p.cfg.ShareSlack/2))
		if srv == nil {
			continue
		}
		p.keep(u, srv)
		for _, h := range stop {
			p.preempt(h, "taken back for a team below its due")
		}
	}
	return left
}
