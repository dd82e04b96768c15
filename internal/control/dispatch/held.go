package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/holders"
	"gypsumreel/internal/policy/ranges"
)

const (
	// holdersCheckInterval is the interval between looks for new holders, and between renewals
	// of the leases of servers at holders.
	holdersCheckInterval = 100 * time.Millisecond
	// holdersWait is how long a new leader waits for its holders before it gives the servers to
	// those that have answered.
	holdersWait = 100 * time.Millisecond
	// holdersPerServer is the number of holders that are tried for a server that does not
	// answer, before its calls go through an entry.
	holdersPerServer = 2
)

// heldState is what the leader knows of servers at holders.
type heldState struct {
	set *holders.Set
	// used reports whether servers are given to holders, assigned whether that has begun.
	used, assigned bool
	startedAt      time.Duration
	checkedAt      time.Duration
	// sessions is the number of sessions at holders.
	sessions int
}

// startHolders prepares the links to holders at the beginning of a term.
func (d *Dispatcher) startHolders() {
	if d.Holders == nil {
		return
	}
	leader := d.leader
	leader.held.set = &holders.Set{
		Cell: d.Cell, Term: leader.term, Client: d.Holders, Now: d.Now, Yield: d.Host.YieldProcessor,
		Go:     func(fn func(context.Context)) { leader.callPool.Go(func() { fn(leader.ctx) }) },
		Post:   func(fn func()) { d.postInTerm(leader.term, fn) },
		Opened: func(*holders.Link) { d.assignServers() },
		Lost:   d.handleLostHolder,
	}
	d.checkHolders(d.Now())
}

// checkHolders decides whether servers are given to holders and opens links to the processes
// that can hold some.
func (d *Dispatcher) checkHolders(now time.Duration) {
	held := &d.leader.held
	held.checkedAt = now
	d.updateReportReplicas(now)
	if held.set == nil {
		return
	}
	wasUsed := held.used
	held.used = ranges.IsUsed(wasUsed, len(d.leader.sessions), d.DirectServers) && d.hasHolder()
	if held.used != wasUsed {
		held.startedAt = now
		event.Log(d.Log, event.HoldersUsed, "used", held.used, "servers", len(d.leader.sessions), "term", d.leader.term)
	}
	if !held.used {
		if wasUsed {
			d.assignServers()
			held.assigned = false
		}
		return
	}
	for _, replica := range d.joiningReplicas {
		if replica.holds > 0 && !d.isSelf(replica.address) {
			held.set.Add(replica.address, replica.zone, replica.holds)
		}
	}
	if !held.assigned {
		d.assignServers()
	}
}

// hasHolder reports whether another process can hold servers.
func (d *Dispatcher) hasHolder() bool {
	for _, replica := range d.joiningReplicas {
		if replica.holds > 0 && !d.isSelf(replica.address) {
			return true
		}
	}
	return false
}

// isSelf reports whether an address is this replica's.
func (d *Dispatcher) isSelf(address string) bool {
	members := d.Host.Members()
	for _, m := range members.Members {
		if m.ID == members.Self {
			return m.Address == address
		}
	}
	return false
}

// awaitsHolders reports whether first holds wait for holders that take them over.
func (d *Dispatcher) awaitsHolders() bool { return d.leader.held.used && !d.leader.held.assigned }

// assignServers gives each server to the holder that suits it best.
func (d *Dispatcher) assignServers() {
	held := &d.leader.held
	if held.used && !held.assigned {
		if held.set.IsOpening() && d.Now()-held.startedAt < holdersWait {
			return
		}
		held.assigned = true
	}
	for i, s := range d.leader.sortedSessions {
		if i%sessionsPerYield == 0 {
			d.Host.YieldProcessor()
		}
		if s.relayAddress != "" && s.unresponsive {
			continue // other ways are being tried
		}
		d.setLink(s, d.preferredLink(s, nil))
	}
	d.sendFirstHolds()
}

// preferredLink returns the link to the holder that suits a server best; nil if the server is
// called by this process.
func (d *Dispatcher) preferredLink(s *session, skip func(*holders.Link) bool) *holders.Link {
	held := &d.leader.held
	if !held.used || !held.assigned {
		return nil
	}
	l, _ := ranges.Prefer(s.id, s.zone, held.set.Open(), func(l *holders.Link) bool {
		return s.link != l && l.Servers >= l.Limit || skip != nil && skip(l)
	})
	return l
}

// setLink gives a server to a holder; nil takes it back. The open watch ends, and the next
// hold goes the new way.
func (d *Dispatcher) setLink(s *session, l *holders.Link) {
	if s.link == l {
		return
	}
	if l != nil && s.relayAddress != "" {
		d.setRelay(s, "")
	}
	d.flushWatch(s)
	d.countLink(s.link, -1)
	s.link = l
	d.countLink(l, 1)
	if l != nil && !s.holdPending && !s.unresponsive {
		d.sendHold(s)
	}
}

