package cell

import (
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
)

// Bounds of the work done for urgent tasks in one call.
const (
	// maxVictimSearches bounds the searches for preemption victims.
	maxVictimSearches = 4
	// maxFailedPlacements is the number of urgent tasks without free capacity after which the
	// call stops placing urgent tasks.
	maxFailedPlacements = 64
	// urgentScanDepth bounds the urgent tasks examined per team.
	urgentScanDepth = 32
	// maxReserveRefills bounds the blocks added to the urgent reserve.
	maxReserveRefills = 4
)

// reserveBlock is capacity for one task in the urgent reserve. Its index is the position in
// Planner.reserveBlocks.
type reserveBlock struct {
	server *server
	size   capacity.Size
	index  int
}

// placeUrgent places urgent tasks ahead of all work without a reservation. It uses free
// capacity first, then the urgent reserve, and then preempts other tasks.
func (p *Planner) placeUrgent() {
	if p.urgentWaitingCount == 0 {
		return
	}
	var teams []*teamState
	p.teamsByNeed.Each(func(t *teamState) bool {
		if t.queues[job.Urgent].Len() > 0 && t.inTable {
			teams = append(teams, t)
		}
		return true
	})
	searches, failed := 0, 0
	for _, t := range teams {
		waiting := t.queues[job.Urgent].AppendFirst(urgentScanDepth, nil)
		for i, u := range waiting {
			if p.atDecisionLimit() || failed == maxFailedPlacements {
				return
			}
			if !p.limitAllows(u) {
				p.preemptOwnForUrgent(t, waiting[i:])
				break
			}
			if p.placeWithoutPreemption(u) || u.reservation != nil {
				continue
			}
			failed++
			if searches < maxVictimSearches && u.triedRevision != p.freeRevision {
				searches++
				u.triedRevision = p.freeRevision
				p.preemptForUnit(u)
			}
		}
	}
}

// placeWithoutPreemption starts an urgent task if it fits into free capacity or into a block
// of the urgent reserve.
func (p *Planner) placeWithoutPreemption(u *unit) bool {
	need := u.jobState.spec.Size
	if s := p.findServer(u, need); s != nil {
		p.startUnit(u, []*server{s})
		return true
	}
	for _, r := range p.reserveBlocks {
		if r.server.State != backend.Ready || u.jobState.failureBudget.FailedOn(r.server.number) || !need.Fits(r.server.available().Add(r.size)) {
			continue
		}
		p.dropReserveBlock(r)
		p.startUnit(u, []*server{r.server})
		return true
	}
	return false
}

// preemptOwnForUrgent preempts the team's own youngest batch and gang tasks until the
// waiting urgent tasks fit within the team's limit.
func (p *Planner) preemptOwnForUrgent(t *teamState, waiting []*unit) {
	if p.disabled(UrgentPreempt) {
		return
	}
	var more capacity.Size
	for _, u := range waiting {
		more = more.Add(u.totalSize())
	}
	for !p.atDecisionLimit() {
		usage := t.allocated.Sub(t.stopping).Add(more)
		if usage.Within(t.row.Limit) {
			return
		}
		pt := p.youngestStoppable(t, usage)
		if pt == nil || !pt.preemptible() {
			return
		}
		p.preempt(pt, "team limit needed for urgent work of the same team")
	}
}

// preemptForUnit reserves capacity for an urgent or displaced service task and preempts the
// tasks there that lose the least work. Victims are tasks of the same team. Tasks of teams
// above their fair share are victims too, unless the unit's team is above its own share.
// A team that declares all its work urgent therefore takes nothing from other teams.
func (p *Planner) preemptForUnit(u *unit) {
	if p.disabled(UrgentPreempt) {
		return
	}
	t := u.jobState.team
	withinShare := t.allocated.Sub(t.stopping).DominantShare(p.totalCapacity) <= t.fairShare+p.cfg.ShareSlack
	filter := func(pt *placedTask) bool {
		return pt.team == t || withinShare && p.aboveShareFilter(2*p.cfg.ShareSlack)(pt)
	}
	srv, victims := p.findVictims(u, u.jobState.spec.Size, true, filter)
	if srv == nil {
		return
	}
	p.reserve(u, srv)
	for _, pt := range victims {
		p.preempt(pt, "capacity needed for urgent work")
	}
}

// fillUrgentReserve adjusts the urgent reserve to its target size. Blocks are spread over
// the zones, so that most of the reserve survives the loss of a zone.
func (p *Planner) fillUrgentReserve() {
	if p.disabled(UrgentReserve) {
		return
	}
	n, size := p.urgentReserve.Target(p.totalCapacity)
	if len(p.reserveBlocks) > 0 && p.reserveBlocks[0].size != size {
		p.dropReserveBlocks(func(*reserveBlock) bool { return true })
	}
	for len(p.reserveBlocks) > n {
		p.dropReserveBlock(p.reserveBlocks[len(p.reserveBlocks)-1])
	}
	for range min(n-len(p.reserveBlocks), maxReserveRefills) {
		if !p.addReserveBlock(size) {
			return
		}
	}
}

// addReserveBlock adds a block in the zone with the fewest blocks, or in another zone if it
// does not fit there. It returns false if the block fits nowhere.
func (p *Planner) addReserveBlock(size capacity.Size) bool {
	if p.unplaceable.covers(size) {
		return false
	}
	s := p.bestInZone(p.zoneWithFewestBlocks(), size, nil)
	if s == nil {
		s = p.bestServer(size, nil)
	}
	if s == nil {
		p.unplaceable.add(size)
		return false
	}
	r := &reserveBlock{server: s, size: size, index: len(p.reserveBlocks)}
	p.reserveBlocks = append(p.reserveBlocks, r)
	s.reserveBlockCount++
	s.rack.zone.reserveBlockCount++
	p.adjustServerReserved(s, size)
	return true
}

// zoneWithFewestBlocks returns the zone with the fewest blocks of the urgent reserve.
func (p *Planner) zoneWithFewestBlocks() *zone {
	var best *zone
	for _, z := range p.zones {
		if best == nil || z.reserveBlockCount < best.reserveBlockCount {
			best = z
		}
	}
	return best
}

func (p *Planner) dropReserveBlock(r *reserveBlock) {
	last := p.reserveBlocks[len(p.reserveBlocks)-1]
	p.reserveBlocks[r.index], last.index = last, r.index
	p.reserveBlocks = p.reserveBlocks[:len(p.reserveBlocks)-1]
	r.server.reserveBlockCount--
	r.server.rack.zone.reserveBlockCount--
	p.adjustServerReserved(r.server, capacity.Size{}.Sub(r.size))
}

// dropReserveBlocks removes the matching blocks from the urgent reserve.
func (p *Planner) dropReserveBlocks(match func(*reserveBlock) bool) {
	for i := len(p.reserveBlocks) - 1; i >= 0; i-- {
		if match(p.reserveBlocks[i]) {
			p.dropReserveBlock(p.reserveBlocks[i])
		}
	}
}
