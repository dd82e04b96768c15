package peer

import (
	"sync"
	"time"
)

// maxOrderWait is how long a call waits for the one before it. Calls of one
// connection arrive in order, so more than a moment means that the one before
// was lost; the consensus core copes with that, but not cheaply.
const maxOrderWait = 20 * time.Millisecond

// callOrder lets the calls of each peer in by their numbers.
type callOrder struct {
	mu       sync.Mutex
	expected map[string]*expectedCall
}

// expectedCall is the next call that a peer's connection is due.
type expectedCall struct {
	connectionID uint64
	nextNumber   uint64
	changed      chan struct{}
}

// waitForTurn returns when the call is due, its predecessor is too late, or the peer
// has a newer connection, and the function to call when it has been handled.
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

// callToAwait returns nil when the call is due now.
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

// markDone lets the call after this one in.
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
