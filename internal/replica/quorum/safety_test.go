package quorum_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/quorum"
)

// newCommittedLeader returns a leader that has committed the no-op entry of its term and
// accepts proposals.
func newCommittedLeader(t *testing.T) *quorum.Core {
	t.Helper()
	c := newElectedLeader(t)
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 2})
	c.Step(2*time.Second, replyInTerm4(quorum.HeartbeatReply, "b/0", 0, 1))
	c.Step(2*time.Second, replyFromB(quorum.AppendEntriesReply, 4, 3))
	if s := c.Status(); s.Commit != 3 {
		t.Fatalf("commit index %d, want 3", s.Commit)
	}
	return c
}

func replyInTerm4(kind quorum.MessageKind, from string, index, round uint64) quorum.Event {
	return quorum.Receive{Message: quorum.Message{Kind: kind, From: from, To: "a/0", Term: 4, Index: index, Round: round}}
}

func lastEntryKind(c *quorum.Core) quorum.EntryKind {
	entries := c.LogEntries()
	return entries[len(entries)-1].Kind
}

// The majorities of memberships that differ in two voters may be disjoint, and two leaders
// could be elected. A second membership change must be refused until the first one is
// committed.
func TestSecondMembershipChangeWaitsForFirst(t *testing.T) {
	c := newCommittedLeader(t)
	learner := quorum.Member{ID: "d/0", Address: "d", Learner: true}
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 4, Member: learner})
	if k := lastEntryKind(c); k != quorum.EntryMembership {
		t.Fatalf("first change: entry of kind %d, want %d", k, quorum.EntryMembership)
	}
	learner.ID = "e/0"
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 5, Member: learner})
	if k := lastEntryKind(c); k != quorum.EntryNoOp {
		t.Errorf("second change: entry of kind %d, want %d", k, quorum.EntryNoOp)
	}
}

// A learner must sync all committed entries before its promotion. Otherwise, when another
// instance fails right after the promotion, the remaining majority could lack committed
// entries.
func TestLearnerIsPromotedOnlyAfterCatchUp(t *testing.T) {
	c := newCommittedLeader(t)
	learner := quorum.Member{ID: "d/0", Address: "d", Learner: true}
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 4, Member: learner})
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 3})
	c.Step(2*time.Second, replyFromB(quorum.AppendEntriesReply, 4, 4))
	c.Step(2*time.Second, quorum.ConfirmLeadership{})
	c.Step(2*time.Second, replyInTerm4(quorum.HeartbeatReply, "b/0", 4, 2))
	c.Step(2*time.Second, replyInTerm4(quorum.HeartbeatReply, "d/0", 0, 2))
	learner.Learner = false
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 5, Member: learner})
	if k := lastEntryKind(c); k != quorum.EntryNoOp {
		t.Errorf("learner without committed entries: entry of kind %d, want %d", k, quorum.EntryNoOp)
	}
	c.Step(2*time.Second, replyInTerm4(quorum.AppendEntriesReply, "d/0", 5, 0))
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 6, Member: learner})
	if k := lastEntryKind(c); k != quorum.EntryMembership {
		t.Errorf("learner with all entries: entry of kind %d, want %d", k, quorum.EntryMembership)
	}
}

// If a candidate requested votes before its term is synced, it could crash, restart and run
// again in the same term. The same replicas would vote for it again, and it could write
// different entries in one term.
func TestVoteRequestsWaitForSync(t *testing.T) {
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}}
	c := quorum.New(quorum.Config{ID: "a/0", Seed: 1}, quorum.PersistedState{
		HardState: quorum.HardState{Term: 3},
		Snapshot:  quorum.Snapshot{Index: 2, Term: 3, Members: members},
	})
	c.Step(0, quorum.Tick{})
	c.Step(0, quorum.WriteSynced{Seq: 1})
	c.Step(2*time.Second, quorum.Tick{})
	effects := c.Step(2*time.Second, replyFromB(quorum.PreVoteReply, 4, 0))
	if len(effects.Messages) > 0 || effects.Write == nil {
		t.Errorf("before the sync: sent %v, wrote %v", effects.Messages, effects.Write)
	}
	c.Step(2*time.Second, replyFromB(quorum.VoteReply, 4, 0))
	if _, isLeader := c.TermAndLeading(); isLeader {
		t.Error("became leader before its own vote is synced")
	}
	if effects := c.Step(2*time.Second, quorum.WriteSynced{Seq: effects.Write.Seq}); len(effects.Messages) == 0 {
		t.Error("no vote request after the sync")
	}
}

