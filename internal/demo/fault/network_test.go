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

// network is an in-memory network with a relay on each link, so that a test can inject
// faults into any link.
type network struct {
	ctx    context.Context
	memory relay.MemoryNetwork
	mu     sync.Mutex
	links  map[[2]string]*relay.Relay
	// isolated holds the processes whose traffic is dropped, also on links created later.
	isolated map[string]bool
	// receivers holds the function that receives consensus messages, by replica identity.
	receivers map[string]func(from string, data []byte)
	// inboundBlocked and outboundBlocked hold the replicas whose incoming or outgoing
	// consensus messages are dropped.
	inboundBlocked, outboundBlocked map[string]bool
}

func newNetwork(ctx context.Context) *network {
	return &network{
		ctx: ctx, links: map[[2]string]*relay.Relay{}, isolated: map[string]bool{},
		receivers: map[string]func(string, []byte){}, inboundBlocked: map[string]bool{}, outboundBlocked: map[string]bool{},
	}
}

// Address returns the name with a port, which HTTP clients require.
func (n *network) Address(name string) string { return name + ":1" }

// Listen returns a listener on the address.
func (n *network) Listen(address string) (net.Listener, error) { return n.memory.Listen(address), nil }

// Dialer returns the dial function of a process, which connects through a separate relay
// for each address.
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

// listeningProcess returns the name of the process that listens on an address.
func listeningProcess(address string) string {
	name, _, _ := strings.Cut(address, ":")
	name, _, _ = strings.Cut(name, "-")
	return name
}

// eachLink calls fn for every link from or to a process.
func (n *network) eachLink(name string, fn func(*relay.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for endpoints, r := range n.links {
		if endpoints[0] == name || listeningProcess(endpoints[1]) == name {
			fn(r)
		}
	}
}

// dropTraffic silently drops all traffic of a process.
func (n *network) dropTraffic(name string) {
	n.mu.Lock()
	n.isolated[name], n.inboundBlocked[name], n.outboundBlocked[name] = true, true, true
	n.mu.Unlock()
	n.eachLink(name, func(r *relay.Relay) { r.SetMode(relay.Upstream, relay.Drop); r.SetMode(relay.Downstream, relay.Drop) })
}

// holdTraffic holds back all traffic of a process, as if the process were paused.
// Consensus messages are dropped.
func (n *network) holdTraffic(name string) {
	n.mu.Lock()
	n.inboundBlocked[name], n.outboundBlocked[name] = true, true
	n.mu.Unlock()
	n.eachLink(name, func(r *relay.Relay) { r.SetMode(relay.Upstream, relay.Hold); r.SetMode(relay.Downstream, relay.Hold) })
}

// blockReplica drops the incoming or the outgoing consensus messages of a replica.
func (n *network) blockReplica(name string, inbound bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if inbound {
		n.inboundBlocked[name] = true
		return
	}
	n.outboundBlocked[name] = true
}

// blackholeOpen drops all further traffic on the open connections of a process. New
// connections work.
func (n *network) blackholeOpen(name string) {
	n.eachLink(name, func(r *relay.Relay) { r.BlackholeOpen(relay.Upstream, relay.Downstream) })
}

// heal ends dropTraffic, holdTraffic and blockReplica for a process.
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

// replicaTransport sends the consensus messages of one replica over the network.
type replicaTransport struct {
	network *network
	name    string
	id      string
}

func (n *network) newReplicaTransport(name, id string, receive func(string, []byte)) node.Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receivers[id] = receive
	return &replicaTransport{network: n, name: name, id: id}
}

// messageDelay is the network delay of a consensus message.
const messageDelay = time.Millisecond

func (w *replicaTransport) Send(to, _ string, data [][]byte) {
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

func (w *replicaTransport) Handler() http.Handler { return http.NotFoundHandler() }

func (w *replicaTransport) Close() {
	w.network.mu.Lock()
	defer w.network.mu.Unlock()
	delete(w.network.receivers, w.id)
}
