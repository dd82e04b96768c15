package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gypsumreel/internal/api/inner"
)

// Limits of the exponential backoff after failed calls.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// sender queues the messages for one peer and sends them over one connection.
type sender struct {
	pool    *Transport
	peerID  string
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	// wakeup tells run that a message was queued or a call has failed.
	wakeup chan struct{}
	// callsFailing is true from the first failed call until the next successful one.
	callsFailing atomic.Bool

	mu    sync.Mutex
	queue [][]byte
	// queuedBytes is the total size of the queued messages.
	queuedBytes int
}

func newSender(p *Transport, peerID, address string) *sender {
	s := &sender{pool: p, peerID: peerID, address: address, wakeup: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(p.ctx)
	return s
}

// enqueue adds a message to the queue. If the queue exceeds its size limit, the
// oldest messages are dropped, since the newest ones are the most useful to a peer
// that was unreachable.
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

// dequeue removes and returns the oldest message. The caller must hold mu.
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

// nextBatch removes the messages of the next call from the queue and returns them.
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

// run sends queued messages in batches until the sender is canceled or has been idle
// for IdleTimeout.
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
		// Messages stay in the queue until a call can start, so that the size limit
		// of the queue can still drop the oldest ones.
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
		// Every failed call closes the connection. If a firewall on the path has
		// dropped its state of the connection, the connection stays open but delivers
		// nothing any more, while new connections work.
		p.close()
		p = s.openPipeline()
		select {
		case <-time.After(retryBackoff.NextBackOff()):
		case <-s.ctx.Done():
			return
		}
	}
}

// reportFailure sends a CallsFailing event for the first of several consecutive
// failures.
func (s *sender) reportFailure(err error) {
	if !s.callsFailing.Swap(true) {
		s.pool.report(Event{CallsFailing, s.peerID, err})
	}
}

// reportRecovery sends a CallsRecovered event for the first success after failures.
func (s *sender) reportRecovery() {
	if s.callsFailing.Swap(false) {
		s.pool.report(Event{Kind: CallsRecovered, Peer: s.peerID})
	}
}

// waitForMessages waits until a message is queued or a call fails. It returns false
// if that does not happen within IdleTimeout or if the sender is canceled.
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
