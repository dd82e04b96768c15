package cell

import (
	"math"
	"slices"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/health"
	"gypsumreel/internal/policy/plan"
)

// whole is the index under which a gang waits as one unit.
const whole = math.MaxUint32

// gangLead is how much older than a gang batch of its team must be to go first.
// Gangs take long to gather their room, and longer the later they begin.
const gangLead = time.Hour

// Bounds of what the expected run time counts against age in the order.
const (
	// orderWeight is the time in the queue that a second of it stands for.
	orderWeight = 10
	// orderMost bounds it, whatever is declared.
	orderMost = 30 * time.Minute
)

// where says which list a unit is in.
type where uint8

const (
	nowhere where = iota
	inFresh
	inLater
	inQueue
	inNever
)

// work is a job of which something waits or runs.
type work struct {
	id      uint64
	spec    *job.Spec
	account *account
	held    []*holding
	waits   int
	gang    *unit
	budget  health.Budget
	// started tells that something of the job was placed before.
	started bool
	listed  bool
	given   bool
}

// unit is what is placed in one decision: a task, or all waiting tasks of a gang.
type unit struct {
	id    task.ID
	work  *work
	tasks []plan.WaitingTask
	// need is the size of each task.
	need  capacity.Size
	ready time.Duration
	// rank is the place in the team's queue.
	rank  time.Duration
	seq   uint64
	where where
	// since is when it became ready.
	since time.Duration
	claim *claim
	// tried is the count of changes at the last search in vain.
	tried uint64
}

func unitKey(u *unit) task.ID { return u.id }

func oldest(a, b *unit) bool { return a.seq < b.seq }

func soonest(a, b *unit) bool {
	if a.ready != b.ready {
		return a.ready < b.ready
	}
	return a.seq < b.seq
}

func (u *unit) expires() time.Duration { return u.tasks[0].AcceptedAt + u.work.spec.Deadline }

func expiresFirst(a, b *unit) bool {
	if x, y := a.expires(), b.expires(); x != y {
		return x < y
	}
	return a.seq < b.seq
}

func before(a, b *unit) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.seq < b.seq
}

// size is the size of the unit's tasks together.
func (u *unit) size() capacity.Size { return u.need.Times(int64(len(u.tasks))) }

func (p *Planner) work(id uint64, spec *job.Spec) *work {
	w := p.works[id]
	if w == nil {
		w = &work{id: id, spec: spec, account: p.account(spec.Team)}
		p.works[id] = w
	}
	return w
}

// tidy lists a job that may be over; it is forgotten at the next decision, when
// its retries would have been told of.
func (p *Planner) tidy(w *work) {
	if len(w.held) == 0 && w.waits == 0 && !w.listed {
		w.listed = true
		p.idle = append(p.idle, w)
	}
}

func (p *Planner) forget() {
	for _, w := range p.idle {
		w.listed = false
		if len(w.held) == 0 && w.waits == 0 && p.works[w.id] == w {
			delete(p.works, w.id)
		}
	}
	p.idle = p.idle[:0]
}

func (p *Planner) enqueue(w *work, q plan.WaitingTask) {
	if w.budget.Failures() > 0 {
		q.ReadyAt = max(q.ReadyAt, p.now+w.budget.Backoff(p.rng))
	}
	w.started = w.started || q.Attempts > 0
	w.waits++
	w.account.wants = w.account.wants.Add(w.spec.Size)
	u := w.gang
	if u == nil {
		p.seq++
		u = &unit{id: q.ID, work: w, seq: p.seq, need: w.spec.Size}
		if w.spec.Whole() {
			u.id.Index = whole
			w.gang = u
		}
	} else {
		p.detach(u)
	}
	u.tasks = append(u.tasks, q)
	u.ready = max(u.ready, q.ReadyAt)
	p.waits[q.ID] = u
	p.refresh(u)
}

// refresh has the next decision look at the unit.
func (p *Planner) refresh(u *unit) {
	if u.where == nowhere {
		u.where = inFresh
		p.fresh = append(p.fresh, u)
	}
}

