// Package cell is the product's planner: it composes the policies for urgent
// work, services, gangs and batch into one plan.Planner. Files: books.go keeps
// what runs where, work.go what waits, decide.go the order of decisions, and one
// file for each kind of decision.
package cell

import (
	"math/rand/v2"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/fit"
	"gypsumreel/internal/policy/health"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/queue"
	"gypsumreel/internal/policy/urgent"
)

// Defaults of Config.
const (
	// DefaultScanDepth is the number of a team's waiting units that one decision looks at.
	DefaultScanDepth = 16
	// DefaultShareSlack is the part of the cell by which a team may miss its target
	// before others are preempted for it.
	DefaultShareSlack = 0.015
	// DefaultRebalanceInterval is the time between two computations of the targets.
	DefaultRebalanceInterval = 100 * time.Millisecond
	// DefaultThrottleGrace is the time a throttled task is given to fall back to its size.
	DefaultThrottleGrace = 10 * time.Second
	// DefaultGangPreemptDelay is how long a gang gathers room before it preempts.
	DefaultGangPreemptDelay = time.Second
)

// Mechanism names a mechanism that a comparison can leave out.
type Mechanism uint32

// The parts.
const (
	// UrgentReserve is the room kept free for urgent work.
	UrgentReserve Mechanism = 1 << iota
	// SharePreempt is preemption for teams below their target.
	SharePreempt
	// UrgentPreempt is preemption for urgent work.
	UrgentPreempt
	// RuntimeEstimates are the learned run times.
	RuntimeEstimates
	// GangReservation holds room together for gangs.
	GangReservation
	// Quarantine takes failing servers out of use.
	Quarantine
	// BestFit prefers the tightest server to any.
	BestFit
	// RackLocality keeps gangs together.
	RackLocality
	// GangPriority lets gangs go before their team's batch.
	GangPriority
	// ShortestFirst orders a team's work by expected run time as well as by age.
	ShortestFirst
)

// Config tunes the planner; the zero value works.
type Config struct {
	// Seed feeds the jitter of backoff.
	Seed uint64
	// ScanDepth is DefaultDepth when 0.
	ScanDepth int
	// ShareSlack is DefaultSlack when 0.
	ShareSlack float64
	// RebalanceInterval is DefaultRebalance when 0.
	RebalanceInterval time.Duration
	// ThrottleGrace is DefaultGrace when 0.
	ThrottleGrace time.Duration
	// GangPreemptDelay is DefaultPatience when 0.
	GangPreemptDelay time.Duration
	// Disabled leaves parts out; for comparison only.
	Disabled Mechanism
}

func (c Config) withDefaults() Config {
	if c.ScanDepth == 0 {
		c.ScanDepth = DefaultScanDepth
	}
	if c.ShareSlack == 0 {
		c.ShareSlack = DefaultShareSlack
	}
	if c.RebalanceInterval == 0 {
		c.RebalanceInterval = DefaultRebalanceInterval
	}
	if c.ThrottleGrace == 0 {
		c.ThrottleGrace = DefaultThrottleGrace
	}
	if c.GangPreemptDelay == 0 {
		c.GangPreemptDelay = DefaultGangPreemptDelay
	}
	return c
}

// Planner decides for one cell.
type Planner struct {
	cfg Config
	rng *rand.Rand
	now time.Duration

	// What the ledger told: teams in the order of their need, servers in the order
	// of their announcement.
	table   table.Table
	teams   map[string]*account
	order   *queue.Queue[string, *account]
	servers map[string]*server
	list    []*server
	racks   map[rackName]*rack
	zones   []*zone

	// total is the capacity that shares are parts of, free what is not taken.
	total capacity.Size
	free  capacity.Size
	// most is the largest server's capacity in each field; sizes counts the
	// servers of each capacity.
	most  capacity.Size
	sizes map[capacity.Size]int

	// rackIndex finds racks for gangs; each zone has an index of its servers.
	rackIndex *fit.Index[*rack]
	// failed holds what fits nowhere now, and grown counts the changes that may
	// let something fit that did not before.
	failed frontier
	grown  uint64

	// What runs and what waits, by task. A unit that waits is new (fresh), not yet
	// ready (later), larger than any server (never), or in its team's queue; late
	// orders those with a deadline.
	works  map[uint64]*work
	held   map[task.ID]*holding
	waits  map[task.ID]*unit
	fresh  []*unit
	later  *queue.Queue[task.ID, *unit]
	never  *queue.Queue[task.ID, *unit]
	late   *queue.Queue[task.ID, *unit]
	urgent int
	seq    uint64

	// Room that is kept: for urgent work to come, and for units that wait for it.
	reserve urgent.Reserve
	rooms   []*room
	claims  []*claim
	gangs   int

	estimates *health.Estimates
	guard     *health.FaultDetector

	// What the next call of Decide has to look at.
	assumed     []*holding
	pending     []plan.Decision
	over        []*holding
	broken      []*work
	spent       []*work
	suspects    []*server
	excess      []*account
	moving      []*holding
	quarantined []*server
	displaced   []*unit
	idle        []*work

	// balanced and reclaims are when targets were computed and room was taken
	// back; stale asks for new targets at once.
	balanced time.Duration
	reclaims time.Duration
	stale    bool

	// The call of Decide under way.
	out     []plan.Decision
	limit   int
	scratch []*unit
}

