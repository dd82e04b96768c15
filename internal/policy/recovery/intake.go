// Package intake decides in which order a leader asks backend servers for the first
// time what they hold, and how many at once. It is pure. All asked in one moment
// would keep the process busy for longer than its group waits for a heartbeat, and
// the leader would lose the lead by its own work.
package recovery

import "time"

const (
	// most is how many first answers are waited for at once.
	most = 32
	// patience is how long one counts: servers that do not answer must not hold up
	// those that do.
	patience = 150 * time.Millisecond
)

// Priority is how soon a server is asked.
type Priority uint8

// The classes, the first ones first.
const (
	// Urgent is for servers that hold work that somebody waits for.
	Urgent Priority = iota
	// Busy is for servers that hold other work.
	Busy
	// Idle is for servers that hold none.
	Idle
	classes
)

// Queue is what is still to be asked. The zero value is empty.
type Queue[T comparable] struct {
	waiting [classes][]T
	asked   map[T]time.Duration
}

// Add puts one more into the queue.
func (q *Queue[T]) Add(v T, c Priority) { q.waiting[c] = append(q.waiting[c], v) }

// Next returns who is asked now; false when nobody is, or enough are.
func (q *Queue[T]) Next(now time.Duration) (T, bool) {
	var none T
	if len(q.asked) >= most {
		q.forget(now)
	}
	if len(q.asked) >= most {
		return none, false
	}
	for c, w := range q.waiting {
		if len(w) == 0 {
			continue
		}
		q.waiting[c] = w[1:]
		if q.asked == nil {
			q.asked = map[T]time.Duration{}
		}
		q.asked[w[0]] = now
		return w[0], true
	}
	return none, false
}

// Done notes that one has answered, or failed.
func (q *Queue[T]) Done(v T) { delete(q.asked, v) }

// forget leaves out those that were asked too long ago.
func (q *Queue[T]) forget(now time.Duration) {
	for v, at := range q.asked {
		if now-at >= patience {
			delete(q.asked, v)
		}
	}
}
