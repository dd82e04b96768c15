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
	Settled = 3 * time.Second
	// Absent is how long a replica must have been silent before another takes
	// its place. A restart is much shorter.
	Absent = 8 * time.Second
	// Alive is the greatest silence of a replica that is taken in.
	Alive = 2 * time.Second
)

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
	// Target is the number of members that the group is to have.
	Target int
	// Watched is how long the leader has led.
	Watched time.Duration
}

// Change is one change of the membership.
type Change struct {
	Member quorum.Member
	Remove bool
	// Cause says why, for the log.
	Cause string
}

// Decide returns the next change, if there is one to make. Learners that have
// caught up are promoted elsewhere.
func Decide(v View) (Change, bool) {
	slices.SortFunc(v.Known, func(a, b Known) int { return cmp.Compare(a.ID, b.ID) })
	for _, find := range []func(View) (Change, bool){replaced, missing, absent} {
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
			if m.ID != v.Self && m.ID != k.ID && m.Address == k.Address {
				return Change{Member: m, Remove: true, Cause: "its disk was replaced"}, true
			}
		}
	}
	return Change{}, false
}

// missing takes a replica in while the group is smaller than it should be.
func missing(v View) (Change, bool) {
	if len(v.Members) >= v.Target {
		return Change{}, false
	}
	for _, k := range v.Known {
		if k.Silent <= Alive && !v.member(k.ID) {
			m := k.Member
			m.Learner = true
			return Change{Member: m, Cause: "the group is too small"}, true
		}
	}
	return Change{}, false
}

// absent makes room for a replica that waits to be taken in, when a member has
// not been heard of for long. A member that merely restarts is not replaced
// while nobody waits.
func absent(v View) (Change, bool) {
	if v.Watched < max(Settled, Absent) {
		return Change{}, false
	}
	waits := slices.ContainsFunc(v.Known, func(k Known) bool { return k.Silent <= Alive && !v.member(k.ID) })
	if !waits {
		return Change{}, false
	}
	for _, m := range v.Members {
		if m.ID == v.Self || v.heard(m.ID) {
			continue
		}
		return Change{Member: m, Remove: true, Cause: "it was not heard of for long"}, true
	}
	return Change{}, false
}

func (v View) member(id string) bool {
	return slices.ContainsFunc(v.Members, func(m quorum.Member) bool { return m.ID == id })
}

func (v View) heard(id string) bool {
	return slices.ContainsFunc(v.Known, func(k Known) bool { return k.ID == id && k.Silent <= Absent })
}
