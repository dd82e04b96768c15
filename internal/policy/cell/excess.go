package cell

import (
	"slices"

	"gypsumreel/internal/domain/capacity"
)

// trim stops what teams hold above their limit, when the limit was lowered or
// more use was reported. The rule: repeatable batch and gangs are preempted, the
// youngest first, then services down to their floor; urgent tasks and tasks that
// may run only once are left to end.
func (p *Planner) trim() {
	if len(p.excess) == 0 {
		return
	}
	seen := map[*account]bool{}
	p.excess = slices.DeleteFunc(p.excess, func(c *account) bool {
		if seen[c] {
			return true
		}
		seen[c] = true
		return p.trimmed(c)
	})
}

// trimmed stops what it can and tells whether the team is done with.
func (p *Planner) trimmed(c *account) bool {
	if !c.known {
		return true
	}
	for {
		over := c.held.Sub(c.leaving)
		if over.Within(c.row.Limit) {
			return true
		}
		if p.full() {
			return false
		}
		h := p.youngestOver(c, over)
		if h == nil {
			return true
		}
		p.preempt(h, "above the team's limit")
	}
}

// youngestOver returns the youngest task that may be stopped and holds something
// of what the team has too much of.
func (p *Planner) youngestOver(c *account, over capacity.Size) *holding {
	var found *holding
	c.victims.Each(func(h *holding) bool {
		if helps(h.size, over, c.row.Limit) {
			found = h
		}
		return found == nil
	})
	if found != nil {
		return found
	}
	c.steady.Each(func(h *holding) bool {
		if helps(h.size, over, c.row.Limit) && h.work.spares() {
			found = h
		}
		return found == nil
	})
	return found
}

// helps tells whether the size has a part in what exceeds the limit.
func helps(size, over, limit capacity.Size) bool {
	field := func(n, over, limit int64) bool { return limit != capacity.Unlimited && over > limit && n > 0 }
	return field(size.CPU, over.CPU, limit.CPU) || field(size.Memory, over.Memory, limit.Memory) ||
		field(size.Accel, over.Accel, limit.Accel) || field(size.Slots, over.Slots, limit.Slots)
}