var _ plan.Planner = (*Planner)(nil)

// New returns a planner that knows nothing yet.
func New(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	p := &Planner{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), stale: true, grown: 1,
		teams: map[string]*account{}, servers: map[string]*server{}, racks: map[rackName]*rack{}, sizes: map[capacity.Size]int{},
		works: map[uint64]*work{}, held: map[task.ID]*holding{}, waits: map[task.ID]*unit{},
		rackIndex: fit.NewIndex[*rack](),
		estimates: health.NewEstimates(), guard: health.NewFaultDetector(),
	}
	p.order = queue.New(func(c *account) string { return c.name }, neediest)
	p.later = queue.New(unitKey, soonest)
	p.never = queue.New(unitKey, oldest)
	p.late = queue.New(unitKey, expiresFirst)
	p.estimates.Disabled = p.lacks(RuntimeEstimates)
	return p
}

func (p *Planner) lacks(part Mechanism) bool { return p.cfg.Disabled&part != 0 }

// SetTable puts a new revision of the table in force. New limits bind the next
// decision; what runs above a lowered one is preempted by the rule in excess.go.
func (p *Planner) SetTable(t table.Table) {
	p.table = t
	p.stale = true
	p.grown++
	for _, r := range t.Rows() {
		p.account(r.Name)
	}
	p.order.Each(func(c *account) bool {
		c.row, c.known = t.Row(c.name)
		c.blocked = 0
		p.excess = append(p.excess, c)
		return true
	})
}

// SetServer tells of a new or changed backend server.
func (p *Planner) SetServer(s backend.Server) {
	srv := p.server(s.ID)
	old := srv.Server
	p.uncount(srv)
	srv.Server = s
	p.settle(srv)
	p.count(srv)
	p.touch(srv)
	p.stale = true
	if s.State != backend.Quarantined && old.State == backend.Quarantined || s.Incarnation != old.Incarnation {
		p.guard.Release(srv.num)
	}
	if missing(s) && !missing(old) {
		srv.silent = s.Since
	}
	if s.State == backend.Quarantined {
		p.confine(srv, s.Since)
	}
	if s.State != backend.Ready && srv.rooms > 0 {
		p.dropRooms(func(r *room) bool { return r.srv == srv })
	}
	if s.State == backend.Draining && old.State != s.State {
		p.move(srv)
	}
}

// missing tells whether a server is not heard of.
func missing(s backend.Server) bool {
	return s.State == backend.Suspect || s.State == backend.Gone
}

// SetPlaced tells that a task was placed; it counts until Release.
func (p *Planner) SetPlaced(h plan.PlacedTask) {
	if known := p.held[h.ID]; known != nil {
		p.confirm(known, h)
		return
	}
	p.take(h.ID)
	p.put(h, p.server(h.Server))
}

// SetUsage tells what a held task was reported to use. What it uses beyond its
// declared size counts against its server and its team like the rest.
func (p *Planner) SetUsage(id task.ID, used capacity.Size, at time.Duration) {
	h := p.held[id]
	if h == nil || at < h.usedAt {
		return
	}
	h.usedAt = at
	p.recount(h, h.Job.Size.Max(used))
	h.exceeds = exceeds(used, h.Job.Size)
	if h.exceeds && !h.listed {
		h.listed = true
		p.over = append(p.over, h)
	}
}

// EndAttempt tells that an attempt is proved to run no more.
func (p *Planner) EndAttempt(id task.ID, how plan.AttemptEnd) {
	h := p.held[id]
	if h == nil {
		return
	}
	p.remove(h)
	p.learn(h, how)
	if h.Job.Whole() {
		p.loosen(h, how)
	}
	p.tidy(h.work)
}

// AddWaiting tells that a task waits to be placed. All tasks of a job that wait are
// told of before the next Decide, so that a gang is seen whole.
func (p *Planner) AddWaiting(q plan.WaitingTask) {
	if p.held[q.ID] != nil || p.waits[q.ID] != nil {
		return
	}
	w := p.work(q.ID.Job, q.Job)
	if w.budget.Exhausted() {
		p.spent = append(p.spent, w)
	}
	p.enqueue(w, q)
}

// RemoveWaiting tells that a task waits no more and was not placed.
func (p *Planner) RemoveWaiting(id task.ID) {
	if u := p.waits[id]; u != nil {
		p.dequeue(u, id)
		p.tidy(u.work)
	}
}

// kindOf names the queue that a job waits in.
func kindOf(spec *job.Spec) job.Kind {
	if spec.Kind == job.Gang {
		return job.Batch
	}
	return spec.Kind
}
