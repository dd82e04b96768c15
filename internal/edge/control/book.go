package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
)

const (
	// resendMargin is how long a reply may take, beyond the item's patience, before the item is sent again.
	resendMargin = time.Second
	// budgetMargin is kept back from the budget, so that the leader answers before the asker gives up.
	budgetMargin = 50 * time.Millisecond
	// maxPushBytes bounds the size of one Push.
	maxPushBytes = 2 << 20
)

// callResult is what an asker gets.
type callResult struct {
	reply *inner.Reply
	err   error
}

// call is one item that waits for its reply.
type call struct {
	item    *inner.Item
	result  chan callResult
	addedAt time.Time
	// deadline is when the asker gives up; zero when it set no bound.
	deadline time.Time
	// queued is true while the item waits to be pushed.
	queued bool
	// mayHaveArrived is true once the item was handed to a Push that may have reached a leader.
	mayHaveArrived bool
	// resendAt is when the item is sent again.
	resendAt time.Time
}

// callQueue holds the items that wait, and the order in which they are pushed.
type callQueue struct {
	maxPending int
	// wakeup has a token when the queue may not be empty.
	wakeup chan struct{}

	mu      sync.Mutex
	lastSeq uint64
	// longPollsRefused is true once long polls are refused because the entry stops.
	longPollsRefused bool
	pending          map[uint64]*call
	sendQueue        []*call
}

func newCallQueue(maxPending int) *callQueue {
	return &callQueue{maxPending: maxPending, wakeup: make(chan struct{}, 1), pending: make(map[uint64]*call)}
}

func (q *callQueue) pendingCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

func (q *callQueue) add(ctx context.Context, item *inner.Item) (*call, error) {
	c := &call{item: item, result: make(chan callResult, 1), addedAt: time.Now()}
	c.deadline, _ = ctx.Deadline()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.longPollsRefused && longPollTimeout(item) > 0 {
		return nil, code.New(code.Leaving, "")
	}
	if len(q.pending) >= q.maxPending {
		return nil, code.New(code.Overloaded, "%d requests wait at this entry", len(q.pending))
	}
	q.lastSeq++
	item.Seq = q.lastSeq
	q.pending[q.lastSeq] = c
	q.enqueue(c)
	return c, nil
}

// enqueue puts the call at the end of the queue. The caller holds mu.
func (q *callQueue) enqueue(c *call) {
	if c.queued {
		return
	}
	c.queued = true
	q.sendQueue = append(q.sendQueue, c)
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

func (q *callQueue) sendQueueLength() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.sendQueue)
}

// dequeue removes up to n items from the queue. From here on each of them counts
// as one that a leader may have seen.
func (q *callQueue) dequeue(maxItems int) []*call {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch []*call
	examined, batchBytes := 0, 0
	for _, c := range q.sendQueue {
		if len(batch) == maxItems || batchBytes > maxPushBytes {
			break
		}
		examined++
		c.queued = false
		if q.pending[c.item.Seq] != c {
			continue // answered or given up meanwhile
		}
		batchBytes += proto.Size(c.item)
		batch = append(batch, c)
		c.resendAt = now.Add(longPollTimeout(c.item) + resendMargin)
	}
	clear(q.sendQueue[:examined])
	q.sendQueue = q.sendQueue[examined:]
	return batch
}

// prepareForPush marks the batch as handed over and returns its items with what is left of their budgets,
// and the calls that had not been handed over before.
func (q *callQueue) prepareForPush(batch []*call) (items []*inner.Item, firstAttempts []*call) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range batch {
		item := &inner.Item{Seq: c.item.Seq, Credential: c.item.Credential, Ask: c.item.Ask}
		if !c.deadline.IsZero() {
			item.Budget = uint64(max(c.deadline.Sub(now)-budgetMargin, time.Millisecond).Milliseconds())
		}
		if !c.mayHaveArrived {
			c.mayHaveArrived = true
			firstAttempts = append(firstAttempts, c)
		}
		items = append(items, item)
	}
	return items, firstAttempts
}

