// Package roster decides who belongs to a control group that grows and repairs
// itself. It is pure: the next change follows from the picture it is given.
package roster

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Times of the decisions.
const (
	// Settled is how long a leader must have led before it takes silence for
	// absence: whoever lives makes itself known several times in it.
	Settled = 1500 * time.Millisecond
	// Absent is how long a voter must have been silent before one that waits
	// with the whole log takes its place. A voter that was only stopped for a
	// moment loses nothing by that: it comes back as a learner.
	Absent = 1500 * time.Millisecond
	// Alive is the greatest silence of a replica that is taken in.
	Alive = time.Second
)

// extra is how many learners may wait beside a full group.
const extra = 2

// Known is a replica that made itself known to the leader.
type Known struct {
	quorum.Member
	// Silent is how long ago it was last heard of.
	Silent time.Duration
}

// View is the picture that a decision is made of.
type View struct {
	// Self is the leader.
	Self    string
	Members []quorum.Member
	Known   []Known
	// Target is the number of voters that the group is to have.
	Target int
	// Watched is how long the leader has led.
	Watched time.Duration
	// Synced tells whether a member has the whole log on its disk.
	Synced func(id string) bool
}

// Change is one change of the membership.
type Change struct {
	Member quorum.Member
	Remove bool
	// Cause says why, for the log.
	Cause string
}

// Decide returns the next change, if there is one to make.
func Decide(v View) (Change, bool) {
	slices.SortFunc(v.Known, func(a, b Known) int { return cmp.Compare(a.ID, b.ID) })
	for _, find := range []func(View) (Change, bool){replaced, newcomer, promoted, absent, stale} {
		if c, ok := find(v); ok {
			return c, true
		}
	}
	return Change{}, false
}

// replaced finds a member at whose address another identity lives: its disk is
// gone, so it will never come back, and it must not be counted on for a quorum.
func replaced(v View) (Change, bool) {
	for _, k := range v.Known {
		if k.Silent > Alive || v.member(k.ID) {
			continue
		}
		for _, m := range v.Members {
			if m.ID != v.Self && m.Address == k.Address {
				return Change{Member: m, Remove: true, Cause: "its disk was replaced"}, true
			}
		}
	}
	return Change{}, false
}

// newcomer takes a replica in as a learner, also beside a full group: it has the
// log when a voter turns out to be gone.
func newcomer(v View) (Change, bool) {
	if len(v.Members) >= v.Target+extra {
		return Change{}, false
	}
	for _, k := range v.Known {
		if k.Silent <= Alive && !v.member(k.ID) {
			m := k.Member
			m.Learner = true
			return Change{Member: m, Cause: "it asks to be taken in"}, true
		}
	}
	return Change{}, false
}

// promoted lets a learner vote that has the log, while votes are missing.
func promoted(v View) (Change, bool) {
	if v.voters() >= v.Target {
		return Change{}, false
	}
	for _, m := range v.Members {
		if m.Learner && v.silent(m.ID) <= Alive && v.Synced(m.ID) {
			m.Learner = false
			return Change{Member: m, Cause: "a voter is missing"}, true
		}
	}
	return Change{}, false
}

// absent removes a silent voter of a full group when a learner that has the log
// can vote in its place. A voter that merely restarts keeps its place while
// nobody waits for it.
func absent(v View) (Change, bool) {
	if v.Watched < Settled || v.voters() < v.Target {
		return Change{}, false
	}
	waits := slices.ContainsFunc(v.Members, func(m quorum.Member) bool {
		return m.Learner && v.silent(m.ID) <= Alive && v.Synced(m.ID)
	})
	if !waits {
		return Change{}, false
	}
	for _, m := range v.Members {
		if !m.Learner && m.ID != v.Self && v.silent(m.ID) > Absent {
			return Change{Member: m, Remove: true, Cause: "it is silent and another waits"}, true
		}
	}
	return Change{}, false
}

// stale removes a learner that is silent, so that it does not take the place of
// one that waits.
func stale(v View) (Change, bool) {
	if v.Watched < Settled || len(v.Members) < v.Target+extra {
		return Change{}, false
	}
	for _, m := range v.Members {
		if m.Learner && v.silent(m.ID) > Absent {
			return Change{Member: m, Remove: true, Cause: "it is silent"}, true
		}
	}
	return Change{}, false
}

func (v View) member(id string) bool {
	return slices.ContainsFunc(v.Members, func(m quorum.Member) bool { return m.ID == id })
}

func (v View) voters() int {
	n := 0
	for _, m := range v.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// silent returns how long ago a replica was last heard of; as long as the
// leader leads for one that never was.
func (v View) silent(id string) time.Duration {
	for _, k := range v.Known {
		if k.ID == id {
			return k.Silent
		}
	}
	return v.Watched
}
