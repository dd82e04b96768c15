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

// Bounds of the reservations and preemptions for gangs.
const (
	// serversPerReservation is the number of servers per gang reservation: a cell of n servers
	// allows n/serversPerReservation reservations, but at least minReservations.
	serversPerReservation = 10
	minReservations       = 2
	// gangPreemptInterval is the minimum time between two preemptions for the same gang.
	gangPreemptInterval = time.Second
)

// placeGang starts all tasks of the gang or none. It tries one rack first, then one zone,
// then the whole cell.
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

// findInRack returns a server for each task of the gang, all in one rack, or nil.
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

// sortByAvailable returns the servers with the least available capacity first, so that empty
// servers stay empty.
func sortByAvailable(servers []*server) []*server {
	sorted := slices.Clone(servers)
	slices.SortStableFunc(sorted, func(a, b *server) int {
		return cmp.Compare(a.available().DominantShare(a.Capacity), b.available().DominantShare(b.Capacity))
	})
	return sorted
}

// rackHolds reports whether n tasks of the unit fit on the servers of the rack.
func (p *Planner) rackHolds(r *rack, u *unit, need capacity.Size, n int) bool {
	for _, s := range r.servers {
		n -= p.serverHolds(s, u, need)
	}
	return n <= 0
}

// serverHolds returns how many tasks of the unit fit on the server.
func (p *Planner) serverHolds(s *server, u *unit, need capacity.Size) int {
	if s.State != backend.Ready || u.jobState.failureBudget.FailedOn(s.number) {
		return 0
	}
	return countFitting(need, s.available())
}

// countFitting returns how many times need fits into free.
func countFitting(need, free capacity.Size) int {
	if !free.Valid() {
		return 0
	}
	n := int64(1 << 30)
	limitBy := func(need, free int64) {
		if need > 0 {
			n = min(n, free/need)
		}
	}
	limitBy(need.CPU, free.CPU)
	limitBy(need.Memory, free.Memory)
	limitBy(need.Accel, free.Accel)
	limitBy(need.Slots, free.Slots)
	return int(n)
}

