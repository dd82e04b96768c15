package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"gypsumreel/internal/api/inner"
)

// MaxConcurrentCalls limits the concurrent calls to one peer. With a single call, a
// message would wait up to one round trip for the previous call. Between
// availability zones, that is most of the latency of a commit.
const MaxConcurrentCalls = 3

// pipeline sends concurrent calls over one connection. The calls are numbered in the
// order of their messages.
type pipeline struct {
	sender *sender
	conn   *clientConn
	// connectionID is a random number that identifies the connection to the peer.
	connectionID uint64
	// lastNumber is the number of the last call that was started.
	lastNumber uint64
	// slots holds one element for each running call.
	slots    chan struct{}
	failures chan error
	firstErr atomic.Pointer[error]
	// succeeded is true once a call has succeeded.
	succeeded    atomic.Bool
	runningCalls sync.WaitGroup
}

// openPipeline returns a pipeline with a new connection.
func (s *sender) openPipeline() *pipeline {
	return &pipeline{
		sender: s, conn: s.newClientConn(), connectionID: rand.Uint64(),
		slots: make(chan struct{}, MaxConcurrentCalls), failures: make(chan error, MaxConcurrentCalls),
	}
}

// err returns the error of the first failed call, or nil.
func (p *pipeline) err() error {
	if err := p.firstErr.Load(); err != nil {
		return *err
	}
	return nil
}

// acquireSlot waits until another call may start. It returns an error if an earlier
// call has failed or the sender is cancelled.
func (p *pipeline) acquireSlot() error {
	if err := p.err(); err != nil {
		return err
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	case err := <-p.failures:
		return err
	case <-p.sender.ctx.Done():
		return p.sender.ctx.Err()
	}
}

// startCall starts the next call in the background. The caller must have acquired a
// slot.
func (p *pipeline) startCall(batch []*inner.Envelope) {
	p.lastNumber++
	number := p.lastNumber
	p.runningCalls.Go(func() {
		defer func() { <-p.slots }()
		p.call(number, batch)
	})
}

// call delivers one batch within the call timeout and records the result.
func (p *pipeline) call(number uint64, batch []*inner.Envelope) {
	s := p.sender
	ctx, cancel := context.WithTimeout(s.ctx, s.transport.callTimeout())
	defer cancel()
	_, err := p.conn.Deliver(ctx, &inner.DeliverRequest{
		Cell: s.transport.Cell, From: s.transport.Self, To: s.peerID, Envelopes: batch, Wire: p.connectionID, Number: number,
	})
	if err == nil {
		p.succeeded.Store(true)
		s.reportRecovery()
		return
	}
	p.firstErr.CompareAndSwap(nil, &err)
	p.failures <- err
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// close closes the connection and waits until all running calls have returned.
func (p *pipeline) close() {
	p.conn.close()
	p.runningCalls.Wait()
}
