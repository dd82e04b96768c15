package state

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/domain/capacity"
)

// retained is a record that waits for the end of its retention period.
type retained[K any] struct {
	key   K
	since time.Duration
}

// retentionQueue holds retained records, oldest first. A record that was removed in
// another way stays in the queue and is skipped when it reaches the front.
type retentionQueue[K any] struct {
	items []retained[K]
}

func (q *retentionQueue[K]) push(a retained[K]) { q.items = append(q.items, a) }

// sort restores the order by age after a snapshot was read, because a snapshot stores
// records sorted by key.
func (q *retentionQueue[K]) sort() {
	slices.SortStableFunc(q.items, func(a, b retained[K]) int { return cmp.Compare(a.since, b.since) })
}

// popOlderThan removes records older than the given time from the front of the queue
// until it has found limit eligible ones. It returns the keys of the eligible ones.
func (q *retentionQueue[K]) popOlderThan(cutoff time.Duration, limit int, eligible func(retained[K]) bool) []K {
	var out []K
	n := 0
	for n < len(q.items) && q.items[n].since < cutoff && len(out) < limit {
		if eligible(q.items[n]) {
			out = append(out, q.items[n].key)
		}
		n++
	}
	q.items = q.items[n:]
	return out
}

// trim removes the records that no longer exist from the front of the queue. On
// followers nothing else shortens the queue, because only the leader calls
// popOlderThan.
func (q *retentionQueue[K]) trim(exists func(K) bool) {
	for len(q.items) > 0 && !exists(q.items[0].key) {
		q.items = q.items[1:]
	}
}

// trimRetention shortens the retention queues after records were removed.
func (s *State) trimRetention() {
	s.endedJobs.trim(func(n uint64) bool { _, ok := s.jobs[n]; return ok })
	s.completedChanges.trim(func(id string) bool { _, ok := s.changeResults[id]; return ok })
	s.goneServers.trim(func(id string) bool { _, ok := s.servers[id]; return ok })
}

// ExpiredRecords returns the final jobs, results of changes and gone servers that are
// older than the given time. It removes them from the retention queues, so the caller
// must commit the returned command.
func (s *State) ExpiredRecords(cutoff time.Duration, limit int) *record.Forget {
	return &record.Forget{
		Jobs: s.endedJobs.popOlderThan(cutoff, limit, func(item retained[uint64]) bool {
			j, ok := s.jobs[item.key]
			return ok && j.Final()
		}),
		Changes: s.completedChanges.popOlderThan(cutoff, limit, func(item retained[string]) bool {
			_, ok := s.changeResults[item.key]
			return ok
		}),
		Servers: s.goneServers.popOlderThan(cutoff, limit, func(item retained[string]) bool {
			b, ok := s.servers[item.key]
			return ok && b.Server.State == gone && b.StateSince == item.since
		}),
	}
}

// ServerCapacities returns the distinct capacities of all servers that are not gone, in
// no particular order.
func (s *State) ServerCapacities() []capacity.Size {
	out := make([]capacity.Size, 0, len(s.serversByCapacity))
	for c := range s.serversByCapacity {
		out = append(out, c)
	}
	return out
}

// TotalCapacity returns the capacity of all servers that are not gone.
func (s *State) TotalCapacity() capacity.Size { return s.totalCapacity }

// Backlog returns the counts of the work that waits in the cell.
func (s *State) Backlog() Backlog { return s.backlog }