// findInZone returns a server for each task of the gang, all in one zone, or nil. It tries
// the zone with the most free capacity first.
func (p *Planner) findInZone(u *unit) []*server {
	if p.disabled(RackLocality) {
		return nil
	}
	zones := slices.Clone(p.zones)
	slices.SortStableFunc(zones, func(a, b *zone) int {
		return cmp.Compare(b.free.DominantShare(p.totalCapacity), a.free.DominantShare(p.totalCapacity))
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

// findForAll returns a server for each task of the unit, or nil. The servers are in zone z
// unless z is nil. During the search the index counts the tasks found so far as placed.
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

// findVictimsNear searches for victims in the preferred zone first, then in all zones.
func (p *Planner) findVictimsNear(preferredZone *zone, u *unit, includeOwn bool, filter victimFilter) (*server, []*placedTask) {
	if preferredZone != nil && !p.disabled(RackLocality) {
		inZone := func(pt *placedTask) bool { return pt.server.rack.zone == preferredZone && filter(pt) }
		if srv, victims := p.findVictims(u, u.taskSize, includeOwn, inZone); srv != nil {
			return srv, victims
		}
	}
	return p.findVictims(u, u.taskSize, includeOwn, filter)
}

// bestInZone returns the best server of zone z, or of all zones if z is nil.
func (p *Planner) bestInZone(z *zone, need capacity.Size, accepts func(*server) bool) *server {
	if z == nil {
		return p.bestServer(need, accepts)
	}
	s, _, _ := z.index.Best(need, fit.WorstScore, accepts)
	return s
}

// reserveForGang reserves capacity for one more task of the gang. A gang reserves in the
// order of teamsByNeed like other work is placed, and the reserved capacity counts against
// its team's share. This keeps smaller tasks from taking each server that becomes free.
// A team reserves for one gang at a time.
func (p *Planner) reserveForGang(u *unit) bool {
	if p.disabled(GangReservation) || !p.mayReserveForGang(u) {
		return false
	}
	need := u.jobState.spec.Size
	if p.unplaceable.covers(need) {
		return false
	}
	preferredZone := u.reservedZone()
	if p.disabled(RackLocality) {
		preferredZone = nil
	}
	if preferredZone == nil && !p.disabled(RackLocality) {
		preferredZone = p.zoneWithMostFree()
	}
	s := p.bestInZone(preferredZone, need, u.serverFilter())
	if s == nil {
		return false
	}
	p.reserve(u, s)
	return true
}

// zoneWithMostFree returns the zone with the most free capacity.
func (p *Planner) zoneWithMostFree() *zone {
	var best *zone
	for _, z := range p.zones {
		if best == nil || z.free.DominantShare(p.totalCapacity) > best.free.DominantShare(p.totalCapacity) {
			best = z
		}
	}
	return best
}

// mayReserveForGang reports whether the gang may reserve capacity for one more task. The
// number of gangs with reservations is bounded, by team and in the cell.
func (p *Planner) mayReserveForGang(u *unit) bool {
	if u.reservation != nil {
		return len(u.reservation.parts) < len(u.tasks)
	}
	return u.jobState.team.reservingGang == nil && p.gangReservationCount < max(minReservations, len(p.serverList)/serversPerReservation)
}

// reservedZone returns the zone of the unit's first reserved part, nil if it has none.
func (u *unit) reservedZone() *zone {
	if u.reservation == nil || len(u.reservation.parts) == 0 {
		return nil
	}
	return u.reservation.parts[0].server.rack.zone
}

// startGangReservations preempts tasks to start the reservation of gangs that have waited
// for GangPreemptDelay. Without it, at 90 to 120% load, other work takes the free capacity
// for 5 to 30 s before a gang gets its first part, and preemptForReservation only helps
// gangs that have a reservation.
func (p *Planner) startGangReservations() {
	var teams []*teamState
	p.teamsByNeed.Each(func(t *teamState) bool {
		if t.waitingGangCount > 0 && t.reservingGang == nil && t.inTable {
			teams = append(teams, t)
		}
		return true
	})
	for _, t := range teams {
		if p.atDecisionLimit() {
			return
		}
		p.startFirstGangReservation(t)
	}
}

// startFirstGangReservation starts the reservation of the team's first eligible gang.
func (p *Planner) startFirstGangReservation(t *teamState) {
	for _, u := range t.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, nil) {
		if !u.jobState.spec.AllOrNothing() || !p.eligible(u) {
			continue
		}
		if p.now >= u.queuedAt+p.cfg.GangPreemptDelay && p.mayReserveForGang(u) {
			p.reserveByPreemption(u, true)
		}
		return
	}
}

// preemptForReservation preempts tasks for a gang whose reservation is older than
// GangPreemptDelay. It stops the tasks that still run in the reserved capacity. For the
// missing parts it stops the tasks of the gang's team and of teams above their fair share
// that lose the least work. Otherwise a few long tasks would block the gang, and the
// capacity reserved for it, until they end.
func (p *Planner) preemptForReservation(r *reservation) {
	if p.now < r.createdAt+p.cfg.GangPreemptDelay || p.now < r.lastPreemptionAt+gangPreemptInterval || p.disabled(SharePreempt) {
		return
	}
	r.lastPreemptionAt = p.now
	for _, part := range r.parts {
		p.preemptInPart(part)
	}
	for len(r.parts) < len(r.unit.tasks) && !p.atDecisionLimit() {
		if !p.reserveByPreemption(r.unit, true) {
			return
		}
	}
}

// preemptInPart preempts tasks that still use the reserved capacity of the part. Tasks of
// other gangs are not preempted.
func (p *Planner) preemptInPart(part reservedPart) {
	victims, _, _ := p.chooseVictims(part.server, part.size, part.server.uncommitted(), func(pt *placedTask) bool { return !pt.Job.AllOrNothing() })
	for _, pt := range victims {
		p.preempt(pt, "capacity needed for a gang")
	}
}

// reserveByPreemption reserves capacity for one task of the gang and preempts the tasks that
// use it. It returns false if no suitable victims exist. With allowOwn set, tasks of the
// gang's own team may be preempted, and tasks of other teams only while the gang's team is
// within its share and its limit.
func (p *Planner) reserveByPreemption(u *unit, allowOwn bool) bool {
	filter := p.aboveShareFilter(p.cfg.ShareSlack / 2)
	if allowOwn {
		aboveShare, t := filter, u.jobState.team
		belowShare := p.withinLimit(t, u.taskSize) && t.allocated.Add(t.reserved).Sub(u.reservedSize()).Sub(t.stopping).DominantShare(p.totalCapacity) <= t.fairShare+p.cfg.ShareSlack
		filter = func(pt *placedTask) bool {
			return pt.team == t && !pt.Job.AllOrNothing() || belowShare && aboveShare(pt)
		}
	}
	srv, victims := p.findVictimsNear(u.reservedZone(), u, allowOwn, filter)
	if srv == nil {
		return false
	}
	p.reserve(u, srv)
	for _, pt := range victims {
		p.preempt(pt, "capacity needed for a gang")
	}
	return true
}

// handleGangTaskEnd handles the end of one task of a gang. If the task has to run again, the
// other tasks cannot continue without it. They are stopped, so that the whole gang restarts.
func (p *Planner) handleGangTaskEnd(pt *placedTask, end plan.AttemptEnd) {
	js := pt.jobState
	if len(js.placed) == 0 {
		if js.gangUnit != nil {
			p.markNew(js.gangUnit)
		}
		return
	}
	if (end.Failed || end.ServerLost || pt.Stopping) && !pt.Job.AtMostOnce {
		p.brokenGangs = append(p.brokenGangs, js)
	}
}