// Messages from the leader to one replica are lost, those in the opposite direction arrive.
// The replica receives no heartbeats, but must not depose a leader that a quorum follows.
// Otherwise the leases of the leader would be interrupted again and again.
func TestReplicaCutOffFromLeaderDoesNotDeposeLeader(t *testing.T) {
	s := newSimulation(3, 1)
	s.runFor(2 * time.Second)
	leader := s.leader()
	termBefore, _ := leader.core.TermAndLeading()
	s.cutLinks[[2]string{leader.name, s.anyFollower().name}] = true
	s.runFor(20 * time.Second)
	clear(s.cutLinks)
	s.runFor(2 * time.Second)
	termAfter, isLeader := leader.core.TermAndLeading()
	if termAfter != termBefore || !isLeader {
		t.Errorf("term changed from %d to %d, still leader: %v", termBefore, termAfter, isLeader)
	}
}

// A vote request of a later term is delayed in the network until a leader of an earlier term
// has a quorum. It must not depose that leader.
func TestDelayedVoteRequestDoesNotDeposeLeader(t *testing.T) {
	c := newCommittedLeader(t)
	delayedRequest := quorum.Message{Kind: quorum.VoteRequest, From: "c/0", To: "a/0", Term: 9, Index: 3, LogTerm: 4}
	c.Step(2*time.Second, quorum.Receive{Message: delayedRequest})
	if term, isLeader := c.TermAndLeading(); term != 4 || !isLeader {
		t.Errorf("term %d, is leader %v; want leader of term 4", term, isLeader)
	}
}

// If a membership change left no live majority, neither the change nor any later entry could
// be committed. A leader must also refuse its own removal.
func TestMembershipChangeNeedsLiveMajority(t *testing.T) {
	c := newCommittedLeader(t)
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 4, Member: quorum.Member{ID: "b/0"}, Remove: true})
	if k := lastEntryKind(c); k != quorum.EntryNoOp {
		t.Errorf("removal of b while c is silent: entry of kind %d, want %d", k, quorum.EntryNoOp)
	}
	c.Step(2*time.Second, replyInTerm4(quorum.HeartbeatReply, "c/0", 0, 1))
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 5, Member: quorum.Member{ID: "a/0"}, Remove: true})
	if k := lastEntryKind(c); k != quorum.EntryNoOp {
		t.Errorf("removal of the leader: entry of kind %d, want %d", k, quorum.EntryNoOp)
	}
}

// A snapshot that was damaged in transit must not be saved. The replica requests it again
// from offset 0.
func TestDamagedSnapshotIsRequestedAgain(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "d/0", Seed: 1}, quorum.PersistedState{})
	chunk := quorum.Message{
		Kind: quorum.SnapshotChunk, From: "a/0", To: "d/0", Term: 4, Index: 50, LogTerm: 4, SenderAddress: "a",
		TotalBytes: 4, Checksum: 1, Data: []byte("abcd"),
	}
	effects := c.Step(time.Second, quorum.Receive{Message: chunk})
	if effects.SaveSnapshot != nil {
		t.Error("damaged snapshot is saved")
	}
	want := []quorum.OutgoingMessage{{Address: "a", Message: quorum.Message{
		Kind: quorum.SnapshotChunkReply, From: "d/0", To: "a/0", Term: 4, Index: 50, Checksum: 1,
	}}}
	if diff := cmp.Diff(want, effects.Messages); diff != "" {
		t.Error(diff)
	}
}

