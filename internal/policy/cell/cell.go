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
	table       table.Table
	teams       map[string]*teamState
	teamsByNeed *queue.Queue[string, *teamState]
	serversByID map[string]*server
	serverList  []*server
	racks       map[rackKey]*rack
	zones       []*zone

	// totalCapacity is the capacity that shares are parts of, free what is not taken.
	totalCapacity capacity.Size
	freeCapacity  capacity.Size
	// maxServerSize is the largest server's capacity in each field; sizes counts the
	// servers of each capacity.
	maxServerSize capacity.Size
	serverSizes   map[capacity.Size]int

	// rackIndex finds racks for gangs; each zone has an index of its servers.
	rackIndex *fit.Index[*rack]
	// unplaceable holds what fits nowhere now, and grown counts the changes that may
	// let something fit that did not before.
	unplaceable  unplaceableSizes
	freeRevision uint64

	// What runs and what waits, by task. A unit that waits is new (fresh), not yet
	// ready (later), larger than any server (never), or in its team's queue; late
	// orders those with a deadline.
	jobs               map[uint64]*jobState
	placed             map[task.ID]*placedTask
	waiting            map[task.ID]*unit
	newUnits           []*unit
	delayedUnits       *queue.Queue[task.ID, *unit]
	unplaceableUnits   *queue.Queue[task.ID, *unit]
	unitsByDeadline    *queue.Queue[task.ID, *unit]
	urgentWaitingCount int
	lastSequence       uint64

	// Room that is kept: for urgent work to come, and for units that wait for it.
	urgentReserve        urgent.Reserve
	reserveBlocks        []*reserveBlock
	reservations         []*reservation
	gangReservationCount int

	runtimeEstimates *health.Estimates
	healthGuard      *health.FaultDetector

	// What the next call of Decide has to look at.
	unconfirmedTasks   []*placedTask
	pendingDecisions   []plan.Decision
	overuseTasks       []*placedTask
	brokenGangs        []*jobState
	exhaustedJobs      []*jobState
	suspectServers     []*server
	overLimitTeams     []*teamState
	servicesToMove     []*placedTask
	quarantinedServers []*server
	displacedServices  []*unit
	idleJobs           []*jobState

	// rebalancedAt and reclaims are when targets were computed and room was taken
	// back; stale asks for new targets at once.
	rebalancedAt time.Duration
	reclaimedAt  time.Duration
	targetsStale bool

	// The call of Decide under way.
	decisions    []plan.Decision
	maxDecisions int
	unitBuffer   []*unit
}

var _ plan.Planner = (*Planner)(nil)

// New returns a planner that knows nothing yet.
func New(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	p := &Planner{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), targetsStale: true, freeRevision: 1,
		teams: map[string]*teamState{}, serversByID: map[string]*server{}, racks: map[rackKey]*rack{}, serverSizes: map[capacity.Size]int{},
		jobs: map[uint64]*jobState{}, placed: map[task.ID]*placedTask{}, waiting: map[task.ID]*unit{},
		rackIndex:        fit.NewIndex[*rack](),
		runtimeEstimates: health.NewEstimates(), healthGuard: health.NewFaultDetector(),
	}
	p.teamsByNeed = queue.New(func(t *teamState) string { return t.name }, byUsageRatio)
	p.delayedUnits = queue.New(unitKey, byReadyTime)
	p.unplaceableUnits = queue.New(unitKey, bySequence)
	p.unitsByDeadline = queue.New(unitKey, byDeadline)
	p.runtimeEstimates.Disabled = p.disabled(RuntimeEstimates)
	return p
}

func (p *Planner) disabled(mechanism Mechanism) bool { return p.cfg.Disabled&mechanism != 0 }

