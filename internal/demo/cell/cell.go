// Package cell runs a whole cell in one process: control replicas, entries and
// fake backend servers, which can be killed, stopped and started again one by
// one. The demo runs it on loopback, the fault tests on a network in memory.
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
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
	"gypsumreel/internal/fake/server"
	"gypsumreel/internal/replica/quorum"
)

// Network is what the processes of a cell talk over.
type Network interface {
	// Listen returns a listener at the address that Address gave for the name.
	Listen(address string) (net.Listener, error)
	// Address returns the address of a named listener, the same at each call.
	Address(name string) string
	// Dialer returns how the process of that name opens connections; nil for TCP.
	Dialer(name string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Cell is a cell in one process. The exported fields are set before Start.
type Cell struct {
	Network Network
	// Dir holds the replicas' data folders.
	Dir string
	// Replicas, Entries and Servers are the numbers of processes.
	Replicas, Entries, Servers int
	// Zones is the number of availability zones that all are spread over.
	Zones int
	// Capacity is that of each backend server.
	Capacity *v1.Size
	// Transport makes a replica's way to the others.
	Transport func(name, id string, receive func(from string, data []byte)) node.Transport
	// ConfigureControl lets a test change a replica's control thread before it runs; may be nil.
	ConfigureControl func(name string, l *leader.Leader)
	// Recorder is told of all starts and stops.
	Recorder *server.Recorder
	// Work runs tasks; nil for server.Obey.
	Work server.Work
	Log  logr.Logger
	// Linger is the time that a stopping entry serves on.
	Linger time.Duration

	// OperatorKey is the first operator's key, as it is presented.
	OperatorKey string

	ctx             context.Context
	cancel          context.CancelFunc
	operatorSecret  string
	enrolmentSecret string
	mu              sync.Mutex
	processes       map[string]*process
	processErrors   chan error
}

// process is one run of a process.
type process struct {
	cancel      context.CancelFunc
	abort       chan struct{}
	done        <-chan struct{}
	node        *node.Node
	entry       *entry.Entry
	server      *server.Server
	connections *connTracker
}

// operatorKeyID is the id of the first operator's key.
const operatorKeyID = "operator"

// Start runs all processes; the replicas found a new group.
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

// ProcessNames returns the names of n processes of a sort.
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

// Node returns the latest run of a replica.
func (c *Cell) Node(name string) *node.Node { return c.process(name).node }

// Entry returns the latest run of an entry.
func (c *Cell) Entry(name string) *entry.Entry { return c.process(name).entry }

// Server returns the latest run of a backend server.
func (c *Cell) Server(name string) *server.Server { return c.process(name).server }

func (c *Cell) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func (c *Cell) runProcess(name string, p *process, run func(context.Context) error) {
	ctx, stop := context.WithCancel(c.ctx)
	p.cancel = stop
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

// ProcessErrors gives the errors of processes that ended without being told to.
func (c *Cell) ProcessErrors() <-chan error { return c.processErrors }

func (c *Cell) startReplica(name string, foundGroup bool) error {
	l, err := c.Network.Listen(c.Network.Address(name))
	if err != nil {
		return err
	}
	p := &process{abort: make(chan struct{}), connections: &connTracker{Listener: l}}
	digest := key.Digest(c.operatorSecret)
	n := &node.Node{
		Cell: "demo", Name: name, Data: filepath.Join(c.Dir, name), Init: foundGroup,
		Listener: p.connections, Address: c.Network.Address(name), Replicas: c.members(),
		Root: &v1.KeyGrant{Id: operatorKeyID, Operator: true, Digest: digest[:]},
		Dial: c.Network.Dialer(name), Abort: p.abort, Log: c.Log.WithValues("process", name), Control: leader.New(),
	}
	if c.Transport != nil {
		n.Transport = func(id string, receive func(from string, data []byte)) node.Transport {
			return c.Transport(name, id, receive)
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
		Cell: "demo", Name: name, Enrolment: []backend.Digest{digest}, Dial: c.Network.Dialer(name),
		Abort: p.abort, Linger: c.Linger, Log: c.Log.WithValues("process", name),
	}
	for _, m := range c.members() {
		e.Replicas = append(e.Replicas, control.Replica{Name: m.ID, Address: m.Address})
	}
	for _, l := range []struct {
		peer string
		to   *net.Listener
	}{{"callers", &e.Callers}, {"backends", &e.Backends}, {"operators", &e.Operators}} {
		raw, err := c.Network.Listen(c.Network.Address(name + "-" + l.peer))
		if err != nil {
			return err
		}
		*l.to = p.connections.track(raw)
	}
	p.entry, p.done = e, e.Done()
	c.runProcess(name, p, e.Run)
	return nil
}

func (c *Cell) startServer(name string, i int) {
	s := &server.Server{
		Name: name, Secret: c.enrolmentSecret, Capacity: c.Capacity, Rack: fmt.Sprintf("r%d", i/c.Zones/2), Zone: fmt.Sprintf("z%d", i%c.Zones),
		Recorder: c.Recorder, Work: c.Work, Log: c.Log.WithValues("process", name),
	}
	for _, e := range c.ProcessNames("e", c.Entries) {
		s.Entries = append(s.Entries, server.NewEntry(c.Network.Address(e+"-backends"), nil, c.Network.Dialer(name)))
	}
	p := &process{abort: make(chan struct{}), server: s, done: s.Done()}
	c.runProcess(name, p, s.Run)
}

// Kill ends a process as a crash does: its connections break, nothing is finished.
func (c *Cell) Kill(name string) {
	p := c.process(name)
	close(p.abort)
	if p.connections != nil {
		p.connections.closeAll()
	}
	p.cancel()
	<-p.done
}

// Stop ends a process as planned.
func (c *Cell) Stop(name string) {
	p := c.process(name)
	p.cancel()
	<-p.done
}

// Restart starts a process again that was killed or stopped.
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

// Leader returns the name of the replica that leads, if one does.
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

// Close ends all processes at once and waits for them.
func (c *Cell) Close() {
	c.mu.Lock()
	procs := c.processes
	c.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.abort:
		default:
			close(p.abort)
		}
	}
	c.cancel()
	for _, p := range procs {
		if p.connections != nil {
			p.connections.closeAll()
		}
		<-p.done
	}
}
