package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
)

// gang places all tasks of a step at once, or none. One that finds no room
// keeps the servers that will have it soonest from those that come after it.
func (p *planner) gang(it Item) {
	if it.Queued < len(it.Tasks) || p.allowed(it) < int64(it.Queued) {
		return
	}
	options, unasked := p.options(it)
	chosen, ok := choose(it, options)
	if !ok {
		p.reserve(it)
		p.ask(it, unasked)
		return
	}
	var places []Place
	var stale, all []string
	next := queuedTasks(it.Step)
	for _, c := range chosen {
		p.take(it, c.room, c.count)
		all = append(all, c.ID)
		if c.permission != Granted {
			stale = append(stale, c.ID)
		}
		for range c.count {
			places = append(places, Place{flow.TaskID{StepID: it.StepID, Index: next()}, c.ID})
		}
	}
	if len(stale) > 0 {
		// All members need permits that hold at the same time.
		p.want(it, all, options)
		return
	}
	p.plan.Placements = append(p.plan.Placements, Placement{it.Step, places})
}

// choose picks servers for all tasks of a gang: of one rack where the tasks are
// slower across racks and one has the room, else as few servers as possible.
func choose(it Item, options []option) ([]option, bool) {
	if it.Spec.GetTogether() {
		for _, rack := range racks(options) {
			here := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return !slices.Contains(o.Labels, rack) })
			if c, ok := fill(it.Queued, here); ok {
				return c, true
			}
		}
	}
	return fill(it.Queued, options)
}

// racks returns the labels of the options, those with most room first: the rack
// is one of a server's labels, and which one does not matter here.
func racks(options []option) []string {
	room := map[string]int64{}
	for _, o := range options {
		for _, l := range o.Labels {
			room[l] += o.count
		}
	}
	var out []string
	for l := range room {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(room[a], room[b]), cmp.Compare(a, b)) })
	return out
}

// fill takes tasks from options in their order; a permit at hand goes first, so
// that a gang does not wait for one without need.
func fill(n int, options []option) ([]option, bool) {
	options = slices.Clone(options)
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Compare(b.permission, a.permission)
	})
	left := int64(n)
	var out []option
	for _, o := range options {
		o.count = min(o.count, left)
		if o.count == 0 {
			break
		}
		left -= o.count
		out = append(out, o)
	}
	return out, left == 0
}

// reserve keeps room free for a gang: on the servers that may run it and have
// most room already. At most a part of a pool's servers is kept for gangs.
func (p *planner) reserve(it Item) {
	size := flow.SizeOf(it.Spec)
	left := int64(it.Queued)
	var may []*room
	for _, r := range p.servers {
		perm := p.permission(it, r.ID)
		if suits(it, r) && (perm == Stale || perm == Granted) {
			may = append(may, r)
		}
	}
	slices.SortStableFunc(may, func(a, b *room) int {
		return cmp.Or(compareBool(!a.marked, !b.marked), cmp.Compare(b.free.CPU-b.kept.CPU, a.free.CPU-a.kept.CPU))
	})
	for _, r := range may {
		n := min(fits(size, r.Capacity.Sub(r.kept)), left)
		if most := it.Spec.GetApart(); most > 0 {
			n = min(n, int64(most))
		}
		if n == 0 {
			continue
		}
		if !r.marked {
			if p.reserved[it.Pool]*reserveParts >= p.sizes[it.Pool] {
				return
			}
			p.reserved[it.Pool]++
			r.marked = true
		}
		r.kept = r.kept.Add(size.Times(n))
		if left -= n; left == 0 {
			return
		}
	}
}
