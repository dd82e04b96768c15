// Package node assembles the control daemon: the replica's disk, its consensus
// group, the control thread, and the services for entries and other replicas.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/control/entry"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/member"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// DefaultTransferTimeout bounds the handing over of the lead at a planned stop.
const DefaultTransferTimeout = 5 * time.Second

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// ErrJournalMissing ends a replica that has its identity and no journal: it has
// forgotten for whom it voted, and would vote a second time under its old name.
var ErrJournalMissing = errors.New("the journal is gone and the identity is not; empty the data folder and add this replica as a new member")

// Node is the control daemon. The exported fields are set before Run.
type Node struct {
	Cell string
	Name string
	// DataDir is the folder of everything that must last.
	DataDir string
	// InitCell founds a new cell together with the other replicas.
	InitCell bool
	// Listener takes entries and other replicas.
	Listener net.Listener
	// ProbeListener takes the platform's probes; nil for none.
	ProbeListener net.Listener
	// ProbeTLS secures Platform; nil for plain text.
	ProbeTLS *tls.Config
	// Address is where the others reach this replica.
	Address string
	// Replicas are all control replicas of the settings, by name; this one among them.
	Replicas []quorum.Member
	// ServerTLS and Client secure connections inside the cell; nil for plain ones.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// PeerTLS secures the way between replicas, for both ends; nil for plain text.
	PeerTLS *tls.Config
	// RootKey is the first operator's key.
	RootKey *v1.KeyGrant
	// Control is the control thread, set up but for what Run adds.
	Control            *leader.Leader
	HeartbeatInterval  time.Duration
	ElectionTimeout    time.Duration
	MaxElectionTimeout time.Duration
	TransferTimeout    time.Duration
	// Clock is the clock that the parts share: that of package clock in a daemon,
	// since it counts suspensions. Nil for the language's steady clock, which
	// tests run on virtual time.
	Clock func() time.Duration
	// InitialMembers are the identities that found a new cell, when they are known
	// beforehand; without them the replicas ask each other. A replica that is
	// not among them waits to be taken in.
	InitialMembers []quorum.Member
	// NonceSource is where the identity of a blank disk is drawn from; nil for chance.
	NonceSource io.Reader
	// MinFreeBytes is the room on the disk that is kept free, in bytes; 0 for the default.
	MinFreeBytes uint64
	// AddRoutes adds services to the one for entries and other replicas; nil for none.
	AddRoutes func(mux *http.ServeMux)
	// NewTransport makes the way to the other replicas; receive takes what they
	// send. Nil for package peer.
	NewTransport func(id string, receive func(from string, data []byte)) Transport
	// Dial opens connections to other replicas at the founding; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Abort ends a planned stop at once when closed: the second signal.
	Abort <-chan struct{}
	// MaxDumpBytes bounds a dump in bytes; 0 for the default of package dump.
	MaxDumpBytes int
	Log          logr.Logger

	once  sync.Once
	done  chan struct{}
	group atomic.Pointer[group.Group]
	self  atomic.Value

	service atomic.Pointer[entry.Server]
	meters  *metrics.Set
	limit   event.RateLimiter
}

// Transport carries consensus messages until Close.
type Transport interface {
	group.Transport
	Handler() http.Handler
	Close()
}

func (n *Node) init() {
	n.once.Do(func() {
		if n.Clock == nil {
			begin := time.Now()
			n.Clock = func() time.Duration { return time.Since(begin) }
		}
		n.done = make(chan struct{})
		n.meters = metrics.NewSet()
		if n.Control == nil {
			n.Control = leader.New()
		}
		if n.TransferTimeout == 0 {
			n.TransferTimeout = DefaultTransferTimeout
		}
	})
}

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { n.init(); return n.done }

// now is the time on the clock that group and control thread share. It is above
// zero, so that zero can mean never.
func (n *Node) now() time.Duration { return n.Clock() + time.Hour }

// Now returns the time on the clock that the parts of the daemon share.
func (n *Node) Now() time.Duration { n.init(); return n.now() }

// Metrics returns the set of the daemon's metrics.
func (n *Node) Metrics() *metrics.Set { n.init(); return n.meters }

// Self returns NAME/NONCE of this replica; empty before Run has read its disk.
func (n *Node) Self() string {
	id, _ := n.self.Load().(string)
	return id
}

