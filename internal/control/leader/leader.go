// Package leader implements the control thread of a replica. While the replica
// leads, this single goroutine makes all decisions. It applies its commands to the
// ledger at once and holds back their effects (replies and orders) until the group
// has committed the commands. While the replica follows, the control thread applies
// committed log entries.
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
	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/domain/lease"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
)

// Defaults and limits of the control thread.
const (
	// DefaultSyncTimeout is how long a backend server may go without a sync before
	// it gets no new work.
	DefaultSyncTimeout = 3 * time.Second
	// DefaultRetention is how long ended jobs and the results of operator changes
	// are kept.
	DefaultRetention = time.Hour
	// DefaultMaxPollWait limits the wait of every long poll.
	DefaultMaxPollWait = 2 * time.Second
	// minPollsPerLease is the minimum number of polls that a server makes during
	// one lease.
	minPollsPerLease = 3
	// DefaultMaxBacklog limits the number of waiting jobs in the cell.
	DefaultMaxBacklog = 262_144
	// diskFullRetryDelay is the retry delay given to callers when the journal's
	// disk is full.
	diskFullRetryDelay = time.Minute
	// DefaultSnapshotInterval is the number of commands between two snapshots.
	DefaultSnapshotInterval = 20_000
	// DefaultMaxConfirmationAge is the maximum age of the last heartbeat round that
	// a quorum confirmed. A leader whose last confirmation is older refuses
	// requests. This limits how long a withdrawn key still works at a leader that
	// was partitioned from the group.
	DefaultMaxConfirmationAge = time.Second

	// inboxCapacity limits the number of functions queued for the control thread.
	inboxCapacity = 1024
	// maxBatchesPerTurn limits the batches handled in one turn before decisions are
	// made and proposed.
	maxBatchesPerTurn = 64
	// maxNotificationsPerTurn limits the notifications handled before the other work of a turn.
	maxNotificationsPerTurn = 64
	// tickInterval is the interval at which expired timers are run.
	tickInterval = 20 * time.Millisecond
	// silenceCheckInterval is the interval at which all sessions are checked for
	// overdue syncs.
	silenceCheckInterval = 100 * time.Millisecond
	// digestCheckInterval is the interval at which the replicas compare the digests
	// of their states.
	digestCheckInterval = 10 * time.Second
	// gaugeInterval is the interval at which the gauges are set.
	gaugeInterval = time.Second
	// maxPendingCommands is the number of unproposed commands above which no new
	// decisions are made.
	maxPendingCommands = 100_000
)

// Group is the replicated log as the control thread uses it.
type Group interface {
	// Propose hands commands to the group; it returns false when the group has no
	// room for them.
	Propose(p group.Proposal) bool
	// Notifications returns the channel on which the group reports elections,
	// commits and membership.
	Notifications() <-chan group.Notification
	// ConfirmLeadership asks for a heartbeat round that proves that this replica
	// still leads.
	ConfirmLeadership()
	// Compact hands over a snapshot of the state at index, so that the log before
	// it can be dropped.
	Compact(index uint64, state []byte)
	// Reload makes the group deliver its snapshot and the committed log again.
	// After it returns, no notification from before is delivered.
	Reload()
}

// ReplyTarget identifies the item to which a reply belongs and the mailbox that
// receives the reply.
type ReplyTarget struct {
	Mailbox *mailbox.Mailbox
	Seq     uint64
	// ReceivedAt is the time of receipt on the monotonic clock Leader.Now.
	ReceivedAt time.Duration
	// Deadline is when the caller gives up, on the same clock; 0 means never.
	Deadline time.Duration
}

// Batch holds the items of one Push call from an entry.
type Batch struct {
	Mailbox    *mailbox.Mailbox
	ReceivedAt time.Duration
	Items      []*inner.Item
}

// Status is the part of a replica's state that goroutines outside the control
// thread may read.
type Status struct {
	Leads   bool
	Term    uint64
	Leader  string
	Address string
	// Revision is the committed revision of the team table.
	Revision uint64
	// Full reports whether the journal's disk has too little free space for new work.
	Full bool
}