// markNotArrived takes back the mark of calls whose only Push was answered as not looked at.
func (q *callQueue) markNotArrived(calls []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range calls {
		c.mayHaveArrived = false
	}
}

// requeuePending puts calls that still wait back into the queue.
func (q *callQueue) requeuePending(calls []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range calls {
		if q.pending[c.item.Seq] == c {
			q.enqueue(c)
		}
	}
}

// requeueAll puts everything that waits into the queue, in the order it came.
func (q *callQueue) requeueAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, seq := range slices.Sorted(maps.Keys(q.pending)) {
		q.enqueue(q.pending[seq])
	}
}

// requeueOverdue sends again what was pushed but not answered in time, within
// the retry budget. The Push or the reply was lost, or the leader lost its queue.
func (q *callQueue) requeueOverdue(now time.Time, limiter *rate.Limiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	requeued := 0
	for _, c := range q.pending {
		if c.queued || !c.mayHaveArrived || now.Before(c.resendAt) {
			continue
		}
		if !limiter.Allow() {
			return requeued
		}
		q.enqueue(c)
		requeued++
	}
	return requeued
}

// failUnsent refuses items that were added before the time given and never handed over.
func (q *callQueue) failUnsent(addedBefore time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.pending {
		if !c.mayHaveArrived && c.addedAt.Before(addedBefore) {
			q.complete(c, callResult{err: q.noReplyError(c, "no leader was found")})
		}
	}
}

// failAddedBefore ends every wait that was begun before the time given, for want of a leader.
func (q *callQueue) failAddedBefore(addedBefore time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	failed := 0
	for _, c := range q.pending {
		if c.addedAt.Before(addedBefore) {
			q.complete(c, callResult{err: q.noReplyError(c, "the leader is out of contact")})
			failed++
		}
	}
	return failed
}

// endLongPolls answers everything that the leader may hold for a while, and refuses such items from now on.
func (q *callQueue) endLongPolls() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.longPollsRefused = true
	for _, c := range q.pending {
		if longPollTimeout(c.item) > 0 {
			q.complete(c, callResult{err: code.New(code.Leaving, "")})
		}
	}
}

// deliver gives a reply to whoever waits for it. A late or second reply finds
// nobody and is dropped: each seq is answered once.
func (q *callQueue) deliver(reply *inner.Reply) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ok := q.pending[reply.GetSeq()]
	if !ok {
		return false
	}
	q.complete(c, callResult{reply: reply})
	return true
}

// failRefused ends the waits for items that the leader had no room for, if it never saw them before.
func (q *callQueue) failRefused(calls []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range calls {
		if q.pending[c.item.Seq] == c {
			q.complete(c, callResult{err: code.New(code.Overloaded, "the leader's queue is full")})
		}
	}
}

// complete ends a wait. The caller holds mu.
func (q *callQueue) complete(c *call, result callResult) {
	delete(q.pending, c.item.Seq)
	c.result <- result
}

// abandon ends a wait from the asker's side.
func (q *callQueue) abandon(c *call, reason string) (*inner.Reply, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[c.item.Seq] != c {
		result := <-c.result
		return result.reply, result.err
	}
	delete(q.pending, c.item.Seq)
	return nil, q.noReplyError(c, reason)
}

// noReplyError says what is true of an item without a reply: it did not reach a
// leader only if no Push ever carried it. The caller holds mu.
func (q *callQueue) noReplyError(c *call, reason string) error {
	if c.mayHaveArrived {
		return code.New(code.Unanswered, "%s", reason)
	}
	return code.New(code.Unreachable, "%s", reason)
}

// longPollTimeout returns how long the leader may hold the item before it answers.
func longPollTimeout(item *inner.Item) time.Duration {
	switch ask := item.GetAsk().(type) {
	case *inner.Item_Wait:
		return time.Duration(ask.Wait.GetPatience()) * time.Millisecond
	case *inner.Item_Sync:
		return time.Duration(ask.Sync.GetPatience()) * time.Millisecond
	}
	return 0
}
