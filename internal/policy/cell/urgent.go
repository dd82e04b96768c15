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
	index  int
}

// placeUrgent decides urgent work before anything else: into free room, then
// into the reserve, then into room that the cheapest victims leave.
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

// placeWithoutPreemption starts an urgent task if there is room for it.
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

// preemptOwnForUrgent preempts the team's own youngest batch as long as the team's limit is
// all that keeps its urgent tasks waiting.
func (p *Planner) preemptOwnForUrgent(t *teamState, waiting []*unit) {
	if p.disabled(UrgentPreempt) {
		return
	}
	var more capacity.Size
	for _, u := range waiting {
		more = more.Add(u.totalSize())
	}
	for !p.atDecisionLimit() {
		expected := t.allocated.Sub(t.stopping).Add(more)
		if expected.Within(t.row.Limit) {
			return
		}
		pt := p.youngestStoppable(t, expected)
		if pt == nil || !pt.preemptible() {
			return
		}
		p.preempt(pt, "its team's limit is needed for urgent work")
	}
}

// preemptForUnit preempts the cheapest victims for an urgent task: those of its own team,
// and of teams above their due unless its own team is above its due as well. So
// a team that calls all its work urgent takes nothing from the others.
func (p *Planner) preemptForUnit(u *unit) {
	if p.disabled(UrgentPreempt) {
		return
	}
	t := u.jobState.team
	withinShare := t.allocated.Sub(t.stopping).Dominant(p.totalCapacity) <= t.fairShare+p.cfg.ShareSlack
	filter := func(pt *placedTask) bool {
		return pt.team == t || withinShare && p.aboveShareFilter(2*p.cfg.ShareSlack)(pt)
	}
	srv, victims := p.findVictims(u, u.jobState.spec.Size, true, filter)
	if srv == nil {
		return
	}
	p.reserve(u, srv)
	for _, pt := range victims {
		p.preempt(pt, "room for urgent work")
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
	r := &reserveBlock{server: s, size: size, index: len(p.reserveBlocks)}
	p.reserveBlocks = append(p.reserveBlocks, r)
	s.reserveBlockCount++
	s.rack.zone.reserveBlockCount++
	p.adjustServerReserved(s, size)
	return true
}

// zoneWithFewestBlocks returns the zone with the fewest rooms of the reserve.
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

// dropReserveBlocks gives up the rooms that match.
func (p *Planner) dropReserveBlocks(match func(*reserveBlock) bool) {
	for i := len(p.reserveBlocks) - 1; i >= 0; i-- {
		if match(p.reserveBlocks[i]) {
			p.dropReserveBlock(p.reserveBlocks[i])
		}
	}
}
