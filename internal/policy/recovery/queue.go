// Package intake decides in which order a leader asks backend servers for the first
// time what they hold, and how many at once. It is pure. All asked in one moment
// would keep the process busy for longer than its group waits for a heartbeat, and
// the leader would lose the lead by its own work.
package recovery

import "time"

const (
	// maxPending is how many first answers are waited for at once.
	maxPending = 32
	// pendingTimeout is how long one counts: servers that do not answer must not hold up
	// those that do.
	pendingTimeout = 150 * time.Millisecond
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
	priorityCount
)

// Queue is what is still to be asked. The zero value is empty.
type Queue[T comparable] struct {
	waiting [priorityCount][]T
	pending map[T]time.Duration
}

// Add puts one more into the queue.
func (q *Queue[T]) Add(v T, p Priority) { q.waiting[p] = append(q.waiting[p], v) }

// Next returns who is asked now; false when nobody is, or enough are.
func (q *Queue[T]) Next(now time.Duration) (T, bool) {
	var none T
	if len(q.pending) >= maxPending {
		q.dropTimedOut(now)
	}
	if len(q.pending) >= maxPending {
		return none, false
	}
	for p, servers := range q.waiting {
		if len(servers) == 0 {
			continue
		}
		q.waiting[p] = servers[1:]
		if q.pending == nil {
			q.pending = map[T]time.Duration{}
		}
		q.pending[servers[0]] = now
		return servers[0], true
	}
	return none, false
}

// Done notes that one has answered, or failed.
func (q *Queue[T]) Done(v T) { delete(q.pending, v) }

// dropTimedOut leaves out those that were asked too long ago.
func (q *Queue[T]) dropTimedOut(now time.Duration) {
	for v, askedAt := range q.pending {
		if now-askedAt >= pendingTimeout {
			delete(q.pending, v)
		}
	}
}
