package quorum_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/quorum"
)

// A disk is replaced and, against the rules, the identity is kept.
// The replica voted or acknowledged before; if it voted again, two leaders could
// hold one term. A blank disk knows no membership, so it must stay silent.
func TestBlankDiskIsSilent(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{})
	for _, kind := range []quorum.MessageKind{quorum.PreVoteRequest, quorum.VoteRequest} {
		m := quorum.Message{Kind: kind, From: "a/0", To: "c/0", Term: 9, Index: 100, LogTerm: 8, SenderAddress: "a"}
		fx := c.Step(time.Second, quorum.Receive{Message: m})
		if len(fx.Messages) > 0 || fx.Write != nil {
			t.Errorf("message %d: sent %v, wrote %v", kind, fx.Messages, fx.Write)
		}
	}
	for now := time.Second; now < time.Minute; now += 10 * time.Millisecond {
		if fx := c.Step(now, quorum.Tick{}); len(fx.Messages) > 0 || fx.Write != nil {
			t.Fatalf("campaigns at %v", now)
		}
	}
}

// A replica is given a new disk and a new identity, at the address of the old.
// A message that was meant for the old one must not reach it: its answer would
// count for entries that went with the disk.
func TestMessageForTheIdentityBefore(t *testing.T) {
	data, err := quorum.EncodeMessage(quorum.Message{Kind: quorum.Heartbeat, To: "c/0", Term: 3, Round: 7})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := quorum.DecodeMessage("c/1", "a/0", data); err != quorum.ErrWrongReceiver {
		t.Errorf("error %v", err)
	}
	if _, err := quorum.DecodeMessage("c/0", "a/0", data); err != nil {
		t.Error(err)
	}
}

// A replica takes a snapshot in the place of its own, differing log, and its
// process dies before the journal was cut.
// The stale entries behind the snapshot must not come back after the restart.
func TestStaleEntriesBehindSnapshot(t *testing.T) {
	members := []quorum.Member{{ID: "a/0"}, {ID: "b/0"}, {ID: "c/0"}}
	saved := quorum.PersistedState{
		HardState: quorum.HardState{Term: 5},
		Snapshot:  quorum.Snapshot{Index: 2, Term: 4, Members: members},
	}
	for i := range uint64(4) {
		saved.Entries = append(saved.Entries, quorum.Entry{Index: i + 1, Term: 3, Kind: quorum.EntryCommand})
	}
	c := quorum.New(quorum.Config{ID: "b/0", Seed: 1}, saved)
	fx := c.Step(0, quorum.Tick{})
	anchor := []quorum.Entry{{Index: 2, Term: 4, Kind: quorum.EntryNoOp}}
	if d := cmp.Diff(anchor, fx.Write.Entries); d != "" {
		t.Error(d)
	}
	if s := c.Status(); s.Last != 2 {
		t.Errorf("the log ends at %d", s.Last)
	}
}

func TestMessageEncoding(t *testing.T) {
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
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// elected gives a core that has just won term 4 with the vote of b, with entries
// of the terms 1 and 2 in its log.
func elected(t *testing.T) *quorum.Core {
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
	c.Step(2*time.Second, reply(quorum.PreVoteReply, 4, 0))
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 1})
	c.Step(2*time.Second, reply(quorum.VoteReply, 4, 0))
	if term, leads := c.TermAndLeading(); term != 4 || !leads {
		t.Fatalf("term %d, leads %v", term, leads)
	}
	return c
}

func reply(kind quorum.MessageKind, term, index uint64) quorum.Event {
	return quorum.Receive{Message: quorum.Message{Kind: kind, From: "b/0", To: "a/0", Term: term, Index: index}}
}

// A caller is told that its work was taken, and a later leader does not know it.
// A leader finds an entry of an earlier term on a majority and takes it for
// committed. A replica with an entry of a term between could still be elected,
// by those that lack any entry of the leader's own term, and replace it.
func TestEntryOfEarlierTermIsNotCommittedByCount(t *testing.T) {
	c := elected(t)
	c.Step(2*time.Second, reply(quorum.AppendEntriesReply, 4, 2))
	if s := c.Status(); s.Commit != 0 {
		t.Errorf("commit %d with entry 2 of term 2 on a majority", s.Commit)
	}
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 2})
	c.Step(2*time.Second, reply(quorum.AppendEntriesReply, 4, 3))
	if s := c.Status(); s.Commit != 3 {
		t.Errorf("commit %d with entry 3 of term 4 on a majority", s.Commit)
	}
}
