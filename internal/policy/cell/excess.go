package cell

import (
	"slices"

	"gypsumreel/internal/domain/capacity"
)

// enforceLimits stops what teams hold above their limit, when the limit was lowered or
// more use was reported. The rule: repeatable batch and gangs are preempted, the
// youngest first, then services down to their floor; urgent tasks and tasks that
// may run only once are left to end.
func (p *Planner) enforceLimits() {
	if len(p.overLimitTeams) == 0 {
		return
	}
	seen := map[*teamState]bool{}
	p.overLimitTeams = slices.DeleteFunc(p.overLimitTeams, func(c *teamState) bool {
		if seen[c] {
			return true
		}
		seen[c] = true
		return p.preemptAboveLimit(c)
	})
}

// preemptAboveLimit stops what it can and tells whether the team is done with.
func (p *Planner) preemptAboveLimit(c *teamState) bool {
	if !c.inTable {
		return true
	}
	for {
		expected := c.allocated.Sub(c.stopping)
		if expected.Within(c.row.Limit) {
			return true
		}
		if p.atDecisionLimit() {
			return false
		}
		h := p.youngestStoppable(c, expected)
		if h == nil {
			return true
		}
		p.preempt(h, "above the team's limit")
	}
}

// youngestStoppable returns the youngest task that may be stopped and holds something
// of what the team has too much of.
func (p *Planner) youngestStoppable(c *teamState, expected capacity.Size) *placedTask {
	var found *placedTask
	c.preemptibleTasks.Each(func(h *placedTask) bool {
		if reducesExcess(h.countedSize, expected, c.row.Limit) {
			found = h
		}
		return found == nil
	})
	if found != nil {
		return found
	}
	c.serviceTasks.Each(func(h *placedTask) bool {
		if reducesExcess(h.countedSize, expected, c.row.Limit) && h.jobState.mayStopOne() {
			found = h
		}
		return found == nil
	})
	return found
}

// reducesExcess tells whether the size has a part in what exceeds the limit.
func reducesExcess(size, expected, limit capacity.Size) bool {
	field := func(n, expected, limit int64) bool { return limit != capacity.Unlimited && expected > limit && n > 0 }
	return field(size.CPU, expected.CPU, limit.CPU) || field(size.Memory, expected.Memory, limit.Memory) ||
		field(size.Accel, expected.Accel, limit.Accel) || field(size.Slots, expected.Slots, limit.Slots)
}