// The connection breaks during a snapshot transfer, and a delayed chunk arrives twice. The
// replica must request the missing part and append each byte only once.
func TestSnapshotTransferResumesAtOffset(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "d/0", Seed: 1}, quorum.PersistedState{})
	state := quorum.Snapshot{State: []byte("abcdef")}
	send := func(offset uint64, data string) quorum.Effects {
		return c.Step(time.Second, quorum.Receive{Message: quorum.Message{
			Kind: quorum.SnapshotChunk, From: "a/0", To: "d/0", Term: 4, Index: 50, LogTerm: 4, SenderAddress: "a",
			Offset: offset, TotalBytes: 6, Checksum: state.Checksum(), Data: []byte(data),
		}})
	}
	send(0, "abc")
	for _, delayedData := range []string{"abc", ""} {
		effects := send(0, delayedData)
		if got := effects.Messages[0].Message.Offset; got != 3 {
			t.Errorf("requested offset %d, want 3", got)
		}
	}
	effects := send(3, "def")
	if effects.SaveSnapshot == nil || string(effects.SaveSnapshot.State) != "abcdef" {
		t.Errorf("saved snapshot %v, want state abcdef", effects.SaveSnapshot)
	}
}

// A delayed reply to an earlier heartbeat must not confirm the round that a read started.
// Otherwise a deposed leader could answer the read from stale state, and grant leases that
// the next leader does not wait for.
func TestDelayedReplyDoesNotConfirmLaterRound(t *testing.T) {
	c := newCommittedLeader(t)
	secondRoundAt := 2*time.Second + 50*time.Millisecond
	c.Step(secondRoundAt, quorum.ConfirmLeadership{})
	for _, tc := range []struct {
		round uint64
		want  []quorum.Report
	}{
		{1, nil},
		{2, []quorum.Report{quorum.LeadershipConfirmed{Term: 4, RoundStartedAt: secondRoundAt}}},
	} {
		effects := c.Step(secondRoundAt+time.Millisecond, replyInTerm4(quorum.HeartbeatReply, "b/0", 3, tc.round))
		if diff := cmp.Diff(tc.want, effects.Reports); diff != "" {
			t.Errorf("reports after a reply to round %d (-want +got):\n%s", tc.round, diff)
		}
	}
}

// A new leader replaces entries while a follower writes the old ones to its journal. The
// write in progress must stay unchanged, and its sync must not acknowledge the new entries.
// They would be committed without being on a disk.
func TestSyncOfReplacedEntriesIsNotAcknowledged(t *testing.T) {
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}}
	firstEntry := quorum.Entry{Index: 1, Term: 1, Kind: quorum.EntryMembership, Data: quorum.EncodeMembers(members)}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{HardState: quorum.HardState{Term: 1}, Entries: []quorum.Entry{firstEntry}})
	appendFrom := func(from string, term uint64, last uint64) quorum.Effects {
		m := quorum.Message{Kind: quorum.AppendEntries, From: from, To: "c/0", Term: term, Index: 1, LogTerm: 1}
		for i := uint64(2); i <= last; i++ {
			m.Entries = append(m.Entries, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryCommand})
		}
		return c.Step(time.Second, quorum.Receive{Message: m})
	}
	w := appendFrom("a/0", 1, 3).Write
	appendFrom("b/0", 2, 2)
	for _, e := range w.Entries {
		if e.Term != 1 {
			t.Errorf("entry %d of the write in progress changed to term %d, want 1", e.Index, e.Term)
		}
	}
	for _, o := range c.Step(time.Second, quorum.WriteSynced{Seq: w.Seq}).Messages {
		if o.Message.Kind == quorum.AppendEntriesReply && o.Message.Index > 1 {
			t.Errorf("acknowledged entry %d, which is not synced", o.Message.Index)
		}
	}
}

// A replica replaces its log with a snapshot, and the process crashes. If the journal dropped
// the entry at the snapshot's index before the anchor entry is synced, the stale entries
// after it would look like valid entries that follow the snapshot.
func TestJournalDropsEntriesAfterAnchorIsSynced(t *testing.T) {
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}}
	persistedState := quorum.PersistedState{HardState: quorum.HardState{Term: 1}}
	for i := range uint64(4) {
		persistedState.Entries = append(persistedState.Entries, quorum.Entry{Index: i + 1, Term: 1, Kind: quorum.EntryNoOp})
	}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, persistedState)
	state := quorum.Snapshot{State: []byte("x")}
	effects := c.Step(time.Second, quorum.Receive{Message: quorum.Message{
		Kind: quorum.SnapshotChunk, From: "b/0", To: "c/0", Term: 2, Index: 3, LogTerm: 2,
		TotalBytes: 1, Checksum: state.Checksum(), Data: state.State, Members: members,
	}})
	c.Step(time.Second, quorum.WriteSynced{Seq: effects.Write.Seq})
	effects = c.Step(time.Second, quorum.SnapshotSaved{Index: 3})
	if effects.Write == nil || effects.DropJournalUpTo != 0 {
		t.Fatalf("write %v, journal dropped up to %d; want a write and no drop", effects.Write, effects.DropJournalUpTo)
	}
	if effects = c.Step(time.Second, quorum.WriteSynced{Seq: effects.Write.Seq}); effects.DropJournalUpTo != 3 {
		t.Errorf("after the anchor is synced: journal dropped up to %d, want 3", effects.DropJournalUpTo)
	}
}

