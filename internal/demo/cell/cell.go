// Package cell runs all processes of a cell in one Go process. Each control replica, entry
// and fake backend server can be killed, stopped and restarted separately. The demo uses the
// loopback network, and the fault tests use an in-memory network.
package cell

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/settings"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
	"gypsumreel/internal/fake/server"
	"gypsumreel/internal/replica/quorum"
)

// Network connects the processes of a cell.
type Network interface {
	// Listen returns a listener on an address returned by Address.
	Listen(address string) (net.Listener, error)
	// Address returns the address of the named listener. It is the same on each call.
	Address(name string) string
	// Dialer returns the dial function of the named process; nil for TCP.
	Dialer(name string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Cell is a cell in one Go process. The exported fields are set before Start.
type Cell struct {
	Network Network
	// Dir is the folder that holds the data folder of each replica.
	Dir string
	// Replicas, Entries and Servers are the number of processes of each kind.
	Replicas, Entries, Servers int
	// Zones is the number of availability zones over which the backend servers are spread.
	Zones int
	// Capacity is the capacity of each backend server.
	Capacity *v1.Size
	// NewTransport creates a replica's transport for consensus messages; nil for the default.
	NewTransport func(name, id string, receive func(from string, data []byte)) node.Transport
	// ConfigureControl changes the settings of a replica's control thread before it starts;
	// may be nil.
	ConfigureControl func(name string, l *leader.Leader)
	// Recorder records each start and stop of a task; may be nil.
	Recorder *server.Recorder
	// RunTask runs tasks; nil for server.RunScript.
	RunTask server.TaskFunc
	Log     logr.Logger
	// ShutdownDelay is how long an entry continues to serve during a graceful shutdown.
	ShutdownDelay time.Duration

	// OperatorKey is the full key of the first operator, ID and secret. Start sets it.
	OperatorKey string

	ctx             context.Context
	cancel          context.CancelFunc
	operatorSecret  string
	enrolmentSecret string
	mu              sync.Mutex
	processes       map[string]*process
	processErrors   chan error
}

// process is one process of the cell from its start to its end.
type process struct {
	cancel      context.CancelFunc
	abort       chan struct{}
	done        <-chan struct{}
	node        *node.Node
	entry       *entry.Entry
	server      *server.Server
	connections *connTracker
}

// operatorKeyID is the ID of the first operator's key.
const operatorKeyID = "operator"

// Start starts all processes. The replicas initialize a new consensus group.
func (c *Cell) Start(ctx context.Context) error {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.operatorSecret, c.enrolmentSecret = key.NewSecret(), key.NewSecret()
	c.OperatorKey = operatorKeyID + "." + c.operatorSecret
	c.processes = map[string]*process{}
	c.processErrors = make(chan error, 64)
	for _, name := range c.ProcessNames("c", c.Replicas) {
		if err := c.startReplica(name, true); err != nil {
			return err
		}
	}
	for _, name := range c.ProcessNames("e", c.Entries) {
		if err := c.startEntry(name); err != nil {
			return err
		}
	}
	for i, name := range c.ProcessNames("b", c.Servers) {
		c.startServer(name, i)
	}
	return nil
}

// ProcessNames returns the names of n processes: the prefix followed by a number from 1.
func (c *Cell) ProcessNames(prefix string, n int) []string {
	out := make([]string, n)
	for i := range n {
		out[i] = fmt.Sprintf("%s%d", prefix, i+1)
	}
	return out
}

func (c *Cell) members() []quorum.Member {
	var out []quorum.Member
	for _, name := range c.ProcessNames("c", c.Replicas) {
		out = append(out, quorum.Member{ID: name, Address: c.Network.Address(name)})
	}
	return out
}

// Node returns the node that the named replica last started.
func (c *Cell) Node(name string) *node.Node { return c.process(name).node }

// Entry returns the entry that the named process last started.
func (c *Cell) Entry(name string) *entry.Entry { return c.process(name).entry }

// Server returns the fake server that the named backend server last started.
func (c *Cell) Server(name string) *server.Server { return c.process(name).server }

func (c *Cell) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func (c *Cell) runProcess(name string, p *process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(c.ctx)
	p.cancel = cancel
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	go func() {
		if err := run(ctx); err != nil && ctx.Err() == nil {
			select {
			case c.processErrors <- errors.Wrap(err, name):
			default:
			}
		}
	}()
}

// ProcessErrors returns a channel of the errors of processes that ended unexpectedly.
func (c *Cell) ProcessErrors() <-chan error { return c.processErrors }

func (c *Cell) startReplica(name string, initCell bool) error {
	l, err := c.Network.Listen(c.Network.Address(name))
	if err != nil {
		return err
	}
	p := &process{abort: make(chan struct{}), connections: &connTracker{Listener: l}}
	digest := key.Digest(c.operatorSecret)
	n := &node.Node{
		Cell: "demo", Name: name, DataDir: filepath.Join(c.Dir, name), InitCell: initCell,
		Listener: p.connections, Address: c.Network.Address(name), Replicas: c.members(),
		RootKey: &v1.KeyGrant{Id: operatorKeyID, Operator: true, Digest: digest[:]},
		Dial:    c.Network.Dialer(name), Abort: p.abort, Log: c.Log.WithValues("process", name), Control: leader.New(),
		MaxElectionTimeout: settings.PatienceFactor * quorum.DefaultElectionTimeout,
	}
	if c.NewTransport != nil {
		n.NewTransport = func(id string, receive func(from string, data []byte)) node.Transport {
			return c.NewTransport(name, id, receive)
		}
	}
	if c.ConfigureControl != nil {
		c.ConfigureControl(name, n.Control)
	}
	p.node, p.done = n, n.Done()
	c.runProcess(name, p, n.Run)
	return nil
}

func (c *Cell) startEntry(name string) error {
	p := &process{abort: make(chan struct{}), connections: &connTracker{}}
	digest := key.Digest(c.enrolmentSecret)
	e := &entry.Entry{
		Cell: "demo", Name: name, EnrolmentDigests: []backend.Digest{digest}, Dial: c.Network.Dialer(name),
		Abort: p.abort, ShutdownDelay: c.ShutdownDelay, Log: c.Log.WithValues("process", name),
	}
	for _, m := range c.members() {
		e.ControlReplicas = append(e.ControlReplicas, control.Replica{Name: m.ID, Address: m.Address})
	}
	for _, l := range []struct {
		clientKind string
		listener   *net.Listener
	}{{"callers", &e.CallerListener}, {"backends", &e.BackendListener}, {"operators", &e.OperatorListener}} {
		listener, err := c.Network.Listen(c.Network.Address(name + "-" + l.clientKind))
		if err != nil {
			return err
		}
		*l.listener = p.connections.track(listener)
	}
	p.entry, p.done = e, e.Done()
	c.runProcess(name, p, e.Run)
	return nil
}

func (c *Cell) startServer(name string, index int) {
	s := &server.Server{
		Name: name, Secret: c.enrolmentSecret, Capacity: c.Capacity, Rack: fmt.Sprintf("r%d", index/c.Zones/2), Zone: fmt.Sprintf("z%d", index%c.Zones),
		Recorder: c.Recorder, RunTask: c.RunTask, Log: c.Log.WithValues("process", name),
	}
	for _, e := range c.ProcessNames("e", c.Entries) {
		s.EntryClients = append(s.EntryClients, server.NewEntryClient(c.Network.Address(e+"-backends"), nil, c.Network.Dialer(name)))
	}
	p := &process{abort: make(chan struct{}), server: s, done: s.Done()}
	c.runProcess(name, p, s.Run)
}

// Kill ends a process like a crash. Its connections break and no work is completed.
func (c *Cell) Kill(name string) {
	p := c.process(name)
	close(p.abort)
	if p.connections != nil {
		p.connections.closeAll()
	}
	p.cancel()
	<-p.done
}

// Stop ends a process by a graceful shutdown.
func (c *Cell) Stop(name string) {
	p := c.process(name)
	p.cancel()
	<-p.done
}

// Restart starts a killed or stopped process again.
func (c *Cell) Restart(name string) error {
	switch name[0] {
	case 'c':
		return c.startReplica(name, false)
	case 'e':
		return c.startEntry(name)
	}
	var i int
	_, _ = fmt.Sscanf(name, "b%d", &i)
	c.startServer(name, i-1)
	return nil
}

// Leader returns the name of the leader and whether there is one.
func (c *Cell) Leader() (string, bool) {
	for _, name := range c.ProcessNames("c", c.Replicas) {
		p := c.process(name)
		select {
		case <-p.done:
			continue
		default:
		}
		if p.node.Control.Status().Leads {
			return name, true
		}
	}
	return "", false
}

// Close kills all processes and waits until they have ended.
func (c *Cell) Close() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		select {
		case <-p.abort:
		default:
			close(p.abort)
		}
	}
	c.cancel()
	for _, p := range processes {
		if p.connections != nil {
			p.connections.closeAll()
		}
		<-p.done
	}
}
