// Package node assembles the control daemon from its components: the replica's
// storage, its consensus group, the control thread, and the services for entries and
// other replicas.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
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
	"gypsumreel/internal/base/ingress"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/control/entry"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/member"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// DefaultTransferTimeout is the default time limit for a transfer of the leadership.
const DefaultTransferTimeout = 5 * time.Second

// headerTimeout is the maximum time for reading the header of a request.
const headerTimeout = 5 * time.Second

// controlStopTimeout is how long a stop waits for the control thread to end its turn. A planned stop
// has to end before its supervisor kills the process.
const controlStopTimeout = 2 * time.Second

// ErrJournalMissing is returned when a replica has an identity but no journal. Without
// the journal the replica does not know its vote and could vote twice in a term.
var ErrJournalMissing = errors.New("the journal is missing but the identity exists; empty the data folder and add this replica as a new member")

// Node is the control daemon. The exported fields must be set before Run.
type Node struct {
	Cell string
	Name string
	// DataDir is the folder of all persistent data.
	DataDir string
	// InitCell is true if the replica founds a new cell together with the others.
	InitCell bool
	// Listener accepts connections from entries and other replicas.
	Listener net.Listener
	// ProbeListener accepts health, readiness and metrics requests; nil disables
	// them.
	ProbeListener net.Listener
	// ProbeTLS is the TLS configuration of ProbeListener; nil means plain text.
	ProbeTLS *tls.Config
	// Gates hold the accounts of what the clients of the listeners make the process hold.
	Gates ingress.Gates
	// Address is the address at which other processes reach this replica.
	Address string
	// Replicas are all configured control replicas, including this one. Their IDs are
	// names without a nonce.
	Replicas []quorum.Member
	// ServerTLS is the TLS configuration of Listener; nil means plain text.
	ServerTLS *tls.Config
	// ClientTLS is the TLS configuration of calls to other replicas during the
	// founding; nil means plain text.
	ClientTLS *tls.Config
	// PeerTLS is the TLS configuration of consensus messages between replicas, for
	// both ends; nil means plain text.
	PeerTLS *tls.Config
	// RootKey is the key of the first operator.
	RootKey *v1.KeyGrant
	// Control is the control thread. Run sets its remaining fields. Nil means a new
	// one with default settings.
	Control            *leader.Leader
	HeartbeatInterval  time.Duration
	ElectionTimeout    time.Duration
	MaxElectionTimeout time.Duration
	// TransferTimeout limits a leadership transfer; 0 means DefaultTransferTimeout.
	TransferTimeout time.Duration
	// Clock is the monotonic clock that all components share. A daemon uses
	// clock.Boot, which includes the time in which the machine is suspended. Nil
	// means Go's monotonic clock, which tests replace by virtual time.
	Clock func() time.Duration
	// InitialMembers are the identities that found a new cell, if they are known in
	// advance. Without them the replicas agree on the members among themselves. A
	// replica that is not listed waits until it is added to the group.
	InitialMembers []quorum.Member
	// NonceSource provides the random bytes of a new identity; nil means crypto/rand.
	NonceSource io.Reader
	// MinFreeBytes is the disk space to keep free; 0 means the default of package
	// group.
	MinFreeBytes uint64
	// AddRoutes registers additional services on Listener; it may be nil.
	AddRoutes func(mux *http.ServeMux)
	// TellStood tells the replicas at the addresses what a turn of this leader worked on that did not
	// end; it may be nil. It must return when ctx ends.
	TellStood func(ctx context.Context, subject fmt.Stringer, addresses []string)
	// NewTransport creates the transport to the other replicas, which passes received
	// messages to receive. Nil means that of package peer.
	NewTransport func(id string, receive func(from string, data []byte)) Transport
	// WrapJournal returns the journal that the group writes to; nil means the one of the data folder.
	WrapJournal func(group.Journal) group.Journal
	// Dial opens connections to other replicas during the founding; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Abort cancels a pending leadership transfer when it is closed, for example on
	// a second signal to stop.
	Abort <-chan struct{}
	// MaxDumpBytes is the maximum size of a state dump; 0 means the default of
	// package dump.
	MaxDumpBytes int
	Log          logr.Logger

	initOnce sync.Once
	done     chan struct{}
	group    atomic.Pointer[group.Group]
	// selfID holds the ID of this replica as a string.
	selfID atomic.Value

	entryService atomic.Pointer[entry.Server]
	metrics      *metrics.Set
	logLimiter   event.RateLimiter
}

