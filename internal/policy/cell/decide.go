package cell

import (
	"math"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/fit"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/share"
)

// Bounds of one call of Decide.
const (
	// mostDrops bounds the jobs dropped in one call, so that a wave of passed
	// deadlines does not hold up placements.
	mostDrops = 64
	// thousandth is the unit of guaranteed shares.
	thousandth = 1000.0
)

// Decide returns at most limit decisions, the most pressing first.
func (p *Planner) Decide(now time.Duration, limit int) []plan.Decision {
	p.now, p.limit, p.out = now, limit, nil
	if limit <= 0 {
		return nil
	}
	p.undo()
	p.forget()
	p.wake()
	p.balance()
	p.flush()
	p.claimed()
	p.placeUrgent()
	p.watch()
	p.expire()
	p.fillReserve()
	p.placeServices()
	p.trim()
	p.replace()
	p.placeShared()
	p.reclaim()
	p.probe()
	return p.out
}

func (p *Planner) full() bool { return len(p.out) >= p.limit }

func (p *Planner) emit(d plan.Decision) {
	if p.full() {
		p.pending = append(p.pending, d)
		return
	}
	p.out = append(p.out, d)
}

// flush emits what the last call had no room for.
func (p *Planner) flush() {
	n := min(len(p.pending), p.limit)
	p.out = append(p.out, p.pending[:n]...)
	p.pending = append(p.pending[:0], p.pending[n:]...)
}

// undo queues again what the last call placed and the ledger did not confirm.
func (p *Planner) undo() {
	assumed := p.assumed
	p.assumed = p.assumed[:0]
	for _, h := range assumed {
		if !h.assumed || p.held[h.ID] != h {
			continue
		}
		p.remove(h)
		p.enqueue(h.work, h.queued)
	}
}

// balance computes the targets anew when they may have moved.
func (p *Planner) balance() {
	if !p.stale && p.now-p.balanced < p.cfg.RebalanceInterval {
		return
	}
	p.stale, p.balanced = false, p.now
	p.reserve.Advance(p.now)
	accounts := make([]*account, 0, p.order.Len())
	claims := make([]share.Team, 0, p.order.Len())
	p.order.Each(func(c *account) bool {
		accounts = append(accounts, c)
		claims = append(claims, p.claimOf(c))
		return true
	})
	floors := share.MinShares(claims)
	for i, target := range share.Divide(claims) {
		p.aim(accounts[i], target, floors[i])
	}
}

func (p *Planner) claimOf(c *account) share.Team {
	if !c.known {
		return share.Team{}
	}
	want := clip(c.held.Add(c.wants).Sub(c.hopeless), c.row.Limit)
	return share.Team{
		Guarantee: float64(c.row.Share) / thousandth,
		Weight:    float64(max(1, c.row.Weight)),
		Demand:    min(1, want.Dominant(p.total)),
	}
}

// clip bounds a size by a limit.
func clip(s, limit capacity.Size) capacity.Size {
	bound := func(n, l int64) int64 {
		if l == capacity.Unlimited {
			return n
		}
		return min(n, l)
	}
	return capacity.Size{
		CPU: bound(s.CPU, limit.CPU), Memory: bound(s.Memory, limit.Memory),
		Accel: bound(s.Accel, limit.Accel), Slots: bound(s.Slots, limit.Slots),
	}
}

// aim gives the team its target and its place in the order of need.
func (p *Planner) aim(c *account, target, floor float64) {
	c.target = target
	fair := max(target, floor)
	if math.Abs(fair-c.fair) < fair/256 {
		return
	}
	p.order.Remove(c.name)
	c.fair = fair
	c.ratio = p.ratio(c)
	p.order.Add(c)
}

// ratio is what the team holds, in units of what is fair.
func (p *Planner) ratio(c *account) float64 {
	part := c.held.Add(c.coming).Dominant(p.total)
	if part <= 0 {
		return 0
	}
	if c.fair <= 0 {
		return math.MaxFloat64
	}
	return part / c.fair
}

