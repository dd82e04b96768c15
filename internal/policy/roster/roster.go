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
	// MinLeaderTime is how long a leader must have led before it takes silence for
	// absence: whoever lives makes itself known several times in it.
	MinLeaderTime = 1500 * time.Millisecond
	// AbsentAfter is how long a voter must have been silent before one that waits
	// with the whole log takes its place. A voter that was only stopped for a
	// moment loses nothing by that: it comes back as a learner.
	AbsentAfter = 1500 * time.Millisecond
	// AliveWithin is the greatest silence of a replica that is taken in.
	AliveWithin = time.Second
)

// extra is how many learners may wait beside a full group.
const extra = 2

// KnownReplica is a replica that made itself known to the leader.
type KnownReplica struct {
	quorum.Member
	// SilentFor is how long ago it was last heard of.
	SilentFor time.Duration
}

// GroupView is the picture that a decision is made of.
type GroupView struct {
	// Self is the leader.
	Self    string
	Members []quorum.Member
	Known   []KnownReplica
	// TargetVoters is the number of voters that the group is to have.
	TargetVoters int
	// LeadingFor is how long the leader has led.
	LeadingFor time.Duration
	// Synced tells whether a member has the whole log on its disk.
	Synced func(id string) bool
}

// Change is one change of the membership.
type Change struct {
	Member quorum.Member
	Remove bool
	// Reason says why, for the log.
	Reason string
}

// Decide returns the next change, if there is one to make.
func Decide(v GroupView) (Change, bool) {
	slices.SortFunc(v.Known, func(a, b KnownReplica) int { return cmp.Compare(a.ID, b.ID) })
	for _, find := range []func(GroupView) (Change, bool){replaced, newcomer, promoted, absent, stale} {
		if c, ok := find(v); ok {
			return c, true
		}
	}
	return Change{}, false
}

// replaced finds a member at whose address another identity lives: its disk is
// gone, so it will never come back, and it must not be counted on for a quorum.
func replaced(v GroupView) (Change, bool) {
	for _, k := range v.Known {
		if k.SilentFor > AliveWithin || v.member(k.ID) {
			continue
		}
		for _, m := range v.Members {
			if m.ID != v.Self && m.Address == k.Address {
				return Change{Member: m, Remove: true, Reason: "its disk was replaced"}, true
			}
		}
	}
	return Change{}, false
}

// newcomer takes a replica in as a learner, also beside a full group: it has the
// log when a voter turns out to be gone.
func newcomer(v GroupView) (Change, bool) {
	if len(v.Members) >= v.TargetVoters+extra {
		return Change{}, false
	}
	for _, k := range v.Known {
		if k.SilentFor <= AliveWithin && !v.member(k.ID) {
			m := k.Member
			m.Learner = true
			return Change{Member: m, Reason: "it asks to be taken in"}, true
		}
	}
	return Change{}, false
}

// promoted lets a learner vote that has the log, while votes are missing.
func promoted(v GroupView) (Change, bool) {
	if v.voters() >= v.TargetVoters {
		return Change{}, false
	}
	for _, m := range v.Members {
		if m.Learner && v.silent(m.ID) <= AliveWithin && v.Synced(m.ID) {
			m.Learner = false
			return Change{Member: m, Reason: "a voter is missing"}, true
		}
	}
	return Change{}, false
}

// absent removes a silent voter of a full group when a learner that has the log
// can vote in its place. A voter that merely restarts keeps its place while
// nobody waits for it.
func absent(v GroupView) (Change, bool) {
	if v.LeadingFor < MinLeaderTime || v.voters() < v.TargetVoters {
		return Change{}, false
	}
	waits := slices.ContainsFunc(v.Members, func(m quorum.Member) bool {
		return m.Learner && v.silent(m.ID) <= AliveWithin && v.Synced(m.ID)
	})
	if !waits {
		return Change{}, false
	}
	for _, m := range v.Members {
		if !m.Learner && m.ID != v.Self && v.silent(m.ID) > AbsentAfter {
			return Change{Member: m, Remove: true, Reason: "it is silent and another waits"}, true
		}
	}
	return Change{}, false
}

// stale removes a learner that is silent, so that it does not take the place of
// one that waits.
func stale(v GroupView) (Change, bool) {
	if v.LeadingFor < MinLeaderTime || len(v.Members) < v.TargetVoters+extra {
		return Change{}, false
	}
	for _, m := range v.Members {
		if m.Learner && v.silent(m.ID) > AbsentAfter {
			return Change{Member: m, Remove: true, Reason: "it is silent"}, true
		}
	}
	return Change{}, false
}

func (v GroupView) member(id string) bool {
	return slices.ContainsFunc(v.Members, func(m quorum.Member) bool { return m.ID == id })
}

func (v GroupView) voters() int {
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
func (v GroupView) silent(id string) time.Duration {
	for _, k := range v.Known {
		if k.ID == id {
			return k.SilentFor
		}
	}
	return v.LeadingFor
}
