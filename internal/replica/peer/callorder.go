package peer

import (
	"sync"
	"time"
)

// maxOrderWait limits the time that a call waits for its predecessor. Calls on one
// connection arrive in order, so a longer delay means that the predecessor was
// lost. The consensus core tolerates lost messages, but has to send entries again.
const maxOrderWait = 20 * time.Millisecond

// callOrder makes the concurrent calls of each peer run in the order of their
// numbers.
type callOrder struct {
	mu sync.Mutex
	// expected holds the next expected call by the ID of the peer.
	expected map[string]*expectedCall
}

// expectedCall identifies the next call that is expected from a peer.
type expectedCall struct {
	connectionID uint64
	nextNumber   uint64
	// changed is closed when another call becomes the expected one.
	changed chan struct{}
}

// waitForTurn waits until all previous calls on the connection have been handled.
// It stops waiting after maxOrderWait, or when the peer has opened a newer
// connection. The caller must call the returned function once it has handled the
// call. Calls with number 0 are not ordered.
func (o *callOrder) waitForTurn(from string, connectionID, number uint64) func() {
	if number == 0 {
		return func() {}
	}
	timeout := time.NewTimer(maxOrderWait)
	defer timeout.Stop()
	for {
		expected, changed := o.callToAwait(from, connectionID, number)
		if expected == nil {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		}
		break
	}
	return func() { o.markDone(from, connectionID, number) }
}

// callToAwait returns the expected call for which the call with the given number has
// to wait, and the channel that is closed when that changes. It returns nil if the
// call can be handled now. The first call of a new connection replaces the state of
// the old connection.
func (o *callOrder) callToAwait(from string, connectionID, number uint64) (*expectedCall, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.expected == nil {
		o.expected = map[string]*expectedCall{}
	}
	expected := o.expected[from]
	if expected == nil || expected.connectionID != connectionID && number == 1 {
		if expected != nil {
			close(expected.changed)
		}
		expected = &expectedCall{connectionID: connectionID, nextNumber: 1, changed: make(chan struct{})}
		o.expected[from] = expected
	}
	if expected.connectionID != connectionID || number <= expected.nextNumber {
		return nil, nil
	}
	return expected, expected.changed
}

// markDone records that a call has been handled and lets its successor proceed.
func (o *callOrder) markDone(from string, connectionID, number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	expected := o.expected[from]
	if expected == nil || expected.connectionID != connectionID || number < expected.nextNumber {
		return
	}
	expected.nextNumber = number + 1
	close(expected.changed)
	expected.changed = make(chan struct{})
}
