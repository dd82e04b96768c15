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
	p.overLimitTeams = slices.DeleteFunc(p.overLimitTeams, func(t *teamState) bool {
		if seen[t] {
			return true
		}
		seen[t] = true
		return p.preemptAboveLimit(t)
	})
}

// preemptAboveLimit stops what it can and tells whether the team is done with.
func (p *Planner) preemptAboveLimit(t *teamState) bool {
	if !t.inTable {
		return true
	}
	for {
		expected := t.allocated.Sub(t.stopping)
		if expected.Within(t.row.Limit) {
			return true
		}
		if p.atDecisionLimit() {
			return false
		}
		pt := p.youngestStoppable(t, expected)
		if pt == nil {
			return true
		}
		p.preempt(pt, "above the team's limit")
	}
}

// youngestStoppable returns the youngest task that may be stopped and holds something
// of what the team has too much of.
func (p *Planner) youngestStoppable(t *teamState, expected capacity.Size) *placedTask {
	var found *placedTask
	t.preemptibleTasks.Each(func(pt *placedTask) bool {
		if reducesExcess(pt.countedSize, expected, t.row.Limit) {
			found = pt
		}
		return found == nil
	})
	if found != nil {
		return found
	}
	t.serviceTasks.Each(func(pt *placedTask) bool {
		if reducesExcess(pt.countedSize, expected, t.row.Limit) && pt.jobState.mayStopOne() {
			found = pt
		}
		return found == nil
	})
	return found
}

// reducesExcess tells whether the size has a part in what exceeds the limit.
func reducesExcess(size, expected, limit capacity.Size) bool {
	fieldExceeds := func(n, expected, limit int64) bool { return limit != capacity.Unlimited && expected > limit && n > 0 }
	return fieldExceeds(size.CPU, expected.CPU, limit.CPU) || fieldExceeds(size.Memory, expected.Memory, limit.Memory) ||
		fieldExceeds(size.Accel, expected.Accel, limit.Accel) || fieldExceeds(size.Slots, expected.Slots, limit.Slots)
}
