// Package dispatch implements the scheduling of flows on the control thread. It accepts
// requests of callers, operators and backend servers, plans placements with package steps,
// and executes them on the backend servers. Every decision is committed to the ledger
// before it becomes visible outside. All other state can be rebuilt by the next leader.
package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/clock"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/helpers"
	"gypsumreel/internal/policy/shortlease"
	"gypsumreel/internal/policy/steps"
	"gypsumreel/internal/policy/watchdog"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// Defaults and limits.
const (
	// DefaultMaxLease is the default of Dispatcher.MaxLease.
	DefaultMaxLease = 6 * time.Second
	// DefaultMaxStopTime is the default of Dispatcher.MaxStopTime.
	DefaultMaxStopTime = time.Second
	// DefaultGangTimeout is the default of Dispatcher.GangTimeout.
	DefaultGangTimeout = 3 * time.Second
	// minClockRate is the rate of the slowest backend server clock relative to the leader's
	// clock.
	minClockRate = 0.98
	// leaseMargin is added to the end of a lease before the lease counts as expired,
	// because the server checks its clock only periodically.
	leaseMargin = 100 * time.Millisecond

	// DefaultRetention is how long an ended flow is kept in the ledger.
	DefaultRetention = 150 * time.Second
	// DefaultMaxOpenFlows is the default limit of flows that have not ended. At a few
	// hundred bytes per task it keeps the ledger within tens of megabytes.
	DefaultMaxOpenFlows = 8_000

	// callTimeout is the longest timeout of a call to a backend server, not counting its
	// long poll. It is longer than the slowest healthy answer and short relative to a
	// lease.
	callTimeout = time.Second
	// minOrderTimeout and minHoldTimeout are the shortest timeouts of orders and of holds.
	// latencyTimeoutFactor is the ratio of the timeout to the usual latency. Every call is
	// idempotent: a timeout that is too short costs one extra call, and one that is too
	// long delays the retry after a lost answer. A failed hold costs more, because the
	// server gets no new work after it.
	minOrderTimeout      = 80 * time.Millisecond
	minHoldTimeout       = 250 * time.Millisecond
	latencyTimeoutFactor = 10
	// latencyWeight is the weight of the latest latency in the moving average.
	latencyWeight = 0.1
	// maxLongPoll is the longest time for which a backend server may delay its answer to a
	// hold.
	maxLongPoll = time.Second
	// longPollsPerLease is the number of long polls that fit into a lease. A single lost
	// answer must not let the lease expire.
	longPollsPerLease = 4
	// sessionsPerYield is the number of sessions that a tick processes before it yields to
	// the other goroutines of the process.
	sessionsPerYield = 64
	// zoneCheckInterval is the interval between checks for changed zone drains.
	zoneCheckInterval = 100 * time.Millisecond
	// sweepInterval is the interval between removals of expired state.
	sweepInterval = time.Second
)

// Host is the control thread as the dispatcher uses it. Except for Post, its methods must
// be called on the control thread.
type Host interface {
	// ApplyCommand applies a command to the ledger and queues it for the replicated log.
	ApplyCommand(f *record.Flow) *code.Error
	// AfterCommit runs fn when all commands applied so far are committed.
	AfterCommit(fn func())
	// AfterLeadershipProof runs fn when it is proved that this replica led at a time after
	// receivedAt.
	AfterLeadershipProof(receivedAt time.Duration, fn func())
	// Leads reports whether this replica leads and a quorum has confirmed that recently.
	Leads() bool
	Flows() *flows.Ledger
	// LedgerIsCommitted reports whether the ledger contains committed decisions only.
	LedgerIsCommitted() bool
	// HasZone reports whether an availability zone of that name exists.
	HasZone(zone string) bool
	// LedgerTime returns the current time of the ledger.
	LedgerTime() time.Duration
	// DiskFull reports whether the disk has too little free space for new flows.
	DiskFull() bool
	Members() group.MembershipChanged
	ChangeMember(m quorum.Member, remove bool)
	// IsSynced reports whether a member has stored all committed log entries.
	IsSynced(id string) bool
	// SetSubject records what the control thread works on, for its progress; nil if that is not
	// known.
	SetSubject(subject fmt.Stringer)
	// YieldProcessor lets other goroutines of the process run.
	YieldProcessor()
	// Post queues fn to run on the control thread. It returns false if the thread has
	// stopped.
	Post(fn func()) bool
	// PostContext is Post for a caller that waits until ctx ends at most. It returns false if
	// fn was not queued.
	PostContext(ctx context.Context, fn func()) bool
}

// Backends makes calls to backend servers. The dispatcher calls it from separate
// goroutines.
type Backends interface {
	// Call makes one call. A failure is reported in the verdict of the answer.
	Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer
}

