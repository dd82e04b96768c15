package group

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// Defaults and limits of a group.
const (
	// DefaultTickInterval is the default interval between two ticks of the
	// consensus core. It is the resolution of the election and heartbeat timers.
	DefaultTickInterval = 10 * time.Millisecond
	// DefaultMinFreeBytes is the default of Group.MinFreeBytes.
	DefaultMinFreeBytes = 256 << 20
	// proposalQueueLength limits the proposals that wait for the event loop.
	proposalQueueLength = 256
	// inboxLength limits the messages from other replicas that wait for the event loop.
	inboxLength = 256
	// maxMergedProposals limits the proposals that are merged with an earlier one
	// before the core appends them to the log.
	maxMergedProposals = 64
	// maxUncommittedBytes limits the size of the log entries that a quorum has not
	// acknowledged yet. Above it, the group accepts no proposals.
	maxUncommittedBytes = 32 << 20
	// freeSpaceCheckInterval is the time between two checks of the free disk space.
	freeSpaceCheckInterval = time.Second
	// fullDiskRetryInterval is the time between two attempts to write to a full disk.
	fullDiskRetryInterval = 100 * time.Millisecond
	// maxSaveAttempts limits the attempts to save one snapshot.
	maxSaveAttempts = 6
	// initialSaveBackoff is the pause after the first failed attempt to save a
	// snapshot. It doubles with every further attempt.
	initialSaveBackoff = 250 * time.Millisecond
)

// Errors that the methods of a Group return.
var (
	// ErrStopped is returned when the group no longer runs.
	ErrStopped = errors.New("replica group has stopped")
	// ErrNoOtherVoter is returned when the group has no other voter that could
	// take over the leadership.
	ErrNoOtherVoter = errors.New("leadership not transferred: the group has no other voter")
)

// Journal stores the replicated log and the hard state on the disk.
type Journal interface {
	// Append writes without syncing. An entry whose index is already in the journal
	// replaces the stored entry and all entries after it. When Append returns
	// disk.ErrDiskFull, the journal is unchanged.
	Append(hard *quorum.HardState, entries []quorum.Entry) error
	// Sync returns once everything appended is on stable storage.
	Sync() error
	// Compact allows the journal to delete the entries up to index. If the journal
	// has no later entry, it is empty afterwards and accepts any next index.
	Compact(index uint64) error
	Close() error
	// FreeBytes returns the free space on the disk of the journal.
	FreeBytes() (uint64, error)
}

// SnapshotStore stores snapshots of the ledger.
type SnapshotStore interface {
	// Save returns once the snapshot is on stable storage. After an error, the
	// previous snapshot is still available.
	Save(meta snapshot.Meta, state []byte) error
}

// Transport sends consensus messages to the other replicas.
type Transport interface {
	// Send never blocks. If its queue is full, messages are dropped.
	Send(to, address string, data [][]byte)
}

// Group runs one replica. The exported fields must be set before Run is called.
type Group struct {
	// Config configures the consensus core: identity, address, timeouts, random
	// seed and first membership.
	Config quorum.Config
	// Recovered is the state that was read from the journal and the snapshots at
	// the start. Run clears it.
	Recovered quorum.PersistedState
	Journal   Journal
	Snapshots SnapshotStore
	Transport Transport
	// Now reads a monotonic clock.
	Now func() time.Duration
	// TickInterval is the interval between two ticks of the consensus core.
	// 0 selects DefaultTickInterval.
	TickInterval time.Duration
	// MinFreeBytes is the free space on the journal's disk below which the group
	// reports the disk as full. 0 selects DefaultMinFreeBytes.
	MinFreeBytes uint64
	// Metrics receives the metrics. If it is nil, no metrics are exported.
	Metrics *metrics.Set
	Log     logr.Logger

	initOnce        sync.Once
	proposals       chan Proposal
	inbox           chan receivedMessage
	requests        chan request
	confirmRequests chan struct{}
	// abstentions carries whether this replica abstains from leading.
	abstentions chan bool
	// diskResults carries the results of the two disk goroutines to the event loop.
	diskResults   chan diskResult
	journalWrites chan quorum.JournalWrite
	// journalCompactions carries the index up to which the journal may be compacted.
	journalCompactions chan uint64
	snapshotsToSave    chan quorum.Snapshot
	diskFull           chan bool
	done               chan struct{}
	notifications      *notificationQueue
	latencies          *latencyMetrics

	core *quorum.Core
	// transferWaiters receive the result of the leadership transfer in progress.
	transferWaiters []chan<- error
}

// receivedMessage is a message from another replica with its time of receipt.
type receivedMessage struct {
	quorum.Message
	receivedAt time.Duration
}

// request is an infrequent request from another goroutine to the event loop.
type request interface{ isRequest() }

