package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/holders"
)

// Parameters of the routes to backend servers.
const (
	// failuresBeforeRelay is the number of consecutive failed calls after which calls go
	// through a helper.
	failuresBeforeRelay = 2
	// relayDuration is how long calls go through a helper before the direct route is tried
	// again. Network partitions last for seconds, and an attempt costs one call without an
	// answer.
	relayDuration = 5 * time.Second
)

// setRelay sets the helper through which a server is called; empty for direct calls.
func (d *Dispatcher) setRelay(s *session, address string) {
	if (s.relayAddress == "") != (address == "") { // a server that answers nowhere is tried through each process in turn
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

// chooseRoute switches a server to a helper when too many servers are called directly, and
// back to direct calls after relayDuration.
func (d *Dispatcher) chooseRoute(s *session) {
	switch {
	case s.link.IsOpen():
	case s.relayAddress != "" && !s.unresponsive && d.Now()-s.relayChangedAt > relayDuration && d.preferredLink(s, nil) != nil:
		s.failedHolds = failuresBeforeRelay - 1
		d.setLink(s, d.preferredLink(s, nil))
	case s.relayAddress == "" && !d.canCallDirectly(0):
		d.setRelay(s, d.nextRelay(s.id, ""))
	case s.relayAddress != "" && !s.unresponsive && d.Now()-s.relayChangedAt > relayDuration && d.canCallDirectly(1):
		s.failedHolds = failuresBeforeRelay - 1
		d.setRelay(s, "")
	}
}

// canCallDirectly reports whether the given number of additional servers may be called
// directly. Each server takes connections, and the process may open only a limited number.
func (d *Dispatcher) canCallDirectly(additional int) bool {
	return d.MaxDirectServers == nil || len(d.leader.sessions)-d.leader.held.sessions-d.leader.relayedSessions+additional <= d.MaxDirectServers()
}

// tryOtherWay chooses another way to a server that did not answer: a few other holders if it
// is at one, then each process in turn.
func (d *Dispatcher) tryOtherWay(s *session) {
	if s.link.IsOpen() && s.failedHolds < failuresBeforeRelay*holdersPerServer {
		if s.failedHolds%failuresBeforeRelay != 0 {
			return
		}
		tried := s.link
		if next := d.preferredLink(s, func(l *holders.Link) bool { return l == tried }); next != nil {
			d.setLink(s, next)
			return
		}
	}
	d.setLink(s, nil)
	d.setRelay(s, d.nextRelay(s.id, s.relayAddress))
}

// nextRelay returns the address of the helper through which a server that did not answer is
// called next. It returns each helper in turn, and then the empty address for the direct route. Each server uses its own order of the helpers. A
// single helper that relays for all servers would run out of connections, because each
// relayed call is a long poll.
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