// Helpers makes calls to the processes that act as helpers of the leader.
type Helpers interface {
	// Advise asks the adviser through the process at address, or directly if address is
	// empty.
	Advise(ctx context.Context, address string, r *inner.AdviseRequest) *inner.AdviseReply
	// Announce tells the process at address which replica leads. It returns nil if the
	// process does not answer.
	Announce(ctx context.Context, address string, a *inner.Announcement) *inner.Greeting
	// Relay calls a backend server through the process at address.
	Relay(ctx context.Context, address string, c *inner.ServerCall) *inner.ServerAnswer
}

// Holders exchanges calls with the processes that hold backend servers. It returns nil if the
// process at address does not answer.
type Holders interface {
	Exchange(ctx context.Context, address string, r *inner.HolderRequest) *inner.HolderReply
}

// Dispatcher schedules flows on the control thread. The exported fields must be set before
// use.
type Dispatcher struct {
	Host Host
	Cell string
	// Now returns the time of the replication group's clock.
	Now      func() time.Duration
	Backends Backends
	Helpers  Helpers
	// Holders reaches the processes that hold backend servers; nil if there are none.
	Holders Holders
	// DirectServers is the number of backend servers above which holders are used.
	DirectServers int
	// MaxDirectServers returns how many backend servers the process has connections for.
	// The other servers are called through helpers. Nil means no limit. It must be safe for
	// concurrent use.
	MaxDirectServers func() int
	// Machines is the platform that owns the machines of backend servers; nil if there is none.
	// Without it there are no maintenance waves.
	Machines Machines
	// MaxLease is the longest lease that a backend server grants.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a backend server takes to stop a run.
	MaxStopTime time.Duration
	// GangTimeout is how long the started members of a gang wait on their servers for the
	// others.
	GangTimeout time.Duration
	Retention   time.Duration
	// MaxOpenFlows limits the flows that have not ended.
	MaxOpenFlows int
	// MaxOpenBytes limits the estimated memory of the flows that have not ended; 0 means no limit.
	MaxOpenBytes int64
	// TargetVoters is the number of voters to which the replication group grows.
	TargetVoters int
	// Planner decides which tasks start where.
	Planner Planner
	// Options selects the decisions that the deployment asks for.
	Options Options
	// Metrics is the set that the metrics are registered in; nil for none.
	Metrics *metrics.Set
	Log     logr.Logger

	flowMetrics *flowMetrics
	setAside    setAsideSteps
	// The fields below are owned by the control thread. leader is nil while this replica
	// does not lead.
	leader *leaderState
	// agreedTime is the wall-clock time on which the processes agree.
	agreedTime clock.MedianClock
	// helperPool holds the registered processes. joiningReplicas holds, by id, the
	// registered replicas that may not be members yet.
	helperPool      *helpers.Pool
	joiningReplicas map[string]*joiningReplica
	// reportReplicas holds the other replicas, which take reports of servers.
	reportReplicas atomic.Pointer[[]*joiningReplica]
}

// New returns a dispatcher with default settings.
func New() *Dispatcher {
	return &Dispatcher{
		MaxLease: DefaultMaxLease, MaxStopTime: DefaultMaxStopTime, GangTimeout: DefaultGangTimeout, Retention: DefaultRetention, MaxOpenFlows: DefaultMaxOpenFlows, TargetVoters: DefaultTargetVoters, Planner: &steps.Planner{}, Log: logr.Discard(),
		helperPool: helpers.New(), joiningReplicas: map[string]*joiningReplica{},
	}
}