// Transport sends and receives consensus messages until Close is called.
type Transport interface {
	group.Transport
	Handler() http.Handler
	Close()
}

func (n *Node) init() {
	n.initOnce.Do(func() {
		if n.Clock == nil {
			startedAt := time.Now()
			n.Clock = func() time.Duration { return time.Since(startedAt) }
		}
		n.done = make(chan struct{})
		n.metrics = metrics.NewSet()
		if n.Control == nil {
			n.Control = leader.New()
		}
		if n.TransferTimeout == 0 {
			n.TransferTimeout = DefaultTransferTimeout
		}
	})
}

// Done returns a channel that is closed when Run returns.
func (n *Node) Done() <-chan struct{} { n.init(); return n.done }

// now returns the time on the clock that the group and the control thread share. It
// is above zero, because a time of zero means never.
func (n *Node) now() time.Duration { return n.Clock() + time.Hour }

// Now returns the time on the clock that all components of the daemon share.
func (n *Node) Now() time.Duration { n.init(); return n.now() }

// Metrics returns the metrics of the daemon.
func (n *Node) Metrics() *metrics.Set { n.init(); return n.metrics }

// Self returns the ID of this replica as NAME/NONCE. It is empty until Run has loaded
// the identity.
func (n *Node) Self() string {
	id, _ := n.selfID.Load().(string)
	return id
}

// Run runs the daemon until ctx ends, then transfers the leadership and stops. It
// returns an error if this replica cannot continue. The error text says what the
// operator can do.
func (n *Node) Run(ctx context.Context) (err error) {
	n.init()
	defer close(n.done)
	lock, err := member.AcquireLock(n.DataDir)
	if err != nil {
		return err
	}
	defer func() {
		if errors.Is(err, group.ErrDiskStands) {
			// The write may end at any time, so no other process may open the journal before
			// this one has ended.
			err = errors.CombineErrors(err, lock.KeepUntilExit())
		}
		_ = lock.Release()
	}()
	store := snapshot.Store{Dir: filepath.Join(n.DataDir, "snapshot")}
	state, err := loadSnapshot(store)
	if err != nil {
		return n.logCorruption(event.SnapshotDamaged, err)
	}
	log, recovered, err := n.openJournal()
	if err != nil {
		return n.logCorruption(event.JournalDamaged, err)
	}
	// The identity is created after the journal. An existing identity therefore
	// proves that the journal existed, too.
	self, isNew, err := n.loadIdentity()
	if err != nil {
		return err
	}
	if recovered.New && !isNew {
		_ = log.Close()
		return ErrJournalMissing
	}
	n.selfID.Store(self.ID)
	state.HardState, state.Entries = recovered.HardState, recovered.Entries
	return n.serve(ctx, self, replicaData{journal: log, snapshots: store, state: state})
}

// openJournal opens the journal of the replica and recovers its content.
func (n *Node) openJournal() (*journal.Journal, journal.Recovered, error) {
	postponedRolls := n.metrics.GetOrCreateCounter(meter.Name("control", "segments_put_off_total"))
	return journal.Config{OnRollPostponed: func(err error) {
		postponedRolls.Inc()
		event.LogError(n.Log, event.StoragePutOff, err, "what", "segment")
	}}.Open(filepath.Join(n.DataDir, "journal"))
}

func loadSnapshot(store snapshot.Store) (quorum.PersistedState, error) {
	meta, data, err := store.Load()
	if err != nil {
		return quorum.PersistedState{}, err
	}
	return quorum.PersistedState{Snapshot: quorum.Snapshot{Index: meta.Index, Term: meta.Term, Members: meta.Members, State: data}}, nil
}

// loadIdentity returns the identity of this replica and whether it was newly created.
func (n *Node) loadIdentity() (quorum.Member, bool, error) {
	store := member.Store{Dir: n.DataDir}
	id, err := store.Load(n.Cell, n.Name)
	isNew := errors.Is(err, member.ErrNoIdentity)
	if isNew {
		nonce := n.NonceSource
		if nonce == nil {
			nonce = rand.Reader
		}
		id, err = store.Create(n.Cell, n.Name, nonce)
	}
	return quorum.Member{ID: id.ID(), Address: n.Address}, isNew, err
}