// SetTable puts a new revision of the table in force. New limits bind the next
// decision; what runs above a lowered one is preempted by the rule in excess.go.
func (p *Planner) SetTable(t table.Table) {
	p.table = t
	p.targetsStale = true
	p.freeRevision++
	for _, r := range t.Rows() {
		p.team(r.Name)
	}
	p.teamsByNeed.Each(func(state *teamState) bool {
		state.row, state.inTable = t.Row(state.name)
		state.blockedRevision = 0
		p.overLimitTeams = append(p.overLimitTeams, state)
		return true
	})
}

// SetServer tells of a new or changed backend server.
func (p *Planner) SetServer(s backend.Server) {
	srv := p.server(s.ID)
	old := srv.Server
	p.removeFromTotals(srv)
	srv.Server = s
	p.assignRack(srv)
	p.addToTotals(srv)
	p.refreshFree(srv)
	p.targetsStale = true
	if s.State != backend.Quarantined && old.State == backend.Quarantined || s.Incarnation != old.Incarnation {
		p.healthGuard.Release(srv.number)
	}
	if unreachable(s) && !unreachable(old) {
		srv.silentSince = s.Since
	}
	if s.State == backend.Quarantined {
		p.markQuarantined(srv, s.Since)
	}
	if s.State != backend.Ready && srv.reserveBlockCount > 0 {
		p.dropReserveBlocks(func(r *reserveBlock) bool { return r.server == srv })
	}
	if s.State == backend.Draining && old.State != s.State {
		p.listServicesToMove(srv)
	}
}

// unreachable tells whether a server is not heard of.
func unreachable(s backend.Server) bool {
	return s.State == backend.Suspect || s.State == backend.Gone
}

// SetPlaced tells that a task was placed; it counts until Release.
func (p *Planner) SetPlaced(placement plan.PlacedTask) {
	if known := p.placed[placement.ID]; known != nil {
		p.confirmPlacement(known, placement)
		return
	}
	p.dequeuePlaced(placement.ID)
	p.addTask(placement, p.server(placement.Server))
}

// SetUsage tells what a held task was reported to use. What it uses beyond its
// declared size counts against its server and its team like the rest.
func (p *Planner) SetUsage(id task.ID, usage capacity.Size, measuredAt time.Duration) {
	pt := p.placed[id]
	if pt == nil || measuredAt < pt.usageAt {
		return
	}
	pt.usageAt = measuredAt
	p.setCountedSize(pt, pt.Job.Size.Max(usage))
	pt.exceedsDeclared = exceedsDeclared(usage, pt.Job.Size)
	if pt.exceedsDeclared && !pt.inOveruseList {
		pt.inOveruseList = true
		p.overuseTasks = append(p.overuseTasks, pt)
	}
}

// EndAttempt tells that an attempt is proved to run no more.
func (p *Planner) EndAttempt(id task.ID, end plan.AttemptEnd) {
	pt := p.placed[id]
	if pt == nil {
		return
	}
	p.removeTask(pt)
	p.recordEnd(pt, end)
	if pt.Job.Whole() {
		p.handleGangTaskEnd(pt, end)
	}
	p.listIfIdle(pt.jobState)
}

// AddWaiting tells that a task waits to be placed. All tasks of a job that wait are
// told of before the next Decide, so that a gang is seen whole.
func (p *Planner) AddWaiting(waiting plan.WaitingTask) {
	if p.placed[waiting.ID] != nil || p.waiting[waiting.ID] != nil {
		return
	}
	js := p.jobState(waiting.ID.Job, waiting.Job)
	if js.failureBudget.Exhausted() {
		p.exhaustedJobs = append(p.exhaustedJobs, js)
	}
	p.enqueue(js, waiting)
}

// RemoveWaiting tells that a task waits no more and was not placed.
func (p *Planner) RemoveWaiting(id task.ID) {
	if u := p.waiting[id]; u != nil {
		p.dequeue(u, id)
		p.listIfIdle(u.jobState)
	}
}

// queueKind names the queue that a job waits in.
func queueKind(spec *job.Spec) job.Kind {
	if spec.Kind == job.Gang {
		return job.Batch
	}
	return spec.Kind
}
