package steps

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/policy/speed"
)

// groupSpeeds gives servers of a pool that are of similar speed the same speed and speed class,
// so that free room decides among them.
func (p *planner) groupSpeeds() {
	pools := map[string][]*serverState{}
	for _, r := range p.servers {
		pools[r.Pool] = append(pools[r.Pool], r)
	}
	for _, servers := range pools {
		groupPool(servers)
	}
}

// groupPool does the same for the servers of one pool.
func groupPool(servers []*serverState) {
	speeds := make([]float64, len(servers))
	for i, r := range servers {
		speeds[i] = r.Speed
	}
	for i, band := range speed.Bands(speeds) {
		servers[i].speedClass, servers[i].Speed = band, speeds[i]
	}
}

// speedRank ranks a server by its speed for an item; a lower rank comes first. Without
// uneven speeds, faster servers come first. With them, a step uses the slowest servers on
// which it ends in time, and the fastest ones if there are none.
func (p *planner) speedRank(item Item, r *serverState) int {
	class := min(max(r.speedClass, -maxSpeedClass), maxSpeedClass)
	if p.view.Uneven && item.Demand.PrefersSlow(r.Speed) {
		return class - maxSpeedClass // before the servers on which it does not end in time
	}
	return -class
}

// tier returns the penalty of a candidate without the part for its speed: 0 for a candidate with
// no other penalty, higher for more severe ones.
func (c candidate) tier() int { return (c.penalty + 2*maxSpeedClass) / leasePenalty }

// chooseServers selects servers for all tasks of a gang. If speeds are uneven, the servers are
// of similar speed: the slowest on which the gang ends in time, or else the fastest. Gangs whose
// tasks run slower across racks are the exception: they get one rack, whatever its speeds. It
// returns false if there is not enough room.
func (p *planner) chooseServers(item Item, candidates []candidate) ([]candidate, bool) {
	if !p.view.Uneven || item.Spec.GetTogether() {
		return chooseGangServers(item, candidates)
	}
	for set := range candidateSets(item, candidates) {
		if chosen, ok := chooseGangServers(item, set); ok && p.leavesHeadroom(item, chosen) {
			return chosen, true
		}
	}
	return chooseGangServers(item, candidates)
}

// candidateSets iterates over the sets of candidates from which a gang may be formed, best
// first. Candidates with a penalty other than their speed are in the later sets only.
func candidateSets(item Item, candidates []candidate) iter.Seq[[]candidate] {
	return func(yield func([]candidate) bool) {
		unpenalized := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.tier() > 0 })
		_ = yieldSets(yield, item, unpenalized) && len(unpenalized) < len(candidates) && yieldSets(yield, item, candidates)
	}
}

// yieldSets yields sets of candidates of similar speed: each class on which the gang ends in
// time, slowest first, and then, for each class from the fastest on, the servers of that class and
// all faster ones. It returns false if yield does.
func yieldSets(yield func([]candidate) bool, item Item, candidates []candidate) bool {
	classes := speedClasses(candidates)
	for _, class := range classes {
		similar := withSpeed(candidates, class, class)
		if item.Demand.PrefersSlow(similar[0].Speed) && !yield(similar) {
			return false
		}
	}
	for _, slowest := range slices.Backward(classes) {
		if !yield(withSpeed(candidates, slowest, maxSpeedClass)) {
			return false
		}
	}
	return true
}

// speedClasses returns the speed classes of some candidates, lowest first.
func speedClasses(candidates []candidate) (classes []int) {
	for _, c := range candidates {
		if !slices.Contains(classes, c.speedClass) {
			classes = append(classes, c.speedClass)
		}
	}
	slices.Sort(classes)
	return classes
}

// withSpeed returns the candidates with a speed class from slowest to fastest. Slow ones come
// first: a gang is as slow as its slowest server, so faster ones would be held without use.
func withSpeed(candidates []candidate, slowest, fastest int) []candidate {
	out := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.speedClass < slowest || c.speedClass > fastest })
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Or(a.tier()-b.tier(), a.speedClass-b.speedClass) })
	return out
}

// earliestEnding returns the slots with which a gang that has no room now ends earliest, without
// those on slower servers. Both slots and the result are sorted by time, and have room for all
// tasks.
func (p *planner) earliestEnding(item Item, slots []slot) []slot {
	if !p.view.Uneven || item.Demand.Runtime == 0 {
		return slots
	}
	var best []slot
	var bestEnd time.Duration
	for _, slowest := range slotClasses(slots) {
		fast := slices.DeleteFunc(slices.Clone(slots), func(s slot) bool { return s.speedClass < slowest })
		if slotTasks(fast) < item.QueuedTasks {
			break
		}
		taken := takeSlots(fast, item.QueuedTasks)
		slowestTaken := slices.MinFunc(taken, func(a, b slot) int { return a.speedClass - b.speedClass })
		end := taken[len(taken)-1].after + item.Demand.On(slowestTaken.Speed)
		if best == nil || end < bestEnd {
			best, bestEnd = fast, end
		}
	}
	return best
}

// slotClasses returns the speed classes of some slots, lowest first.
func slotClasses(slots []slot) []int {
	var servers []candidate
	for _, s := range slots {
		servers = append(servers, candidate{serverState: s.serverState})
	}
	return speedClasses(servers)
}

// serverRank is the place of a group of servers in the order for an item; lower values come
// first. lease counts more than speed.
type serverRank struct{ lease, speed int }

func (r serverRank) compare(other serverRank) int {
	return cmp.Or(r.lease-other.lease, r.speed-other.speed)
}

// bySpeed iterates over the servers of the pool of an item, those that suit it best first:
// servers whose lease suits it before others, then those on which it ends in time, then the
// fastest, and those with the most free CPU first within a group.
func (p *planner) bySpeed(item Item) iter.Seq[*serverState] {
	groups := map[serverRank][][]*serverState{}
	for g, servers := range p.serversByGroup {
		if g.pool != item.Pool {
			continue
		}
		rank := serverRank{speed: -g.speedClass}
		if g.shortLease != item.Urgent {
			rank.lease = 1
		}
		if item.Demand.PrefersSlow(servers[0].Speed) {
			rank.speed = -maxSpeedClass
		}
		groups[rank] = append(groups[rank], servers)
	}
	ranks := slices.SortedFunc(maps.Keys(groups), serverRank.compare)
	return func(yield func(*serverState) bool) {
		for _, rank := range ranks {
			if !p.yieldByFreeRoom(yield, slices.Clone(groups[rank])...) {
				return
			}
		}
	}
}
