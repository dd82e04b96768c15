package cell

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/fit"
	"gypsumreel/internal/policy/plan"
)

// Bounds of the work done for gangs in one call.
const (
	// serversPerReservation is the number of servers for each of which one more
	// gang may hold a reservation; there may always be minReservations.
	serversPerReservation = 10
	minReservations       = 2
	// gangPreemptInterval is the time between two attempts to hasten a gang.
	gangPreemptInterval = time.Second
)

// placeGang starts all tasks of the gang or none: in one rack if it fits, else in
// one zone, else anywhere.
func (p *Planner) placeGang(u *unit) bool {
	if u.triedRevision == p.freeRevision || !u.totalSize().Fits(p.freeCapacity) || !p.limitAllows(u) {
		return false
	}
	u.triedRevision = p.freeRevision
	servers := p.findInRack(u)
	if servers == nil {
		servers = p.findInZone(u)
	}
	if servers == nil {
		servers = p.findForAll(u, nil)
	}
	if servers == nil {
		return false
	}
	p.startUnit(u, servers)
	return true
}

func (p *Planner) findInRack(u *unit) []*server {
	if p.disabled(RackLocality) {
		return nil
	}
	need, n := u.jobState.spec.Size, len(u.tasks)
	r, _, ok := p.rackIndex.Best(u.totalSize(), fit.WorstScore, func(r *rack) bool { return p.rackHolds(r, u, need, n) })
	if !ok {
		return nil
	}
	var servers []*server
	for _, s := range sortByAvailable(r.servers) {
		for range min(n-len(servers), p.serverHolds(s, u, need)) {
			servers = append(servers, s)
		}
	}
	return servers
}

// sortByAvailable returns the servers with the fullest first, so that whole servers stay free.
func sortByAvailable(servers []*server) []*server {
	sorted := slices.Clone(servers)
	slices.SortStableFunc(sorted, func(a, b *server) int {
		return cmp.Compare(a.available().Dominant(a.Capacity), b.available().Dominant(b.Capacity))
	})
	return sorted
}

// rackHolds tells whether the rack has room for n tasks of the unit.
func (p *Planner) rackHolds(r *rack, u *unit, need capacity.Size, n int) bool {
	for _, s := range r.servers {
		n -= p.serverHolds(s, u, need)
	}
	return n <= 0
}

// serverHolds returns how many tasks of the unit the server has room for.
func (p *Planner) serverHolds(s *server, u *unit, need capacity.Size) int {
	if s.State != backend.Ready || u.jobState.failureBudget.Avoids(s.number) {
		return 0
	}
	return countFitting(need, s.available())
}

// countFitting returns how often need fits into room.
func countFitting(need, room capacity.Size) int {
	if !room.Valid() {
		return 0
	}
	n := int64(1 << 30)
	per := func(need, room int64) {
		if need > 0 {
			n = min(n, room/need)
		}
	}
	per(need.CPU, room.CPU)
	per(need.Memory, room.Memory)
	per(need.Accel, room.Accel)
	per(need.Slots, room.Slots)
	return int(n)
}

func (p *Planner) findInZone(u *unit) []*server {
	if p.disabled(RackLocality) {
		return nil
	}
	zones := slices.Clone(p.zones)
	slices.SortStableFunc(zones, func(a, b *zone) int {
		return cmp.Compare(b.free.Dominant(p.totalCapacity), a.free.Dominant(p.totalCapacity))
	})
	for _, z := range zones {
		if !u.totalSize().Fits(z.free) {
			continue
		}
		if servers := p.findForAll(u, z); servers != nil {
			return servers
		}
	}
	return nil
}

// findForAll finds a server for each task, one after the other, in the zone if one is
// given. The room is taken while it searches and given back at the end.
func (p *Planner) findForAll(u *unit, z *zone) []*server {
	need := u.jobState.spec.Size
	servers := make([]*server, 0, len(u.tasks))
	tasksByServer := map[*server]int64{}
	for range u.tasks {
		s := p.bestInZone(z, need, u.serverFilter())
		if s == nil {
			break
		}
		servers = append(servers, s)
		tasksByServer[s]++
		s.rack.zone.index.Update(&s.element, s.available().Sub(need.Times(tasksByServer[s])))
	}
	for _, s := range servers {
		s.rack.zone.index.Update(&s.element, s.available())
	}
	if len(servers) < len(u.tasks) {
		return nil
	}
	return servers
}

// findVictimsNear looks for victims in the gang's zone first.
func (p *Planner) findVictimsNear(home *zone, u *unit, includeOwn bool, filter victimFilter) (*server, []*placedTask) {
	if home != nil && !p.disabled(RackLocality) {
		inZone := func(h *placedTask) bool { return h.server.rack.zone == home && filter(h) }
		if srv, stop := p.findVictims(u, u.taskSize, includeOwn, inZone); srv != nil {
			return srv, stop
		}
	}
	return p.findVictims(u, u.taskSize, includeOwn, filter)
}

// bestInZone returns the best server of the zone, or of all if none is given.
func (p *Planner) bestInZone(z *zone, need capacity.Size, accepts func(*server) bool) *server {
	if z == nil {
		return p.bestServer(need, accepts)
	}
	s, _, _ := z.index.Best(need, fit.WorstScore, accepts)
	return s
}

