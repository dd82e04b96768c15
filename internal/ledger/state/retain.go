package state

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/domain/capacity"
)

// retained is something that retention will let go, and since when it waits.
type retained[K any] struct {
	key   K
	since time.Duration
}

// retentionQueue holds aged things, the oldest first. What was removed otherwise is
// found missing when its turn comes.
type retentionQueue[K any] struct {
	items []retained[K]
}

func (q *retentionQueue[K]) push(a retained[K]) { q.items = append(q.items, a) }

// sort restores the order after a snapshot, which holds records by name.
func (q *retentionQueue[K]) sort() {
	slices.SortStableFunc(q.items, func(a, b retained[K]) int { return cmp.Compare(a.since, b.since) })
}

// popOlderThan returns up to most keys older than the time given that keep still
// accepts, and drops from the front what it does not.
func (q *retentionQueue[K]) popOlderThan(at time.Duration, limit int, eligible func(retained[K]) bool) []K {
	var out []K
	n := 0
	for n < len(q.items) && q.items[n].since < at && len(out) < limit {
		if eligible(q.items[n]) {
			out = append(out, q.items[n].key)
		}
		n++
	}
	q.items = q.items[n:]
	return out
}

// trim drops what is gone from the front, on replicas that only apply: there
// nothing else would ever shorten the queue.
func (q *retentionQueue[K]) trim(exists func(K) bool) {
	for len(q.items) > 0 && !exists(q.items[0].key) {
		q.items = q.items[1:]
	}
}

// trimRetention shortens the queues after records were removed.
func (s *State) trimRetention() {
	s.endedJobs.trim(func(n uint64) bool { _, ok := s.jobs[n]; return ok })
	s.completedChanges.trim(func(id string) bool { _, ok := s.changeResults[id]; return ok })
	s.goneServers.trim(func(id string) bool { _, ok := s.servers[id]; return ok })
}

// ExpiredRecords returns what retention lets go: final jobs, answers to changes and
// gone servers older than the time given. It takes them from its queues, so the
// caller commits the result.
func (s *State) ExpiredRecords(at time.Duration, limit int) *record.Forget {
	return &record.Forget{
		Jobs: s.endedJobs.popOlderThan(at, limit, func(a retained[uint64]) bool {
			j, ok := s.jobs[a.key]
			return ok && j.Final()
		}),
		Changes: s.completedChanges.popOlderThan(at, limit, func(a retained[string]) bool {
			_, ok := s.changeResults[a.key]
			return ok
		}),
		Servers: s.goneServers.popOlderThan(at, limit, func(a retained[string]) bool {
			b, ok := s.servers[a.key]
			return ok && b.Server.State == gone && b.Since == a.since
		}),
	}
}

// ServerCapacities returns the capacities that servers which are not gone have, in no
// fixed order.
func (s *State) ServerCapacities() []capacity.Size {
	out := make([]capacity.Size, 0, len(s.serversByCapacity))
	for c := range s.serversByCapacity {
		out = append(out, c)
	}
	return out
}

// TotalCapacity returns the capacity of all servers that are not gone.
func (s *State) TotalCapacity() capacity.Size { return s.totalCapacity }

// Backlog returns what waits in the cell.
func (s *State) Backlog() Backlog { return s.backlog }
