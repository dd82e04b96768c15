// Package holders is the leader's side of the processes that hold backend servers for it. A
// link exchanges the leader's calls and the results in batches, one exchange at a time, so
// that its cost does not depend on the number of servers. All functions run on the control
// thread, unless stated otherwise.
package holders

import (
	"context"
	"slices"
	"strings"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
)

const (
	// exchangeWait is the time for which a holder collects results before it replies. It is
	// what a call through a holder costs at most in addition to the call itself.
	exchangeWait = 20 * time.Millisecond
	// exchangeTimeout is the timeout of an exchange. A link without an answer within it is
	// lost, and its servers move to another holder.
	exchangeTimeout = 700 * time.Millisecond
	// reopenPause is the pause before a lost link is opened again.
	reopenPause = 500 * time.Millisecond
	// resultsPerYield is the number of results after which other goroutines of the process
	// may run.
	resultsPerYield = 32
)

// Client makes one exchange with the process at address. It returns nil if there was no
// answer. It is called from separate goroutines.
type Client interface {
	Exchange(ctx context.Context, address string, r *inner.HolderRequest) *inner.HolderReply
}

// Handler processes the answer to a call. asOf is a time of the leader's clock that had
// reached the holder before the call left. watching is true if the call is a watch and goes on.
type Handler func(a *inner.ServerAnswer, asOf, receivedAt time.Duration, watching bool)

// Set is the links of a leader in one term. The exported fields are set before use.
type Set struct {
	Cell   string
	Term   uint64
	Client Client
	// Now returns the leader's clock. It is safe for concurrent use.
	Now func() time.Duration
	// Go runs fn on another goroutine with a context that ends with the term. Post runs fn on
	// the control thread if the term goes on.
	Go   func(fn func(ctx context.Context))
	Post func(fn func())
	// Yield lets other goroutines of the process run.
	Yield func()
	// Opened and Lost are called when a link opens, and when one is lost.
	Opened func(l *Link)
	Lost   func(l *Link, cause string)

	links      map[string]*Link
	open       []*Link
	lastNumber uint64
}

// Link is the connection to one holder.
type Link struct {
	// Limit is the number of servers that the holder can have, Servers the number that it has.
	Limit, Servers int

	set           *Set
	address, zone string
	number        uint64
	state         linkState
	retryAt       time.Duration
	// lastReplyAt is when the latest reply arrived.
	lastReplyAt time.Duration
	lastCallID  uint64
	// next is what the next exchange carries.
	next  *inner.HolderRequest
	calls map[uint64]*call
}

type linkState uint8

const (
	closed linkState = iota
	opening
	open
)

// call is a call without a final result.
type call struct {
	handle Handler
	wanted func() bool
	madeAt time.Duration
	sent   bool
}

// Name returns the address of the holder, and Zone its availability zone.
func (l *Link) Name() string { return l.address }

// Zone returns the availability zone of the holder.
func (l *Link) Zone() string { return l.zone }

// IsOpen reports whether calls can be made through the link. A nil link is not open.
func (l *Link) IsOpen() bool { return l != nil && l.state == open }

// LastReplyAt returns when the latest reply of the holder arrived.
func (l *Link) LastReplyAt() time.Duration { return l.lastReplyAt }

// Pending returns the number of calls and watches without a final result.
func (l *Link) Pending() int { return len(l.calls) }

// Open returns the open links, ordered by address. A nil set has none.
func (s *Set) Open() []*Link {
	if s == nil {
		return nil
	}
	return s.open
}

// IsOpening reports whether the answer to a first request is still awaited.
func (s *Set) IsOpening() bool {
	for _, l := range s.links {
		if l.state == opening {
			return true
		}
	}
	return false
}

// Add makes a process a holder of up to limit servers. The link is opened unless it is open or
// was lost just now.
func (s *Set) Add(address, zone string, limit int) {
	if s.links == nil {
		s.links = map[string]*Link{}
	}
	l := s.links[address]
	if l == nil {
		l = &Link{set: s, address: address}
		s.links[address] = l
	}
	l.zone, l.Limit = zone, limit
	if l.state == closed && s.Now() >= l.retryAt {
		l.openLink()
	}
}

func (l *Link) openLink() {
	l.set.lastNumber++
	l.number, l.state, l.calls, l.next = l.set.lastNumber, opening, map[uint64]*call{}, &inner.HolderRequest{Opens: true}
	l.exchange(0)
}

