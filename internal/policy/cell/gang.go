package cell

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/plan"
)

// Bounds of the work done for gangs in one call.
const (
	// mostRacks is the number of racks weighed for one reservation.
	mostRacks = 64
	// serversPerReservation is the number of servers for each of which one more
	// gang may hold a reservation; there may always be minReservations.
	serversPerReservation = 25
	minReservations       = 2
)

// placeGang starts all tasks of the gang or none: in one rack if it fits, else in
// one zone, else anywhere.
func (p *Planner) placeGang(u *unit) bool {
	if u.tried == p.grown || !u.size().Fits(p.free) {
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
	if p.lacks(Racks) {
		return nil
	}
	need, n := u.work.spec.Size, len(u.tasks)
	at, ok := p.rackIndex.Best(u.size(), func(r int32) bool { return p.holds(p.rackAt[r], u, need, n) })
	if !ok {
		return nil
	}
	var on []*server
	for _, s := range byRoom(p.rackAt[at].servers) {
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
	if s.State != backend.Ready || u.work.budget.Avoids(s.num) {
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
	if p.lacks(Racks) {
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
	for range u.tasks {
		n, ok := p.index.Best(need, func(n int32) bool {
			s := p.list[n]
			return (z == nil || s.rack.zone == z) && !u.work.budget.Avoids(n)
		})
		if !ok {
			break
		}
		s := p.list[n]
		on = append(on, s)
		free, _ := p.index.Free(n)
		p.index.Set(n, free.Sub(need))
	}
	for _, s := range on {
		p.index.Set(s.num, s.room())
	}
	if len(on) < len(u.tasks) {
		return nil
	}
	return on
}

// reserveGangs keeps room for the gangs whose turn it is and that do not fit, so
// that smaller work does not take each piece as it becomes free.
func (p *Planner) reserveGangs() {
	if p.lacks(Reservation) || p.full() {
		return
	}
	most := max(minReservations, len(p.list)/serversPerReservation)
	var crews []*crew
	p.order.Each(func(c *crew) bool {
		if c.gangs > 0 && c.known {
			crews = append(crews, c)
		}
		return c.ratio <= 1+p.cfg.Slack
	})
	for _, c := range crews {
		if p.gangs >= most {
			return
		}
		p.reserveFirst(c)
	}
}

// reserveFirst keeps room for the team's first gang; a team has one reservation.
func (p *Planner) reserveFirst(c *crew) {
	for _, u := range c.queues[job.Batch].First(p.cfg.Depth, nil) {
		if !u.work.spec.Whole() {
			continue
		}
		if u.claim != nil || !p.within(c, u.size()) {
			return
		}
		p.reserveGang(u)
		return
	}
}

func (p *Planner) reserveGang(u *unit) {
	parts, due := p.cheapest(u)
	if parts == nil {
		return
	}
	c := p.addClaim(u, parts, due)
	poor := u.work.crew
	if part := u.size().Dominant(p.total); poor.target-poor.held.Dominant(p.total) >= part-p.cfg.Slack && !p.lacks(Reclaim) {
		c.forced = p.now
		p.force(c, p.overdue(p.cfg.Slack/2))
	}
}

// site is room that a gang could have once what may leave has left.
type site struct {
	rack  *rack
	parts []part
	n     int
	due   time.Duration
}

// cheapest returns the parts to keep: the rack that is expected to be free the
// soonest, or several racks of one zone, or of any.
func (p *Planner) cheapest(u *unit) ([]part, time.Duration) {
	var sites []site
	for i := range min(len(p.rackAt), mostRacks) {
		r := p.rackAt[(i+int(p.seq))%len(p.rackAt)]
		if s := p.site(r, u); s.n > 0 {
			sites = append(sites, s)
		}
	}
	slices.SortStableFunc(sites, func(a, b site) int { return cmp.Compare(a.due, b.due) })
	for _, s := range sites {
		if s.n >= len(u.tasks) && !p.lacks(Racks) {
			return cut(sites, len(u.tasks), func(o site) bool { return o.rack == s.rack })
		}
	}
	for _, z := range p.zones {
		if parts, due := cut(sites, len(u.tasks), func(o site) bool { return o.rack.zone == z }); parts != nil {
			return parts, due
		}
	}
	return cut(sites, len(u.tasks), func(site) bool { return true })
}

// cut takes the parts for n tasks out of the sites that ok accepts.
func cut(sites []site, n int, ok func(site) bool) ([]part, time.Duration) {
	var parts []part
	due := time.Duration(0)
	for _, s := range sites {
		if !ok(s) {
			continue
		}
		for _, t := range s.parts {
			if n == 0 {
				break
			}
			k := min(n, t.n)
			one := capacity.Size{CPU: t.size.CPU / int64(t.n), Memory: t.size.Memory / int64(t.n), Accel: t.size.Accel / int64(t.n), Slots: t.size.Slots / int64(t.n)}
			parts = append(parts, part{srv: t.srv, size: one.Times(int64(k)), n: k})
			n -= k
			due = max(due, s.due)
		}
	}
	if n > 0 {
		return nil, 0
	}
	return parts, due
}

// site weighs a rack: what it could hold without the batch that runs there.
func (p *Planner) site(r *rack, u *unit) site {
	s := site{rack: r, due: p.now}
	for _, srv := range r.servers {
		if srv.State != backend.Ready || u.work.budget.Avoids(srv.num) {
			continue
		}
		room, due := srv.room(), p.now
		for _, h := range srv.tasks {
			if h.victim() || h.Stopping {
				room = room.Add(h.size)
				due = max(due, h.Since+p.estimates.Runtime(h.Job))
			}
		}
		if n := times(u.work.spec.Size, room); n > 0 {
			s.parts = append(s.parts, part{srv: srv, size: u.work.spec.Size.Times(int64(n)), n: n})
			s.n += n
			s.due = max(s.due, due)
		}
	}
	return s
}

// hasten preempts what still runs in a gang's room well after it was expected to
// have ended: run times are often declared far too short, and without this one
// such task would hold up the gang, and the room kept for it, for as long.
func (p *Planner) hasten(c *claim) {
	if p.now < c.due+p.cfg.Patience || p.now < c.forced+claimLife {
		return
	}
	c.forced = p.now
	p.force(c, func(*holding) bool { return true })
}

// force preempts what is in the claim's room.
func (p *Planner) force(c *claim, may rule) {
	for _, t := range c.parts {
		stop, _, ok := p.room(t.srv, t.size, t.srv.actual(), may)
		if !ok {
			continue
		}
		for _, h := range stop {
			p.preempt(h, "room for a gang")
		}
	}
}

// loosen handles the end of one task of a gang: the rest cannot go on without it
// if it has to run again, and is stopped so that the gang starts anew as a whole.
func (p *Planner) loosen(h *holding, how plan.End) {
	w := h.work
	if len(w.held) == 0 {
		if w.gang != nil {
			p.refresh(w.gang)
		}
		return
	}
	if (how.Failed || how.Lost || h.Stopping) && !h.Job.Once {
		p.broken = append(p.broken, w)
	}
}