// A learner is promoted, and the leader fails before the learner receives the new membership.
// The other voter has the promotion in its log and needs the learner's vote.
func TestLearnerGrantsVote(t *testing.T) {
	members := []quorum.Member{{ID: "a/0"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Learner: true}}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{
		HardState: quorum.HardState{Term: 1},
		Entries:   []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembership, Data: quorum.EncodeMembers(members)}},
	})
	m := quorum.Message{Kind: quorum.VoteRequest, From: "b/0", To: "c/0", Term: 2, Index: 2, LogTerm: 1}
	effects := c.Step(time.Second, quorum.Receive{Message: m})
	effects = c.Step(time.Second, quorum.WriteSynced{Seq: effects.Write.Seq})
	want := []quorum.OutgoingMessage{{Address: "b", Message: quorum.Message{
		Kind: quorum.VoteReply, From: "c/0", To: "b/0", Term: 2,
	}}}
	if diff := cmp.Diff(want, effects.Messages); diff != "" {
		t.Error(diff)
	}
}

// A leader with a slow disk commits entries that other replicas have synced, and compacts at
// an index that its own journal does not contain yet. If the snapshot were saved first, the
// journal would have a gap before the entries after the snapshot.
func TestSnapshotSaveWaitsForJournalSync(t *testing.T) {
	c := newElectedLeader(t)
	c.Step(2*time.Second, replyInTerm4(quorum.AppendEntriesReply, "b/0", 3, 0))
	c.Step(2*time.Second, replyInTerm4(quorum.AppendEntriesReply, "c/0", 3, 0))
	if s := c.Status(); s.Commit != 3 {
		t.Fatalf("commit index %d, want 3", s.Commit)
	}
	if effects := c.Step(2*time.Second, quorum.Compact{Index: 3}); effects.SaveSnapshot != nil {
		t.Error("snapshot saved before the journal is synced")
	}
	if effects := c.Step(2*time.Second, quorum.WriteSynced{Seq: 2}); effects.SaveSnapshot == nil {
		t.Error("snapshot not saved after the journal is synced")
	}
}

// A new replica saves a snapshot and crashes before its term is synced. After the restart its
// term must not be lower than the term of its log.
func TestTermIsAtLeastSnapshotTerm(t *testing.T) {
	members := []quorum.Member{{ID: "a/0"}, {ID: "b/0"}, {ID: "c/0"}}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{
		Snapshot: quorum.Snapshot{Index: 9, Term: 5, Members: members},
	})
	if s := c.Status(); s.Term != 5 {
		t.Errorf("starts in term %d, want 5", s.Term)
	}
}

// A transferee that lacks entries of the log would lose its election, and there would be no
// leader until the next election timeout. It must not be asked to start an election before it
// has the whole log.
func TestTransfereeHasWholeLogBeforeElection(t *testing.T) {
	c := newCommittedLeader(t)
	c.Step(2*time.Second, quorum.Propose{Term: 4, FirstIndex: 4, Commands: [][]byte{[]byte("x")}})
	sendsTimeoutNow := func(effects quorum.Effects) bool {
		return slices.ContainsFunc(effects.Messages, func(o quorum.OutgoingMessage) bool { return o.Message.Kind == quorum.TimeoutNow })
	}
	if sendsTimeoutNow(c.Step(2*time.Second, quorum.TransferLeadership{})) {
		t.Error("TimeoutNow sent before the transferee has the log")
	}
	if !sendsTimeoutNow(c.Step(2*time.Second, replyFromB(quorum.AppendEntriesReply, 4, 4))) {
		t.Error("TimeoutNow not sent although the transferee has the log")
	}
}
