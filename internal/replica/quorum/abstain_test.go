package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Guards against a leader that answers nobody and keeps the lead: it has to hand over at once, and
// must not be elected again while it abstains.
func TestAbstainingLeaderHandsOver(t *testing.T) {
	s := newSimulation(5, 1)
	s.runFor(2 * time.Second)
	former := s.leader()
	s.propose(former, 10)
	s.abstain(former, true)
	s.runFor(quorum.DefaultElectionTimeout / 2)
	if n := s.leader(); n == nil || n == former {
		t.Fatalf("no other replica leads after half an election timeout")
	}
	for range 5 {
		leader := s.leader()
		s.crash(leader, 0)
		s.runFor(5 * time.Second)
		if n := s.leader(); n == nil || n == former {
			t.Fatalf("the abstaining replica or none leads after the loss of a leader")
		}
		s.start(leader)
		s.runFor(2 * time.Second)
	}
}

// Guards against a leader that can't hand over and therefore keeps the lead.
func TestAbstainingLeaderStepsDownIfNobodyTakesOver(t *testing.T) {
	c := newCommittedLeader(t)
	c.Step(2*time.Second, quorum.Propose{Term: 4, FirstIndex: 4, Commands: [][]byte{[]byte("x")}})
	c.Step(2*time.Second, quorum.Abstain{On: true}) // the other voter lacks an entry
	if _, leads := c.TermAndLeading(); !leads {
		t.Fatal("the leader stepped down before the other voter had a chance to catch up")
	}
	at := 2*time.Second + quorum.DefaultElectionTimeout
	c.Step(at, replyInTerm4(quorum.HeartbeatReply, "b/0", 0, 2))
	c.Step(at, quorum.Tick{})
	if _, leads := c.TermAndLeading(); leads {
		t.Error("the leader still leads although nobody took over")
	}
}

// Guards against the loss of the last leader: nobody could take over from the only voter.
func TestOnlyVoterIsElectedAlthoughItAbstains(t *testing.T) {
	s := newSimulation(1, 1)
	s.runFor(2 * time.Second)
	s.abstain(s.leader(), true)
	s.runFor(2 * time.Second)
	if _, leads := s.replicas[0].core.TermAndLeading(); !leads {
		t.Error("the only voter does not lead")
	}
}

// Guards against a group that stays without a leader after all replicas have abstained.
func TestLeaderIsElectedAfterAllHaveAbstained(t *testing.T) {
	s := newSimulation(3, 1)
	s.runFor(2 * time.Second)
	for _, n := range s.replicas {
		s.abstain(n, true)
	}
	s.runFor(5 * time.Second)
	if s.leader() != nil {
		t.Error("a replica leads although all abstain")
	}
	s.abstain(s.replicas[1], false)
	s.runFor(5 * time.Second)
	if s.leader() != s.replicas[1] {
		t.Error("the only replica that does not abstain does not lead")
	}
}

// Guards against a new leader that never commits the first entry of its term and keeps the lead on
// heartbeats alone.
func TestLeaderThatNeverCommitsItsFirstEntryStepsDown(t *testing.T) {
	const patience = 10 * time.Second // far beyond any commit that comes at all
	c := newElectedLeader(t)
	at := 2 * time.Second
	for round := uint64(1); at < patience; round++ {
		c.Step(at, quorum.Tick{})
		c.Step(at, replyInTerm4(quorum.HeartbeatReply, "b/0", 0, round))
		at += quorum.DefaultElectionTimeout / 5
	}
	if _, leads := c.TermAndLeading(); leads {
		t.Errorf("the leader still leads after %v without a commit", patience)
	}
}

// Guards against an election while the replicas still receive what precedes the first entry of a
// term: the next leader would begin anew.
func TestLeaderWhoseReplicasCatchUpKeepsTheLead(t *testing.T) {
	const step = 1500 * time.Millisecond // less than the timeout, of which three steps are a multiple
	c := newElectedLeader(t)
	at := 2 * time.Second
	for round := uint64(1); round <= 45; round++ {
		at += 3 * step / 45
		c.Step(at, quorum.Tick{})
		c.Step(at, replyInTerm4(quorum.HeartbeatReply, "b/0", round/15, round))
	}
	if _, leads := c.TermAndLeading(); !leads {
		t.Error("the leader stepped down although a replica caught up")
	}
	c.Step(at, quorum.WriteSynced{Seq: 2})
	if s := c.Status(); s.Commit != 3 {
		t.Errorf("commit index %d, want 3", s.Commit)
	}
}

// Guards against a leader that never commits the first entry of its term and keeps the lead for as long
// as a learner catches up: a learner brings nothing closer to its commit.
func TestLearnerThatCatchesUpDoesNotKeepALeaderWithoutCommits(t *testing.T) {
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}, {ID: "d/0", Address: "d", Learner: true}}
	entries := []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembership, Data: quorum.EncodeMembers(members)}}
	for i := uint64(2); i <= 20; i++ {
		entries = append(entries, quorum.Entry{Index: i, Term: 2, Kind: quorum.EntryCommand, Data: []byte("x")})
	}
	c := quorum.New(quorum.Config{ID: "a/0", Seed: 1}, quorum.PersistedState{HardState: quorum.HardState{Term: 3}, Entries: entries})
	at := 2 * time.Second
	c.Step(at, quorum.Tick{})
	c.Step(at, replyFromB(quorum.PreVoteReply, 4, 0))
	c.Step(at, quorum.WriteSynced{Seq: 1})
	c.Step(at, replyFromB(quorum.VoteReply, 4, 0))
	if _, leads := c.TermAndLeading(); !leads {
		t.Fatal("the replica was not elected")
	}
	for round := uint64(1); round <= 200; round++ { // 20 s, one entry a second
		at += 100 * time.Millisecond
		c.Step(at, quorum.Tick{})
		c.Step(at, replyInTerm4(quorum.HeartbeatReply, "b/0", 0, round))
		c.Step(at, replyInTerm4(quorum.AppendEntriesReply, "d/0", round/10, 0))
	}
	if _, leads := c.TermAndLeading(); leads {
		t.Errorf("the leader still leads after %v in which no voter synced anything", at-2*time.Second)
	}
}
