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
	// forcePeriod is the time between two attempts to hasten a gang.
	forcePeriod = time.Second
)

// placeGang starts all tasks of the gang or none: in one rack if it fits, else in
// one zone, else anywhere.
func (p *Planner) placeGang(u *unit) bool {
	if u.tried == p.grown || !u.size().Fits(p.free) || !p.allowed(u) {
		return false
	}
	u.tried = p.grown
	on := p.inRack(u)
	if on == nil {
		on = p.inZone(u)
	}
	if on == nil {
		on = p.pack(u, nil)
	}
	if on == nil {
		return false
	}
	p.start(u, on)
	return true
}

func (p *Planner) inRack(u *unit) []*server {
	if p.lacks(RackLocality) {
		return nil
	}
	need, n := u.work.spec.Size, len(u.tasks)
	r, _, ok := p.rackIndex.Best(u.size(), fit.WorstScore, func(r *rack) bool { return p.holds(r, u, need, n) })
	if !ok {
		return nil
	}
	var on []*server
	for _, s := range byRoom(r.servers) {
		for range min(n-len(on), p.times(s, u, need)) {
			on = append(on, s)
		}
	}
	return on
}

// byRoom returns the servers with the fullest first, so that whole servers stay free.
func byRoom(servers []*server) []*server {
	sorted := slices.Clone(servers)
	slices.SortStableFunc(sorted, func(a, b *server) int {
		return cmp.Compare(a.room().Dominant(a.Capacity), b.room().Dominant(b.Capacity))
	})
	return sorted
}

// holds tells whether the rack has room for n tasks of the unit.
func (p *Planner) holds(r *rack, u *unit, need capacity.Size, n int) bool {
	for _, s := range r.servers {
		n -= p.times(s, u, need)
	}
	return n <= 0
}

// times returns how many tasks of the unit the server has room for.
func (p *Planner) times(s *server, u *unit, need capacity.Size) int {
	if s.State != backend.Ready || u.work.budget.FailedOn(s.num) {
		return 0
	}
	return times(need, s.room())
}

// times returns how often need fits into room.
func times(need, room capacity.Size) int {
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

func (p *Planner) inZone(u *unit) []*server {
	if p.lacks(RackLocality) {
		return nil
	}
	zones := slices.Clone(p.zones)
	slices.SortStableFunc(zones, func(a, b *zone) int {
		return cmp.Compare(b.free.Dominant(p.total), a.free.Dominant(p.total))
	})
	for _, z := range zones {
		if !u.size().Fits(z.free) {
			continue
		}
		if on := p.pack(u, z); on != nil {
			return on
		}
	}
	return nil
}

// pack finds a server for each task, one after the other, in the zone if one is
// given. The room is taken while it searches and given back at the end.
func (p *Planner) pack(u *unit, z *zone) []*server {
	need := u.work.spec.Size
	on := make([]*server, 0, len(u.tasks))
	taken := map[*server]int64{}
	for range u.tasks {
		s := p.bestIn(z, need, u.accepts())
		if s == nil {
			break
		}
		on = append(on, s)
		taken[s]++
		s.rack.zone.index.Update(&s.spot, s.room().Sub(need.Times(taken[s])))
	}
	for _, s := range on {
		s.rack.zone.index.Update(&s.spot, s.room())
	}
	if len(on) < len(u.tasks) {
		return nil
	}
	return on
}

// victimsAt looks for victims in the gang's zone first.
func (p *Planner) victimsAt(home *zone, u *unit, own bool, may rule) (*server, []*holding) {
	if home != nil && !p.lacks(RackLocality) {
		near := func(h *holding) bool { return h.srv.rack.zone == home && may(h) }
		if srv, stop := p.victims(u, u.need, own, near); srv != nil {
			return srv, stop
		}
	}
	return p.victims(u, u.need, own, may)
}

// bestIn returns the best server of the zone, or of all if none is given.
func (p *Planner) bestIn(z *zone, need capacity.Size, ok func(*server) bool) *server {
	if z == nil {
		return p.best(need, ok)
	}
	s, _, _ := z.index.Best(need, fit.WorstScore, ok)
	return s
}

// gather keeps one more piece of room for the gang whose turn it is, in place of
// starting a task there. It takes its turns like any other work, so that its
// team pays for the room from its share, and smaller work does not take each
// piece as it becomes free. A team gathers for one gang at a time.
func (p *Planner) gather(u *unit) bool {
	if p.lacks(GangReservation) || !p.mayGather(u) {
		return false
	}
	need := u.work.spec.Size
	if p.failed.holds(need) {
		return false
	}
	home := u.home()
	if p.lacks(RackLocality) {
		home = nil
	}
	if home == nil && !p.lacks(RackLocality) {
		home = p.roomyZone()
	}
	s := p.bestIn(home, need, u.accepts())
	if s == nil {
		return false
	}
	p.keep(u, s)
	return true
}

// roomyZone returns the zone with the most free room.
func (p *Planner) roomyZone() *zone {
	var most *zone
	for _, z := range p.zones {
		if most == nil || z.free.Dominant(p.total) > most.free.Dominant(p.total) {
			most = z
		}
	}
	return most
}

// mayGather tells whether the gang may be kept one more piece of room.
func (p *Planner) mayGather(u *unit) bool {
	if u.claim != nil {
		return len(u.claim.parts) < len(u.tasks)
	}
	return u.work.account.gathers == nil && p.gangs < max(minReservations, len(p.list)/serversPerReservation)
}

// home is the zone in which the gang gathers, nil before it has begun.
func (u *unit) home() *zone {
	if u.claim == nil || len(u.claim.parts) == 0 {
		return nil
	}
	return u.claim.parts[0].srv.rack.zone
}

// beginGangs lets gangs gather that have waited for long and got no first piece in
// their team's turns: at 90 to 120% load others take what becomes free for 5 to
// 30 s, and a gang is not hastened before it gathers.
func (p *Planner) beginGangs() {
	var accounts []*account
	p.order.Each(func(c *account) bool {
		if c.gangs > 0 && c.gathers == nil && c.known {
			accounts = append(accounts, c)
		}
		return true
	})
	for _, c := range accounts {
		if p.full() {
			return
		}
		p.beginFirst(c)
	}
}

// beginFirst lets the team's first gang begin.
func (p *Planner) beginFirst(c *account) {
	for _, u := range c.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, nil) {
		if !u.work.spec.Whole() || !p.eligible(u) {
			continue
		}
		if p.now >= u.since+p.cfg.GangPreemptDelay && p.mayGather(u) {
			p.keepByForce(u, true)
		}
		return
	}
}

