package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/base/event"
)

// Bounds of the ways to a server.
const (
	// failuresBeforeRelay is the number of failed calls in a row after which the way
	// through another process is tried.
	failuresBeforeRelay = 2
	// relayDuration is how long calls go through another process before the direct
	// way is tried again: cuts last for seconds, and a try costs one silent call.
	relayDuration = 5 * time.Second
)

// setRelay changes the way to a server; empty for the direct one.
func (d *Dispatcher) setRelay(s *session, address string) {
	if s.relayAddress != address {
		event.Log(d.Log, event.ServerRelayed, "server", s.id, "from", s.relayAddress, "to", address, "fails", s.failedHolds, "heard", (d.Now() - s.lastAnswerAt).String())
	}
	if s.relayAddress != "" {
		d.leader.relayedSessions--
	}
	if address != "" {
		d.leader.relayedSessions++
	}
	s.relayAddress, s.relayChangedAt = address, d.Now()
}

// chooseRoute changes the way to a server where it should be another one: through a
// helper when too many are called directly, and directly again after a while.
func (d *Dispatcher) chooseRoute(s *session) {
	switch {
	case s.relayAddress == "" && !d.canCallDirectly(0):
		d.setRelay(s, d.nextRelay(s.id, ""))
	case s.relayAddress != "" && !s.unresponsive && d.Now()-s.relayChangedAt > relayDuration && d.canCallDirectly(1):
		s.failedHolds = failuresBeforeRelay - 1
		d.setRelay(s, "")
	}
}

// canCallDirectly tells whether the servers that are called directly, and so many more, may
// be: each takes connections, and a process may open only so many.
func (d *Dispatcher) canCallDirectly(additional int) bool {
	return d.MaxDirectServers == nil || len(d.leader.sessions)-d.leader.relayedSessions+additional <= d.MaxDirectServers()
}

// nextRelay returns the next way to a server that could not be reached: through
// each helper in turn, then directly again. Every server has an order of its own:
// one helper that relayed for all of them would run out of connections, since
// each relayed call waits at its server.
func (d *Dispatcher) nextRelay(server, current string) string {
	order := func(address string) uint64 { return xxhash.Sum64String(server + " " + address) }
	next, found := "", false
	for _, address := range d.helperPool.Alive(d.Now()) {
		if current != "" && order(address) <= order(current) {
			continue
		}
		if !found || order(address) < order(next) {
			next, found = address, true
		}
	}
	return next
}
