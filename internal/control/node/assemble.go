package node

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/entry"
	"gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/bootstrap"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/peer"
	"gypsumreel/internal/replica/quorum"
)

// assembly is the parts of a running daemon.
type assembly struct {
	group     *group.Group
	service   *entry.Server
	handshake *bootstrap.Handshake
	transport Transport
	server    *http.Server
}

// assemble makes the parts of the daemon; none of them runs yet.
func (n *Node) assemble(self quorum.Member, d disks) *assembly {
	a := &assembly{handshake: n.handshake(self)}
	a.group = &group.Group{
		Journal: newDisk(d.journal, n.meters, n.Log), Snapshots: newArchive(&d.snapshots, n.meters, n.Log),
		Recovered: d.saved, Now: n.now, MinFreeBytes: n.MinFreeBytes, Metrics: n.meters, Log: n.Log,
	}
	n.group.Store(a.group)
	a.service = &entry.Server{Cell: n.Cell, Leader: n.Control, Now: n.now, DumpState: n.State, MaxDumpBytes: n.MaxDumpBytes, Log: n.Log}
	n.service.Store(a.service)
	n.Control.EntryMembers = a.service.Entries
	n.Control.OnDeposed, n.Control.OnTableRevision = a.service.CloseMailboxes, a.service.WakeMailboxes
	// Before anything can come in: what arrives is checked against the identity.
	n.configure(self, a.group)
	a.transport = n.transport(self.ID, a.group.Receive)
	a.group.Transport = a.transport
	mux := http.NewServeMux()
	mux.Handle("/twirp/gypsumreel.inner.Control/", a.service.Handler())
	mux.Handle("/twirp/gypsumreel.inner.Bootstrap/", n.replicas(a.handshake.Handler()))
	mux.Handle("/", n.replicas(a.transport.Handler()))
	if n.AddRoutes != nil {
		n.AddRoutes(mux)
	}
	a.server = n.server(mux, n.ServerTLS)
	return a
}

func (n *Node) transport(id string, receive func(from string, data []byte)) Transport {
	if n.NewTransport != nil {
		return n.NewTransport(id, receive)
	}
	return &peer.Transport{Cell: n.Cell, Self: id, TLS: n.PeerTLS, Deliver: receive, OnEvent: n.event}
}

// event logs what an operator may want to know of the way to the others.
func (n *Node) event(e peer.Event) {
	switch e.Kind {
	case peer.MessageRefused:
		n.limit.Log(n.Log, event.PeerRefused, "peer", e.Peer, "error", e.Err.Error())
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
	l.Group, l.Now, l.RootKey, l.Log, l.Metrics = g, n.now, n.RootKey, n.Log, n.meters
	l.TransferLeadership = func() { go n.yield(g) }
	l.MatchIndexes = func() map[string]uint64 { return matches(g.Dump()) }
	if l.NewPlanner == nil {
		l.NewPlanner = func() plan.Planner { return cell.New(cell.Config{}) }
	}
}

func (n *Node) server(h http.Handler, cfg *tls.Config) *http.Server {
	both := new(http.Protocols)
	both.SetHTTP1(true)
	both.SetHTTP2(true)
	both.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: both, ReadHeaderTimeout: headerTimeout, TLSConfig: cfg, ErrorLog: event.HTTPErrorLog(n.Log)}
}

func listen(s *http.Server, l net.Listener) error {
	if s.TLSConfig == nil {
		return s.Serve(l)
	}
	return s.ServeTLS(l, "", "")
}
