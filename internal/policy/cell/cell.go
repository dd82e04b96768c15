// Package cell implements the planner of one cell. It combines the policies for
// urgent work, services, gangs and batch into one plan.Planner. state.go tracks
// servers, teams and placed tasks, waiting.go tracks waiting tasks, decide.go sets the
// order of decisions, and each kind of decision has a file of its own.
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
	// DefaultScanDepth is the number of a team's waiting units that one placement examines.
	DefaultScanDepth = 16
	// DefaultShareSlack is the fraction of the cell by which a team may be below its target
	// share before tasks of other teams are preempted for it.
	DefaultShareSlack = 0.015
	// DefaultRebalanceInterval is the longest time between two computations of the target shares.
	DefaultRebalanceInterval = 100 * time.Millisecond
	// DefaultThrottleGrace is how long a throttled task may exceed its declared size before
	// the planner stops it.
	DefaultThrottleGrace = 10 * time.Second
	// DefaultGangPreemptDelay is how long a gang collects free capacity before the planner
	// preempts other tasks for it.
	DefaultGangPreemptDelay = time.Second
)

// Mechanism is a set of planner mechanisms that a comparison run can disable.
type Mechanism uint32

// The mechanisms.
const (
	// UrgentReserve keeps capacity free for urgent work.
	UrgentReserve Mechanism = 1 << iota
	// SharePreempt preempts tasks for teams below their target share.
	SharePreempt
	// UrgentPreempt preempts tasks for urgent work and for displaced services.
	UrgentPreempt
	// RuntimeEstimates replaces declared run times by run times learned from past attempts.
	RuntimeEstimates
	// GangReservation collects reserved capacity for gangs until all their tasks fit.
	GangReservation
	// Quarantine stops placements on failing servers.
	Quarantine
	// BestFit selects the server with the least capacity left over instead of the first that fits.
	BestFit
	// RackLocality places a gang in one rack, or else in one zone, where possible.
	RackLocality
	// GangPriority ranks gangs ahead of their team's batch.
	GangPriority
	// ShortestFirst ranks a team's work by expected run time as well as by age.
	ShortestFirst
)

