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

// Defaults and bounds of a group.
const (
	// DefaultTickInterval is the resolution of the timers.
	DefaultTickInterval = 10 * time.Millisecond
	// DefaultMinFreeBytes is the room on the journal's disk below which the group is
	// full, in bytes.
	DefaultMinFreeBytes = 256 << 20
	// maxProposals is how many proposals wait for the group.
	maxProposals = 256
	// maxInbox is how many messages of other replicas wait for the group.
	maxInbox = 256
	// maxBatch is how many events are handled before their effects leave.
	maxBatch = 64
	// maxUncommitted is how many bytes of entries may wait for a quorum.
	maxUncommitted = 32 << 20
	// freeInterval is the time between two looks at the room on the disk.
	freeInterval = time.Second
	// fullInterval is the time between two tries to write to a full disk.
	fullInterval = 100 * time.Millisecond
	// saveTries is how often a snapshot is tried before the next takes its place,
	// savePause the first pause between two tries; it doubles with each.
	saveTries = 6
	savePause = 250 * time.Millisecond
)

// Errors of a group.
var (
	// ErrStopped tells that the group no longer runs.
	ErrStopped = errors.New("group stopped")
	// ErrNoOtherVoter tells that there is no other voter to hand over to.
	ErrNoOtherVoter = errors.New("no other voter to hand over to")
)

// Journal is the log on the disk.
type Journal interface {
	// Append writes without syncing. An entry with an index that is present
	// replaces it and everything after it. disk.ErrFull leaves the journal as it was.
	Append(hard *quorum.HardState, entries []quorum.Entry) error
	Sync() error
	// Compact may forget entries up to index. A journal that ends there is empty
	// afterwards and goes on with any index.
	Compact(index uint64) error
	Close() error
	// FreeBytes gives the room on the disk in bytes.
	FreeBytes() (uint64, error)
}

// SnapshotStore stores snapshots.
type SnapshotStore interface {
	// Save returns once the snapshot is synced. After an error the one before it is
	// still there.
	Save(meta snapshot.Meta, state []byte) error
}

// Transport carries messages to the other replicas.
type Transport interface {
	// Send never blocks; messages that find no room are dropped.
	Send(to, address string, data [][]byte)
}

// Group runs one replica. Set the exported fields before Run.
type Group struct {
	// Config is that of the core: identity, address, timeouts, seed, bootstrap.
	Config quorum.Config
	// Recovered is what the journal and the snapshots held at the start.
	Recovered quorum.PersistedState
	Journal   Journal
	Snapshots SnapshotStore
	Transport Transport
	// Now is a monotonic clock.
	Now          func() time.Duration
	TickInterval time.Duration
	// MinFreeBytes is the room on the disk that the group wants left, in bytes.
	MinFreeBytes uint64
	// Metrics receives the metrics; nil for none.
	Metrics *metrics.Set
	Log     logr.Logger

	once      sync.Once
	proposals chan Proposal
	inbox     chan arrival
	asks      chan ask
	confirms  chan struct{}
	synced    chan outcome
	writes    chan quorum.JournalWrite
	drops     chan uint64
	saves     chan quorum.Snapshot
	full      chan bool
	done      chan struct{}
	notes     *outbox
	meter     *meters

	core      *quorum.Core
	transfers []chan<- error
}

// arrival is a message of another replica, and when it came.
type arrival struct {
	quorum.Message
	at time.Duration
}

// ask is a rare request to the loop.
type ask interface{ ask() }

type (
	compactAsk  struct{ ev quorum.Compact }
	reloadAsk   struct{ done chan<- struct{} }
	transferAsk struct{ done chan<- error }
	dumpAsk     struct{ reply chan<- Dump }
)

func (compactAsk) ask()  {}
func (reloadAsk) ask()   {}
func (transferAsk) ask() {}
func (dumpAsk) ask()     {}

func (g *Group) init() {
	g.once.Do(func() {
		g.proposals = make(chan Proposal, maxProposals)
		g.inbox = make(chan arrival, maxInbox)
		g.asks = make(chan ask)
		g.confirms = make(chan struct{}, 1)
		g.synced = make(chan outcome, 4)
		g.writes = make(chan quorum.JournalWrite, 1)
		g.drops = make(chan uint64, 1)
		g.saves = make(chan quorum.Snapshot, 1)
		g.full = make(chan bool, 1)
		g.done = make(chan struct{})
		g.notes = newOutbox()
		g.meter = newMeters(g.Metrics)
	})
}

// Done is closed when Run has returned.
func (g *Group) Done() <-chan struct{} {
	g.init()
	return g.done
}

// Notifications are what the control thread has to know, in order.
func (g *Group) Notifications() <-chan Notification {
	g.init()
	return g.notes.out
}

// Propose hands over a proposal without blocking; false tells that there was no
// room and that the same proposal has to come again.
func (g *Group) Propose(p Proposal) bool {
	g.init()
	select {
	case g.proposals <- p:
		return true
	default:
		return false
	}
}

// ConfirmLeadership asks for a heartbeat round that begins now or later.
func (g *Group) ConfirmLeadership() {
	g.init()
	select {
	case g.confirms <- struct{}{}:
	default:
	}
}

// Receive takes a message from another replica; from is proved by the caller.
// Messages that find no room are dropped, as if the network had lost them.
func (g *Group) Receive(from string, data []byte) {
	g.init()
	m, err := quorum.DecodeMessage(g.Config.ID, from, data)
	if err != nil {
		g.Log.V(1).Info("message dropped", "from", from, "error", err.Error())
		return
	}
	select {
	case g.inbox <- arrival{m, g.Now()}:
	default:
	}
}

// Compact gives the state after the committed entry at index; the group saves it
// as a snapshot and forgets the log behind it. The caller leaves state alone.
func (g *Group) Compact(index uint64, state []byte) {
	g.put(compactAsk{quorum.Compact{Index: index, State: state}})
}

// Reload asks for a Restore and the Apply notes after it. When it returns, no
// Apply, Commit, Confirmed or Lead note from before is given out any more: they
// would meet a ledger that holds commands which nobody agreed on.
func (g *Group) Reload() {
	done := make(chan struct{})
	if !g.put(reloadAsk{done}) {
		return
	}
	select {
	case <-done:
	case <-g.done:
	}
}

// TransferLeadership returns when this replica does not lead any more, or with an error.
func (g *Group) TransferLeadership(ctx context.Context) error {
	done := make(chan error, 1)
	if !g.put(transferAsk{done}) {
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

// Dump gives the state of the replica.
func (g *Group) Dump() Dump {
	reply := make(chan Dump, 1)
	if !g.put(dumpAsk{reply}) {
		return Dump{Stopped: true}
	}
	select {
	case d := <-reply:
		return d
	case <-g.done:
		return Dump{Stopped: true}
	}
}

// put hands a request to the loop, which never waits for the control thread.
func (g *Group) put(a ask) bool {
	g.init()
	select {
	case g.asks <- a:
		return true
	case <-g.done:
		return false
	}
}

// Dump is the state of a replica for operators.
type Dump struct {
	Stopped bool
	quorum.Status
	// Queued is the number of notes that the control thread has not taken.
	Queued int
}
