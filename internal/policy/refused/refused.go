// Package refused remembers ids that were refused as not run. An earlier request with the same
// id may still be on its way. If it were accepted, work would run after a caller was told that
// it does not. The package has no side effects.
package refused

import "time"

// Limits of a set.
const (
	// MaxAge is how long an id is kept. An entry passes a request on for at most half of its
	// caller's time, and no attempt stays at the leader for more than five seconds.
	MaxAge = 10 * time.Second
	// MaxIDs limits the refusals in a set, and so its size to about a megabyte. While it is full,
	// nothing more may be refused.
	MaxIDs = 16_384
)

// Set holds recently refused ids. The zero value is empty.
type Set struct {
	byID map[string]span
	// queue holds the refusals in order of time.
	queue []refusal
}

// span is the time from the first to the last refusal of an id.
type span struct{ first, last time.Duration }

type refusal struct {
	id string
	at time.Duration
}

// Add adds a refusal and removes those that are older than MaxAge.
func (s *Set) Add(id string, now time.Duration) {
	s.removeExpired(now)
	if s.byID == nil {
		s.byID = map[string]span{}
	}
	first := now
	if previous, ok := s.byID[id]; ok {
		first = previous.first
	}
	s.byID[id] = span{first, now}
	s.queue = append(s.queue, refusal{id, now})
}

// Full reports whether the set can hold no further refusal.
func (s *Set) Full(now time.Duration) bool {
	s.removeExpired(now)
	return len(s.queue) >= MaxIDs
}

// Covers reports whether a request may be older than the latest refusal of its id, and so must
// be refused as well. begun is the earliest time at which the request may have begun, or 0 if it
// is not known.
func (s *Set) Covers(id string, begun, now time.Duration) bool {
	s.removeExpired(now)
	refused, ok := s.byID[id]
	return ok && begun < refused.last
}

// Age returns the time since the first refusal of an id, or 0 if it was not refused. A caller
// that returns has waited for that long.
func (s *Set) Age(id string, now time.Duration) time.Duration {
	if refused, ok := s.byID[id]; ok {
		return now - refused.first
	}
	return 0
}

// removeExpired removes the refusals that are older than MaxAge.
func (s *Set) removeExpired(now time.Duration) {
	n := 0
	for ; n < len(s.queue) && now-s.queue[n].at > MaxAge; n++ {
		if r := s.queue[n]; s.byID[r.id].last == r.at {
			delete(s.byID, r.id)
		}
	}
	if s.queue = s.queue[n:]; len(s.queue) == 0 {
		s.queue, s.byID = nil, nil
	}
}
