package group

import (
	"context"
	"slices"
	"sync"
)

// notificationQueue is an unbounded queue of notifications for the control thread.
// Adding a notification never blocks, so the event loop and the control thread
// cannot wait for each other. Commit indexes and confirmations that accumulate
// while the control thread is busy are merged.
type notificationQueue struct {
	deliveries chan Notification
	// wakeup tells run that the queue has changed.
	wakeup chan struct{}
	// discardInFlight tells run to drop the notification that it is delivering. The send
	// blocks until run has received it.
	discardInFlight chan struct{}
	// stopped is closed when run returns.
	stopped chan struct{}

	mu      sync.Mutex
	queue   []queuedNotification
	lastSeq uint64
}

// queuedNotification is an element of the notification queue.
type queuedNotification struct {
	// seq identifies the element. A notification that replaces an older one in the
	// queue gets a new number.
	seq          uint64
	notification Notification
}

func newNotificationQueue() *notificationQueue {
	return &notificationQueue{
		deliveries: make(chan Notification), wakeup: make(chan struct{}, 1),
		discardInFlight: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// put adds a notification without blocking.
func (q *notificationQueue) put(n Notification) {
	q.mu.Lock()
	if len(q.queue) == 0 && q.deliverDirectly(n) {
		q.mu.Unlock()
		return
	}
	q.lastSeq++
	item := queuedNotification{seq: q.lastSeq, notification: n}
	if i := q.replaceableIndex(n); i >= 0 {
		q.queue[i] = item
	} else {
		q.queue = append(q.queue, item)
	}
	q.mu.Unlock()
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// deliverDirectly passes a notification to the control thread if that is waiting
// for one, which saves a goroutine switch. It must only be called while the queue
// is empty, since it would otherwise overtake earlier notifications.
func (q *notificationQueue) deliverDirectly(n Notification) bool {
	select {
	case q.deliveries <- n:
		return true
	default:
		return false
	}
}

// replaceableIndex returns the position of an older CommitAdvanced or
// LeadershipConfirmed notification that n can replace, or -1. Only a notification
// of the other of these two types may come after the replaced one. All other
// notifications keep their order.
func (q *notificationQueue) replaceableIndex(n Notification) int {
	for i := len(q.queue) - 1; i >= max(0, len(q.queue)-2); i-- {
		switch older := q.queue[i].notification.(type) {
		case CommitAdvanced:
			if _, ok := n.(CommitAdvanced); ok {
				return i
			}
		case LeadershipConfirmed:
			if c, ok := n.(LeadershipConfirmed); ok && c.Term == older.Term {
				return i
			}
		default:
			return -1
		}
	}
	return -1
}

// discardLogNotifications removes the notifications that a reload makes invalid,
// including the one that run is delivering.
func (q *notificationQueue) discardLogNotifications() {
	q.mu.Lock()
	q.queue = slices.DeleteFunc(q.queue, func(item queuedNotification) bool {
		switch item.notification.(type) {
		case ApplyEntries, CommitAdvanced, LeadershipConfirmed, Leading, RestoreSnapshot:
			return true
		}
		return false
	})
	q.mu.Unlock()
	select {
	case q.discardInFlight <- struct{}{}:
	case <-q.stopped:
	}
}

func (q *notificationQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue)
}

func (q *notificationQueue) first() (queuedNotification, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		return queuedNotification{}, false
	}
	return q.queue[0], true
}

// removeDelivered removes the delivered notification from the queue, unless a
// newer one has replaced it.
func (q *notificationQueue) removeDelivered(seq uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) > 0 && q.queue[0].seq == seq {
		q.queue[0] = queuedNotification{}
		q.queue = q.queue[1:]
	}
}

// run delivers the queued notifications one by one until ctx ends.
func (q *notificationQueue) run(ctx context.Context) {
	defer close(q.stopped)
	for {
		item, ok := q.first()
		deliveries := q.deliveries
		if !ok {
			deliveries = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wakeup:
		case <-q.discardInFlight:
		case deliveries <- item.notification:
			q.removeDelivered(item.seq)
		}
	}
}