// hasten preempts for a gang that has gathered for long: what still runs in its
// room, and for the rest the cheapest tasks of its own team and of teams above
// their due. Without this a few long tasks would hold up the gang, and the room
// kept for it, for as long.
func (p *Planner) hasten(c *claim) {
	if p.now < c.made+p.cfg.GangPreemptDelay || p.now < c.forced+forcePeriod || p.lacks(SharePreempt) {
		return
	}
	c.forced = p.now
	for _, t := range c.parts {
		p.vacate(t)
	}
	for len(c.parts) < len(c.unit.tasks) && !p.full() {
		if !p.keepByForce(c.unit, true) {
			return
		}
	}
}

// vacate preempts what runs in kept room.
func (p *Planner) vacate(t part) {
	stop, _, _ := p.room(t.srv, t.size, t.srv.actual(), func(h *holding) bool { return !h.Job.Whole() })
	for _, h := range stop {
		p.preempt(h, "room for a gang")
	}
}

// keepByForce keeps a piece of room for the gang that victims have to leave.
func (p *Planner) keepByForce(u *unit, own bool) bool {
	may := p.overdue(p.cfg.ShareSlack / 2)
	if own {
		due, c := may, u.work.account
		poor := p.within(c, u.need) && c.held.Add(c.coming).Sub(u.kept()).Sub(c.leaving).Dominant(p.total) <= c.fair+p.cfg.ShareSlack
		may = func(h *holding) bool { return h.account == c && !h.Job.Whole() || poor && due(h) }
	}
	srv, stop := p.victimsAt(u.home(), u, own, may)
	if srv == nil {
		return false
	}
	p.keep(u, srv)
	for _, h := range stop {
		p.preempt(h, "room for a gang")
	}
	return true
}

// loosen handles the end of one task of a gang: the rest cannot go on without it
// if it has to run again, and is stopped so that the gang starts anew as a whole.
func (p *Planner) loosen(h *holding, how plan.AttemptEnd) {
	w := h.work
	if len(w.held) == 0 {
		if w.gang != nil {
			p.refresh(w.gang)
		}
		return
	}
	if (how.Failed || how.ServerLost || h.Stopping) && !h.Job.Once {
		p.broken = append(p.broken, w)
	}
}