// Leader is the control thread. Its exported fields must be set before Run is
// called.
type Leader struct {
	Group Group
	// Now returns the time of the group's monotonic clock.
	Now func() time.Duration
	// WallClock returns this process's time of day, from which the ledger's time is
	// derived.
	WallClock func() time.Time
	// AgreedTime converts a time on the clock of Now to the time of day on which
	// the processes of the cell agree. It returns false while too few processes
	// have reported their time. If it is nil, WallClock is used alone. AgreedTime
	// is called on the control thread.
	AgreedTime func(now time.Duration) (time.Duration, bool)
	// NewPlanner creates the planner of a newly elected leader.
	NewPlanner func() plan.Planner
	// LeaseTerms are the length and clock drift allowance of the leases of backend
	// servers.
	LeaseTerms lease.Terms
	// RootKey is the first operator key. The leader grants it when the ledger holds
	// no keys.
	RootKey *v1.KeyGrant
	// SyncTimeout is how long a backend server may go without a sync before it gets
	// no new work.
	SyncTimeout time.Duration
	// Retention is how long ended jobs and the results of operator changes are
	// kept.
	Retention time.Duration
	// MaxPollWait limits the wait of every long poll.
	MaxPollWait time.Duration
	// Zones are the configured availability zones. If empty, the zones are those
	// that backend servers have announced.
	Zones []string
	// MaxBacklog limits the number of waiting jobs in the cell.
	MaxBacklog int
	// MaxConfirmationAge is the maximum age of the last confirmed heartbeat round
	// at which this leader still serves requests.
	MaxConfirmationAge time.Duration
	// SnapshotInterval is the number of commands between two snapshots.
	SnapshotInterval uint64
	// OnDeposed is called when this replica stops leading or learns of another
	// leader. It must not block.
	OnDeposed func()
	// OnTableRevision is called when another revision of the team table is in
	// force. It must not block.
	OnTableRevision func()
	// EntryMembers returns the entries as member lines for operators; it may be
	// nil. It must not block.
	EntryMembers func() []*v1.MemberLine
	// MatchIndexes returns, for each other replica, the index up to which the
	// replica has stored the log on disk. It returns nil when that is unknown. It
	// must not wait for the control thread.
	MatchIndexes func() map[string]uint64
	// ProposalInterval is the minimum time between two proposals; 0 means no
	// minimum. Each proposal costs a message to every replica and its
	// acknowledgement, so a busy leader saves work by sending few large proposals.
	// A proposal after a pause is sent at once.
	ProposalInterval time.Duration
	// TransferLeadership asks the group to transfer the leadership to another
	// replica; it may be nil. It must not block.
	TransferLeadership func()
	// Extension decides about flows; it may be nil.
	Extension Extension
	// Metrics is the set in which the control thread registers its metrics; it may
	// be nil.
	Metrics *metrics.Set
	Log     logr.Logger

	// Turns records the progress of the control thread.
	Turns turn.Meter

	inbox  chan func()
	done   chan struct{}
	status atomic.Pointer[Status]
	// leadTerm is the term in which this replica leads or takes over; 0 if it follows. givenUpTerm is
	// the latest term in which it gave up the lead. onlyVoter is true while it is the only voter.
	leadTerm    atomic.Uint64
	givenUpTerm atomic.Uint64
	onlyVoter   atomic.Bool
	// currentLead ends when this replica gives up the lead.
	currentLead atomic.Pointer[leadContext]
	// otherAddresses are the addresses of the other members.
	otherAddresses atomic.Pointer[[]string]

	// The fields below are used by the control thread only.
	processorYield yield.Yielder
	ledger         *state.State
	appliedIndex   uint64
	// reloading is true until the group delivers the committed log again, without the decisions of a
	// former leader.
	reloading        bool
	snapshotIndex    uint64
	snapshotProgress snapshotProgress
	leadership       *leadership
	membership       group.MembershipChanged
	diskFull         bool
	controlMetrics   *controlMetrics
	logLimiter       event.RateLimiter
	// leaderlessSince is when the last known leader was lost. leaderlessLogged reports
	// whether the loss has been logged.
	leaderlessSince  time.Duration
	leaderlessLogged bool
	stateLoaded      bool
	gaugesSetAt      time.Duration
}

// ErrDiverged is returned by Run when this replica's state differs from the
// leader's.
var ErrDiverged = errors.New("this replica's state differs from the leader's state; delete its data folder and add it to the group again")

// errStopped is returned by Run when the group does not run any more.
var errStopped = errors.New("the replication group has stopped")