// countLink changes the number of servers of a holder.
func (d *Dispatcher) countLink(l *holders.Link, change int) {
	if l != nil {
		l.Servers += change
		d.leader.held.sessions += change
	}
}

// flushWatch makes the open watch of a server end with the next answer.
func (d *Dispatcher) flushWatch(s *session) {
	if s.watch != 0 && s.watchLink.IsOpen() && !s.watchFlushed {
		s.watchFlushed = true
		s.watchLink.Flush(s.watch)
	}
}

// handleLostHolder moves the servers of a lost holder to others. What was on its way there
// counts as possibly carried out.
func (d *Dispatcher) handleLostHolder(l *holders.Link, cause string) {
	moved := 0
	for _, s := range d.leader.sortedSessions {
		if s.link != l {
			continue
		}
		moved++
		s.lastAnswerAt = s.heardAt()
		d.countLink(l, -1)
		s.link = nil
		s.link = d.preferredLink(s, nil)
		d.countLink(s.link, 1)
	}
	event.Log(d.Log, event.HolderLost, "holder", l.Name(), "cause", cause, "servers", moved, "calls", l.Pending(), "holders", len(d.leader.held.set.Open()), "term", d.leader.term)
}

// heardAt returns the time of the latest sign that a server answers. A watch that goes on at a
// holder that answers is one: it ends when a hold fails.
func (s *session) heardAt() time.Duration {
	if s.watch == 0 || !s.watchLink.IsOpen() {
		return s.lastAnswerAt
	}
	return max(s.lastAnswerAt, s.watchLink.LastReplyAt())
}

// callHeld makes a call through the server's holder.
func (d *Dispatcher) callHeld(s *session, c *inner.ServerCall, wanted func() bool, sentAt time.Duration, handle callHandler) {
	l := s.link
	isWatch := c.GetHold().GetWait() > 0
	id := l.Call(c, isWatch, wanted, func(a *inner.ServerAnswer, asOf, receivedAt time.Duration, watching bool) {
		defer s.observeAnswer(a, sentAt, receivedAt)
		if watching {
			d.handleWatchUpdate(s, a, asOf, receivedAt)
			return
		}
		if isWatch {
			s.watch = 0
		}
		if c.GetHold() == nil {
			handle(a, sentAt, receivedAt)
			d.flushIfListExpected(s)
			return
		}
		if a.GetVerdict() != inner.Verdict_VERDICT_DONE && s.link != l && s.endProof == "" {
			// The server was moved to another holder meanwhile, so this is no sign of a fault
			// of the server.
			d.repeatHold(s)
			return
		}
		handle(a, asOf, receivedAt)
	})
	if isWatch {
		s.watch, s.watchLink, s.watchFlushed, s.renewedAt = id, l, false, sentAt
	}
}

// repeatHold sends a hold again after a change of the way to the server.
func (d *Dispatcher) repeatHold(s *session) {
	s.holdPending = false
	d.leader.firstHoldQueue.Done(s)
	switch {
	case d.leader.sessions[s.id] != s || s.endProof != "":
	case s.link != nil:
		d.sendHold(s)
	default:
		d.leader.firstHoldQueue.Add(s, s.firstHoldPriority())
		d.sendFirstHolds()
	}
}

// handleWatchUpdate processes an answer to a watch that goes on.
func (d *Dispatcher) handleWatchUpdate(s *session, a *inner.ServerAnswer, asOf, receivedAt time.Duration) {
	if d.leader.sessions[s.id] != s || s.endProof != "" {
		d.flushWatch(s)
		return
	}
	d.acceptList(s, a, asOf, receivedAt)
	d.flushIfListExpected(s)
}

// flushIfListExpected ends the watch of a server whose next run list is to settle the state of
// a run. A watch tells only what has changed.
func (d *Dispatcher) flushIfListExpected(s *session) {
	if s.watch != 0 && s.expectsListChange() {
		d.flushWatch(s)
	}
}

// renewWatches renews the leases of the servers that holders have, each several times in a
// lease.
func (d *Dispatcher) renewWatches(now time.Duration) {
	if d.leader.held.sessions == 0 {
		return
	}
	for _, s := range d.leader.sortedSessions {
		if s.watch == 0 || s.watchFlushed || len(s.runs) == 0 || !s.watchLink.IsOpen() {
			continue
		}
		length := d.leaseLength(s)
		if now-s.renewedAt < min(length/longPollsPerLease, maxLongPoll) {
			continue
		}
		s.renewedAt = now
		s.watchLink.Renew(s.watch, d.grantLease(s, length, now), uint64(d.holdWait(s)/time.Millisecond))
	}
}
