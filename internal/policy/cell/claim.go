package cell

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/preempt"
)

// Bounds of claims and of the search for victims.
const (
	// claimLife is how long a claim of one task waits for its victims.
	claimLife = 15 * time.Second
	// gangTerm is the time that a gang may run before it is preempted for others:
	// gathering its room was dear, and it may lose the work of all its tasks.
	gangTerm = 30 * time.Second
	// mostTeams and mostTasks bound the victims that are weighed.
	mostTeams = 6
	mostTasks = 12
)

// claim is room that is kept for a unit until what is in it has left.
type claim struct {
	unit  *unit
	parts []part
	made  time.Duration
	// forced is when tasks were last preempted for it.
	forced time.Duration
}

// part is the room kept for one task.
type part struct {
	srv  *server
	size capacity.Size
}

// keep keeps room for one task of the unit on the server.
func (p *Planner) keep(u *unit, s *server) {
	if u.claim == nil {
		u.claim = &claim{unit: u, made: p.now}
		p.claims = append(p.claims, u.claim)
		if u.work.spec.Whole() {
			p.gangs++
			u.work.account.gathers = u
		}
	}
	t := part{srv: s, size: u.work.spec.Size}
	u.claim.parts = append(u.claim.parts, t)
	p.reserveOn(s, t.size)
	p.await(u.work.account, t.size)
}

// kept is the size of the room kept for the unit.
func (u *unit) kept() capacity.Size {
	if u.claim == nil {
		return capacity.Size{}
	}
	return u.need.Times(int64(len(u.claim.parts)))
}

func (p *Planner) unkeep(u *unit, t part) {
	p.reserveOn(t.srv, capacity.Size{}.Sub(t.size))
	p.await(u.work.account, capacity.Size{}.Sub(t.size))
}

func (p *Planner) reserveOn(s *server, more capacity.Size) {
	s.reserved = s.reserved.Add(more)
	p.touch(s)
}

// await changes the room that is on its way to the team; it counts as held in
// the order of need.
func (p *Planner) await(c *account, more capacity.Size) {
	p.order.Remove(c.name)
	c.coming = c.coming.Add(more)
	c.ratio = p.ratio(c)
	p.order.Add(c)
}

func (p *Planner) dropClaim(u *unit) {
	c := u.claim
	if c == nil {
		return
	}
	u.claim, u.tried = nil, 0
	p.claims = slices.DeleteFunc(p.claims, func(o *claim) bool { return o == c })
	for _, t := range c.parts {
		p.unkeep(u, t)
	}
	if u.work.spec.Whole() {
		p.gangs--
		u.work.account.gathers = nil
	}
}

// claimed starts the units whose room has become free, urgent ones first.
func (p *Planner) claimed() {
	for _, urgent := range []bool{true, false} {
		for _, c := range slices.Clone(p.claims) {
			if p.full() {
				return
			}
			if (c.unit.work.spec.Kind == job.Urgent) == urgent {
				p.tryClaim(c)
			}
		}
	}
}

func (p *Planner) tryClaim(c *claim) {
	u := c.unit
	p.prune(c)
	if len(c.parts) == 0 || len(c.parts) > len(u.tasks) || u.where != inQueue {
		p.dropClaim(u)
		return
	}
	if len(c.parts) == len(u.tasks) && c.free() && p.allowed(u) {
		on := make([]*server, 0, len(c.parts))
		for _, t := range c.parts {
			on = append(on, t.srv)
		}
		p.start(u, on)
		return
	}
	switch {
	case u.work.spec.Whole():
		p.hasten(c)
	case p.now-c.made > claimLife:
		p.dropClaim(u)
	}
}

// prune gives up the parts on servers that take nothing new.
func (p *Planner) prune(c *claim) {
	c.parts = slices.DeleteFunc(c.parts, func(t part) bool {
		if t.srv.State == backend.Ready {
			return false
		}
		p.unkeep(c.unit, t)
		return true
	})
}