type (
	compactRequest  struct{ event quorum.Compact }
	reloadRequest   struct{ done chan<- struct{} }
	transferRequest struct{ done chan<- error }
	dumpRequest     struct{ reply chan<- Dump }
)

func (compactRequest) isRequest()  {}
func (reloadRequest) isRequest()   {}
func (transferRequest) isRequest() {}
func (dumpRequest) isRequest()     {}

// initialize sets up the unexported fields on first use.
func (g *Group) initialize() {
	g.initOnce.Do(func() {
		g.proposals = make(chan Proposal, proposalQueueLength)
		g.inbox = make(chan receivedMessage, inboxLength)
		g.requests = make(chan request)
		g.confirmRequests = make(chan struct{}, 1)
		g.abstentions = make(chan bool, 1)
		g.diskResults = make(chan diskResult, 4)
		g.journalWrites = make(chan quorum.JournalWrite, 1)
		g.journalCompactions = make(chan uint64, 1)
		g.snapshotsToSave = make(chan quorum.Snapshot, 1)
		g.diskFull = make(chan bool, 1)
		g.done = make(chan struct{})
		g.notifications = newNotificationQueue()
		g.latencies = newLatencyMetrics(g.Metrics)
	})
}

// Done returns a channel that is closed when Run has returned.
func (g *Group) Done() <-chan struct{} {
	g.initialize()
	return g.done
}

// Notifications returns the channel on which the control thread receives the
// notifications, in order.
func (g *Group) Notifications() <-chan Notification {
	g.initialize()
	return g.notifications.deliveries
}

// Propose queues a proposal without blocking. It returns false when the queue is
// full; the caller must then repeat the same proposal.
func (g *Group) Propose(p Proposal) bool {
	g.initialize()
	select {
	case g.proposals <- p:
		return true
	default:
		return false
	}
}

// ConfirmLeadership requests a heartbeat round that starts after the call. When a quorum
// has answered the round, the group sends a LeadershipConfirmed notification.
func (g *Group) ConfirmLeadership() {
	g.initialize()
	select {
	case g.confirmRequests <- struct{}{}:
	default:
	}
}

// Abstain begins or ends the abstention of this replica from leading: it hands the leadership over
// and is not elected. Abstain does not block and does not wait for the control thread. Only one
// goroutine may call it.
func (g *Group) Abstain(on bool) {
	g.initialize()
	select {
	case <-g.abstentions:
	default:
	}
	g.abstentions <- on
}

// Receive handles a message from another replica. The caller must have
// authenticated from as the sender. If the inbox is full, the message is dropped
// like a message that the network loses.
func (g *Group) Receive(from string, data []byte) {
	g.initialize()
	message, err := quorum.DecodeMessage(g.Config.ID, from, data)
	if err != nil {
		g.Log.V(1).Info("dropped a replica message that cannot be decoded", "from", from, "error", err.Error())
		return
	}
	select {
	case g.inbox <- receivedMessage{message, g.Now()}:
	default:
	}
}

// Compact passes the encoded ledger as of the committed entry at index. The group
// saves it as a snapshot and then removes log entries that the snapshot covers. The
// caller must not modify state afterwards.
func (g *Group) Compact(index uint64, state []byte) {
	g.sendRequest(compactRequest{quorum.Compact{Index: index, State: state}})
}

// Reload requests a RestoreSnapshot notification and the ApplyEntries
// notifications that follow it. After Reload has returned, the group delivers no
// earlier ApplyEntries, CommitAdvanced, LeadershipConfirmed or Leading
// notification. The control thread would apply those to a ledger that contains
// commands without a quorum.
func (g *Group) Reload() {
	done := make(chan struct{})
	if !g.sendRequest(reloadRequest{done}) {
		return
	}
	select {
	case <-done:
	case <-g.done:
	}
}

// TransferLeadership hands the leadership over to another voter. It returns nil
// once this replica no longer leads.
func (g *Group) TransferLeadership(ctx context.Context) error {
	done := make(chan error, 1)
	if !g.sendRequest(transferRequest{done}) {
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.done:
		return ErrStopped
	}
}

// Dump returns the current state of the replica.
func (g *Group) Dump() Dump {
	reply := make(chan Dump, 1)
	if !g.sendRequest(dumpRequest{reply}) {
		return Dump{Stopped: true}
	}
	select {
	case dump := <-reply:
		return dump
	case <-g.done:
		return Dump{Stopped: true}
	}
}

// sendRequest passes a request to the event loop. It returns false if the group
// has stopped. The event loop never waits for the control thread, so the request
// cannot deadlock.
func (g *Group) sendRequest(r request) bool {
	g.initialize()
	select {
	case g.requests <- r:
		return true
	case <-g.done:
		return false
	}
}

// Dump is the state of a replica as shown to operators.
type Dump struct {
	Stopped bool
	quorum.Status
	// Queued is the number of notifications that the control thread has not received yet.
	Queued int
}
