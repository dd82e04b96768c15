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

// eager tells whether an item takes the headroom as well: it is what that is for,
// or somebody is served by its tasks and missed while they wait.
func (it Item) eager() bool { return it.Urgent || it.Spec.GetLasting() }

// head counts a pool's room for urgent tasks.
func (p *planner) head(pool string, rooms []*room) {
	if p.view.Headroom == nil {
		return
	}
	h := p.view.Headroom(pool)
	spare, ever := -h.Tasks, int64(0)
	if h.Tasks > 0 {
		for _, r := range rooms {
			spare += fits(h.Size, r.free)
			ever += fits(h.Size, r.Capacity)
		}
	}
	p.heads[pool], p.spare[pool], p.ever[pool] = h, spare, ever
}

// cost returns for how many urgent tasks less a server has room once it holds n
// tasks of an item.
func (p *planner) cost(it Item, r *room, n int64) int64 {
	h := p.heads[r.Pool]
	if h.Tasks == 0 {
		return 0
	}
	return fits(h.Size, r.free) - fits(h.Size, r.free.Sub(flow.SizeOf(it.Spec).Times(n)))
}

// within returns how many of n tasks an item may start on a server, by the headroom
// for urgent work: any number in what holds no urgent task.
func (p *planner) within(it Item, r *room, n int64) int64 {
	if it.eager() {
		return n
	}
	for n > 0 {
		if cost := p.cost(it, r, n); cost == 0 || cost <= p.spare[r.Pool] {
			break
		}
		n--
	}
	return n
}

// affords tells whether a gang leaves the headroom for urgent work. One that is so
// large that it never would need not.
func (p *planner) affords(it Item, chosen []option) bool {
	if it.eager() {
		return true
	}
	total := int64(0)
	for _, c := range chosen {
		total += p.cost(it, c.room, c.count)
	}
	never := total > p.ever[it.Pool]-p.heads[it.Pool].Tasks
	return total == 0 || total <= p.spare[it.Pool] || never
}
