// Package setaside remembers what is left out of plans for a time because the work for it went
// beyond all bounds. Such work would take the time of all other work, again and again. The package
// has no side effects.
package setaside

import "time"

// Limits of a set.
const (
	// minPause is the time for which a value is set aside first. Work that a person waits for can
	// still begin in time if the cause has gone by then. The time doubles with each repetition.
	minPause = time.Second
	// maxPause is the longest time for which a value is set aside. Its work should begin within
	// about a minute after the cause has gone.
	maxPause = time.Minute
	// maxValues limits the values in a set, and so its size to some hundred kilobytes.
	maxValues = 1000
)

// Set holds values that are set aside. The zero value is empty.
type Set[T comparable] struct{ entries map[T]entry }

// entry is the time until which a value is set aside, and for how long it was.
type entry struct{ until, pause time.Duration }

// forgetAt returns the time after which a repetition begins again with the shortest pause.
func (e entry) forgetAt() time.Duration { return e.until + maxPause }

// Add sets a value aside and returns for how long.
func (s *Set[T]) Add(v T, now time.Duration) time.Duration {
	s.removeForgotten(now)
	old, known := s.entries[v]
	if known && now < old.until {
		return old.until - now // a repetition counts once it was tried again
	}
	if !known && len(s.entries) >= maxValues {
		s.removeFirst()
	}
	if s.entries == nil {
		s.entries = map[T]entry{}
	}
	pause := min(max(2*old.pause, minPause), maxPause)
	s.entries[v] = entry{now + pause, pause}
	return pause
}

// Contains reports whether a value is set aside.
func (s *Set[T]) Contains(v T, now time.Duration) bool { return now < s.entries[v].until }

// Present returns the values that are set aside, nil if there are none.
func (s *Set[T]) Present(now time.Duration) (out map[T]bool) {
	for v, e := range s.entries {
		if now >= e.until {
			continue
		}
		if out == nil {
			out = map[T]bool{}
		}
		out[v] = true
	}
	return out
}

// removeForgotten removes the values whose repetitions no longer count.
func (s *Set[T]) removeForgotten(now time.Duration) {
	for v, e := range s.entries {
		if now >= e.forgetAt() {
			delete(s.entries, v)
		}
	}
}

// removeFirst removes the value that is to be tried again first.
func (s *Set[T]) removeFirst() {
	var first T
	found := false
	for v, e := range s.entries {
		if !found || e.until < s.entries[first].until {
			first, found = v, true
		}
	}
	delete(s.entries, first)
}