// Config configures the planner. Zero values select the defaults.
type Config struct {
	// Seed initializes the random source for backoff jitter.
	Seed uint64
	// ScanDepth is DefaultScanDepth when 0.
	ScanDepth int
	// ShareSlack is DefaultShareSlack when 0.
	ShareSlack float64
	// RebalanceInterval is DefaultRebalanceInterval when 0.
	RebalanceInterval time.Duration
	// ThrottleGrace is DefaultThrottleGrace when 0.
	ThrottleGrace time.Duration
	// GangPreemptDelay is DefaultGangPreemptDelay when 0.
	GangPreemptDelay time.Duration
	// Disabled is the set of mechanisms to switch off. It is meant for comparison runs only.
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

// Planner makes the scheduling decisions of one cell. It implements plan.Planner.
type Planner struct {
	cfg Config
	rng *rand.Rand
	now time.Duration

	// State reported by the ledger. teamsByNeed is ordered by usageRatio, serverList by
	// the time of announcement.
	table       table.Table
	teams       map[string]*teamState
	teamsByNeed *queue.Queue[string, *teamState]
	serversByID map[string]*server
	serverList  []*server
	racks       map[rackKey]*rack
	zones       []*zone

	// totalCapacity is the capacity that shares are fractions of. freeCapacity is the
	// available capacity of all ready servers.
	totalCapacity capacity.Size
	freeCapacity  capacity.Size
	// maxServerSize is the largest server capacity in each field. serverSizes counts the
	// servers of each capacity.
	maxServerSize capacity.Size
	serverSizes   map[capacity.Size]int

	// rackIndex finds racks for gangs. Each zone has an index of its servers.
	rackIndex *fit.Index[*rack]
	// unplaceable holds the sizes that currently fit on no server. freeRevision counts the
	// changes after which a unit may fit that did not fit before.
	unplaceable  unplaceableSizes
	freeRevision uint64

	// Jobs, placed tasks and waiting tasks. A waiting unit is in newUnits until the next
	// decision, then in delayedUnits if it is not ready yet, in unplaceableUnits if its tasks
	// are larger than any server, or in its team's queue. unitsByDeadline orders the units
	// with a deadline.
	jobs               map[uint64]*jobState
	placed             map[task.ID]*placedTask
	waiting            map[task.ID]*unit
	newUnits           []*unit
	delayedUnits       *queue.Queue[task.ID, *unit]
	unplaceableUnits   *queue.Queue[task.ID, *unit]
	unitsByDeadline    *queue.Queue[task.ID, *unit]
	urgentWaitingCount int
	lastSequence       uint64

	// Reserved capacity: the urgent reserve for future urgent tasks, and reservations for
	// units that wait for capacity to become free.
	urgentReserve        urgent.Reserve
	reserveBlocks        []*reserveBlock
	reservations         []*reservation
	gangReservationCount int

	runtimeEstimates *health.Estimates
	healthGuard      *health.FaultDetector

	// Work lists for the next call of Decide.
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

	// rebalancedAt is the time of the last computation of target shares, reclaimedAt that of
	// the last preemption round for shares. targetsStale forces a new computation.
	rebalancedAt time.Duration
	reclaimedAt  time.Duration
	targetsStale bool

	// State of the current call of Decide.
	decisions    []plan.Decision
	maxDecisions int
	unitBuffer   []*unit
}

var _ plan.Planner = (*Planner)(nil)

// New returns a planner without servers, teams or tasks.
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

// SetTable replaces the table. New limits apply from the next decision. Tasks above a
// lowered limit are preempted as enforceLimits describes.
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

// SetServer adds or updates a backend server.
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
		srv.silentSince = s.StateSince
	}
	if s.State == backend.Quarantined {
		p.markQuarantined(srv, s.StateSince)
	}
	if s.State != backend.Ready && srv.reserveBlockCount > 0 {
		p.dropReserveBlocks(func(r *reserveBlock) bool { return r.server == srv })
	}
	if s.State == backend.Draining && old.State != s.State {
		p.listServicesToMove(srv)
	}
}

// unreachable reports whether the server's heartbeats are missing.
func unreachable(s backend.Server) bool {
	return s.State == backend.Suspect || s.State == backend.Gone
}

// SetPlaced records that a task was placed. The task takes capacity until EndAttempt.
func (p *Planner) SetPlaced(placement plan.PlacedTask) {
	if known := p.placed[placement.ID]; known != nil {
		p.confirmPlacement(known, placement)
		return
	}
	p.dequeuePlaced(placement.ID)
	p.addTask(placement, p.server(placement.Server))
}

// SetUsage records the reported usage of a placed task. Usage above the declared size is
// charged to the server and the team as well.
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

// EndAttempt records that an attempt has verifiably stopped running.
func (p *Planner) EndAttempt(id task.ID, end plan.AttemptEnd) {
	pt := p.placed[id]
	if pt == nil {
		return
	}
	p.removeTask(pt)
	p.recordEnd(pt, end)
	if pt.Job.AllOrNothing() {
		p.handleGangTaskEnd(pt, end)
	}
	p.listIfIdle(pt.jobState)
}

// AddWaiting adds a task that waits to be placed. The caller adds all waiting tasks of a
// job before the next Decide, so that a gang is complete.
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

// RemoveWaiting removes a task that no longer waits and was not placed.
func (p *Planner) RemoveWaiting(id task.ID) {
	if u := p.waiting[id]; u != nil {
		p.dequeue(u, id)
		p.listIfIdle(u.jobState)
	}
}

// queueKind returns the kind of the queue that the job waits in. Gangs share the batch queue.
func queueKind(spec *job.Spec) job.Kind {
	if spec.Kind == job.Gang {
		return job.Batch
	}
	return spec.Kind
}