// within tells whether the team may hold that much more beside what it holds and
// what room is kept for.
func (p *Planner) within(c *account, more capacity.Size) bool {
	return c.known && c.held.Add(c.coming).Add(more).Within(c.row.Limit)
}

// allowed tells whether the limit of its team lets the unit start. Urgent work
// does not wait for what room is kept for.
func (p *Planner) allowed(u *unit) bool {
	more := u.size()
	if c := u.work.account; u.work.spec.Kind == job.Urgent {
		return c.known && c.held.Add(more).Within(c.row.Limit)
	}
	return p.within(u.work.account, more.Sub(u.kept()))
}

// eligible tells whether the unit may take a turn of its team. A gang may as long
// as one more of its tasks is within the limit, or the team's smaller work would
// use up the limit each time that a part of it becomes free.
func (p *Planner) eligible(u *unit) bool {
	if !u.work.spec.Whole() {
		return u.claim == nil && p.allowed(u)
	}
	return u.size().Within(u.work.account.row.Limit) && p.within(u.work.account, u.need)
}

// start places the unit's tasks on the servers, one each.
func (p *Planner) start(u *unit, on []*server) {
	p.dropClaim(u)
	tasks := append([]plan.WaitingTask(nil), u.tasks...)
	places := make([]plan.Placement, len(tasks))
	u.work.started = true
	for i, q := range tasks {
		p.dequeue(u, q.ID)
		h := p.put(plan.PlacedTask{ID: q.ID, Job: q.Job, AcceptedAt: q.AcceptedAt, Server: on[i].ID, PlacedAt: p.now}, on[i])
		h.assumed, h.queued, h.attempts = true, q, q.Attempts
		p.assumed = append(p.assumed, h)
		places[i] = plan.Placement{Index: q.ID.Index, Server: on[i].ID}
	}
	p.emit(plan.Decision{Action: plan.Place, Job: u.work.id, Placements: places})
}

// find returns the best server for one task of the unit.
func (p *Planner) find(u *unit, need capacity.Size) *server {
	if p.failed.holds(need) {
		return nil
	}
	ok := u.accepts()
	s := p.best(need, ok)
	if s == nil && ok == nil {
		p.failed.add(need)
	}
	return s
}

// accepts returns what tells servers on which the unit's job failed from others,
// or nil if it failed on none.
func (u *unit) accepts() func(*server) bool {
	if u.work.budget.Failures() == 0 {
		return nil
	}
	return func(s *server) bool { return !u.work.budget.FailedOn(s.num) }
}

// best returns the best server of all zones.
func (p *Planner) best(need capacity.Size, ok func(*server) bool) *server {
	var found *server
	bound := fit.WorstScore
	for _, z := range p.zones {
		if !need.Fits(z.free) {
			continue
		}
		if s, score, held := z.index.Best(need, bound, ok); held {
			found, bound = s, score
		}
	}
	return found
}

// placeShared places batch and gangs, the team furthest below its due first.
func (p *Planner) placeShared() {
	for !p.full() {
		c := p.next()
		if c == nil {
			return
		}
		if !p.serve(c) {
			c.blocked = p.grown
		}
	}
}

// next returns the neediest team of which something might fit.
func (p *Planner) next() *account {
	var found *account
	p.order.Each(func(c *account) bool {
		if c.blocked == p.grown || !c.known || !c.sizes.any(&p.failed) {
			return true
		}
		found = c
		return false
	})
	return found
}

// serve places the first unit of the team that fits.
func (p *Planner) serve(c *account) bool {
	p.scratch = c.queues[job.Service].AppendFirst(p.cfg.ScanDepth, p.scratch[:0])
	p.scratch = c.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, p.scratch)
	for _, u := range p.scratch {
		if !p.eligible(u) {
			continue
		}
		if p.place(u) {
			return true
		}
	}
	return false
}

// place starts the unit if it fits now.
func (p *Planner) place(u *unit) bool {
	switch u.work.spec.Kind {
	case job.Gang:
		return p.placeGang(u) || p.gather(u)
	case job.Service:
		return p.placeService(u)
	}
	s := p.find(u, u.work.spec.Size)
	if s == nil {
		return false
	}
	p.start(u, []*server{s})
	return true
}
