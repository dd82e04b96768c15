package peer

import (
	"sync"
	"time"
)

// orderWait is how long a call waits for the one before it. Calls of one
// connection arrive in order, so more than a moment means that the one before
// was lost; the consensus core copes with that, but not cheaply.
const orderWait = 20 * time.Millisecond

// order lets the calls of each peer in by their numbers.
type order struct {
	mu    sync.Mutex
	peers map[string]*turn
}

// turn is the next call that a peer's connection is due.
type turn struct {
	wire    uint64
	next    uint64
	changed chan struct{}
}

// await returns when the call is due, its predecessor is too late, or the peer
// has a newer connection, and the function to call when it has been handled.
func (o *order) await(from string, wire, number uint64) func() {
	if number == 0 {
		return func() {}
	}
	late := time.NewTimer(orderWait)
	defer late.Stop()
	for {
		t, changed := o.turn(from, wire, number)
		if t == nil {
			break
		}
		select {
		case <-changed:
			continue
		case <-late.C:
		}
		break
	}
	return func() { o.done(from, wire, number) }
}

// turn returns nil when the call is due now.
func (o *order) turn(from string, wire, number uint64) (*turn, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peers == nil {
		o.peers = map[string]*turn{}
	}
	t := o.peers[from]
	if t == nil || t.wire != wire && number == 1 {
		if t != nil {
			close(t.changed)
		}
		t = &turn{wire: wire, next: 1, changed: make(chan struct{})}
		o.peers[from] = t
	}
	if t.wire != wire || number <= t.next {
		return nil, nil
	}
	return t, t.changed
}

// done lets the call after this one in.
func (o *order) done(from string, wire, number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.peers[from]
	if t == nil || t.wire != wire || number < t.next {
		return
	}
	t.next = number + 1
	close(t.changed)
	t.changed = make(chan struct{})
}
