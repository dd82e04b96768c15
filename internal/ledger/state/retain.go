package state

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/domain/capacity"
)

// aged is something that retention will let go, and since when it waits.
type aged[K any] struct {
	key K
	at  time.Duration
}

// queue holds aged things, the oldest first. What was removed otherwise is
// found missing when its turn comes.
type queue[K any] struct {
	items []aged[K]
}

func (q *queue[K]) push(a aged[K]) { q.items = append(q.items, a) }

// sort restores the order after a snapshot, which holds records by name.
func (q *queue[K]) sort() {
	slices.SortStableFunc(q.items, func(a, b aged[K]) int { return cmp.Compare(a.at, b.at) })
}

// before returns up to most keys older than the time given that keep still
// accepts, and drops from the front what it does not.
func (q *queue[K]) before(at time.Duration, most int, keep func(aged[K]) bool) []K {
	var out []K
	n := 0
	for n < len(q.items) && q.items[n].at < at && len(out) < most {
		if keep(q.items[n]) {
			out = append(out, q.items[n].key)
		}
		n++
	}
	q.items = q.items[n:]
	return out
}

// trim drops what is gone from the front, on replicas that only apply: there
// nothing else would ever shorten the queue.
func (q *queue[K]) trim(there func(K) bool) {
	for len(q.items) > 0 && !there(q.items[0].key) {
		q.items = q.items[1:]
	}
}

// trim shortens the queues after records were removed.
func (s *State) trim() {
	s.ended.trim(func(n uint64) bool { _, ok := s.jobs[n]; return ok })
	s.told.trim(func(id string) bool { _, ok := s.answers[id]; return ok })
	s.left.trim(func(id string) bool { _, ok := s.servers[id]; return ok })
}

// ExpiredRecords returns what retention lets go: final jobs, answers to changes and
// gone servers older than the time given. It takes them from its queues, so the
// caller commits the result.
func (s *State) ExpiredRecords(at time.Duration, most int) *record.Forget {
	return &record.Forget{
		Jobs: s.ended.before(at, most, func(a aged[uint64]) bool {
			j, ok := s.jobs[a.key]
			return ok && j.Final()
		}),
		Changes: s.told.before(at, most, func(a aged[string]) bool {
			_, ok := s.answers[a.key]
			return ok
		}),
		Servers: s.left.before(at, most, func(a aged[string]) bool {
			b, ok := s.servers[a.key]
			return ok && b.Server.State == gone && b.Since == a.at
		}),
	}
}

// ServerCapacities returns the capacities that servers which are not gone have, in no
// fixed order.
func (s *State) ServerCapacities() []capacity.Size {
	out := make([]capacity.Size, 0, len(s.classes))
	for c := range s.classes {
		out = append(out, c)
	}
	return out
}

// TotalCapacity returns the capacity of all servers that are not gone.
func (s *State) TotalCapacity() capacity.Size { return s.total }

// Backlog returns what waits in the cell.
func (s *State) Backlog() Backlog { return s.backlog }
