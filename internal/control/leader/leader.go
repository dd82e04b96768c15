// Package leader is the control thread of a replica. While the replica leads,
// this one goroutine decides everything: it applies its own commands to the
// ledger at once and holds back their effects (answers, orders) until the
// group has committed them. While it follows, it applies what is committed.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/yield"
	"gypsumreel/internal/control/mailbox"
	"gypsumreel/internal/domain/lease"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
)

// Defaults and bounds of the control thread.
const (
	// DefaultSyncTimeout is after how long without a sync a server gets no new work.
	DefaultSyncTimeout = 3 * time.Second
	// DefaultRetention is how long ended jobs and answers to changes are kept.
	DefaultRetention = time.Hour
	// DefaultMaxPollWait bounds every long poll.
	DefaultMaxPollWait = 2 * time.Second
	// pollsPerLease is the least number of polls in a lease.
	pollsPerLease = 3
	// DefaultMaxBacklog bounds the jobs that wait in the cell.
	DefaultMaxBacklog = 262_144
	// fullRetry is when a caller may come back to a cell whose disk is full.
	fullRetry = time.Minute
	// DefaultSnapshotInterval is the number of commands between snapshots.
	DefaultSnapshotInterval = 20_000
	// DefaultMaxConfirmationAge is the greatest age of the last confirmed heartbeat round at
	// which this leader still answers; it bounds how long a withdrawn key works
	// at a leader that was cut off.
	DefaultMaxConfirmationAge = time.Second

	// inboxLength bounds the batches that wait for the control thread.
	inboxLength = 1024
	// batches bounds those handled before decisions are made and proposed.
	batches = 64
	// tick is how often timers are looked at.
	tick = 20 * time.Millisecond
	// lookEvery is how often all sessions are looked at for silence.
	lookEvery = 100 * time.Millisecond
	// checkEvery is how often the replicas compare the digests of their states.
	checkEvery = 10 * time.Second
	// measureEvery is how often the gauges are set.
	measureEvery = time.Second
	// maxPending bounds the commands that the group has not taken yet.
	maxPending = 100_000
)

// Group is the replicated log as the control thread uses it.
type Group interface {
	Propose(p group.Proposal) bool
	Notifications() <-chan group.Notification
	ConfirmLeadership()
	Compact(index uint64, state []byte)
	Reload()
}

// ReplyTarget is where the reply to an item goes.
type ReplyTarget struct {
	Mailbox *mailbox.Mailbox
	Seq     uint64
	// ReceivedAt is when the item came, on the clock of Now.
	ReceivedAt time.Duration
	// Deadline is when whoever asked gives up; 0 for never.
	Deadline time.Duration
}

// Batch is what one Push brought.
type Batch struct {
	Mailbox    *mailbox.Mailbox
	ReceivedAt time.Duration
	Items      []*inner.Item
}

// Status is what traffic threads may know of this replica.
type Status struct {
	Leads   bool
	Term    uint64
	Leader  string
	Address string
	// Revision of the table in force.
	Revision uint64
	// Full tells that the journal's disk has too little room for new work.
	Full bool
}

// Leader is the control thread. The exported fields are set before Run.
type Leader struct {
	Group Group
	// Now is the group's monotonic clock.
	Now func() time.Duration
	// WallClock is the time of day, for the ledger's clock.
	WallClock func() time.Time
	// AgreedTime returns the time of day by the word of many processes at a time on the
	// clock of Now, and whether enough are heard; nil for Wall alone. It is called
	// on the control thread.
	AgreedTime func(now time.Duration) (time.Duration, bool)
	// NewPlanner makes the planner of a new leader.
	NewPlanner func() plan.Planner
	LeaseTerms lease.Terms
	// RootKey is the first operator's key, granted when the ledger has none.
	RootKey     *v1.KeyGrant
	SyncTimeout time.Duration
	Retention   time.Duration
	MaxPollWait time.Duration
	// Zones are the availability zones; none for those that backend servers are in.
	Zones []string
	// MaxBacklog bounds the jobs that wait in the cell.
	MaxBacklog         int
	MaxConfirmationAge time.Duration
	SnapshotInterval   uint64
	// OnDeposed is called when this replica stops to lead; it must not block.
	OnDeposed func()
	// OnTableRevision is called when another revision of the table is in force; it must not block.
	OnTableRevision func()
	// EntryMembers lists the entries as members; nil for none. It must not block.
	EntryMembers func() []*v1.MemberLine
	// MatchIndexes gives the index up to which each other replica has the log on its
	// disk; nil when that is not known. It must not wait for the control thread.
	MatchIndexes func() map[string]uint64
	// ProposalInterval is the least time between two proposals; 0 for none. Each proposal
	// costs a message to every replica and its answer, so a busy leader spends
	// less on a few large ones. One that comes after a pause leaves at once.
	ProposalInterval time.Duration
	// TransferLeadership asks the group to hand the lead over; nil for never. It must not block.
	TransferLeadership func()
	// Extension decides about flows; nil for none.
	Extension Extension
	// Metrics receives the thread's metrics; nil for none.
	Metrics *metrics.Set
	Log     logr.Logger

	inbox  chan func()
	done   chan struct{}
	status atomic.Pointer[Status]

	// Owned by the control thread.
	turn    yield.Yielder
	st      *state.State
	applied uint64
	saved   uint64
	saving  saving
	lead    *lead
	members group.MembershipChanged
	full    bool
	meter   *meter
	limit   event.RateLimiter
	// leaderless is since when no leader is known, alarmed that it was told.
	leaderless time.Duration
	alarmed    bool
	loaded     bool
	measured   time.Duration
}

