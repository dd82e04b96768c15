package steps

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/rack"
)

// placeGang places all tasks of a step together or none of them. If there is no room, it
// reserves the servers that will have room earliest.
func (p *planner) placeGang(item Item) {
	if item.QueuedTasks < len(item.Tasks) || p.allowedByLimit(item) < int64(item.QueuedTasks) {
		return
	}
	p.nextItem()
	if item.Spec.GetTogether() {
		p.assignRacks(item.Pool)
	}
	candidates := p.candidates(item)
	chosen, ok := p.chooseForGang(item, candidates)
	if !ok || !p.leavesHeadroom(item, chosen) {
		if !item.AwaitsProven { // room on servers that are not proven would be idle meanwhile
			p.reserve(item)
		}
		p.askAdviser(item)
		return
	}
	var assignments []Assignment
	var stale, granted []string
	next := queuedTasks(item.Step)
	for _, c := range chosen {
		p.allocate(item, c.serverState, c.taskCount)
		if c.permission == Granted {
			granted = append(granted, c.ID)
		} else {
			stale = append(stale, c.ID)
		}
		for range c.taskCount {
			assignments = append(assignments, Assignment{flow.TaskID{StepID: item.StepID, Index: next()}, c.ID})
		}
	}
	if len(stale) > 0 {
		// All members need permits that are valid at the same time.
		p.requestPermits(item, append(stale, granted...), candidates)
		return
	}
	p.holdForSuspectGang(item, chosen)
	p.plan.Placements = append(p.plan.Placements, Placement{item, assignments})
}

// chooseGangServers selects servers for all tasks of a gang. If the tasks run slower across
// racks, it uses a single rack if one has enough room, and of those the one with the least
// room, which leaves the racks with more room to larger gangs. It returns false if there is not
// enough room.
func chooseGangServers(item Item, candidates []candidate) ([]candidate, bool) {
	if item.Spec.GetTogether() {
		if name := smallestRackWithRoom(item.QueuedTasks, candidates); name != "" {
			candidates = slices.DeleteFunc(slices.Clone(candidates), func(o candidate) bool { return o.rack != name })
		}
	}
	return takeCandidates(item.QueuedTasks, candidates)
}

// smallestRackWithRoom returns the rack with the least room that still holds n tasks on the servers of
// the candidates, or an empty string if none does.
func smallestRackWithRoom(n int, candidates []candidate) (smallest string) {
	room := map[string]int64{}
	for _, c := range candidates {
		if c.rack != "" {
			room[c.rack] += c.taskCount
		}
	}
	for name, tasks := range room {
		if tasks < int64(n) {
			continue
		}
		if smallest == "" || cmp.Or(cmp.Compare(tasks, room[smallest]), cmp.Compare(name, smallest)) < 0 {
			smallest = name
		}
	}
	return smallest
}

// assignRacks sets the rack of the servers of a pool, once in a plan.
func (p *planner) assignRacks(pool string) {
	if p.racksAssigned[pool] {
		return
	}
	p.racksAssigned[pool] = true
	position := rack.Position(func(yield func([]string) bool) {
		for _, r := range p.servers {
			if r.Pool == pool && !yield(r.Labels) {
				return
			}
		}
	})
	for _, r := range p.servers {
		if r.Pool == pool {
			r.rack = rack.At(r.Labels, position)
		}
	}
}

// takeCandidates returns the candidates on which n tasks start. Candidates with a valid
// permit come first, so that a gang does not wait for a permit that it does not need. It
// returns false if fewer than n tasks fit.
func takeCandidates(n int, candidates []candidate) ([]candidate, bool) {
	candidates = slices.Clone(candidates)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(b.permission, a.permission)
	})
	remaining := int64(n)
	var out []candidate
	for _, c := range candidates {
		c.taskCount = min(c.taskCount, remaining)
		if c.taskCount == 0 {
			break
		}
		remaining -= c.taskCount
		out = append(out, c)
	}
	return out, remaining == 0
}

// slot is room for tasks of one size on a server and the time until that room is free.
type slot struct {
	after time.Duration
	*serverState
	tasks int
}

// slotTasks returns the number of tasks for which some slots have room.
func slotTasks(slots []slot) (sum int) {
	for _, s := range slots {
		sum += s.tasks
	}
	return sum
}

// takeSlots returns the first slots, with room for n tasks together.
func takeSlots(slots []slot, n int) (taken []slot) {
	for _, s := range slots {
		if n == 0 {
			break
		}
		s.tasks = min(s.tasks, n)
		n -= s.tasks
		taken = append(taken, s)
	}
	return taken
}

// compareSlots orders slots by time, then by server.
func compareSlots(a, b slot) int { return cmp.Or(cmp.Compare(a.after, b.after), a.index-b.index) }

// reserve reserves room for a gang on the allowed servers where it can start earliest. Tasks
// that end before the start of the gang can still use the room. Longer tasks cannot, since they
// could make the gang wait forever.
func (p *planner) reserve(item Item) {
	if p.reservedGangs[item.Pool] >= minReservedGangs+p.poolSizes[item.Pool]/serversPerReservedGang {
		return
	}
	var slots []slot
	for _, r := range p.knownServersFor(item) {
		permission := p.permission(item, r)
		if !r.Probing && eligible(item, r) && (permission == Stale || permission == Granted) {
			slots = p.findSlots(slots, item, r)
		}
	}
	if slotTasks(slots) < item.QueuedTasks {
		return // the servers with known permissions can never hold the gang
	}
	slices.SortStableFunc(slots, compareSlots)
	slots = takeSlots(p.earliestEnding(item, slots), item.QueuedTasks)
	p.reservedGangs[item.Pool]++
	startAfter := slots[len(slots)-1].after
	var servers []string
	stale := false
	for _, s := range slots {
		s.reserved = s.reserved.Add(flow.TaskSize(item.Spec).Times(int64(s.tasks)))
		s.reservedUntil = max(s.reservedUntil, startAfter)
		if !slices.Contains(servers, s.ID) {
			servers = append(servers, s.ID)
			stale = stale || p.permission(item, s.serverState) == Stale
		}
	}
	if stale && startAfter <= questionLeadTime {
		p.plan.Questions = append(p.plan.Questions, Question{item, servers[:min(len(servers), MaxServersPerStep)]})
	}
}

// releases returns the room that a server is expected to release, earliest first.
func (p *planner) releases(r *serverState) []Release {
	if !r.releasesLoaded {
		r.releases, r.releasesLoaded = p.view.Releases(r.ID), true
		slices.SortStableFunc(r.releases, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
	}
	return r.releases
}

// findSlots appends the slots for tasks of an item that a server has now and later.
func (p *planner) findSlots(out []slot, item Item, r *serverState) []slot {
	size, maxSlots := flow.TaskSize(item.Spec), int64(item.QueuedTasks)
	if maxPerServer := item.Spec.GetApart(); maxPerServer > 0 {
		maxSlots = min(maxSlots, int64(maxPerServer))
	}
	free, found := r.free.Sub(r.reserved), int64(0)
	addSlots := func(after time.Duration) {
		if n := min(fittingTasks(size, free), maxSlots); found < n {
			out = append(out, slot{after, r, int(n - found)})
			found = n
		}
	}
	addSlots(0)
	if p.view.Releases == nil || found == maxSlots {
		return out
	}
	for _, release := range p.releases(r) {
		free = free.Add(release.Size)
		addSlots(release.After)
	}
	return out
}
