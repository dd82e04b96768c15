// Package mailbox holds the replies that the leader has for an entry until the
// entry has fetched and acknowledged them.
package mailbox

import (
	"context"
	"math"
	"sync"
	"time"

	"gypsumreel/internal/api/inner"
)

// Bounds of a mailbox.
const (
	// MaxReplies bounds what is kept for one entry; an entry that fetches
	// nothing for so long is dead, and its items are asked again elsewhere.
	MaxReplies = 1 << 17
	// MaxBytes bounds the bytes that are kept for one entry, roughly: replies may
	// carry chunks of answers, and thousands of them would not fit the process.
	MaxBytes = 64 << 20
	// MaxBatchReplies bounds the replies of one Pull.
	MaxBatchReplies = 1024
	// maxBytes bounds the bytes of one Pull, roughly.
	maxBytes = 8 << 20
)

// Name names a mailbox: one run of one entry.
type Name struct {
	Entry   string
	Session uint64
}

// Mailbox queues replies with numbers from 1. It is safe for use by the control
// thread and traffic threads at once.
type Mailbox struct {
	mu     sync.Mutex
	epoch  uint64
	first  uint64
	queue  []*inner.Reply
	held   int
	wake   chan struct{}
	wakes  uint64
	closed bool
	seen   time.Time
}

// New returns an empty mailbox of an epoch. Numbers of different epochs are not comparable.
func New(epoch uint64) *Mailbox {
	return &Mailbox{epoch: epoch, first: 1, wake: make(chan struct{}), seen: time.Now()}
}

// Put adds a reply. It is dropped when the mailbox is closed or full; the entry
// asks again for what it was not answered, and every item is idempotent.
func (m *Mailbox) Put(r *inner.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := weigh(r)
	if m.closed || len(m.queue) >= MaxReplies || len(m.queue) > 0 && m.held+w > MaxBytes {
		return
	}
	m.held += w
	m.queue = append(m.queue, r)
	m.signal()
}

func (m *Mailbox) signal() {
	close(m.wake)
	m.wake = make(chan struct{})
}

// Close ends the mailbox: waiting fetches return at once.
func (m *Mailbox) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.closed = true
		m.signal()
	}
}

// Wake makes fetches that wait return, with replies or without.
func (m *Mailbox) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakes++
	m.signal()
}

// WakeCount counts the calls of Wake, for PullOrWake.
func (m *Mailbox) WakeCount() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wakes
}

// IdleTime returns how long nobody fetched.
func (m *Mailbox) IdleTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.seen)
}

// Batch is what one fetch returns.
type Batch struct {
	Epoch       uint64
	FirstNumber uint64
	Replies     []*inner.Reply
	Closed      bool
}

// Pull drops what was acknowledged and returns what is queued; it waits for a
// first reply until ctx ends. Replies stay until acknowledged, so a lost answer
// to Pull loses none of them. An ack of another epoch counts for nothing.
func (m *Mailbox) Pull(ctx context.Context, epoch, ack uint64) Batch {
	return m.PullUntilWake(ctx, epoch, ack, math.MaxUint64)
}

// PullUntilWake is Pull, but waits only until there were more than wakes calls of Wake.
func (m *Mailbox) PullUntilWake(ctx context.Context, epoch, ack, wakes uint64) Batch {
	for {
		b, wake := m.take(epoch, ack)
		if b.Closed || len(b.Replies) > 0 || m.WakeCount() > wakes {
			return b
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return b
		}
	}
}

func (m *Mailbox) take(epoch, ack uint64) (Batch, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = time.Now()
	if epoch == m.epoch && ack >= m.first {
		n := min(int(ack-m.first)+1, len(m.queue))
		for _, r := range m.queue[:n] {
			m.held -= weigh(r)
		}
		clear(m.queue[:n])
		m.queue = m.queue[n:]
		m.first += uint64(n)
	}
	b := Batch{Epoch: m.epoch, FirstNumber: m.first, Closed: m.closed}
	size := 0
	for _, r := range m.queue[:min(len(m.queue), MaxBatchReplies)] {
		size += weigh(r)
		if size > maxBytes && len(b.Replies) > 0 {
			break
		}
		b.Replies = append(b.Replies, r)
	}
	return b, m.wake
}

// weigh returns roughly the bytes of the replies that can be large.
func weigh(r *inner.Reply) int {
	n := 256
	n += len(r.GetWait().GetChunk().GetData())
	for _, o := range r.GetSync().GetOrders() {
		n += len(o.GetInput()) + len(o.GetCheckpoint())
	}
	return n
}

// Len returns how many replies wait to be fetched or acknowledged.
func (m *Mailbox) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue)
}
