package roster_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/roster"
	"gypsumreel/internal/replica/quorum"
)

func member(id string) quorum.Member { return quorum.Member{ID: id, Address: id[:1] + ":1"} }

func learner(id string) quorum.Member {
	m := member(id)
	m.Learner = true
	return m
}

// fullGroup returns a group with five live voters.
func fullGroup() roster.GroupView {
	v := roster.GroupView{Self: "a/1", TargetVoters: 5, LeadingFor: time.Minute, Synced: func(string) bool { return true }}
	for _, id := range []string{"a/1", "b/1", "c/1", "d/1", "e/1"} {
		v.Members = append(v.Members, member(id))
		v.Known = append(v.Known, roster.KnownReplica{Member: member(id)})
	}
	return v
}

// setSilentFor sets the time since the last announcement of the replica.
func setSilentFor(v *roster.GroupView, id string, d time.Duration) {
	for i := range v.Known {
		if v.Known[i].ID == id {
			v.Known[i].SilentFor = d
		}
	}
}

// Each state of the group must lead to the one expected change, or to none.
func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		view func() roster.GroupView
		want roster.Change
	}{
		"no change needed": {fullGroup, roster.Change{}},
		"silent voter without a learner to replace it": {func() roster.GroupView {
			v := fullGroup()
			setSilentFor(&v, "b/1", time.Minute)
			return v
		}, roster.Change{}},
		"replica with a new identity at the address of a voter": {func() roster.GroupView {
			v := fullGroup()
			v.Known = append(v.Known, roster.KnownReplica{Member: member("b/2")})
			return v
		}, roster.Change{Member: member("b/1"), Remove: true, Reason: "replica was replaced by a new one at the same address"}},
		"new replica": {func() roster.GroupView {
			v := fullGroup()
			v.Known = append(v.Known, roster.KnownReplica{Member: member("f/1")})
			return v
		}, roster.Change{Member: learner("f/1"), Reason: "new replica joins as a learner"}},
		"silent voter with a synced learner to replace it": {func() roster.GroupView {
			v := fullGroup()
			v.Members = append(v.Members, learner("f/1"))
			v.Known = append(v.Known, roster.KnownReplica{Member: member("f/1")})
			setSilentFor(&v, "c/1", roster.AbsentAfter+1)
			return v
		}, roster.Change{Member: member("c/1"), Remove: true, Reason: "voter is silent and a learner can replace it"}},
		"silent voter with a learner that lacks the log": {func() roster.GroupView {
			v := fullGroup()
			v.Members = append(v.Members, learner("f/1"))
			v.Known = append(v.Known, roster.KnownReplica{Member: member("f/1")})
			setSilentFor(&v, "c/1", time.Minute)
			v.Synced = func(string) bool { return false }
			return v
		}, roster.Change{}},
		"learner in a group with too few voters": {func() roster.GroupView {
			v := fullGroup()
			v.Members[4] = learner("e/1")
			return v
		}, roster.Change{Member: member("e/1"), Reason: "learner is promoted because the group lacks a voter"}},
		"new leader that has not heard of any replica": {func() roster.GroupView {
			v := fullGroup()
			v.Known, v.LeadingFor = nil, roster.MinLeaderTime/2
			v.Members = append(v.Members, learner("f/1"))
			return v
		}, roster.Change{}},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := roster.Decide(test.view())
			if diff := cmp.Diff(test.want, got); diff != "" || ok != (test.want != roster.Change{}) {
				t.Error(diff)
			}
		})
	}
}

// A voter that is lost for good must be replaced by an empty replica at another address. If it
// stayed a voter and two more voters lost their disks, two of five votes would be left and the
// group could never reach a quorum again.
func TestLostVoterIsReplacedByLearner(t *testing.T) {
	v := fullGroup()
	v.Known = append(v.Known[:4:4], roster.KnownReplica{Member: member("f/1")})
	setSilentFor(&v, "e/1", time.Hour)
	changes := 0
	for ; changes < 10; changes++ {
		c, ok := roster.Decide(v)
		if !ok {
			break
		}
		v = applyChange(v, c)
	}
	var voters []string
	for _, m := range v.Members {
		if !m.Learner {
			voters = append(voters, m.ID)
		}
	}
	if diff := cmp.Diff([]string{"a/1", "b/1", "c/1", "d/1", "f/1"}, voters); diff != "" || changes != 3 {
		t.Errorf("voters after %d changes, want 3 changes: %s", changes, diff)
	}
}

// applyChange returns the view after the membership change.
func applyChange(v roster.GroupView, c roster.Change) roster.GroupView {
	var members []quorum.Member
	for _, m := range v.Members {
		if m.ID != c.Member.ID {
			members = append(members, m)
		}
	}
	if !c.Remove {
		members = append(members, c.Member)
	}
	v.Members = members
	return v
}