// OnElected starts a term as leader. Each server is asked for its runs before any new task is
// placed on it.
func (d *Dispatcher) OnElected(term uint64, electedAt time.Duration) {
	if d.flowMetrics == nil {
		d.flowMetrics = newFlowMetrics(d.Metrics)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.leader = &leaderState{
		term: term, electedAt: electedAt, ctx: ctx, cancel: cancel, callPool: newCallPool(ctx), planNeeded: true,
		// Until latencies are measured, orders use the timeout of holds.
		usualLatency: minHoldTimeout / latencyTimeoutFactor,
		sessions:     map[string]*session{}, sessionsClosedAt: map[string]time.Duration{}, pendingStops: map[*run]*session{},
		adviceByStep: map[flow.StepID]*stepAdvice{}, permitShares: map[string]float64{},
		urgentDemand: map[string]*startDemand{}, urgentServers: map[string]*shortlease.Selection{}, recurringFlows: map[string]bool{},
		rateBuckets: map[string]*rateBucket{}, surplusFlows: map[string]bool{}, begunFlows: map[string]bool{},
		serverSpeeds: map[string]*serverSpeed{}, stepTimes: map[flow.StepID]steps.Timing{}, avoidedServers: map[flow.StepID]map[string]bool{}, attemptWaits: attemptWaits{}, restarts: map[flow.StepID]*watchdog.Restarts{}, failedPlaces: map[flow.StepID]*failedPlaces{},
		pendingRequests: map[uint64]func(){}, nextForMaintenance: map[string]bool{}, maintenanceRetryAt: map[string]time.Duration{}, maintenanceConfirmedAt: map[maintenanceID]time.Duration{},
	}
	d.loadMachineSpeeds()
	ledger := d.Host.Flows()
	d.leader.hasPredecessor = len(ledger.Servers()) > 0
	for _, b := range ledger.Servers() {
		if b.Ended {
			d.leader.sessionsClosedAt[b.ID] = d.Now()
			continue
		}
		d.Host.YieldProcessor()
		s := d.openSession(b, true)
		// The previous leader may have renewed leases until its last proof of leadership
		// expired. That proof expires at most maxLeadershipProofAge from now.
		s.leaseEndsAt = d.Now() + maxLeadershipProofAge + d.MaxLease + leaseMargin
	}
	d.announceLeadership()
	d.startHolders()
	d.sendFirstHolds()
	for id, f := range ledger.Flows() {
		d.Host.YieldProcessor()
		if f.Spec.GetTimes() > 0 && !f.Final() {
			d.leader.recurringFlows[id] = true
		}
	}
	d.updateContention()
	event.Log(d.Log, event.DispatchBegun, "term", term, "servers", len(d.leader.sessions), "flows", ledger.OpenFlows(), "drained", len(ledger.DrainedZones()))
}

// maxLeadershipProofAge is the longest time for which a leader acts on a proof of its
// leadership.
const maxLeadershipProofAge = time.Second

// OnDeposed drops the state of the term. Pending requests fail with an unknown outcome.
func (d *Dispatcher) OnDeposed() {
	leader := d.leader
	if leader == nil {
		return
	}
	d.leader = nil
	leader.cancel()
	for _, fail := range leader.pendingRequests {
		fail()
	}
}

// BeforePropose runs at the end of each turn of the control thread and plans if a plan is due.
func (d *Dispatcher) BeforePropose() {
	if d.leader == nil || !d.Host.Leads() {
		return
	}
	d.stopUnwantedRuns()
	now := d.Now()
	if d.leader.planPacer.Due(now, d.leader.planNeeded) {
		d.leader.plannedAt, d.leader.planNeeded = now, false
		d.plan(now)
	}
}

// Tick handles timeouts and periodic work.
func (d *Dispatcher) Tick(now time.Duration) {
	d.compareClocks(now)
	if d.leader == nil || !d.Host.Leads() {
		return
	}
	if now-d.leader.held.checkedAt >= holdersCheckInterval {
		d.checkHolders(now)
		d.renewWatches(now)
	}
	d.sendFirstHolds()
	d.proveLeadership(now)
	// checkSession may remove a session, so the loop uses a copy of the list.
	d.leader.tickSessions = append(d.leader.tickSessions[:0], d.leader.sortedSessions...)
	for i, s := range d.leader.tickSessions {
		if i%sessionsPerYield == 0 {
			d.Host.YieldProcessor()
		}
		d.checkSession(s, now)
		d.inspectRuns(s, now)
	}
	d.checkMachines(now)
	d.advanceWaves(now)
	if now-d.leader.zonesCheckedAt >= zoneCheckInterval {
		d.leader.zonesCheckedAt = now
		d.checkZones()
	}
	d.startDueTurns()
	if now-d.leader.sweptAt >= sweepInterval {
		d.leader.sweptAt = now
		d.sweep(now)
	}
	d.updateMembership(now)
}

// yieldAt lets other work run after each entriesPerYield entries of a pass over many.
func (d *Dispatcher) yieldAt(entry int) {
	if entry%entriesPerYield == 0 {
		d.Host.YieldProcessor()
	}
}

// postInTerm queues fn to run on the control thread. fn is dropped if the term has ended by
// then.
func (d *Dispatcher) postInTerm(term uint64, fn func()) {
	d.Host.Post(func() {
		if d.leader != nil && d.leader.term == term {
			fn()
		}
	})
}

// applyOrLog applies a command that may be refused without harm and reports whether it was
// applied. A refusal is logged because it means that the session state and the ledger
// differ.
func (d *Dispatcher) applyOrLog(f *record.Flow) bool {
	if err := d.Host.ApplyCommand(f); err != nil {
		event.LogError(d.Log, event.DecisionRefused, err, "term", d.leader.term)
		return false
	}
	d.leader.planNeeded = true
	return true
}
