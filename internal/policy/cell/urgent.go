package cell

import (
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
)

// Bounds of the work done for urgent tasks in one call.
const (
	// mostSearches is the number of searches for victims.
	mostSearches = 4
	// mostVain is the number of urgent tasks looked at for which there is no room.
	mostVain = 64
	// urgentDepth is the number of a team's urgent tasks looked at.
	urgentDepth = 32
	// mostRefills is the number of rooms added to the reserve.
	mostRefills = 4
)

// room is a piece of the urgent reserve.
type room struct {
	srv  *server
	size capacity.Size
	pos  int
}

// placeUrgent decides urgent work before anything else: into free room, then
// into the reserve, then into room that the cheapest victims leave.
func (p *Planner) placeUrgent() {
	if p.urgent == 0 {
		return
	}
	var accounts []*account
	p.order.Each(func(c *account) bool {
		if c.queues[job.Urgent].Len() > 0 && c.known {
			accounts = append(accounts, c)
		}
		return true
	})
	searches, vain := 0, 0
	for _, c := range accounts {
		waiting := c.queues[job.Urgent].AppendFirst(urgentDepth, nil)
		for i, u := range waiting {
			if p.full() || vain == mostVain {
				return
			}
			if !p.allowed(u) {
				p.yield(c, waiting[i:])
				break
			}
			if p.placeQuick(u) || u.claim != nil {
				continue
			}
			vain++
			if searches < mostSearches && u.tried != p.grown {
				searches++
				u.tried = p.grown
				p.clear(u)
			}
		}
	}
}

// placeQuick starts an urgent task if there is room for it.
func (p *Planner) placeQuick(u *unit) bool {
	need := u.work.spec.Size
	if s := p.find(u, need); s != nil {
		p.start(u, []*server{s})
		return true
	}
	for _, r := range p.rooms {
		if r.srv.State != backend.Ready || u.work.budget.FailedOn(r.srv.num) || !need.Fits(r.srv.room().Add(r.size)) {
			continue
		}
		p.dropRoom(r)
		p.start(u, []*server{r.srv})
		return true
	}
	return false
}

// yield preempts the team's own youngest batch as long as the team's limit is
// all that keeps its urgent tasks waiting.
func (p *Planner) yield(c *account, waiting []*unit) {
	if p.lacks(UrgentPreempt) {
		return
	}
	var more capacity.Size
	for _, u := range waiting {
		more = more.Add(u.size())
	}
	for !p.full() {
		over := c.held.Sub(c.leaving).Add(more)
		if over.Within(c.row.Limit) {
			return
		}
		h := p.youngestOver(c, over)
		if h == nil || !h.victim() {
			return
		}
		p.preempt(h, "its team's limit is needed for urgent work")
	}
}

// clear preempts the cheapest victims for an urgent task: those of its own team,
// and of teams above their due unless its own team is above its due as well. So
// a team that calls all its work urgent takes nothing from the others.
func (p *Planner) clear(u *unit) {
	if p.lacks(UrgentPreempt) {
		return
	}
	c := u.work.account
	poor := c.held.Sub(c.leaving).Dominant(p.total) <= c.fair+p.cfg.ShareSlack
	may := func(h *holding) bool {
		return h.account == c || poor && p.overdue(2*p.cfg.ShareSlack)(h)
	}
	srv, stop := p.victims(u, u.work.spec.Size, true, may)
	if srv == nil {
		return
	}
	p.keep(u, srv)
	for _, h := range stop {
		p.preempt(h, "room for urgent work")
	}
}

// fillReserve keeps the reserve at its size, spread over the zones, so that the
// loss of one leaves most of it.
func (p *Planner) fillReserve() {
	if p.lacks(UrgentReserve) {
		return
	}
	n, size := p.reserve.Target(p.total)
	if len(p.rooms) > 0 && p.rooms[0].size != size {
		p.dropRooms(func(*room) bool { return true })
	}
	for len(p.rooms) > n {
		p.dropRoom(p.rooms[len(p.rooms)-1])
	}
	for range min(n-len(p.rooms), mostRefills) {
		if !p.addRoom(size) {
			return
		}
	}
}

func (p *Planner) addRoom(size capacity.Size) bool {
	if p.failed.holds(size) {
		return false
	}
	s := p.bestIn(p.emptiest(), size, nil)
	if s == nil {
		s = p.best(size, nil)
	}
	if s == nil {
		p.failed.add(size)
		return false
	}
	r := &room{srv: s, size: size, pos: len(p.rooms)}
	p.rooms = append(p.rooms, r)
	s.rooms++
	s.rack.zone.rooms++
	p.reserveOn(s, size)
	return true
}

// emptiest returns the zone with the fewest rooms of the reserve.
func (p *Planner) emptiest() *zone {
	var least *zone
	for _, z := range p.zones {
		if least == nil || z.rooms < least.rooms {
			least = z
		}
	}
	return least
}

func (p *Planner) dropRoom(r *room) {
	last := p.rooms[len(p.rooms)-1]
	p.rooms[r.pos], last.pos = last, r.pos
	p.rooms = p.rooms[:len(p.rooms)-1]
	r.srv.rooms--
	r.srv.rack.zone.rooms--
	p.reserveOn(r.srv, capacity.Size{}.Sub(r.size))
}

// dropRooms gives up the rooms that match.
func (p *Planner) dropRooms(match func(*room) bool) {
	for i := len(p.rooms) - 1; i >= 0; i-- {
		if match(p.rooms[i]) {
			p.dropRoom(p.rooms[i])
		}
	}
}
