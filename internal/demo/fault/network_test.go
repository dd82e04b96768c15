package fault_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gypsumreel/internal/control/node"
	"gypsumreel/internal/fake/relay"
)

// network is a network in memory with a relay on each link, so that a test can
// break any of them.
type network struct {
	ctx    context.Context
	memory relay.Memory
	mu     sync.Mutex
	links  map[[2]string]*relay.Relay
	// fates are those of processes that were cut off: links made later share them.
	fates map[string]bool
	wires map[string]func(from string, data []byte)
	// deaf and mute hold the replicas that hear, or are heard by, no other one.
	deaf, mute map[string]bool
}

func newNetwork(ctx context.Context) *network {
	return &network{
		ctx: ctx, links: map[[2]string]*relay.Relay{}, fates: map[string]bool{},
		wires: map[string]func(string, []byte){}, deaf: map[string]bool{}, mute: map[string]bool{},
	}
}

// Address names a listener with the port that HTTP clients want to see.
func (n *network) Address(name string) string { return name + ":1" }

// Listen returns the listener of an address.
func (n *network) Listen(address string) (net.Listener, error) { return n.memory.Listen(address), nil }

// Dialer returns how a process opens connections: through its own relay to each address.
func (n *network) Dialer(name string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.link(name, address)
		return n.memory.Dial(ctx, network, name+">"+address)
	}
}

func (n *network) link(from, to string) *relay.Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	if r := n.links[key]; r != nil {
		return r
	}
	r := &relay.Relay{Listener: n.memory.Listen(from + ">" + to), Dial: n.memory.To(to)}
	n.links[key] = r
	go func() { _ = r.Run(n.ctx) }()
	if n.fates[from] || n.fates[owner(to)] {
		r.Set(relay.Up, relay.Lose)
		r.Set(relay.Down, relay.Lose)
	}
	return r
}

// owner returns the process that listens at an address.
func owner(address string) string {
	name, _, _ := strings.Cut(address, ":")
	name, _, _ = strings.Cut(name, "-")
	return name
}

// each calls fn for every link that a process has part in.
func (n *network) each(name string, fn func(*relay.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, r := range n.links {
		if k[0] == name || owner(k[1]) == name {
			fn(r)
		}
	}
}

// cut makes every link of a process lose everything, silently.
func (n *network) cut(name string) {
	n.mu.Lock()
	n.fates[name], n.deaf[name], n.mute[name] = true, true, true
	n.mu.Unlock()
	n.each(name, func(r *relay.Relay) { r.Set(relay.Up, relay.Lose); r.Set(relay.Down, relay.Lose) })
}

// hold keeps every byte of a process back, as when the process is paused.
func (n *network) hold(name string) {
	n.mu.Lock()
	n.deaf[name], n.mute[name] = true, true
	n.mu.Unlock()
	n.each(name, func(r *relay.Relay) { r.Set(relay.Up, relay.Hold); r.Set(relay.Down, relay.Hold) })
}

// silence lets a replica hear the others and be heard by none, or the other way round.
func (n *network) silence(name string, heard bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if heard {
		n.deaf[name] = true
		return
	}
	n.mute[name] = true
}

// forget makes the open connections of a process silent for good; new ones work.
func (n *network) forget(name string) {
	n.each(name, func(r *relay.Relay) { r.Forget(relay.Up, relay.Down) })
}

// heal ends every fault of a process's links.
func (n *network) heal(name string) {
	n.mu.Lock()
	delete(n.fates, name)
	delete(n.deaf, name)
	delete(n.mute, name)
	n.mu.Unlock()
	n.each(name, func(r *relay.Relay) {
		r.Set(relay.Up, relay.Pass)
		r.Set(relay.Down, relay.Pass)
	})
}

// wire is a replica's way to the others.
type wire struct {
	n    *network
	name string
	id   string
}

func (n *network) wire(name, id string, receive func(string, []byte)) node.Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wires[id] = receive
	return &wire{n: n, name: name, id: id}
}

// latency is the time that a consensus message takes.
const latency = time.Millisecond

func (w *wire) Send(to, _ string, data [][]byte) {
	peer, _, _ := strings.Cut(to, "/")
	w.n.mu.Lock()
	lost := w.n.mute[w.name] || w.n.deaf[peer]
	receive := w.n.wires[to]
	w.n.mu.Unlock()
	if lost || receive == nil {
		return
	}
	time.AfterFunc(latency, func() {
		for _, d := range data {
			receive(w.id, d)
		}
	})
}

func (w *wire) Handler() http.Handler { return http.NotFoundHandler() }

func (w *wire) Close() {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	delete(w.n.wires, w.id)
}