// detach takes the unit out of its list; what is in fresh stays there.
func (p *Planner) detach(u *unit) {
	switch u.where {
	case inLater:
		p.later.Remove(u.id)
	case inQueue:
		u.work.account.queues[kindOf(u.work.spec)].Remove(u.id)
		p.late.Remove(u.id)
		if u.work.spec.Kind == job.Urgent {
			p.urgent--
		} else {
			u.work.account.sizes.remove(u.need)
		}
		if u.work.spec.Whole() {
			u.work.account.gangs--
		}
	case inNever:
		p.never.Remove(u.id)
		p.late.Remove(u.id)
		u.work.account.hopeless = u.work.account.hopeless.Sub(u.size())
	case inFresh:
		return
	}
	u.where = nowhere
}

// dequeue takes one task out of its unit, and an empty unit out of everything.
func (p *Planner) dequeue(u *unit, id task.ID) {
	delete(p.waits, id)
	u.work.waits--
	u.work.account.wants = u.work.account.wants.Sub(u.work.spec.Size)
	if len(u.tasks) == 1 {
		p.detach(u)
		p.dropClaim(u)
		u.tasks = u.tasks[:0]
		u.work.gang = nil
		return
	}
	if u.where == inNever {
		u.work.account.hopeless = u.work.account.hopeless.Sub(u.work.spec.Size)
	}
	u.tasks = slices.DeleteFunc(u.tasks, func(q plan.WaitingTask) bool { return q.ID == id })
}

// possible tells whether any server known could hold a task of that size alone.
// What none could hold waits aside: it counts for no share and costs no search.
func (p *Planner) possible(size capacity.Size) bool {
	for have, n := range p.sizes {
		if n > 0 && size.Fits(have) {
			return true
		}
	}
	return false
}

// hope looks again at what waits aside when a new kind of server has come.
func (p *Planner) hope() {
	for {
		u, ok := p.never.Min()
		if !ok {
			return
		}
		p.detach(u)
		p.refresh(u)
	}
}

// take removes a waiting task that turned out to be placed.
func (p *Planner) take(id task.ID) {
	if u := p.waits[id]; u != nil {
		p.dequeue(u, id)
		u.work.started = true
	}
}

// wake puts what is ready into its team's queue.
func (p *Planner) wake() {
	fresh := p.fresh
	p.fresh = p.fresh[:0]
	for _, u := range fresh {
		u.where = nowhere
		if len(u.tasks) > 0 {
			p.line(u)
		}
	}
	for {
		u, ok := p.later.Min()
		if !ok || u.ready > p.now {
			return
		}
		p.detach(u)
		p.line(u)
	}
}

// line puts the unit into the list that it belongs to now. A gang of which
// something still runs is in none: it starts whole or not at all.
func (p *Planner) line(u *unit) {
	if u.work.given {
		return
	}
	if u.work.spec.Whole() && len(u.work.held) > 0 {
		return
	}
	if u.ready > p.now {
		u.where = inLater
		p.later.Add(u)
		return
	}
	// Also what no server could hold: the caller of a job that waits for servers
	// to come is told at its deadline like any other.
	if u.work.spec.Deadline > 0 && !u.work.started {
		p.late.Add(u)
	}
	if !p.possible(u.work.spec.Size) {
		u.where = inNever
		p.never.Add(u)
		u.work.account.hopeless = u.work.account.hopeless.Add(u.size())
		return
	}
	u.where = inQueue
	u.rank = p.rank(u)
	u.since = p.now
	u.tried = 0
	c := u.work.account
	c.queues[kindOf(u.work.spec)].Add(u)
	p.press(c, u)
}

// press takes note of a new unit in its team's queue.
func (p *Planner) press(c *account, u *unit) {
	if u.work.spec.Kind == job.Urgent {
		p.urgent++
		if !u.work.started {
			p.reserve.RecordArrival(p.now, u.work.spec.Size)
		}
		return
	}
	if u.work.spec.Kind == job.Service && u.work.started {
		p.displaced = append(p.displaced, u)
	}
	if u.work.spec.Whole() {
		c.gangs++
	}
	c.blocked = 0
	c.sizes.add(u.need)
}

// rank orders a team's work by age and expected run time: short work goes first,
// but nothing is overtaken by what came later than orderWeight times its own
// expected run time, or than orderMost. Gangs go before.
func (p *Planner) rank(u *unit) time.Duration {
	at := u.tasks[0].AcceptedAt
	switch k := u.work.spec.Kind; {
	case k == job.Urgent || k == job.Service:
		return at
	case k == job.Gang && !p.lacks(GangPriority):
		at -= gangLead
	}
	if p.lacks(ShortestFirst) {
		return at
	}
	return at + min(orderWeight*p.estimates.ExpectedRuntime(u.work.spec), orderMost)
}