// Call makes a call through the link and returns its number. A watch is a hold that the holder
// repeats. The call is not sent if wanted returns false when the next exchange begins; nil
// stands for a call that is wanted in any case.
func (l *Link) Call(c *inner.ServerCall, watch bool, wanted func() bool, handle Handler) uint64 {
	l.lastCallID++
	l.calls[l.lastCallID] = &call{handle: handle, wanted: wanted, madeAt: l.set.Now()}
	l.next.Calls = append(l.next.Calls, &inner.HolderCall{Id: l.lastCallID, Call: c, Watch: watch})
	return l.lastCallID
}

// Renew changes the lease and the delay of the next holds of a watch. wait is in milliseconds.
func (l *Link) Renew(id uint64, until int64, wait uint64) {
	l.next.Renewals = append(l.next.Renewals, &inner.WatchRenewal{Id: id, Until: until, Wait: wait})
}

// Flush ends a watch with its next answer.
func (l *Link) Flush(id uint64) {
	l.next.Flushes = append(l.next.Flushes, id)
}

// exchange sends what the link has to say and handles the reply.
func (l *Link) exchange(wait time.Duration) {
	s, number := l.set, l.number
	l.dropUnwanted()
	r := l.next
	l.next = &inner.HolderRequest{}
	r.Cell, r.Term, r.Link = s.Cell, s.Term, number
	r.Clock, r.Wait = uint64(s.Now()/time.Microsecond), uint64(wait/time.Millisecond)
	for _, c := range r.GetCalls() {
		if pending := l.calls[c.GetId()]; pending != nil {
			pending.sent = true
		}
	}
	address := l.address
	s.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		reply := s.Client.Exchange(ctx, address, r)
		receivedAt := s.Now()
		s.Post(func() {
			if s.links[address] == l && l.number == number && l.state != closed {
				l.handleReply(reply, receivedAt)
			}
		})
	})
}

// dropUnwanted answers the calls that are not wanted any more as not sent.
func (l *Link) dropUnwanted() {
	var dropped []*call
	l.next.Calls = slices.DeleteFunc(l.next.Calls, func(c *inner.HolderCall) bool {
		pending := l.calls[c.GetId()]
		if pending == nil || pending.wanted == nil || pending.wanted() {
			return false
		}
		delete(l.calls, c.GetId())
		dropped = append(dropped, pending)
		return true
	})
	for _, c := range dropped {
		c.handle(&inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_UNSENT, Detail: "not wanted any more"}, c.madeAt, l.set.Now(), false)
	}
}

// handleReply handles the results of an exchange and makes the next one.
func (l *Link) handleReply(reply *inner.HolderReply, receivedAt time.Duration) {
	switch {
	case reply == nil:
		l.lose("no answer")
		return
	case reply.GetCode() != uint32(code.OK):
		l.lose(reply.GetDetail())
		return
	}
	l.lastReplyAt = receivedAt
	if l.state == opening {
		l.state = open
		l.set.updateOpen()
		l.set.Opened(l)
	}
	for i, result := range reply.GetResults() {
		if i%resultsPerYield == 0 {
			l.set.Yield()
		}
		pending := l.calls[result.GetId()]
		if pending == nil {
			continue
		}
		if !result.GetWatching() {
			delete(l.calls, result.GetId())
		}
		pending.handle(result.GetAnswer(), time.Duration(result.GetAsOf())*time.Microsecond, receivedAt, result.GetWatching())
	}
	if l.state == open {
		l.exchange(exchangeWait)
	}
}

// lose ends a link. A call that was sent may have been carried out; one that was not never
// will be.
func (l *Link) lose(cause string) {
	wasOpen, calls := l.state == open, l.calls
	now := l.set.Now()
	l.state, l.retryAt, l.calls, l.next = closed, now+reopenPause, nil, nil
	l.set.updateOpen()
	if wasOpen {
		l.set.Lost(l, cause)
	}
	ids := make([]uint64, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := calls[id]
		verdict := inner.Verdict_VERDICT_UNSENT
		if c.sent {
			verdict = inner.Verdict_VERDICT_SILENT
		}
		c.handle(&inner.ServerAnswer{Verdict: verdict, Detail: "the holder was lost"}, c.madeAt, now, false)
	}
}

func (s *Set) updateOpen() {
	s.open = s.open[:0]
	for _, l := range s.links {
		if l.state == open {
			s.open = append(s.open, l)
		}
	}
	slices.SortFunc(s.open, func(a, b *Link) int { return strings.Compare(a.address, b.address) })
}
