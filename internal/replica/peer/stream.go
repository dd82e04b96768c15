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

// stream is the calls over one connection, numbered in the order of their messages.
type stream struct {
	link   *link
	wire   *wire
	id     uint64
	number uint64
	room   chan struct{}
	failed chan error
	first  atomic.Pointer[error]
	worked atomic.Bool
	calls  sync.WaitGroup
}

// open returns a stream with a connection of its own.
func (l *link) open() *stream {
	return &stream{link: l, wire: l.dial(), id: rand.Uint64(), room: make(chan struct{}, MaxConcurrentCalls), failed: make(chan error, MaxConcurrentCalls)}
}

// err returns the first failure of a call.
func (s *stream) err() error {
	if e := s.first.Load(); e != nil {
		return *e
	}
	return nil
}

// acquire waits for room for one more call; it returns the failure of an earlier one.
func (s *stream) acquire() error {
	if err := s.err(); err != nil {
		return err
	}
	select {
	case s.room <- struct{}{}:
		return nil
	case err := <-s.failed:
		return err
	case <-s.link.ctx.Done():
		return s.link.ctx.Err()
	}
}

// start makes the next call, for which acquire made room.
func (s *stream) start(batch []*inner.Envelope) {
	s.number++
	number := s.number
	s.calls.Go(func() {
		defer func() { <-s.room }()
		s.call(number, batch)
	})
}

// call makes one call, within a bounded time.
func (s *stream) call(number uint64, batch []*inner.Envelope) {
	l := s.link
	ctx, cancel := context.WithTimeout(l.ctx, l.pool.timeout())
	defer cancel()
	_, err := s.wire.Deliver(ctx, &inner.DeliverRequest{
		Cell: l.pool.Cell, From: l.pool.Self, To: l.to, Envelopes: batch, Wire: s.id, Number: number,
	})
	if err == nil {
		s.worked.Store(true)
		l.recover()
		return
	}
	s.first.CompareAndSwap(nil, &err)
	s.failed <- err
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// close ends the connection and returns when all calls have ended.
func (s *stream) close() {
	s.wire.close()
	s.calls.Wait()
}
