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
	firstWait = 20 * time.Millisecond
	lastWait  = 500 * time.Millisecond
)

// link is the queue and the one connection to a peer.
type link struct {
	pool    *Pool
	to      string
	address string
	ctx     context.Context
	stop    context.CancelFunc
	wake    chan struct{}
	failing atomic.Bool

	mu    sync.Mutex
	queue [][]byte
	bytes int
}

func newLink(p *Pool, to, address string) *link {
	l := &link{pool: p, to: to, address: address, wake: make(chan struct{}, 1)}
	l.ctx, l.stop = context.WithCancel(p.ctx)
	return l
}

// push adds a message and drops the oldest ones that exceed the bound. The
// newest tell a peer that was away more than those before them.
func (l *link) push(b []byte) {
	l.mu.Lock()
	l.queue = append(l.queue, b)
	l.bytes += len(b)
	for l.bytes > l.pool.queue() && len(l.queue) > 1 {
		l.pop()
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// pop takes the oldest message.
func (l *link) pop() []byte {
	b := l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	l.bytes -= len(b)
	return b
}

func (l *link) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// batch takes the messages of the next call.
func (l *link) batch() []*inner.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch []*inner.Envelope
	for size := 0; len(l.queue) > 0 && (size == 0 || size+len(l.queue[0]) <= MaxBatchBytes); {
		b := l.pop()
		size += len(b)
		batch = append(batch, &inner.Envelope{Data: b})
	}
	return batch
}

// run sends batches until the link is stopped or idle.
func (l *link) run() {
	defer l.pool.run.Done()
	defer l.stop()
	wait := &backoff.ExponentialBackOff{
		InitialInterval: firstWait, MaxInterval: lastWait, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: backoff.DefaultMultiplier,
	}
	s := l.open()
	defer func() { s.close() }()
	for {
		if l.empty() && s.err() == nil {
			if !l.rest() && l.pool.remove(l) {
				return
			}
			continue
		}
		// The messages are taken only when they can leave: until then the bound
		// of the queue drops the oldest of them.
		err := s.acquire()
		if l.ctx.Err() != nil {
			return
		}
		if err == nil {
			s.start(l.batch())
			continue
		}
		if s.worked.Load() {
			wait.Reset()
		}
		l.fail(err)
		// A connection that something between the two ends has lost track of stays
		// open and silent for good, while new ones work. So no connection outlives
		// a failed call.
		s.close()
		s = l.open()
		select {
		case <-time.After(wait.NextBackOff()):
		case <-l.ctx.Done():
			return
		}
	}
}

// fail tells of the first of several failures, recover of the first success after.
func (l *link) fail(err error) {
	if !l.failing.Swap(true) {
		l.pool.tell(Event{CallsFailing, l.to, err})
	}
}

func (l *link) recover() {
	if l.failing.Swap(false) {
		l.pool.tell(Event{Kind: CallsRecovered, Peer: l.to})
	}
}

// rest waits for messages; false tells that the link was idle or stopped.
func (l *link) rest() bool {
	idle := time.NewTimer(IdleTimeout)
	defer idle.Stop()
	select {
	case <-l.wake:
		return true
	case <-idle.C:
		return false
	case <-l.ctx.Done():
		l.mu.Lock()
		l.queue, l.bytes = nil, 0
		l.mu.Unlock()
		return false
	}
}
