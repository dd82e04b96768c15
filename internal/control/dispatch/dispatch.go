// Package dispatch is the part of the control thread that runs flows: it takes
// what callers, operators and backend servers ask, decides with package steps,
// and carries the decisions out at the backend servers. Everything that it
// decides is in the ledger before anybody outside hears of it; what it keeps
// itself can be found out again by whoever leads next.
package dispatch

import (
	"context"
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
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// Defaults and bounds.
const (
	// DefaultMaxLease is the longest lease that a backend server gives.
	DefaultMaxLease = 6 * time.Second
	// DefaultMaxStopTime is the longest time that a stop takes.
	DefaultMaxStopTime = time.Second
	// DefaultGangTimeout is how long the members of a gang wait for each other.
	DefaultGangTimeout = 3 * time.Second
	// slowest is the rate of the slowest clock of a backend server beside ours.
	slowest = 0.98
	// leaseMargin is added to the end of a lease before it counts as over: the
	// server looks at its clock now and then only.
	leaseMargin = 100 * time.Millisecond

	// DefaultRetention is how long flows are remembered after their end.
	DefaultRetention = 150 * time.Second
	// DefaultMaxOpenFlows bounds the flows that have not ended. At a few hundred bytes a
	// task it keeps the ledger within tens of megabytes.
	DefaultMaxOpenFlows = 8_000

	// callTimeout bounds a call to a backend server beyond what it may wait
	// there: more than the slowest healthy answer, and short beside a lease.
	callTimeout = time.Second
	// orderTimeout and holdTimeout are the shortest such bounds; answerFactor is how
	// many times as long as usual an answer may take before the call is made again.
	// Every call may be made twice, so a bound that is too short costs a call, and one
	// that is too long makes somebody wait for an answer that was lost. A server whose
	// hold fails gets no new work, which costs more.
	orderTimeout = 80 * time.Millisecond
	holdTimeout  = 250 * time.Millisecond
	answerFactor = 10
	// answerWeight is the weight of the latest answer in what is usual.
	answerWeight = 0.1
	// longestWait bounds how long a backend server holds an answer back for news.
	longestWait = time.Second
	// waitParts is the number of waits in a lease: a lost answer must not let
	// the lease run out.
	waitParts = 4
	// restEvery is how many servers are looked at before the other goroutines of the
	// process have their turn.
	restEvery = 64
	// zoneEvery is how often drained zones are looked at.
	zoneEvery = 100 * time.Millisecond
	// sweepEvery is how often what is over is forgotten.
	sweepEvery = time.Second
)

// Host is the control thread as this part uses it. But for Post and Status, its
// methods are called on the control thread only.
type Host interface {
	// ApplyCommand applies a command and queues it for the log.
	ApplyCommand(f *record.Flow) *code.Error
	// AfterCommit runs fn once everything decided so far is committed.
	AfterCommit(fn func())
	// AfterLeadershipProof runs fn once it is proved that this replica led at a time after received.
	AfterLeadershipProof(received time.Duration, fn func())
	// Leads tells whether this replica leads and a quorum confirmed so lately.
	Leads() bool
	Flows() *flows.Ledger
	// HasZone tells whether there is an availability zone of that name.
	HasZone(zone string) bool
	// LedgerTime is the ledger's time.
	LedgerTime() time.Duration
	// DiskFull tells that the disk has too little room for new work.
	DiskFull() bool
	Members() group.MembershipChanged
	ChangeMember(m quorum.Member, remove bool)
	// IsSynced tells whether a member has everything committed on its disk.
	IsSynced(id string) bool
	// YieldProcessor lets the other goroutines of the process have their turn.
	YieldProcessor()
	// Post runs fn on the control thread.
	Post(fn func()) bool
}

// Backends calls backend servers. Calls are made on goroutines of their own.
type Backends interface {
	// Call makes one call; what goes wrong is in the answer's verdict.
	Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer
}

// Helpers are the processes that make calls for the leader.
type Helpers interface {
	// Advise lets the process at that address ask the adviser; this process
	// itself when the address is empty.
	Advise(ctx context.Context, address string, r *inner.AdviseRequest) *inner.AdviseReply
	// Announce tells the process at that address who leads; nil when it does not answer.
	Announce(ctx context.Context, address string, a *inner.Announcement) *inner.Greeting
	// Relay lets it call a backend server.
	Relay(ctx context.Context, address string, c *inner.ServerCall) *inner.ServerAnswer
}

// Dispatcher is the part of the control thread that runs flows. The exported
// fields are set before use.
type Dispatcher struct {
	Host Host
	Cell string
	// Now is the group's clock.
	Now      func() time.Duration
	Backends Backends
	Helpers  Helpers
	// MaxDirectServers returns how many backend servers may be called directly, by the
	// connections that this takes; the others are called through helpers. Nil for
	// any number. Any goroutine may call it.
	MaxDirectServers func() int
	// Machines takes machines down for their upkeep; nil for nobody does.
	Machines Machines
	// MaxLease is the longest lease that a backend server gives.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a backend server takes to stop a run.
	MaxStopTime time.Duration
	// GangTimeout is how long the members of a gang wait for each other there.
	GangTimeout time.Duration
	Retention   time.Duration
	// MaxOpenFlows bounds the flows that have not ended.
	MaxOpenFlows int
	// TargetVoters is the number of voters that the group grows to.
	TargetVoters int
	// Metrics receives the metrics; nil for none.
	Metrics *metrics.Set
	Log     logr.Logger

	meter *meters
	// Owned by the control thread.
	lead *lead
	// agreed is the time of day by the word of all processes.
	agreed clock.MedianClock
	// crew are the processes that made themselves known, joiners the replicas among
	// them that may be no members yet, by id.
	crew    *helpers.Pool
	joiners map[string]*joiner
}

// New returns a dispatcher with the defaults.
func New() *Dispatcher {
	return &Dispatcher{
		MaxLease: DefaultMaxLease, MaxStopTime: DefaultMaxStopTime, GangTimeout: DefaultGangTimeout, Retention: DefaultRetention, MaxOpenFlows: DefaultMaxOpenFlows, TargetVoters: DefaultTargetVoters, Log: logr.Discard(),
		crew: helpers.New(), joiners: map[string]*joiner{},
	}
}

// OnElected takes over: what servers hold is asked of them before anything new is
// placed there.
func (d *Dispatcher) OnElected(term uint64, elected time.Duration) {
	if d.meter == nil {
		d.meter = newMeters(d.Metrics)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.lead = &lead{
		term: term, elected: elected, ctx: ctx, cancel: cancel, calls: newCalls(ctx), dirty: true,
		// Until it is known how soon answers come, they are waited for.
		answers:  holdTimeout / answerFactor,
		sessions: map[string]*session{}, stops: map[*run]*session{},
		advice: map[flow.StepID]*advice{}, shares: map[string]float64{},
		urgent: map[string]*demand{}, briefs: map[string]*shortlease.Selection{}, timed: map[string]bool{},
		buckets: map[string]*bucket{}, surplus: map[string]bool{},
		speeds: map[string]*speed{}, times: map[flow.StepID]steps.Timing{}, shunned: map[flow.StepID]map[string]bool{},
		asked: map[uint64]func(){}, emptied: map[string]bool{}, ordered: map[string]time.Duration{},
	}
	ledger := d.Host.Flows()
	for _, b := range ledger.Servers() {
		if b.Ended {
			continue
		}
		s := d.open(b)
		// The leader before this one may have renewed leases until it noticed
		// that it was deposed: not later than the proof of its lead could last.
		s.over = d.Now() + proofAge + d.MaxLease + leaseMargin
	}
	d.announce()
	d.takeIn()
	for id, f := range ledger.Flows() {
		if f.Spec.GetTimes() > 0 && !f.Final() {
			d.lead.timed[id] = true
		}
	}
	event.Log(d.Log, event.DispatchBegun, "term", term, "servers", len(d.lead.sessions), "flows", ledger.OpenFlows(), "drained", len(ledger.DrainedZones()))
}

// proofAge is the greatest age of the proof on which a leader still acts.
const proofAge = time.Second

// OnDeposed drops everything. Requests under way learn that the answer is not
// known here.
func (d *Dispatcher) OnDeposed() {
	ld := d.lead
	if ld == nil {
		return
	}
	d.lead = nil
	ld.cancel()
	for _, fail := range ld.asked {
		fail()
	}
}

// BeforePropose decides once in a turn of the control thread.
func (d *Dispatcher) BeforePropose() {
	if d.lead == nil || !d.Host.Leads() {
		return
	}
	d.stopUnwanted()
	now := d.Now()
	if d.lead.pacer.Due(now, d.lead.dirty) {
		d.lead.planned, d.lead.dirty = now, false
		d.plan(now)
	}
}

// Tick does what is due.
func (d *Dispatcher) Tick(now time.Duration) {
	d.compareClocks(now)
	if d.lead == nil || !d.Host.Leads() {
		return
	}
	d.takeIn()
	// Looking at one may end its session.
	d.lead.round = append(d.lead.round[:0], d.lead.sorted...)
	for i, s := range d.lead.round {
		if i%restEvery == 0 {
			d.Host.YieldProcessor()
		}
		d.watch(s, now)
		d.inspect(s, now)
	}
	d.waves(now)
	if now-d.lead.zoned >= zoneEvery {
		d.lead.zoned = now
		d.lookAtZones()
	}
	d.beginTurns()
	if now-d.lead.swept >= sweepEvery {
		d.lead.swept = now
		d.sweep(now)
	}
	d.members(now)
}

// post runs fn on the control thread, unless another term has begun there.
func (d *Dispatcher) post(term uint64, fn func()) {
	d.Host.Post(func() {
		if d.lead != nil && d.lead.term == term {
			fn()
		}
	})
}

// decide is Decide for what may be refused without harm: the refusal is logged,
// since it shows that the picture here and the ledger differ.
func (d *Dispatcher) decide(f *record.Flow) bool {
	if err := d.Host.ApplyCommand(f); err != nil {
		event.LogError(d.Log, event.DecisionRefused, err, "term", d.lead.term)
		return false
	}
	d.lead.dirty = true
	return true
}
