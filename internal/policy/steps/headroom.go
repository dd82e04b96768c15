package steps

import (
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
)

// Headroom is room for so many tasks of a size: what is left over on many servers
// and holds none of them is no headroom.
type Headroom struct {
	Size  capacity.Size
	Tasks int64
}

// mayUseHeadroom tells whether an item takes the headroom as well: it is what that is for,
// or somebody is served by its tasks and missed while they wait.
func (it Item) mayUseHeadroom() bool { return it.Urgent || it.Spec.GetLasting() }

// initHeadroom counts a pool's room for urgent tasks.
func (p *planner) initHeadroom(pool string, servers []*serverState) {
	if p.view.Headroom == nil {
		return
	}
	headroom := p.view.Headroom(pool)
	spare, total := -headroom.Tasks, int64(0)
	if headroom.Tasks > 0 {
		for _, r := range servers {
			spare += fittingTasks(headroom.Size, r.free)
			total += fittingTasks(headroom.Size, r.Capacity)
		}
	}
	p.headrooms[pool], p.spareHeadroom[pool], p.headroomCapacity[pool] = headroom, spare, total
}

// headroomCost returns for how many urgent tasks less a server has room once it holds n
// tasks of an item.
func (p *planner) headroomCost(it Item, r *serverState, n int64) int64 {
	headroom := p.headrooms[r.Pool]
	if headroom.Tasks == 0 {
		return 0
	}
	return fittingTasks(headroom.Size, r.free) - fittingTasks(headroom.Size, r.free.Sub(flow.SizeOf(it.Spec).Times(n)))
}

// limitByHeadroom returns how many of n tasks an item may start on a server, by the headroom
// for urgent work: any number in what holds no urgent task.
func (p *planner) limitByHeadroom(it Item, r *serverState, n int64) int64 {
	if it.mayUseHeadroom() {
		return n
	}
	for n > 0 {
		if cost := p.headroomCost(it, r, n); cost == 0 || cost <= p.spareHeadroom[r.Pool] {
			break
		}
		n--
	}
	return n
}

// leavesHeadroom tells whether a gang leaves the headroom for urgent work. One that is so
// large that it never would need not.
func (p *planner) leavesHeadroom(it Item, chosen []candidate) bool {
	if it.mayUseHeadroom() {
		return true
	}
	total := int64(0)
	for _, c := range chosen {
		total += p.headroomCost(it, c.serverState, c.taskCount)
	}
	exceedsPool := total > p.headroomCapacity[it.Pool]-p.headrooms[it.Pool].Tasks
	return total == 0 || total <= p.spareHeadroom[it.Pool] || exceedsPool
}
