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
	// resendMargin is added to the long-poll timeout of an item. An item without a
	// reply after that time is sent again.
	resendMargin = time.Second
	// budgetMargin is subtracted from the time budget sent to the leader, so that the
	// leader answers before the requester's deadline.
	budgetMargin = 50 * time.Millisecond
	// maxPushBytes limits the size of one Push. The item that exceeds the limit is
	// still part of the Push.
	maxPushBytes = 2 << 20
)

// callResult is the reply or the error that a requester receives.
type callResult struct {
	reply *inner.Reply
	err   error
}

// call is one item whose reply is pending.
type call struct {
	item    *inner.Item
	result  chan callResult
	addedAt time.Time
	// deadline is the requester's deadline, zero if there is none.
	deadline time.Time
	// queued is true while the call is in the send queue.
	queued bool
	// mayHaveArrived is true once the item was part of a Push that may have reached a
	// leader.
	mayHaveArrived bool
	// resendAt is the time after which the item is sent again.
	resendAt time.Time
}

// callQueue holds the pending calls and the order in which their items are pushed.
type callQueue struct {
	maxPending int
	// wakeup receives a value when a call is added to sendQueue.
	wakeup chan struct{}

	mu      sync.Mutex
	lastSeq uint64
	// longPollsRefused is true once the entry is shutting down and refuses long polls.
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
		return nil, code.New(code.ShuttingDown, "")
	}
	if len(q.pending) >= q.maxPending {
		return nil, code.New(code.Overloaded, "%d requests are pending at this entry", len(q.pending))
	}
	q.lastSeq++
	item.Seq = q.lastSeq
	q.pending[q.lastSeq] = c
	q.enqueue(c)
	return c, nil
}

// enqueue appends the call to the send queue unless it is queued already. The caller
// holds mu.
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

// dequeue removes up to maxItems calls from the send queue and returns those that are
// still pending.
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
			continue // completed or abandoned since it was queued
		}
		batchBytes += proto.Size(c.item)
		batch = append(batch, c)
		c.resendAt = now.Add(longPollTimeout(c.item) + resendMargin)
	}
	clear(q.sendQueue[:examined])
	q.sendQueue = q.sendQueue[examined:]
	return batch
}

// prepareForPush marks every call of the batch as one whose item may have arrived. It
// returns the items with their remaining time budgets, and the calls that were not
// marked before.
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

// markNotArrived clears the mark of calls whose only Push provably was not processed:
// it was never sent, or the replica answered that it is not the leader.
func (q *callQueue) markNotArrived(calls []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range calls {
		c.mayHaveArrived = false
	}
}

// requeuePending puts those of the calls that are still pending back into the send
// queue.
func (q *callQueue) requeuePending(calls []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range calls {
		if q.pending[c.item.Seq] == c {
			q.enqueue(c)
		}
	}
}

// requeueAll puts all pending calls into the send queue, in the order in which they
// were added.
func (q *callQueue) requeueAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, seq := range slices.Sorted(maps.Keys(q.pending)) {
		q.enqueue(q.pending[seq])
	}
}

// requeueOverdue queues calls again whose items were pushed but not answered in time,
// as far as the limiter allows. Such a call lost its Push or its reply, or the leader
// lost its queue.
func (q *callQueue) requeueOverdue(now time.Time, limiter *rate.Limiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	requeuedCount := 0
	for _, c := range q.pending {
		if c.queued || !c.mayHaveArrived || now.Before(c.resendAt) {
			continue
		}
		if !limiter.Allow() {
			return requeuedCount
		}
		q.enqueue(c)
		requeuedCount++
	}
	return requeuedCount
}

// failUnsent fails the calls that were added before the given time and whose items
// cannot have arrived at a leader.
func (q *callQueue) failUnsent(addedBefore time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.pending {
		if !c.mayHaveArrived && c.addedAt.Before(addedBefore) {
			q.complete(c, callResult{err: q.noReplyError(c, "no leader was found")})
		}
	}
}

// failAddedBefore fails all calls that were added before the given time, because there
// is no contact with the leader.
func (q *callQueue) failAddedBefore(addedBefore time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	failedCount := 0
	for _, c := range q.pending {
		if c.addedAt.Before(addedBefore) {
			q.complete(c, callResult{err: q.noReplyError(c, "no contact with the leader")})
			failedCount++
		}
	}
	return failedCount
}

// endLongPolls fails all pending long polls with ShuttingDown and makes add refuse new ones.
func (q *callQueue) endLongPolls() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.longPollsRefused = true
	for _, c := range q.pending {
		if longPollTimeout(c.item) > 0 {
			q.complete(c, callResult{err: code.New(code.ShuttingDown, "")})
		}
	}
}

// deliver passes a reply to the requester. It drops a late or duplicate reply and
// returns false, so each seq is answered at most once.
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

// failRefused fails calls whose items the leader refused because its queue is full. The
// caller passes only calls whose items no earlier Push can have delivered.
func (q *callQueue) failRefused(calls []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range calls {
		if q.pending[c.item.Seq] == c {
			q.complete(c, callResult{err: code.New(code.Overloaded, "the leader's queue is full")})
		}
	}
}

// complete removes the call and passes the result to the requester. The caller holds mu.
func (q *callQueue) complete(c *call, result callResult) {
	delete(q.pending, c.item.Seq)
	c.result <- result
}

// abandon removes the call of a requester that stops waiting. It returns the result if
// one arrived in the meantime.
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

// noReplyError returns the error for a call without a reply. The code is
// ControlUnreachable only if no Push that carried the item can have reached a leader, and
// LeaderTimeout otherwise. The caller holds mu.
func (q *callQueue) noReplyError(c *call, reason string) error {
	if c.mayHaveArrived {
		return code.New(code.LeaderTimeout, "%s", reason)
	}
	return code.New(code.ControlUnreachable, "%s", reason)
}

// longPollTimeout returns how long the leader may hold the item before it answers, zero
// for items that are not long polls.
func longPollTimeout(item *inner.Item) time.Duration {
	switch ask := item.GetAsk().(type) {
	case *inner.Item_Wait:
		return time.Duration(ask.Wait.GetPatience()) * time.Millisecond
	case *inner.Item_Sync:
		return time.Duration(ask.Sync.GetPatience()) * time.Millisecond
	}
	return 0
}
