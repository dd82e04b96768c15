package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"gypsumreel/internal/api/inner"
)

// MaxConcurrentCalls is how many calls to a peer are under way at the same time. With one, a
// message waits up to a round trip for the call before it: between availability
// zones that is most of the time that a commit takes.
const MaxConcurrentCalls = 3

// pipeline is the calls over one connection, numbered in the order of their messages.
type pipeline struct {
	sender       *sender
	conn         *clientConn
	connectionID uint64
	lastNumber   uint64
	slots        chan struct{}
	failures     chan error
	firstErr     atomic.Pointer[error]
	succeeded    atomic.Bool
	runningCalls sync.WaitGroup
}

// openPipeline returns a stream with a connection of its own.
func (s *sender) openPipeline() *pipeline {
	return &pipeline{sender: s, conn: s.newClientConn(), connectionID: rand.Uint64(), slots: make(chan struct{}, MaxConcurrentCalls), failures: make(chan error, MaxConcurrentCalls)}
}

// err returns the first failure of a call.
func (p *pipeline) err() error {
	if e := p.firstErr.Load(); e != nil {
		return *e
	}
	return nil
}

// acquireSlot waits for room for one more call; it returns the failure of an earlier one.
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

// startCall makes the next call, for which acquire made room.
func (p *pipeline) startCall(batch []*inner.Envelope) {
	p.lastNumber++
	number := p.lastNumber
	p.runningCalls.Go(func() {
		defer func() { <-p.slots }()
		p.call(number, batch)
	})
}

// call makes one call, within a bounded time.
func (p *pipeline) call(number uint64, batch []*inner.Envelope) {
	s := p.sender
	ctx, cancel := context.WithTimeout(s.ctx, s.pool.callTimeout())
	defer cancel()
	_, err := p.conn.Deliver(ctx, &inner.DeliverRequest{
		Cell: s.pool.Cell, From: s.pool.Self, To: s.peerID, Envelopes: batch, Wire: p.connectionID, Number: number,
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

// close ends the connection and returns when all calls have ended.
func (p *pipeline) close() {
	p.conn.close()
	p.runningCalls.Wait()
}
