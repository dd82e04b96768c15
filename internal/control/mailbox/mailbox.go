// Package mailbox stores the leader's replies to an entry until the entry has
// fetched and acknowledged them.
package mailbox

import (
	"context"
	"math"
	"sync"
	"time"

	"gypsumreel/internal/api/inner"
)

// Limits of a mailbox.
const (
	// MaxReplies limits the replies stored for one entry. An entry that leaves so
	// many replies unfetched is considered dead; its items are sent again through
	// another entry.
	MaxReplies = 1 << 17
	// MaxBytes limits the approximate number of bytes stored for one entry. Replies
	// may carry chunks of answers, and thousands of them would exhaust the
	// process's memory.
	MaxBytes = 64 << 20
	// MaxBatchReplies limits the replies returned by one Pull.
	MaxBatchReplies = 1024
	// maxBatchBytes limits the approximate number of bytes returned by one Pull.
	maxBatchBytes = 8 << 20
)

// Name identifies a mailbox by an entry and one session of its process.
type Name struct {
	Entry   string
	Session uint64
}

// Mailbox is a queue of replies numbered from 1. It is safe for concurrent use by
// the control thread and the goroutines that serve entries.
type Mailbox struct {
	mu          sync.Mutex
	epoch       uint64
	firstNumber uint64
	queue       []*inner.Reply
	queuedBytes int
	wakeup      chan struct{}
	wakeCount   uint64
	closed      bool
	lastPullAt  time.Time
}

// New returns an empty mailbox for an epoch. Reply numbers of different epochs
// cannot be compared.
func New(epoch uint64) *Mailbox {
	return &Mailbox{epoch: epoch, firstNumber: 1, wakeup: make(chan struct{}), lastPullAt: time.Now()}
}

// Put appends a reply. It discards the reply when the mailbox is closed or full.
// The entry then sends the unanswered item again, which is safe because every item
// is idempotent.
func (m *Mailbox) Put(r *inner.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := approximateSize(r)
	if m.closed || len(m.queue) >= MaxReplies || len(m.queue) > 0 && m.queuedBytes+size > MaxBytes {
		return
	}
	m.queuedBytes += size
	m.queue = append(m.queue, r)
	m.wakeWaiters()
}

func (m *Mailbox) wakeWaiters() {
	close(m.wakeup)
	m.wakeup = make(chan struct{})
}

// Close closes the mailbox and makes waiting Pull calls return at once.
func (m *Mailbox) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.closed = true
		m.wakeWaiters()
	}
}

// Wake makes waiting PullUntilWake calls return, with or without replies.
func (m *Mailbox) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeCount++
	m.wakeWaiters()
}

// WakeCount returns the number of calls of Wake, for use with PullUntilWake.
func (m *Mailbox) WakeCount() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wakeCount
}

// IdleTime returns the time since the last Pull.
func (m *Mailbox) IdleTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastPullAt)
}

// Batch is the result of one Pull. FirstNumber is the number of the first reply.
type Batch struct {
	Epoch       uint64
	FirstNumber uint64
	Replies     []*inner.Reply
	Closed      bool
}

// Pull discards the replies acknowledged by ack and returns the queued ones. It
// waits for a first reply until ctx ends. Replies are kept until they are
// acknowledged, so a lost response to Pull loses no replies. An ack of another
// epoch is ignored.
func (m *Mailbox) Pull(ctx context.Context, epoch, ack uint64) Batch {
	return m.PullUntilWake(ctx, epoch, ack, math.MaxUint64)
}

// PullUntilWake is like Pull, but it also returns once Wake was called more than
// wakeCount times.
func (m *Mailbox) PullUntilWake(ctx context.Context, epoch, ack, wakeCount uint64) Batch {
	for {
		b, wake := m.dropAndCollect(epoch, ack)
		if b.Closed || len(b.Replies) > 0 || m.WakeCount() > wakeCount {
			return b
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return b
		}
	}
}

func (m *Mailbox) dropAndCollect(epoch, ack uint64) (Batch, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastPullAt = time.Now()
	if epoch == m.epoch && ack >= m.firstNumber {
		n := min(int(ack-m.firstNumber)+1, len(m.queue))
		for _, r := range m.queue[:n] {
			m.queuedBytes -= approximateSize(r)
		}
		clear(m.queue[:n])
		m.queue = m.queue[n:]
		m.firstNumber += uint64(n)
	}
	b := Batch{Epoch: m.epoch, FirstNumber: m.firstNumber, Closed: m.closed}
	size := 0
	for _, r := range m.queue[:min(len(m.queue), MaxBatchReplies)] {
		size += approximateSize(r)
		if size > maxBatchBytes && len(b.Replies) > 0 {
			break
		}
		b.Replies = append(b.Replies, r)
	}
	return b, m.wakeup
}

// approximateSize estimates the size of a reply in bytes: a fixed 256 bytes plus
// the fields that can be large.
func approximateSize(r *inner.Reply) int {
	size := 256
	size += len(r.GetWait().GetChunk().GetData())
	for _, o := range r.GetSync().GetOrders() {
		size += len(o.GetInput()) + len(o.GetCheckpoint())
	}
	return size
}

// Len returns the number of replies that are not yet acknowledged.
func (m *Mailbox) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue)
}
