package quorum_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/quorum"
)

// A replica may have voted in a term before its disk was replaced. If it kept its identity
// and voted again, two leaders could be elected in that term. A replica with a blank disk
// knows no membership and must not send anything.
func TestReplicaWithBlankDiskSendsNothing(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{})
	for _, kind := range []quorum.MessageKind{quorum.PreVoteRequest, quorum.VoteRequest} {
		m := quorum.Message{Kind: kind, From: "a/0", To: "c/0", Term: 9, Index: 100, LogTerm: 8, SenderAddress: "a"}
		effects := c.Step(time.Second, quorum.Receive{Message: m})
		if len(effects.Messages) > 0 || effects.Write != nil {
			t.Errorf("message %d: sent %v, wrote %v", kind, effects.Messages, effects.Write)
		}
	}
	for now := time.Second; now < time.Minute; now += 10 * time.Millisecond {
		if effects := c.Step(now, quorum.Tick{}); len(effects.Messages) > 0 || effects.Write != nil {
			t.Fatalf("at %v: sent %v, wrote %v", now, effects.Messages, effects.Write)
		}
	}
}

// A replica with a replaced disk has a new identity at the same address. It must refuse
// messages for the earlier identity, because its replies would count for entries that were
// lost with the disk.
func TestMessageForEarlierIdentityIsRefused(t *testing.T) {
	data, err := quorum.EncodeMessage(quorum.Message{Kind: quorum.Heartbeat, To: "c/0", Term: 3, Round: 7})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := quorum.DecodeMessage("c/1", "a/0", data); err != quorum.ErrWrongReceiver {
		t.Errorf("message for c/0 decoded at c/1: error %v, want %v", err, quorum.ErrWrongReceiver)
	}
	if _, err := quorum.DecodeMessage("c/0", "a/0", data); err != nil {
		t.Error(err)
	}
}

// A replica saves a snapshot that replaces its different log, and the process crashes before
// the journal is truncated. The stale entries after the snapshot must not return after the
// restart.
func TestStaleEntriesAfterSnapshotAreDropped(t *testing.T) {
	members := []quorum.Member{{ID: "a/0"}, {ID: "b/0"}, {ID: "c/0"}}
	saved := quorum.PersistedState{
		HardState: quorum.HardState{Term: 5},
		Snapshot:  quorum.Snapshot{Index: 2, Term: 4, Members: members},
	}
	for i := range uint64(4) {
		saved.Entries = append(saved.Entries, quorum.Entry{Index: i + 1, Term: 3, Kind: quorum.EntryCommand})
	}
	c := quorum.New(quorum.Config{ID: "b/0", Seed: 1}, saved)
	effects := c.Step(0, quorum.Tick{})
	anchor := []quorum.Entry{{Index: 2, Term: 4, Kind: quorum.EntryNoOp}}
	if diff := cmp.Diff(anchor, effects.Write.Entries); diff != "" {
		t.Error(diff)
	}
	if s := c.Status(); s.Last != 2 {
		t.Errorf("last log index %d, want 2", s.Last)
	}
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	want := quorum.Message{
		Kind: quorum.AppendEntries, From: "a/0", To: "b/0", Term: 7, Index: 10, LogTerm: 6, CommitIndex: 9, SenderAddress: "x",
		Entries: []quorum.Entry{
			{Index: 11, Term: 6, Kind: quorum.EntryCommand, Data: []byte("x")},
			{Index: 12, Term: 7, Kind: quorum.EntryNoOp},
		},
	}
	data, err := quorum.EncodeMessage(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := quorum.DecodeMessage("b/0", "a/0", data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// newElectedLeader returns a core that has just been elected in term 4 by the vote of b. Its
// log contains entries of terms 1 and 2.
func newElectedLeader(t *testing.T) *quorum.Core {
	t.Helper()
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}}
	c := quorum.New(quorum.Config{ID: "a/0", Seed: 1}, quorum.PersistedState{
		HardState: quorum.HardState{Term: 3},
		Entries: []quorum.Entry{
			{Index: 1, Term: 1, Kind: quorum.EntryMembership, Data: quorum.EncodeMembers(members)},
			{Index: 2, Term: 2, Kind: quorum.EntryCommand, Data: []byte("x")},
		},
	})
	c.Step(2*time.Second, quorum.Tick{})
	c.Step(2*time.Second, replyFromB(quorum.PreVoteReply, 4, 0))
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 1})
	c.Step(2*time.Second, replyFromB(quorum.VoteReply, 4, 0))
	if term, isLeader := c.TermAndLeading(); term != 4 || !isLeader {
		t.Fatalf("term %d, is leader %v; want leader of term 4", term, isLeader)
	}
	return c
}

func replyFromB(kind quorum.MessageKind, term, index uint64) quorum.Event {
	return quorum.Receive{Message: quorum.Message{Kind: kind, From: "b/0", To: "a/0", Term: term, Index: index}}
}

// A leader must not commit an entry of an earlier term only because a majority has it. A
// replica with an entry of a term in between could still be elected by replicas without an
// entry of the leader's term, and replace the entry. Accepted work would then be lost.
func TestEntryOfEarlierTermIsNotCommittedByCount(t *testing.T) {
	c := newElectedLeader(t)
	c.Step(2*time.Second, replyFromB(quorum.AppendEntriesReply, 4, 2))
	if s := c.Status(); s.Commit != 0 {
		t.Errorf("commit index %d with entry 2 of term 2 on a majority", s.Commit)
	}
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 2})
	c.Step(2*time.Second, replyFromB(quorum.AppendEntriesReply, 4, 3))
	if s := c.Status(); s.Commit != 3 {
		t.Errorf("commit index %d with entry 3 of term 4 on a majority", s.Commit)
	}
}
