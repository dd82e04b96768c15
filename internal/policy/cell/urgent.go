package cell

import (
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
)

// Bounds of the work done for urgent tasks in one call.
const (
	// maxVictimSearches is the number of searches for victims.
	maxVictimSearches = 4
	// maxFailedPlacements is the number of urgent tasks looked at for which there is no room.
	maxFailedPlacements = 64
	// urgentScanDepth is the number of a team's urgent tasks looked at.
	urgentScanDepth = 32
	// maxReserveRefills is the number of rooms added to the reserve.
	maxReserveRefills = 4
)

// reserveBlock is a piece of the urgent reserve.
type reserveBlock struct {
	server *server
	size   capacity.Size
	pos    int
}

// placeUrgent decides urgent work before anything else: into free room, then
// into the reserve, then into room that the cheapest victims leave.
func (p *Planner) placeUrgent() {
	if p.urgentWaiting == 0 {
		return
	}
	var teams []*teamState
	p.teamsByNeed.Each(func(c *teamState) bool {
		if c.queues[job.Urgent].Len() > 0 && c.inTable {
			teams = append(teams, c)
		}
		return true
	})
	searches, failed := 0, 0
	for _, c := range teams {
		waiting := c.queues[job.Urgent].AppendFirst(urgentScanDepth, nil)
		for i, u := range waiting {
			if p.atDecisionLimit() || failed == maxFailedPlacements {
				return
			}
			if !p.limitAllows(u) {
				p.preemptOwnForUrgent(c, waiting[i:])
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

// placeWithoutPreemption starts an urgent task if there is room for it.
func (p *Planner) placeWithoutPreemption(u *unit) bool {
	need := u.jobState.spec.Size
	if s := p.findServer(u, need); s != nil {
		p.startUnit(u, []*server{s})
		return true
	}
	for _, r := range p.reserveBlocks {
		if r.server.State != backend.Ready || u.jobState.failureBudget.Avoids(r.server.number) || !need.Fits(r.server.available().Add(r.size)) {
			continue
		}
		p.dropReserveBlock(r)
		p.startUnit(u, []*server{r.server})
		return true
	}
	return false
}

// preemptOwnForUrgent preempts the team's own youngest batch as long as the team's limit is
// all that keeps its urgent tasks waiting.
func (p *Planner) preemptOwnForUrgent(c *teamState, waiting []*unit) {
	if p.disabled(UrgentPreempt) {
		return
	}
	var more capacity.Size
	for _, u := range waiting {
		more = more.Add(u.totalSize())
	}
	for !p.atDecisionLimit() {
		expected := c.allocated.Sub(c.stopping).Add(more)
		if expected.Within(c.row.Limit) {
			return
		}
		h := p.youngestStoppable(c, expected)
		if h == nil || !h.preemptible() {
			return
		}
		p.preempt(h, "its team's limit is needed for urgent work")
	}
}

// preemptForUnit preempts the cheapest victims for an urgent task: those of its own team,
// and of teams above their due unless its own team is above its due as well. So
// a team that calls all its work urgent takes nothing from the others.
func (p *Planner) preemptForUnit(u *unit) {
	if p.disabled(UrgentPreempt) {
		return
	}
	c := u.jobState.team
	withinShare := c.allocated.Sub(c.stopping).Dominant(p.totalCapacity) <= c.fairShare+p.cfg.ShareSlack
	filter := func(h *placedTask) bool {
		return h.team == c || withinShare && p.aboveShareFilter(2*p.cfg.ShareSlack)(h)
	}
	srv, stop := p.findVictims(u, u.jobState.spec.Size, true, filter)
	if srv == nil {
		return
	}
	p.reserve(u, srv)
	for _, h := range stop {
		p.preempt(h, "room for urgent work")
	}
}

// fillUrgentReserve keeps the reserve at its size, spread over the zones, so that the
// loss of one leaves most of it.
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
	r := &reserveBlock{server: s, size: size, pos: len(p.reserveBlocks)}
	p.reserveBlocks = append(p.reserveBlocks, r)
	s.reserveBlocks++
	s.rack.zone.reserveBlocks++
	p.adjustServerReserved(s, size)
	return true
}

// zoneWithFewestBlocks returns the zone with the fewest rooms of the reserve.
func (p *Planner) zoneWithFewestBlocks() *zone {
	var least *zone
	for _, z := range p.zones {
		if least == nil || z.reserveBlocks < least.reserveBlocks {
			least = z
		}
	}
	return least
}

func (p *Planner) dropReserveBlock(r *reserveBlock) {
	last := p.reserveBlocks[len(p.reserveBlocks)-1]
	p.reserveBlocks[r.pos], last.pos = last, r.pos
	p.reserveBlocks = p.reserveBlocks[:len(p.reserveBlocks)-1]
	r.server.reserveBlocks--
	r.server.rack.zone.reserveBlocks--
	p.adjustServerReserved(r.server, capacity.Size{}.Sub(r.size))
}

// dropReserveBlocks gives up the rooms that match.
func (p *Planner) dropReserveBlocks(match func(*reserveBlock) bool) {
	for i := len(p.reserveBlocks) - 1; i >= 0; i-- {
		if match(p.reserveBlocks[i]) {
			p.dropReserveBlock(p.reserveBlocks[i])
		}
	}
}
