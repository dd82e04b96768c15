// Package recovery orders the requests that a new leader sends to the backend servers to learn
// what they run, and limits how many are sent at a time. It has no side effects. If the leader
// contacted all servers at once, its process would be busy for longer than the election
// timeout, and it would lose its leadership.
package recovery

import "time"

const (
	// maxPending is the maximum number of requests without an answer.
	maxPending = 32
	// pendingTimeout is the time for which an unanswered request counts as pending. Silent
	// servers must not delay the others.
	pendingTimeout = 150 * time.Millisecond
)

// Priority is the class of a server in the queue.
type Priority uint8

// Priorities, the highest first.
const (
	// Urgent is for servers that run urgent work.
	Urgent Priority = iota
	// Busy is for servers that run other work only.
	Busy
	// Idle is for servers that run nothing.
	Idle
	priorityCount
)

// Queue holds the servers that are still to be contacted. The zero value is empty.
type Queue[T comparable] struct {
	waiting [priorityCount][]T
	pending map[T]time.Duration
}

// Add appends a server with the given priority.
func (q *Queue[T]) Add(v T, p Priority) { q.waiting[p] = append(q.waiting[p], v) }

// Next returns the next server to contact. It returns false if there is none or too many
// requests are pending.
func (q *Queue[T]) Next(now time.Duration) (T, bool) {
	var zero T
	if len(q.pending) >= maxPending {
		q.dropTimedOut(now)
	}
	if len(q.pending) >= maxPending {
		return zero, false
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
	return zero, false
}

// Done marks the request to a server as answered or failed.
func (q *Queue[T]) Done(v T) { delete(q.pending, v) }

// dropTimedOut stops counting requests that were sent at least pendingTimeout ago.
func (q *Queue[T]) dropTimedOut(now time.Duration) {
	for v, askedAt := range q.pending {
		if now-askedAt >= pendingTimeout {
			delete(q.pending, v)
		}
	}
}
