package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gypsumreel/internal/api/inner"
)

// Waits between calls that fail.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// sender is the queue and the one connection to a peer.
type sender struct {
	pool    *Pool
	peerID  string
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	wakeup  chan struct{}
	failing atomic.Bool

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
}

func newSender(p *Pool, to, address string) *sender {
	s := &sender{pool: p, peerID: to, address: address, wakeup: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(p.ctx)
	return s
}

// enqueue adds a message and drops the oldest ones that exceed the bound. The
// newest tell a peer that was away more than those before them.
func (s *sender) enqueue(b []byte) {
	s.mu.Lock()
	s.queue = append(s.queue, b)
	s.queuedBytes += len(b)
	for s.queuedBytes > s.pool.maxQueueBytes() && len(s.queue) > 1 {
		s.dequeue()
	}
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// dequeue takes the oldest message.
func (s *sender) dequeue() []byte {
	b := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	s.queuedBytes -= len(b)
	return b
}

func (s *sender) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

// nextBatch takes the messages of the next call.
func (s *sender) nextBatch() []*inner.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*inner.Envelope
	for size := 0; len(s.queue) > 0 && (size == 0 || size+len(s.queue[0]) <= MaxBatchBytes); {
		b := s.dequeue()
		size += len(b)
		batch = append(batch, &inner.Envelope{Data: b})
	}
	return batch
}

// run sends batches until the link is stopped or idle.
func (s *sender) run() {
	defer s.pool.sendersRunning.Done()
	defer s.cancel()
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval: minBackoff, MaxInterval: maxBackoff, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: backoff.DefaultMultiplier,
	}
	p := s.openPipeline()
	defer func() { p.close() }()
	for {
		if s.isEmpty() && p.err() == nil {
			if !s.waitForMessages() && s.pool.removeIdle(s) {
				return
			}
			continue
		}
		// The messages are taken only when they can leave: until then the bound
		// of the queue drops the oldest of them.
		err := p.acquireSlot()
		if s.ctx.Err() != nil {
			return
		}
		if err == nil {
			p.startCall(s.nextBatch())
			continue
		}
		if p.succeeded.Load() {
			retryBackoff.Reset()
		}
		s.reportFailure(err)
		// A connection that something between the two ends has lost track of stays
		// open and silent for good, while new ones work. So no connection outlives
		// a failed call.
		p.close()
		p = s.openPipeline()
		select {
		case <-time.After(retryBackoff.NextBackOff()):
		case <-s.ctx.Done():
			return
		}
	}
}

// reportFailure tells of the first of several failures, recover of the first success after.
func (s *sender) reportFailure(err error) {
	if !s.failing.Swap(true) {
		s.pool.report(Event{CallsFailing, s.peerID, err})
	}
}

func (s *sender) reportRecovery() {
	if s.failing.Swap(false) {
		s.pool.report(Event{Kind: CallsRecovered, Peer: s.peerID})
	}
}

// waitForMessages waits for messages; false tells that the link was idle or stopped.
func (s *sender) waitForMessages() bool {
	idleTimer := time.NewTimer(IdleTimeout)
	defer idleTimer.Stop()
	select {
	case <-s.wakeup:
		return true
	case <-idleTimer.C:
		return false
	case <-s.ctx.Done():
		s.mu.Lock()
		s.queue, s.queuedBytes = nil, 0
		s.mu.Unlock()
		return false
	}
}