// ErrDiverged ends a replica whose state differs from the leader's.
var ErrDiverged = errors.New("this replica's state differs from the leader's; remove its data and add it anew")

// New returns a control thread with the defaults.
func New() *Leader {
	l := &Leader{
		LeaseTerms:         lease.Terms{Length: lease.DefaultLength, Drift: lease.DefaultDrift},
		SyncTimeout:        DefaultSyncTimeout,
		Retention:          DefaultRetention,
		MaxPollWait:        DefaultMaxPollWait,
		MaxBacklog:         DefaultMaxBacklog,
		MaxConfirmationAge: DefaultMaxConfirmationAge,
		SnapshotInterval:   DefaultSnapshotInterval,
		Log:                logr.Discard(),
		WallClock:          time.Now,
		inbox:              make(chan func(), inboxLength),
		done:               make(chan struct{}),
		st:                 state.New(),
	}
	l.status.Store(&Status{})
	return l
}

// Status returns what is known now; it is safe for any goroutine.
func (l *Leader) Status() Status { return *l.status.Load() }

// Done is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Push hands a batch to the control thread; false when there is no room, and
// then nothing of it was looked at.
func (l *Leader) Push(b Batch) bool {
	return l.try(func() { l.batch(b) })
}

func (l *Leader) try(fn func()) bool {
	select {
	case l.inbox <- fn:
		return true
	default:
		return false
	}
}

// Execute runs fn on the control thread, for dumps and tests.
func (l *Leader) Execute(ctx context.Context, fn func(*state.State)) error {
	ran := make(chan struct{})
	select {
	case l.inbox <- func() { fn(l.st); close(ran) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errors.New("the control thread has ended")
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errors.New("the control thread has ended")
	}
}

// Run is the control thread; it returns when ctx ends or the replica must not go on.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	l.meter = newMeter(l.Metrics)
	l.limit.Now = l.WallClock
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.follow(group.Following{})
			return nil
		case n, ok := <-l.Group.Notifications():
			if !ok {
				return errors.New("the group has ended")
			}
			if err := l.note(n); err != nil {
				return err
			}
		case fn := <-l.inbox:
			fn()
			l.drain()
		case <-ticker.C:
			l.timers()
		}
		l.finish()
	}
}

// YieldProcessor lets the other goroutines of the process have their turn: a message of the
// group takes several of them, and a leader that decided for long at a time would lose
// its lead to its own load. It is called on the control thread.
func (l *Leader) YieldProcessor() { l.turn.YieldIfDue() }

// drain takes more batches that wait already, so that they share one commit.
func (l *Leader) drain() {
	for range batches {
		l.YieldProcessor()
		select {
		case fn := <-l.inbox:
			fn()
		default:
			return
		}
	}
}

// finish ends a turn: decide, propose, and let reads and sessions go on.
func (l *Leader) finish() {
	if l.lead != nil {
		l.perform()
		l.decide()
		l.serveServers()
		l.serveReads()
		if l.Extension != nil {
			l.Extension.BeforePropose()
		}
		l.propose()
		l.deliver()
	}
	l.publish()
	l.snapshot()
}

func (l *Leader) publish() {
	old := l.status.Load()
	s := *old
	// A revision that is not committed yet may never come into force.
	if l.lead == nil || l.lead.committed >= l.lead.tabled {
		s.Revision = l.st.Table().Revision()
	}
	s.Full = l.full
	if s != *old {
		l.status.Store(&s)
	}
	if s.Revision != old.Revision && l.OnTableRevision != nil {
		l.OnTableRevision()
	}
}