// New returns a control thread with the default settings.
func New() *Leader {
	l := &Leader{
		LeaseTerms:         lease.Terms{Length: lease.DefaultLength, MaxClockDrift: lease.DefaultMaxClockDrift},
		SyncTimeout:        DefaultSyncTimeout,
		Retention:          DefaultRetention,
		MaxPollWait:        DefaultMaxPollWait,
		MaxBacklog:         DefaultMaxBacklog,
		MaxConfirmationAge: DefaultMaxConfirmationAge,
		SnapshotInterval:   DefaultSnapshotInterval,
		Log:                logr.Discard(),
		WallClock:          time.Now,
		inbox:              make(chan func(), inboxCapacity),
		done:               make(chan struct{}),
		ledger:             state.New(),
	}
	l.status.Store(&Status{})
	l.currentLead.Store(newLeadContext())
	return l
}

// Status returns the latest published status. A replica that has given up the lead does not lead, and
// does not know who does until the group reports it. Status is safe for concurrent use.
func (l *Leader) Status() Status {
	s := *l.status.Load()
	if s.Leads && l.hasGivenUp(s.Term) {
		s.Leads, s.Leader, s.Address = false, "", ""
	}
	return s
}

// Done returns a channel that is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Push queues a batch for the control thread. It returns false when the queue is
// full; then no item of the batch is processed.
func (l *Leader) Push(b Batch) bool {
	return l.tryEnqueue(func() { l.handleBatch(b) })
}

// tryEnqueue queues fn for the control thread. It returns false when the inbox is
// full.
func (l *Leader) tryEnqueue(fn func()) bool {
	select {
	case l.inbox <- fn:
		return true
	default:
		return false
	}
}

// Execute runs fn on the control thread and waits for it. State dumps and tests use
// it.
func (l *Leader) Execute(ctx context.Context, fn func(*state.State)) error {
	finished := make(chan struct{})
	select {
	case l.inbox <- func() { fn(l.ledger); close(finished) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errors.New("the control thread has ended")
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errors.New("the control thread has ended")
	}
}

// Run executes the control thread. It returns nil when ctx ends, and an error when
// the replica must stop.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	l.controlMetrics = newControlMetrics(l.Metrics)
	l.registerProgressGauges()
	l.logLimiter.Now = l.WallClock
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.becomeFollower(group.Following{})
			return nil
		case n, ok := <-l.Group.Notifications():
			if !ok {
				return errStopped
			}
			l.Turns.Begin(turn.Notification, l.Now())
			if err := l.handleNotification(n); err != nil {
				return err
			}
		case fn := <-l.inbox:
			l.Turns.Begin(turn.Function, l.Now())
			if err := l.handleWaitingNotifications(); err != nil {
				return err
			}
			l.runFunction(fn)
			l.runQueuedFunctions()
		case <-ticker.C:
			l.Turns.Begin(turn.Timers, l.Now())
			if err := l.handleWaitingNotifications(); err != nil {
				return err
			}
			l.runTimers()
		}
		l.finishTurn()
		l.controlMetrics.turnSeconds.Update(l.Turns.End(l.Now()).Seconds())
	}
}

// YieldProcessor yields the processor to the other goroutines of the process. A message of
// the group passes through several goroutines. A leader that computes for a long
// time without yielding would delay its heartbeats and lose the leadership because
// of its own load. YieldProcessor is called on the control thread.
func (l *Leader) YieldProcessor() {
	l.Turns.Advance()
	l.processorYield.YieldIfDue()
}

// runFunction runs a queued function. It was queued in the term, so the extension must know first
// whether the lead was given up.
func (l *Leader) runFunction(fn func()) {
	l.serving()
	fn()
}

// runQueuedFunctions runs further functions that are already queued, so that their commands
// share one commit.
func (l *Leader) runQueuedFunctions() {
	for range maxBatchesPerTurn {
		l.YieldProcessor()
		select {
		case fn := <-l.inbox:
			l.runFunction(fn)
		default:
			return
		}
	}
}

// finishTurn ends a turn, which is one iteration of the loop in Run. A leader makes
// decisions, proposes commands, and sends the replies whose commands are committed.
func (l *Leader) finishTurn() {
	l.finishLeaderTurn()
	l.Turns.SetOldestProposal(l.oldestProposal())
	l.Turns.Enter(turn.Snapshot)
	l.publishStatus()
	l.advanceSnapshot()
}

// publishStatus updates the status that other goroutines read.
func (l *Leader) publishStatus() {
	old := l.status.Load()
	s := *old
	// An uncommitted revision may be lost with this leader, so it is not published.
	if l.leadership == nil || l.leadership.commitIndex >= l.leadership.tableIndex {
		s.Revision = l.ledger.Table().Revision()
	}
	s.Full = l.diskFull
	if s != *old {
		l.status.Store(&s)
	}
	if s.Revision != old.Revision && l.OnTableRevision != nil {
		l.OnTableRevision()
	}
}
