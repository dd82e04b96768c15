package cell

import (
	"slices"

	"gypsumreel/internal/domain/capacity"
)

// enforceLimits stops tasks of teams above their limit, after the limit was lowered or
// higher usage was reported. It preempts repeatable batch and gang tasks, the youngest
// first, then service tasks down to the floor of their service. Urgent tasks and tasks
// that may run only once continue to their end.
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

// preemptAboveLimit preempts tasks until the team is within its limit. It returns false if
// the next call of Decide has to continue.
func (p *Planner) preemptAboveLimit(t *teamState) bool {
	if !t.inTable {
		return true
	}
	for {
		usage := t.allocated.Sub(t.stopping)
		if usage.Within(t.row.Limit) {
			return true
		}
		if p.atDecisionLimit() {
			return false
		}
		pt := p.youngestStoppable(t, usage)
		if pt == nil {
			return true
		}
		p.preempt(pt, "above the team's limit")
	}
}

// youngestStoppable returns the youngest task that may be stopped and uses a resource of
// which the team exceeds its limit. Service tasks are considered last. It returns nil if
// there is no such task.
func (p *Planner) youngestStoppable(t *teamState, usage capacity.Size) *placedTask {
	var found *placedTask
	t.preemptibleTasks.Each(func(pt *placedTask) bool {
		if reducesExcess(pt.countedSize, usage, t.row.Limit) {
			found = pt
		}
		return found == nil
	})
	if found != nil {
		return found
	}
	t.serviceTasks.Each(func(pt *placedTask) bool {
		if reducesExcess(pt.countedSize, usage, t.row.Limit) && pt.jobState.mayStopOne() {
			found = pt
		}
		return found == nil
	})
	return found
}

// reducesExcess reports whether the size uses a resource in which usage exceeds the limit.
func reducesExcess(size, usage, limit capacity.Size) bool {
	fieldExceeds := func(n, usage, limit int64) bool { return limit != capacity.Unlimited && usage > limit && n > 0 }
	return fieldExceeds(size.CPU, usage.CPU, limit.CPU) || fieldExceeds(size.Memory, usage.Memory, limit.Memory) ||
		fieldExceeds(size.Accel, usage.Accel, limit.Accel) || fieldExceeds(size.Slots, usage.Slots, limit.Slots)
}
