// Package roster decides the membership changes of a control group that grows and repairs
// itself. It is pure: the next change depends only on the GroupView that it is given.
package roster

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Time limits of the decisions.
const (
	// MinLeaderTime is how long a leader must have led before it treats a silent replica as
	// absent. Every live replica announces itself several times within this time.
	MinLeaderTime = 1500 * time.Millisecond
	// AbsentAfter is how long a voter must be silent before a learner with the whole log
	// replaces it. A voter that was stopped only briefly rejoins as a learner.
	AbsentAfter = 1500 * time.Millisecond
	// AliveWithin is the maximum time since its last announcement for a replica to join or to
	// be promoted.
	AliveWithin = time.Second
)

// maxExtraLearners is how many members a group may have beyond its target number of voters.
const maxExtraLearners = 2

// KnownReplica is a replica that has announced itself to the leader.
type KnownReplica struct {
	quorum.Member
	// SilentFor is the time since the last announcement of the replica.
	SilentFor time.Duration
}

// GroupView is the input of a decision: the group as the leader sees it.
type GroupView struct {
	// Self is the identity of the leader.
	Self    string
	Members []quorum.Member
	Known   []KnownReplica
	// TargetVoters is the number of voters that the group should have.
	TargetVoters int
	// LeadingFor is the time since the leader was elected.
	LeadingFor time.Duration
	// Synced reports whether a member has the whole log on its disk.
	Synced func(id string) bool
}

// Change is one membership change: Member is removed, or else added or updated.
type Change struct {
	Member quorum.Member
	Remove bool
	// Reason explains the change in the log.
	Reason string
}

// Decide returns the next change, or false if no change is needed.
func Decide(v GroupView) (Change, bool) {
	slices.SortFunc(v.Known, func(a, b KnownReplica) int { return cmp.Compare(a.ID, b.ID) })
	for _, nextChange := range []func(GroupView) (Change, bool){removeReplaced, addLearner, promoteLearner, removeAbsentVoter, removeSilentLearner} {
		if c, ok := nextChange(v); ok {
			return c, true
		}
	}
	return Change{}, false
}

// removeReplaced removes a member whose address is now used by a replica with another
// identity. The member lost its disk and never returns, so it must not count for the quorum.
func removeReplaced(v GroupView) (Change, bool) {
	for _, k := range v.Known {
		if k.SilentFor > AliveWithin || v.isMember(k.ID) {
			continue
		}
		for _, m := range v.Members {
			if m.ID != v.Self && m.Address == k.Address {
				return Change{Member: m, Remove: true, Reason: "replica was replaced by a new one at the same address"}, true
			}
		}
	}
	return Change{}, false
}

// addLearner adds a live replica as a learner. A full group takes learners too, so that one
// already has the log when a voter is lost.
func addLearner(v GroupView) (Change, bool) {
	if len(v.Members) >= v.TargetVoters+maxExtraLearners {
		return Change{}, false
	}
	for _, k := range v.Known {
		if k.SilentFor <= AliveWithin && !v.isMember(k.ID) {
			m := k.Member
			m.Learner = true
			return Change{Member: m, Reason: "new replica joins as a learner"}, true
		}
	}
	return Change{}, false
}

// promoteLearner promotes a live learner with the whole log while the group has too few voters.
func promoteLearner(v GroupView) (Change, bool) {
	if v.voterCount() >= v.TargetVoters {
		return Change{}, false
	}
	for _, m := range v.Members {
		if m.Learner && v.silentFor(m.ID) <= AliveWithin && v.Synced(m.ID) {
			m.Learner = false
			return Change{Member: m, Reason: "learner is promoted because the group lacks a voter"}, true
		}
	}
	return Change{}, false
}

// removeAbsentVoter removes a silent voter from a full group if a live learner with the whole
// log can replace it. Without such a learner, a voter that restarts stays a voter.
func removeAbsentVoter(v GroupView) (Change, bool) {
	if v.LeadingFor < MinLeaderTime || v.voterCount() < v.TargetVoters {
		return Change{}, false
	}
	learnerReady := slices.ContainsFunc(v.Members, func(m quorum.Member) bool {
		return m.Learner && v.silentFor(m.ID) <= AliveWithin && v.Synced(m.ID)
	})
	if !learnerReady {
		return Change{}, false
	}
	for _, m := range v.Members {
		if !m.Learner && m.ID != v.Self && v.silentFor(m.ID) > AbsentAfter {
			return Change{Member: m, Remove: true, Reason: "voter is silent and a learner can replace it"}, true
		}
	}
	return Change{}, false
}

// removeSilentLearner removes a silent learner from a group that is at its size limit, so
// that another replica can join.
func removeSilentLearner(v GroupView) (Change, bool) {
	if v.LeadingFor < MinLeaderTime || len(v.Members) < v.TargetVoters+maxExtraLearners {
		return Change{}, false
	}
	for _, m := range v.Members {
		if m.Learner && v.silentFor(m.ID) > AbsentAfter {
			return Change{Member: m, Remove: true, Reason: "learner is silent"}, true
		}
	}
	return Change{}, false
}

func (v GroupView) isMember(id string) bool {
	return slices.ContainsFunc(v.Members, func(m quorum.Member) bool { return m.ID == id })
}

func (v GroupView) voterCount() int {
	n := 0
	for _, m := range v.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// silentFor returns the time since the last announcement of a replica, or the time since the
// leader was elected if there was none.
func (v GroupView) silentFor(id string) time.Duration {
	for _, k := range v.Known {
		if k.ID == id {
			return k.SilentFor
		}
	}
	return v.LeadingFor
}
