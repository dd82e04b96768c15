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
	memory relay.MemoryNetwork
	mu     sync.Mutex
	links  map[[2]string]*relay.Relay
	// isolated are those of processes that were cut off: links made later share them.
	isolated  map[string]bool
	receivers map[string]func(from string, data []byte)
	// inboundBlocked and mute hold the replicas that hear, or are heard by, no other one.
	inboundBlocked, outboundBlocked map[string]bool
}

func newNetwork(ctx context.Context) *network {
	return &network{
		ctx: ctx, links: map[[2]string]*relay.Relay{}, isolated: map[string]bool{},
		receivers: map[string]func(string, []byte){}, inboundBlocked: map[string]bool{}, outboundBlocked: map[string]bool{},
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
	r := &relay.Relay{Listener: n.memory.Listen(from + ">" + to), Dial: n.memory.DialerTo(to)}
	n.links[key] = r
	go func() { _ = r.Run(n.ctx) }()
	if n.isolated[from] || n.isolated[listeningProcess(to)] {
		r.SetMode(relay.Upstream, relay.Drop)
		r.SetMode(relay.Downstream, relay.Drop)
	}
	return r
}

// listeningProcess returns the process that listens at an address.
func listeningProcess(address string) string {
	name, _, _ := strings.Cut(address, ":")
	name, _, _ = strings.Cut(name, "-")
	return name
}

// eachLink calls fn for every link that a process has part in.
func (n *network) eachLink(name string, fn func(*relay.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, r := range n.links {
		if k[0] == name || listeningProcess(k[1]) == name {
			fn(r)
		}
	}
}

// dropTraffic makes every link of a process lose everything, silently.
func (n *network) dropTraffic(name string) {
	n.mu.Lock()
	n.isolated[name], n.inboundBlocked[name], n.outboundBlocked[name] = true, true, true
	n.mu.Unlock()
	n.eachLink(name, func(r *relay.Relay) { r.SetMode(relay.Upstream, relay.Drop); r.SetMode(relay.Downstream, relay.Drop) })
}

// holdTraffic keeps every byte of a process back, as when the process is paused.
func (n *network) holdTraffic(name string) {
	n.mu.Lock()
	n.inboundBlocked[name], n.outboundBlocked[name] = true, true
	n.mu.Unlock()
	n.eachLink(name, func(r *relay.Relay) { r.SetMode(relay.Upstream, relay.Hold); r.SetMode(relay.Downstream, relay.Hold) })
}

// blockReplica lets a replica hear the others and be heard by none, or the other way round.
func (n *network) blockReplica(name string, inbound bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if inbound {
		n.inboundBlocked[name] = true
		return
	}
	n.outboundBlocked[name] = true
}

// blackholeOpen makes the open connections of a process silent for good; new ones work.
func (n *network) blackholeOpen(name string) {
	n.eachLink(name, func(r *relay.Relay) { r.BlackholeOpen(relay.Upstream, relay.Downstream) })
}

// heal ends every fault of a process's links.
func (n *network) heal(name string) {
	n.mu.Lock()
	delete(n.isolated, name)
	delete(n.inboundBlocked, name)
	delete(n.outboundBlocked, name)
	n.mu.Unlock()
	n.eachLink(name, func(r *relay.Relay) {
		r.SetMode(relay.Upstream, relay.Pass)
		r.SetMode(relay.Downstream, relay.Pass)
	})
}

// transport is a replica's way to the others.
type transport struct {
	network *network
	name    string
	id      string
}

func (n *network) newTransport(name, id string, receive func(string, []byte)) node.Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receivers[id] = receive
	return &transport{network: n, name: name, id: id}
}

// messageDelay is the time that a consensus message takes.
const messageDelay = time.Millisecond

func (w *transport) Send(to, _ string, data [][]byte) {
	peer, _, _ := strings.Cut(to, "/")
	w.network.mu.Lock()
	dropped := w.network.outboundBlocked[w.name] || w.network.inboundBlocked[peer]
	receive := w.network.receivers[to]
	w.network.mu.Unlock()
	if dropped || receive == nil {
		return
	}
	time.AfterFunc(messageDelay, func() {
		for _, d := range data {
			receive(w.id, d)
		}
	})
}

func (w *transport) Handler() http.Handler { return http.NotFoundHandler() }

func (w *transport) Close() {
	w.network.mu.Lock()
	defer w.network.mu.Unlock()
	delete(w.network.receivers, w.id)
}