// Run serves until ctx ends, then hands the lead over and stops. An error means
// that this replica cannot go on, with the way out in its text.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	defer close(n.done)
	lock, err := member.AcquireLock(n.DataDir)
	if err != nil {
		return err
	}
	defer func() { _ = lock.Release() }()
	store := snapshot.Store{Dir: filepath.Join(n.DataDir, "snapshot")}
	saved, err := load(store)
	if err != nil {
		return n.damaged(event.SnapshotDamaged, err)
	}
	log, recovered, err := n.journal()
	if err != nil {
		return n.damaged(event.JournalDamaged, err)
	}
	// The identity is made after the journal, so that one that is there shows
	// that the journal was, too.
	self, fresh, err := n.identity()
	if err != nil {
		return err
	}
	if recovered.New && !fresh {
		_ = log.Close()
		return ErrJournalMissing
	}
	n.self.Store(self.ID)
	saved.HardState, saved.Entries = recovered.HardState, recovered.Entries
	return n.serve(ctx, self, disks{journal: log, snapshots: store, saved: saved})
}

// journal opens the replica's journal.
func (n *Node) journal() (*journal.Journal, journal.Recovered, error) {
	put := n.meters.GetOrCreateCounter(meter.Name("control", "segments_put_off_total"))
	return journal.Config{OnRollPostponed: func(err error) {
		put.Inc()
		event.LogError(n.Log, event.StoragePutOff, err, "what", "segment")
	}}.Open(filepath.Join(n.DataDir, "journal"))
}

func load(store snapshot.Store) (quorum.PersistedState, error) {
	meta, data, err := store.Load()
	if err != nil {
		return quorum.PersistedState{}, err
	}
	return quorum.PersistedState{Snapshot: quorum.Snapshot{Index: meta.Index, Term: meta.Term, Members: meta.Members, State: data}}, nil
}

// identity returns this replica's own, and whether its disk is blank.
func (n *Node) identity() (quorum.Member, bool, error) {
	store := member.Store{Dir: n.DataDir}
	id, err := store.Load(n.Cell, n.Name)
	fresh := errors.Is(err, member.ErrNoIdentity)
	if fresh {
		nonce := n.NonceSource
		if nonce == nil {
			nonce = rand.Reader
		}
		id, err = store.Create(n.Cell, n.Name, nonce)
	}
	return quorum.Member{ID: id.ID(), Address: n.Address}, fresh, err
}

// disks is what a replica found in its data folder.
type disks struct {
	journal   *journal.Journal
	snapshots snapshot.Store
	saved     quorum.PersistedState
}

// serve runs all parts until ctx ends or one of them fails.
func (n *Node) serve(ctx context.Context, self quorum.Member, d disks) error {
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	a := n.assemble(self, d)
	defer a.transport.Close()
	faults := make(chan error, 5)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	defer func() { _ = a.server.Close() }()
	run := func(what string, fn func() error) {
		wg.Go(func() {
			if err := fn(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				faults <- errors.Wrap(err, what)
			}
		})
	}
	run("listen", func() error { return listen(a.server, n.Listener) })
	if n.ProbeListener != nil {
		probes := n.server(n.probes(), n.ProbeTLS)
		defer func() { _ = probes.Close() }()
		run("platform", func() error { return listen(probes, n.ProbeListener) })
	}
	if err := n.found(ctx, a, self, d.saved); err != nil {
		if ctx.Err() != nil {
			return nil // stopped as planned while it waited for the others
		}
		return err
	}
	run("group", func() error { return a.group.Run(running) })
	run("control", func() error { return n.Control.Run(running) })
	run("watch", func() error { return n.watch(running) })
	select {
	case err := <-faults:
		return err
	case <-ctx.Done():
		event.Log(n.Log, event.StopBegun, "handover", n.TransferTimeout.String())
		n.handOver()
		return nil
	}
}

// ready returns nil while a leader is known. A replica that belongs to no group
// yet says what its operator has to do.
func (n *Node) ready() error {
	st := n.Control.Status()
	if st.Leads || st.Leader != "" {
		return nil
	}
	return errors.Newf("no leader is known to %s; if it is new, run: gypsumreel member add %s %s", n.self.Load(), n.self.Load(), n.Address)
}

// yield hands the lead over, when another can take it.
func (n *Node) yield(g *group.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), n.TransferTimeout)
	defer cancel()
	if err := g.TransferLeadership(ctx); err == nil {
		event.Log(n.Log, event.LeaderTransferred, "cause", "the disk is full")
	}
}

// handOver gives the lead to another replica before a planned stop, so that
// requests wait for one round trip and not for an election.
func (n *Node) handOver() {
	if !n.Control.Status().Leads {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.TransferTimeout)
	defer cancel()
	go func() {
		select {
		case <-n.Abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	begin := n.now()
	switch err := n.group.Load().TransferLeadership(ctx); {
	case err == nil:
		event.Log(n.Log, event.LeaderTransferred, "took", (n.now() - begin).String())
	case !errors.Is(err, group.ErrNoOtherVoter):
		n.Log.Info("the lead was not handed over", "cause", err.Error())
	}
}
