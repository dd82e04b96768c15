package steps

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/domain/flow"
)

// gang places all tasks of a step at once, or none. One that finds no room
// keeps the servers that will have it soonest from those that come after it.
func (p *planner) gang(it Item) {
	if it.QueuedTasks < len(it.Tasks) || p.allowed(it) < int64(it.QueuedTasks) {
		return
	}
	p.next()
	options := p.options(it)
	chosen, ok := choose(it, options)
	if !ok || !p.affords(it, chosen) {
		p.reserve(it)
		p.ask(it)
		return
	}
	var places []Assignment
	var stale, good []string
	next := queuedTasks(it.Step)
	for _, c := range chosen {
		p.take(it, c.room, c.count)
		if c.permission == Granted {
			good = append(good, c.ID)
		} else {
			stale = append(stale, c.ID)
		}
		for range c.count {
			places = append(places, Assignment{flow.TaskID{StepID: it.StepID, Index: next()}, c.ID})
		}
	}
	if len(stale) > 0 {
		// All members need permits that hold at the same time.
		p.want(it, append(stale, good...), options)
		return
	}
	p.keepGang(it, chosen)
	p.plan.Placements = append(p.plan.Placements, Placement{it, places})
}

// choose picks servers for all tasks of a gang: of one rack where the tasks are
// slower across racks and one has the room, else as few servers as possible.
func choose(it Item, options []option) ([]option, bool) {
	if it.Spec.GetTogether() {
		for _, rack := range racks(options) {
			here := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return !slices.Contains(o.Labels, rack) })
			if c, ok := fill(it.QueuedTasks, here); ok {
				return c, true
			}
		}
	}
	return fill(it.QueuedTasks, options)
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

// slot is room for one task, and how long it is until a server has it.
type slot struct {
	in time.Duration
	*room
}

// sooner orders slots by when they are there, those of one time by their servers.
func sooner(a, b slot) int { return cmp.Or(cmp.Compare(a.in, b.in), a.at-b.at) }

// reserve keeps room for a gang where it can begin soonest, on the servers that
// may run it. What ends before then may still use it; whatever runs longer would
// make the gang wait for ever.
func (p *planner) reserve(it Item) {
	if p.waiting[it.Pool] >= leastWaiting+p.sizes[it.Pool]/waitingPart {
		return
	}
	var slots []slot
	for _, r := range p.listed(it) {
		perm := p.permission(it, r)
		if suits(it, r) && (perm == Stale || perm == Granted) {
			slots = p.slots(slots, it, r)
		}
	}
	if len(slots) < it.QueuedTasks {
		return // what is known of will never hold it
	}
	slices.SortStableFunc(slots, sooner)
	slots = slots[:it.QueuedTasks]
	p.waiting[it.Pool]++
	begin := slots[len(slots)-1].in
	var servers []string
	stale := false
	for _, s := range slots {
		s.kept = s.kept.Add(flow.SizeOf(it.Spec))
		s.until = max(s.until, begin)
		if !slices.Contains(servers, s.ID) {
			servers = append(servers, s.ID)
			stale = stale || p.permission(it, s.room) == Stale
		}
	}
	if stale && begin <= soon {
		p.plan.Questions = append(p.plan.Questions, Question{it, servers[:min(len(servers), MaxServersPerStep)]})
	}
}

// frees returns what a server will have free again, the soonest first.
func (p *planner) frees(r *room) []Release {
	if !r.freed {
		r.frees, r.freed = p.view.Releases(r.ID), true
		slices.SortStableFunc(r.frees, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
	}
	return r.frees
}

// slots adds the slots that a server has for an item, now and later.
func (p *planner) slots(out []slot, it Item, r *room) []slot {
	size, most := flow.SizeOf(it.Spec), int64(it.QueuedTasks)
	if apart := it.Spec.GetApart(); apart > 0 {
		most = min(most, int64(apart))
	}
	free, have := r.free.Sub(r.kept), int64(0)
	add := func(in time.Duration) {
		for n := min(fits(size, free), most); have < n; have++ {
			out = append(out, slot{in, r})
		}
	}
	add(0)
	if p.view.Releases == nil || have == most {
		return out
	}
	for _, f := range p.frees(r) {
		free = free.Add(f.Size)
		add(f.After)
	}
	return out
}
