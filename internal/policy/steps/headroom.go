package steps

import (
	"sort"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
)

// Headroom is room for a number of tasks of a given size. Free room that is spread over many
// servers and too small for such a task on each of them does not count.
type Headroom struct {
	Size  capacity.Size
	Tasks int64
}

// mayUseHeadroom reports whether an item may use the headroom. Urgent items may use it. So
// may lasting items: they run services, and users notice a missing task.
func (item Item) mayUseHeadroom() bool { return item.Urgent || item.Spec.GetLasting() }

// initHeadroom computes the headroom values of a pool.
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

// headroomCost returns by how many urgent tasks the free room of a server shrinks when n tasks
// of an item start there.
func (p *planner) headroomCost(item Item, r *serverState, n int64) int64 {
	headroom := p.headrooms[r.Pool]
	if headroom.Tasks == 0 {
		return 0
	}
	return fittingTasks(headroom.Size, r.free) - fittingTasks(headroom.Size, r.free.Sub(flow.TaskSize(item.Spec).Times(n)))
}

// limitByHeadroom returns how many of n tasks of an item may start on a server without using
// the headroom. Tasks that use only room too small for an urgent task are not limited.
func (p *planner) limitByHeadroom(item Item, r *serverState, n int64) int64 {
	p.countVisits(1)
	if item.mayUseHeadroom() {
		return n
	}
	allowed := max(p.spareHeadroom[r.Pool], 0)
	// The cost grows with the number of tasks.
	return int64(sort.Search(int(n), func(i int) bool { return p.headroomCost(item, r, int64(i)+1) > allowed }))
}

// leavesHeadroom reports whether the headroom stays free when a gang starts. It also returns
// true for a gang that is too large to ever leave the headroom free.
func (p *planner) leavesHeadroom(item Item, chosen []candidate) bool {
	if item.mayUseHeadroom() {
		return true
	}
	total := int64(0)
	for _, c := range chosen {
		total += p.headroomCost(item, c.serverState, c.taskCount)
	}
	exceedsPool := total > p.headroomCapacity[item.Pool]-p.headrooms[item.Pool].Tasks
	return total == 0 || total <= p.spareHeadroom[item.Pool] || exceedsPool
}
