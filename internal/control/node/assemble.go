package node

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/ingress"
	"gypsumreel/internal/control/entry"
	"gypsumreel/internal/edge/wire"
	"gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/bootstrap"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/peer"
	"gypsumreel/internal/replica/quorum"
)

// assembly holds the components of a running daemon.
type assembly struct {
	group        *group.Group
	entryService *entry.Server
	handshake    *bootstrap.Handshake
	transport    Transport
	httpServer   *http.Server
}

// assemble creates the components of the daemon without starting them.
func (n *Node) assemble(self quorum.Member, data replicaData) *assembly {
	a := &assembly{handshake: n.newHandshake(self)}
	var log group.Journal = data.journal
	if n.WrapJournal != nil {
		log = n.WrapJournal(log)
	}
	a.group = &group.Group{
		Journal: newMonitoredJournal(log, n.metrics, n.Log), Snapshots: newMonitoredSnapshots(&data.snapshots, n.metrics, n.Log),
		Recovered: data.state, Now: n.now, MinFreeBytes: n.MinFreeBytes, Metrics: n.metrics, Log: n.Log,
	}
	n.group.Store(a.group)
	a.entryService = &entry.Server{Cell: n.Cell, Leader: n.Control, Now: n.now, DumpState: n.State, MaxDumpBytes: n.MaxDumpBytes, Log: n.Log}
	n.entryService.Store(a.entryService)
	n.Control.EntryMembers = a.entryService.Entries
	n.Control.OnDeposed, n.Control.OnTableRevision = a.entryService.CloseMailboxes, a.entryService.WakeMailboxes
	// The identity must be set before the transport can receive messages, because
	// each message is checked against it.
	n.configure(self, a.group)
	a.transport = n.newTransport(self.ID, a.group.Receive)
	a.group.Transport = a.transport
	mux := http.NewServeMux()
	mux.Handle("/twirp/gypsumreel.inner.Control/", wire.Track(n.Gates.Processes, a.entryService.Handler()))
	mux.Handle("/twirp/gypsumreel.inner.Bootstrap/", n.onlyReplicas(wire.Track(n.Gates.Peers, a.handshake.Handler())))
	mux.Handle("/", n.onlyReplicas(wire.Track(n.Gates.Peers, a.transport.Handler())))
	if n.AddRoutes != nil {
		n.AddRoutes(mux)
	}
	a.httpServer = n.newHTTPServer(n.Gates.Processes, mux, n.ServerTLS)
	return a
}

func (n *Node) newTransport(id string, receive func(from string, data []byte)) Transport {
	if n.NewTransport != nil {
		return n.NewTransport(id, receive)
	}
	return &peer.Transport{Cell: n.Cell, Self: id, TLS: n.PeerTLS, Deliver: receive, OnEvent: n.logPeerEvent}
}

// logPeerEvent logs problems of the connections to other replicas, and their end.
func (n *Node) logPeerEvent(e peer.Event) {
	switch e.Kind {
	case peer.MessageRefused:
		n.logLimiter.Log(n.Log, event.PeerRefused, "peer", e.Peer, "error", e.Err.Error())
	case peer.CallsFailing:
		event.Log(n.Log, event.PeerSilent, "peer", e.Peer, "error", e.Err.Error())
	case peer.MessageTooLarge:
		n.Log.Info("message to a replica is too large", "replica", e.Peer, "error", e.Err.Error())
	case peer.CallsRecovered:
		event.Log(n.Log, event.PeerBack, "peer", e.Peer)
	}
}

func (n *Node) configure(self quorum.Member, g *group.Group) {
	cfg := &g.Config
	cfg.ID, cfg.Address = self.ID, self.Address
	cfg.HeartbeatInterval, cfg.ElectionTimeout, cfg.MaxElectionTimeout = n.HeartbeatInterval, n.ElectionTimeout, n.MaxElectionTimeout
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	cfg.Seed = binary.LittleEndian.Uint64(seed[:])
	l := n.Control
	l.Group, l.Now, l.RootKey, l.Log, l.Metrics = g, n.now, n.RootKey, n.Log, n.metrics
	l.TransferLeadership = func() { go n.transferFromFullDisk(g) }
	l.MatchIndexes = func() map[string]uint64 { return matchIndexes(g.Dump()) }
	if l.NewPlanner == nil {
		l.NewPlanner = func() plan.Planner { return cell.New(cell.Config{}) }
	}
}

// newHTTPServer returns a server whose connections the gate follows.
func (n *Node) newHTTPServer(gate *ingress.Gate, h http.Handler, cfg *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: headerTimeout, TLSConfig: cfg, ErrorLog: event.HTTPErrorLog(n.Log)}
	gate.Configure(s)
	return s
}

func serveListener(s *http.Server, l net.Listener) error {
	if s.TLSConfig == nil {
		return s.Serve(l)
	}
	return s.ServeTLS(l, "", "")
}
