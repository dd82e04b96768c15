package group

import (
	"context"
	"slices"
	"sync"
)

// outbox is the queue of notes. It takes every note at once, so that the group
// never waits for a control thread that waits for the group; what would pile up
// while the control thread is busy is merged.
type outbox struct {
	out chan Notification
	// changed and reset make run look at the queue again; reset waits for it.
	changed chan struct{}
	reset   chan struct{}
	stopped chan struct{}

	mu    sync.Mutex
	queue []queued
	seq   uint64
}

// queued is a note with a number, which a merge changes.
type queued struct {
	seq  uint64
	note Notification
}

func newOutbox() *outbox {
	return &outbox{
		out: make(chan Notification), changed: make(chan struct{}, 1),
		reset: make(chan struct{}), stopped: make(chan struct{}),
	}
}

func (o *outbox) put(n Notification) {
	o.mu.Lock()
	if len(o.queue) == 0 && o.direct(n) {
		o.mu.Unlock()
		return
	}
	o.seq++
	q := queued{seq: o.seq, note: n}
	if i := o.mergeable(n); i >= 0 {
		o.queue[i] = q
	} else {
		o.queue = append(o.queue, q)
	}
	o.mu.Unlock()
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// direct hands a note to a control thread that is waiting for one, which saves a
// change of goroutine. With an empty queue, no earlier note is on its way.
func (o *outbox) direct(n Notification) bool {
	select {
	case o.out <- n:
		return true
	default:
		return false
	}
}

// mergeable gives the place of an older Commit or Confirmed that n replaces, if
// only the other kind stands between them; all else keeps its order.
func (o *outbox) mergeable(n Notification) int {
	for i := len(o.queue) - 1; i >= max(0, len(o.queue)-2); i-- {
		switch old := o.queue[i].note.(type) {
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

// forget drops what a restore makes void, also the note that is being handed out.
func (o *outbox) forget() {
	o.mu.Lock()
	o.queue = slices.DeleteFunc(o.queue, func(q queued) bool {
		switch q.note.(type) {
		case ApplyEntries, CommitAdvanced, LeadershipConfirmed, Leading, RestoreSnapshot:
			return true
		}
		return false
	})
	o.mu.Unlock()
	select {
	case o.reset <- struct{}{}:
	case <-o.stopped:
	}
}

func (o *outbox) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue)
}

func (o *outbox) first() (queued, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return queued{}, false
	}
	return o.queue[0], true
}

// drop removes the note that was handed out, unless a newer one took its place.
func (o *outbox) drop(seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) > 0 && o.queue[0].seq == seq {
		o.queue[0] = queued{}
		o.queue = o.queue[1:]
	}
}

// run hands the notes out one by one.
func (o *outbox) run(ctx context.Context) {
	defer close(o.stopped)
	for {
		q, ok := o.first()
		out := o.out
		if !ok {
			out = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-o.changed:
		case <-o.reset:
		case out <- q.note:
			o.drop(q.seq)
		}
	}
}