// reserveForGang keeps one more piece of room for the gang whose turn it is, in place of
// starting a task there. It takes its turns like any other work, so that its
// team pays for the room from its share, and smaller work does not take each
// piece as it becomes free. A team gathers for one gang at a time.
func (p *Planner) reserveForGang(u *unit) bool {
	if p.disabled(GangReservation) || !p.mayReserveForGang(u) {
		return false
	}
	need := u.jobState.spec.Size
	if p.unplaceable.covers(need) {
		return false
	}
	home := u.reservedZone()
	if p.disabled(RackLocality) {
		home = nil
	}
	if home == nil && !p.disabled(RackLocality) {
		home = p.zoneWithMostFree()
	}
	s := p.bestInZone(home, need, u.serverFilter())
	if s == nil {
		return false
	}
	p.reserve(u, s)
	return true
}

// zoneWithMostFree returns the zone with the most free room.
func (p *Planner) zoneWithMostFree() *zone {
	var most *zone
	for _, z := range p.zones {
		if most == nil || z.free.Dominant(p.totalCapacity) > most.free.Dominant(p.totalCapacity) {
			most = z
		}
	}
	return most
}

// mayReserveForGang tells whether the gang may be kept one more piece of room.
func (p *Planner) mayReserveForGang(u *unit) bool {
	if u.reservation != nil {
		return len(u.reservation.parts) < len(u.tasks)
	}
	return u.jobState.team.reservingGang == nil && p.gangReservations < max(minReservations, len(p.serverList)/serversPerReservation)
}

// reservedZone is the zone in which the gang gathers, nil before it has begun.
func (u *unit) reservedZone() *zone {
	if u.reservation == nil || len(u.reservation.parts) == 0 {
		return nil
	}
	return u.reservation.parts[0].server.rack.zone
}

// startGangReservations lets gangs gather that have waited for long and got no first piece in
// their team's turns: at 90 to 120% load others take what becomes free for 5 to
// 30 s, and a gang is not hastened before it gathers.
func (p *Planner) startGangReservations() {
	var teams []*teamState
	p.teamsByNeed.Each(func(c *teamState) bool {
		if c.waitingGangs > 0 && c.reservingGang == nil && c.inTable {
			teams = append(teams, c)
		}
		return true
	})
	for _, c := range teams {
		if p.atDecisionLimit() {
			return
		}
		p.startFirstGangReservation(c)
	}
}

// startFirstGangReservation lets the team's first gang begin.
func (p *Planner) startFirstGangReservation(c *teamState) {
	for _, u := range c.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, nil) {
		if !u.jobState.spec.Whole() || !p.eligible(u) {
			continue
		}
		if p.now >= u.queuedAt+p.cfg.GangPreemptDelay && p.mayReserveForGang(u) {
			p.reserveByPreemption(u, true)
		}
		return
	}
}

// preemptForReservation preempts for a gang that has gathered for long: what still runs in its
// room, and for the rest the cheapest tasks of its own team and of teams above
// their due. Without this a few long tasks would hold up the gang, and the room
// kept for it, for as long.
func (p *Planner) preemptForReservation(c *reservation) {
	if p.now < c.createdAt+p.cfg.GangPreemptDelay || p.now < c.preemptedAt+gangPreemptInterval || p.disabled(SharePreempt) {
		return
	}
	c.preemptedAt = p.now
	for _, t := range c.parts {
		p.preemptInPart(t)
	}
	for len(c.parts) < len(c.unit.tasks) && !p.atDecisionLimit() {
		if !p.reserveByPreemption(c.unit, true) {
			return
		}
	}
}

// preemptInPart preempts what runs in kept room.
func (p *Planner) preemptInPart(t reservedPart) {
	stop, _, _ := p.chooseVictims(t.server, t.size, t.server.uncommitted(), func(h *placedTask) bool { return !h.Job.Whole() })
	for _, h := range stop {
		p.preempt(h, "room for a gang")
	}
}

// reserveByPreemption keeps a piece of room for the gang that victims have to leave.
func (p *Planner) reserveByPreemption(u *unit, allowOwn bool) bool {
	filter := p.aboveShareFilter(p.cfg.ShareSlack / 2)
	if allowOwn {
		aboveShare, c := filter, u.jobState.team
		belowShare := p.withinLimit(c, u.taskSize) && c.allocated.Add(c.reserved).Sub(u.reservedSize()).Sub(c.stopping).Dominant(p.totalCapacity) <= c.fairShare+p.cfg.ShareSlack
		filter = func(h *placedTask) bool { return h.team == c && !h.Job.Whole() || belowShare && aboveShare(h) }
	}
	srv, stop := p.findVictimsNear(u.reservedZone(), u, allowOwn, filter)
	if srv == nil {
		return false
	}
	p.reserve(u, srv)
	for _, h := range stop {
		p.preempt(h, "room for a gang")
	}
	return true
}

// handleGangTaskEnd handles the end of one task of a gang: the rest cannot go on without it
// if it has to run again, and is stopped so that the gang starts anew as a whole.
func (p *Planner) handleGangTaskEnd(h *placedTask, end plan.AttemptEnd) {
	w := h.jobState
	if len(w.placed) == 0 {
		if w.gangUnit != nil {
			p.markNew(w.gangUnit)
		}
		return
	}
	if (end.Failed || end.ServerLost || h.Stopping) && !h.Job.Once {
		p.brokenGangs = append(p.brokenGangs, w)
	}
}
