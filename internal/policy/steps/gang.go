package steps

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/domain/flow"
)

// placeGang places all tasks of a step together or none of them. If there is no room, it
// reserves the servers that will have room earliest.
func (p *planner) placeGang(it Item) {
	if it.QueuedTasks < len(it.Tasks) || p.allowedByLimit(it) < int64(it.QueuedTasks) {
		return
	}
	p.nextItem()
	candidates := p.candidates(it)
	chosen, ok := chooseGangServers(it, candidates)
	if !ok || !p.leavesHeadroom(it, chosen) {
		p.reserve(it)
		p.askAdviser(it)
		return
	}
	var assignments []Assignment
	var stale, granted []string
	next := queuedTasks(it.Step)
	for _, c := range chosen {
		p.allocate(it, c.serverState, c.taskCount)
		if c.permission == Granted {
			granted = append(granted, c.ID)
		} else {
			stale = append(stale, c.ID)
		}
		for range c.taskCount {
			assignments = append(assignments, Assignment{flow.TaskID{StepID: it.StepID, Index: next()}, c.ID})
		}
	}
	if len(stale) > 0 {
		// All members need permits that are valid at the same time.
		p.requestPermits(it, append(stale, granted...), candidates)
		return
	}
	p.holdForSuspectGang(it, chosen)
	p.plan.Placements = append(p.plan.Placements, Placement{it, assignments})
}

// chooseGangServers selects servers for all tasks of a gang. If the tasks run slower across
// racks, it uses a single rack if one has enough room. It returns false if there is not enough
// room.
func chooseGangServers(it Item, candidates []candidate) ([]candidate, bool) {
	if it.Spec.GetTogether() {
		for _, rack := range labelsByRoom(candidates) {
			inRack := slices.DeleteFunc(slices.Clone(candidates), func(o candidate) bool { return !slices.Contains(o.Labels, rack) })
			if c, ok := takeCandidates(it.QueuedTasks, inRack); ok {
				return c, true
			}
		}
	}
	return takeCandidates(it.QueuedTasks, candidates)
}

// labelsByRoom returns the labels of the candidates in ascending order of the tasks that fit
// there. The rack is one of the labels of a server; it does not matter here which one.
func labelsByRoom(candidates []candidate) []string {
	taskRoom := map[string]int64{}
	for _, c := range candidates {
		for _, l := range c.Labels {
			taskRoom[l] += c.taskCount
		}
	}
	var out []string
	for l := range taskRoom {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(taskRoom[a], taskRoom[b]), cmp.Compare(a, b)) })
	return out
}

// takeCandidates takes n tasks from the candidates in their order, but those with a valid
// permit first, so that a gang does not wait for a permit that it does not need. It returns
// false if fewer than n tasks fit.
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

// slot is room for one task on a server and the time until that room is free.
type slot struct {
	after time.Duration
	*serverState
}

// compareSlots orders slots by time, then by server.
func compareSlots(a, b slot) int { return cmp.Or(cmp.Compare(a.after, b.after), a.index-b.index) }

// reserve reserves room for a gang on the allowed servers where it can start earliest. Tasks
// that end before the start of the gang can still use the room. Longer tasks cannot, since they
// could make the gang wait forever.
func (p *planner) reserve(it Item) {
	if p.reservedGangs[it.Pool] >= minReservedGangs+p.poolSizes[it.Pool]/serversPerReservedGang {
		return
	}
	var slots []slot
	for _, r := range p.knownServersFor(it) {
		permission := p.permission(it, r)
		if eligible(it, r) && (permission == Stale || permission == Granted) {
			slots = p.findSlots(slots, it, r)
		}
	}
	if len(slots) < it.QueuedTasks {
		return // the servers with known permissions can never hold the gang
	}
	slices.SortStableFunc(slots, compareSlots)
	slots = slots[:it.QueuedTasks]
	p.reservedGangs[it.Pool]++
	startAfter := slots[len(slots)-1].after
	var servers []string
	stale := false
	for _, s := range slots {
		s.reserved = s.reserved.Add(flow.TaskSize(it.Spec))
		s.reservedUntil = max(s.reservedUntil, startAfter)
		if !slices.Contains(servers, s.ID) {
			servers = append(servers, s.ID)
			stale = stale || p.permission(it, s.serverState) == Stale
		}
	}
	if stale && startAfter <= questionLeadTime {
		p.plan.Questions = append(p.plan.Questions, Question{it, servers[:min(len(servers), MaxServersPerStep)]})
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
func (p *planner) findSlots(out []slot, it Item, r *serverState) []slot {
	size, maxSlots := flow.TaskSize(it.Spec), int64(it.QueuedTasks)
	if apart := it.Spec.GetApart(); apart > 0 {
		maxSlots = min(maxSlots, int64(apart))
	}
	free, found := r.free.Sub(r.reserved), int64(0)
	add := func(after time.Duration) {
		for n := min(fittingTasks(size, free), maxSlots); found < n; found++ {
			out = append(out, slot{after, r})
		}
	}
	add(0)
	if p.view.Releases == nil || found == maxSlots {
		return out
	}
	for _, release := range p.releases(r) {
		free = free.Add(release.Size)
		add(release.After)
	}
	return out
}
