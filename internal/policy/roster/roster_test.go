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

// five returns a full group that all live in.
func five() roster.GroupView {
	v := roster.GroupView{Self: "a/1", TargetVoters: 5, LeadingFor: time.Minute, Synced: func(string) bool { return true }}
	for _, id := range []string{"a/1", "b/1", "c/1", "d/1", "e/1"} {
		v.Members = append(v.Members, member(id))
		v.Known = append(v.Known, roster.KnownReplica{Member: member(id)})
	}
	return v
}

func silence(v *roster.GroupView, id string, d time.Duration) {
	for i := range v.Known {
		if v.Known[i].ID == id {
			v.Known[i].SilentFor = d
		}
	}
}

// A group decides one change after the other until nothing is left to do.
func TestDecisions(t *testing.T) {
	for what, c := range map[string]struct {
		view func() roster.GroupView
		want roster.Change
	}{
		"nothing to do": {five, roster.Change{}},
		"a voter restarts and nobody waits": {func() roster.GroupView {
			v := five()
			silence(&v, "b/1", time.Minute)
			return v
		}, roster.Change{}},
		"a disk was replaced": {func() roster.GroupView {
			v := five()
			v.Known = append(v.Known, roster.KnownReplica{Member: member("b/2")})
			return v
		}, roster.Change{Member: member("b/1"), Remove: true, Reason: "its disk was replaced"}},
		"somebody asks to be taken in": {func() roster.GroupView {
			v := five()
			v.Known = append(v.Known, roster.KnownReplica{Member: member("f/1")})
			return v
		}, roster.Change{Member: learner("f/1"), Reason: "it asks to be taken in"}},
		"a learner waits and a voter is silent": {func() roster.GroupView {
			v := five()
			v.Members = append(v.Members, learner("f/1"))
			v.Known = append(v.Known, roster.KnownReplica{Member: member("f/1")})
			silence(&v, "c/1", roster.AbsentAfter+1)
			return v
		}, roster.Change{Member: member("c/1"), Remove: true, Reason: "it is silent and another waits"}},
		"a learner without the log waits": {func() roster.GroupView {
			v := five()
			v.Members = append(v.Members, learner("f/1"))
			v.Known = append(v.Known, roster.KnownReplica{Member: member("f/1")})
			silence(&v, "c/1", time.Minute)
			v.Synced = func(string) bool { return false }
			return v
		}, roster.Change{}},
		"a vote is missing": {func() roster.GroupView {
			v := five()
			v.Members[4] = learner("e/1")
			return v
		}, roster.Change{Member: member("e/1"), Reason: "a voter is missing"}},
		"a leader that has just begun has heard of nobody": {func() roster.GroupView {
			v := five()
			v.Known, v.LeadingFor = nil, roster.MinLeaderTime/2
			v.Members = append(v.Members, learner("f/1"))
			return v
		}, roster.Change{}},
	} {
		t.Run(what, func(t *testing.T) {
			got, ok := roster.Decide(c.view())
			if diff := cmp.Diff(c.want, got); diff != "" || ok != (c.want != roster.Change{}) {
				t.Error(diff)
			}
		})
	}
}

// A replica is lost for good, an empty one comes at another address, and soon
// after two more lose their disks. Were the first still counted as a voter, two
// votes of five would be left: nothing could ever be decided again.
func TestLostReplicaIsReplacedBeforeTheNextIsLost(t *testing.T) {
	v := five()
	v.Known = append(v.Known[:4:4], roster.KnownReplica{Member: member("f/1")})
	silence(&v, "e/1", time.Hour)
	changes := 0
	for ; changes < 10; changes++ {
		c, ok := roster.Decide(v)
		if !ok {
			break
		}
		v = apply(v, c)
	}
	var voters []string
	for _, m := range v.Members {
		if !m.Learner {
			voters = append(voters, m.ID)
		}
	}
	if diff := cmp.Diff([]string{"a/1", "b/1", "c/1", "d/1", "f/1"}, voters); diff != "" || changes != 3 {
		t.Errorf("after %d changes: %s", changes, diff)
	}
}

func apply(v roster.GroupView, c roster.Change) roster.GroupView {
	var out []quorum.Member
	for _, m := range v.Members {
		if m.ID != c.Member.ID {
			out = append(out, m)
		}
	}
	if !c.Remove {
		out = append(out, c.Member)
	}
	v.Members = out
	return v
}