// free tells whether all the room kept is free now.
func (c *claim) free() bool {
	taken := map[*server]capacity.Size{}
	for _, t := range c.parts {
		taken[t.srv] = taken[t.srv].Add(t.size)
		if !taken[t.srv].Fits(t.srv.actual()) {
			return false
		}
	}
	return true
}

// rule tells whether a task may be stopped for a claim.
type rule func(h *holding) bool

// overdue allows the tasks of teams that hold more than their due.
func (p *Planner) overdue(slack float64) rule {
	return func(h *holding) bool {
		size := h.size
		if h.Job.Whole() {
			if p.now < h.PlacedAt+gangTerm {
				return false
			}
			size = size.Times(int64(len(h.work.held)))
		}
		rest := h.account.held.Sub(h.account.leaving).Sub(size)
		return rest.Dominant(p.total) >= h.account.fair-slack
	}
}

// victims returns the server on which the least work is lost to make room for
// need, and what to stop there.
func (p *Planner) victims(u *unit, need capacity.Size, own bool, may rule) (*server, []*holding) {
	v := search{p: p, unit: u, need: need, may: may, seen: map[*server]bool{}}
	if own {
		v.look(u.work.account)
	}
	n := 0
	p.order.EachReverse(func(c *account) bool {
		if c != u.work.account && c.victims.Len() > 0 {
			v.look(c)
			n++
		}
		return n < mostTeams && c.ratio > 0
	})
	return v.best, v.stop
}

// search is the state of one search for victims.
type search struct {
	p    *Planner
	unit *unit
	need capacity.Size
	may  rule
	seen map[*server]bool
	best *server
	stop []*holding
	lost float64
}

// look weighs the servers on which the team's youngest tasks run.
func (v *search) look(c *account) {
	n := 0
	c.victims.Each(func(h *holding) bool {
		if n++; v.may(h) && !v.seen[h.srv] && h.srv.State == backend.Ready && !v.unit.work.budget.FailedOn(h.srv.num) {
			v.seen[h.srv] = true
			v.weigh(h.srv)
		}
		return n < mostTasks
	})
}

func (v *search) weigh(s *server) {
	stop, lost, ok := v.p.room(s, v.need, s.room(), v.may)
	if ok && (v.best == nil || lost < v.lost) {
		v.best, v.stop, v.lost = s, stop, lost
	}
}

// room returns what to stop on the server so that need fits.
func (p *Planner) room(s *server, need, free capacity.Size, may rule) ([]*holding, float64, bool) {
	var candidates []preempt.Victim[*holding]
	for _, h := range s.tasks {
		if h.victim() && may(h) {
			candidates = append(candidates, preempt.Victim[*holding]{Item: h, Freed: h.size, LostWork: p.lost(h)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b preempt.Victim[*holding]) int {
		switch {
		case a.LostWork < b.LostWork:
			return -1
		case a.LostWork > b.LostWork:
			return 1
		}
		return 0
	})
	chosen, lost, ok := preempt.Choose(need, free, candidates)
	stop := make([]*holding, 0, len(chosen))
	for _, v := range chosen {
		stop = append(stop, v.Item)
	}
	return stop, lost, ok
}

// lost is the work thrown away by stopping the task; a gang stops as a whole.
// Each time that a job was preempted before makes it dearer, so that the same
// youngest job is not stopped again and again.
func (p *Planner) lost(h *holding) float64 {
	one := preempt.LostWork(h.size.Dominant(p.total), h.PlacedAt, p.now)
	if !h.Job.Whole() {
		return one * float64(1+h.attempts)
	}
	return one * float64(len(h.work.held)) * float64(1+h.attempts)
}

// preempt stops the task, and with it the gang that it belongs to.
func (p *Planner) preempt(h *holding, reason string) {
	if !h.Job.Whole() {
		p.preemptOne(h, reason)
		return
	}
	for _, o := range h.work.held {
		p.preemptOne(o, reason)
	}
}

func (p *Planner) preemptOne(h *holding, reason string) {
	if h.Stopping {
		return
	}
	p.stop(h)
	p.emit(plan.Decision{Action: plan.Preempt, Task: h.ID, Reason: reason})
}
