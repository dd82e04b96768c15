package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/base/event"
)

// Bounds of the ways to a server.
const (
	// relayAfter is the number of failed calls in a row after which the way
	// through another process is tried.
	relayAfter = 2
	// relayTime is how long calls go through another process before the direct
	// way is tried again: cuts last for seconds, and a try costs one silent call.
	relayTime = 5 * time.Second
)

// relay changes the way to a server; empty for the direct one.
func (d *Dispatcher) relay(s *session, through string) {
	if s.relay != through {
		event.Log(d.Log, event.ServerRelayed, "server", s.id, "from", s.relay, "to", through, "fails", s.fails, "heard", (d.Now() - s.heard).String())
	}
	if s.relay != "" {
		d.lead.relayed--
	}
	if through != "" {
		d.lead.relayed++
	}
	s.relay, s.relayed = through, d.Now()
}

// chooseWay changes the way to a server where it should be another one: through a
// helper when too many are called directly, and directly again after a while.
func (d *Dispatcher) chooseWay(s *session) {
	switch {
	case s.relay == "" && !d.direct(0):
		d.relay(s, d.otherWay(s.id, ""))
	case s.relay != "" && !s.silent && d.Now()-s.relayed > relayTime && d.direct(1):
		s.fails = relayAfter - 1
		d.relay(s, "")
	}
}

// direct tells whether the servers that are called directly, and so many more, may
// be: each takes connections, and a process may open only so many.
func (d *Dispatcher) direct(more int) bool {
	return d.MaxDirectServers == nil || len(d.lead.sessions)-d.lead.relayed+more <= d.MaxDirectServers()
}

// otherWay returns the next way to a server that could not be reached: through
// each helper in turn, then directly again. Every server has an order of its own:
// one helper that relayed for all of them would run out of connections, since
// each relayed call waits at its server.
func (d *Dispatcher) otherWay(server, now string) string {
	turn := func(address string) uint64 { return xxhash.Sum64String(server + " " + address) }
	next, found := "", false
	for _, address := range d.crew.Alive(d.Now()) {
		if now != "" && turn(address) <= turn(now) {
			continue
		}
		if !found || turn(address) < turn(next) {
			next, found = address, true
		}
	}
	return next
}