// replicaData is the content of a replica's data folder.
type replicaData struct {
	journal   *journal.Journal
	snapshots snapshot.Store
	state     quorum.PersistedState
}

// serve runs all components until ctx ends or one of them fails.
func (n *Node) serve(ctx context.Context, self quorum.Member, data replicaData) (err error) {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts := n.assemble(self, data)
	defer parts.transport.Close()
	failures := make(chan error, 6) // one for each component
	var wg sync.WaitGroup
	controlDone := closedChannel()
	defer func() { n.waitForControl(controlDone) }()
	defer func() {
		wg.Wait()
		err = withStandingDisk(err, failures)
	}()
	defer stop()
	defer func() { _ = parts.httpServer.Close() }()
	run := func(component string, fn func() error) {
		wg.Go(func() {
			if err := fn(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failures <- errors.Wrap(err, component)
			}
		})
	}
	run("listen", func() error { return serveListener(parts.httpServer, n.Listener) })
	if n.ProbeListener != nil {
		probeServer := n.newHTTPServer(n.Gates.Clients, n.Gates.Clients.Track(0, n.probeHandler()), n.ProbeTLS)
		defer func() { _ = probeServer.Close() }()
		run("platform", func() error { return serveListener(probeServer, n.ProbeListener) })
	}
	if err := n.learnMembers(ctx, parts, self, data.state); err != nil {
		if ctx.Err() != nil {
			return nil // planned stop while waiting for the other replicas
		}
		return err
	}
	run("group", func() error { return parts.group.Run(runCtx) })
	controlDone = n.Control.Done()
	go func() { // not waited for with the others, since it may stand
		if err := n.Control.Run(runCtx); err != nil {
			failures <- errors.Wrap(err, "control")
		}
	}()
	run("watch", func() error { return n.monitor(runCtx) })
	run("turns", func() error { return n.watchTurns(runCtx) })
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
		event.Log(n.Log, event.StopBegun, "handover", n.TransferTimeout.String())
		n.transferBeforeStop()
		return nil
	}
}

// withStandingDisk returns the result of serve, which tells if the disk stood during the stop.
func withStandingDisk(result error, failures <-chan error) error {
	for {
		select {
		case err := <-failures:
			switch {
			case !errors.Is(err, group.ErrDiskStands):
			case result == nil:
				result = err
			default:
				result = errors.Mark(result, group.ErrDiskStands)
			}
		default:
			return result
		}
	}
}

// waitForControl waits for the end of the control thread, but not for one that stands.
func (n *Node) waitForControl(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(controlStopTimeout):
		n.Log.Info("the control thread did not stop in time")
	}
}

func closedChannel() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// readiness returns nil while a leader is known. Otherwise it returns an error that
// tells the operator how to add a new replica to the group.
func (n *Node) readiness() error {
	st := n.Control.Status()
	if st.Leads || st.Leader != "" {
		return nil
	}
	return errors.Newf("no leader is known to %s; if it is new, run: gypsumreel member add %s %s", n.selfID.Load(), n.selfID.Load(), n.Address)
}

// transferFromFullDisk transfers the leadership to another replica because the disk of this
// one is full.
func (n *Node) transferFromFullDisk(g *group.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), n.TransferTimeout)
	defer cancel()
	if err := g.TransferLeadership(ctx); err == nil {
		event.Log(n.Log, event.LeaderTransferred, "cause", "the disk is full")
	}
}

// transferBeforeStop transfers the leadership to another replica before a planned
// stop, so that requests wait for one round trip instead of an election.
func (n *Node) transferBeforeStop() {
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
	startedAt := n.now()
	switch err := n.group.Load().TransferLeadership(ctx); {
	case err == nil:
		event.Log(n.Log, event.LeaderTransferred, "took", (n.now() - startedAt).String())
	case !errors.Is(err, group.ErrNoOtherVoter):
		n.Log.Info("leadership was not transferred before the stop", "cause", err.Error())
	}
}
