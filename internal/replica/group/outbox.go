package group

import (
	"context"
	"sync"
)

// outbox is the queue of notes. It takes every note at once, so that the group
// never waits for a control thread that waits for the group; what would pile up
// while the control thread is busy is merged.
type outbox struct {
	out   chan Note
	ready chan struct{}

	mu    sync.Mutex
	queue []Note
}

func newOutbox() *outbox {
	return &outbox{out: make(chan Note), ready: make(chan struct{}, 1)}
}

func (o *outbox) put(n Note) {
	o.mu.Lock()
	if !o.merge(n) {
		o.queue = append(o.queue, n)
	}
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// merge replaces an older Commit or Confirmed by a newer one, as long as only
// the other kind stands between them; it keeps the order of all else.
func (o *outbox) merge(n Note) bool {
	for i := len(o.queue) - 1; i >= 0 && i >= len(o.queue)-2; i-- {
		switch old := o.queue[i].(type) {
		case Commit:
			if _, ok := n.(Commit); ok {
				o.queue[i] = n
				return true
			}
		case Confirmed:
			if c, ok := n.(Confirmed); ok && c.Term == old.Term {
				o.queue[i] = n
				return true
			}
		default:
			return false
		}
	}
	return false
}

func (o *outbox) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue)
}

func (o *outbox) take() (Note, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return nil, false
	}
	n := o.queue[0]
	o.queue[0] = nil
	o.queue = o.queue[1:]
	return n, true
}

// run hands the notes out one by one.
func (o *outbox) run(ctx context.Context) {
	for {
		n, ok := o.take()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-o.ready:
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case o.out <- n:
		}
	}
}
