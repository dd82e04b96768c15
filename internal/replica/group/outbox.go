package group

import (
	"context"
	"slices"
	"sync"
)

// notificationQueue is the queue of notes. It takes every note at once, so that the group
// never waits for a control thread that waits for the group; what would pile up
// while the control thread is busy is merged.
type notificationQueue struct {
	out chan Notification
	// wakeup and reset make run look at the queue again; reset waits for it.
	wakeup    chan struct{}
	discarded chan struct{}
	stopped   chan struct{}

	mu      sync.Mutex
	queue   []queuedNotification
	lastSeq uint64
}

// queuedNotification is a note with a number, which a merge changes.
type queuedNotification struct {
	seq          uint64
	notification Notification
}

func newNotificationQueue() *notificationQueue {
	return &notificationQueue{
		out: make(chan Notification), wakeup: make(chan struct{}, 1),
		discarded: make(chan struct{}), stopped: make(chan struct{}),
	}
}

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

// deliverDirectly hands a note to a control thread that is waiting for one, which saves a
// change of goroutine. With an empty queue, no earlier note is on its way.
func (q *notificationQueue) deliverDirectly(n Notification) bool {
	select {
	case q.out <- n:
		return true
	default:
		return false
	}
}

// replaceableIndex gives the place of an older Commit or Confirmed that n replaces, if
// only the other kind stands between them; all else keeps its order.
func (q *notificationQueue) replaceableIndex(n Notification) int {
	for i := len(q.queue) - 1; i >= max(0, len(q.queue)-2); i-- {
		switch old := q.queue[i].notification.(type) {
		case CommitAdvanced:
			if _, ok := n.(CommitAdvanced); ok {
				return i
			}
		case LeadershipConfirmed:
			if c, ok := n.(LeadershipConfirmed); ok && c.Term == old.Term {
				return i
			}
		default:
			return -1
		}
	}
	return -1
}

// discardLogNotifications drops what a restore makes void, also the note that is being handed out.
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
	case q.discarded <- struct{}{}:
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

// removeDelivered removes the note that was handed out, unless a newer one took its place.
func (q *notificationQueue) removeDelivered(seq uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) > 0 && q.queue[0].seq == seq {
		q.queue[0] = queuedNotification{}
		q.queue = q.queue[1:]
	}
}

// run hands the notes out one by one.
func (q *notificationQueue) run(ctx context.Context) {
	defer close(q.stopped)
	for {
		item, ok := q.first()
		out := q.out
		if !ok {
			out = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wakeup:
		case <-q.discarded:
		case out <- item.notification:
			q.removeDelivered(item.seq)
		}
	}
}
