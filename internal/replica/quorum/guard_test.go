package quorum_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/quorum"
)

// lead commits the first entry of elected's term, so that it takes proposals.
func lead(t *testing.T) *quorum.Core {
	t.Helper()
	c := elected(t)
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 2})
	c.Step(2*time.Second, answer(quorum.HeartbeatReply, "b/0", 0, 1))
	c.Step(2*time.Second, reply(quorum.AppendEntriesReply, 4, 3))
	if s := c.Status(); s.Commit != 3 {
		t.Fatalf("commit %d", s.Commit)
	}
	return c
}

func answer(kind quorum.MessageKind, from string, index, round uint64) quorum.Event {
	return quorum.Receive{Message: quorum.Message{Kind: kind, From: from, To: "a/0", Term: 4, Index: index, Round: round}}
}

func lastKind(c *quorum.Core) quorum.EntryKind {
	entries := c.LogEntries()
	return entries[len(entries)-1].Kind
}

// An operator adds two replicas at once, and the leader is cut off in between.
// Majorities of memberships that differ by two voters need not overlap, so two
// leaders could be elected; the second change waits for the commit of the first.
func TestOneChangeAtATime(t *testing.T) {
	c := lead(t)
	learner := quorum.Member{ID: "d/0", Address: "d", Learner: true}
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 4, Member: learner})
	if k := lastKind(c); k != quorum.EntryMembership {
		t.Fatalf("the first change became an entry of kind %d", k)
	}
	learner.ID = "e/0"
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 5, Member: learner})
	if k := lastKind(c); k != quorum.EntryNoOp {
		t.Errorf("the second change became an entry of kind %d", k)
	}
}

// A replica is repaired, and a second instance dies right after.
// Had the learner counted before it had synced what was committed, the majority
// that is left would lack it; so it is promoted only then.
func TestPromotionWaitsForCatchUp(t *testing.T) {
	c := lead(t)
	d := quorum.Member{ID: "d/0", Address: "d", Learner: true}
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 4, Member: d})
	c.Step(2*time.Second, quorum.WriteSynced{Seq: 3})
	c.Step(2*time.Second, reply(quorum.AppendEntriesReply, 4, 4))
	c.Step(2*time.Second, quorum.ConfirmLeadership{})
	c.Step(2*time.Second, answer(quorum.HeartbeatReply, "b/0", 4, 2))
	c.Step(2*time.Second, answer(quorum.HeartbeatReply, "d/0", 0, 2))
	d.Learner = false
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 5, Member: d})
	if k := lastKind(c); k != quorum.EntryNoOp {
		t.Errorf("a learner without an entry was promoted: kind %d", k)
	}
	c.Step(2*time.Second, answer(quorum.AppendEntriesReply, "d/0", 5, 0))
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 6, Member: d})
	if k := lastKind(c); k != quorum.EntryMembership {
		t.Errorf("a learner that has everything was not promoted: kind %d", k)
	}
}

// A candidate asks for votes, dies before its own term is on the disk, starts
// again and campaigns in the same term. Whoever voted for it would vote again,
// and two leaders of one name would write different entries in one term.
func TestVoteRequestsWaitForTheSync(t *testing.T) {
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}}
	c := quorum.New(quorum.Config{ID: "a/0", Seed: 1}, quorum.PersistedState{
		HardState: quorum.HardState{Term: 3},
		Snapshot:  quorum.Snapshot{Index: 2, Term: 3, Members: members},
	})
	c.Step(0, quorum.Tick{})
	c.Step(0, quorum.WriteSynced{Seq: 1})
	c.Step(2*time.Second, quorum.Tick{})
	fx := c.Step(2*time.Second, reply(quorum.PreVoteReply, 4, 0))
	if len(fx.Messages) > 0 || fx.Write == nil {
		t.Errorf("before the sync: sent %v, wrote %v", fx.Messages, fx.Write)
	}
	c.Step(2*time.Second, reply(quorum.VoteReply, 4, 0))
	if _, leads := c.TermAndLeading(); leads {
		t.Error("leads before its own vote is synced")
	}
	if fx := c.Step(2*time.Second, quorum.WriteSynced{Seq: fx.Write.Seq}); len(fx.Messages) == 0 {
		t.Error("no request after the sync")
	}
}

// The way from the leader to one replica goes silent, the way back works.
// The replica hears nothing and would depose a leader that a quorum follows, and
// with it every round of a lease, again and again.
func TestSilentReplicaDisturbsNobody(t *testing.T) {
	s := newSim(3, 1)
	s.run(2 * time.Second)
	l := s.leader()
	before, _ := l.core.TermAndLeading()
	s.cut[[2]string{l.name, s.other().name}] = true
	s.run(20 * time.Second)
	clear(s.cut)
	s.run(2 * time.Second)
	after, leads := l.core.TermAndLeading()
	if after != before || !leads {
		t.Errorf("term %d became %d, still leading: %v", before, after, leads)
	}
}

// A request for a vote was held up in the network until a leader of an earlier
// term had a quorum. It must not depose that leader.
func TestLateVoteRequestDisturbsNobody(t *testing.T) {
	c := lead(t)
	late := quorum.Message{Kind: quorum.VoteRequest, From: "c/0", To: "a/0", Term: 9, Index: 3, LogTerm: 4}
	c.Step(2*time.Second, quorum.Receive{Message: late})
	if term, leads := c.TermAndLeading(); term != 4 || !leads {
		t.Errorf("term %d, leads %v", term, leads)
	}
}

// An operator adds a replica and removes one while a third is down.
// Without a majority alive the change would never commit, nor anything after it.
func TestChangeWithoutLivingMajority(t *testing.T) {
	c := lead(t)
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 4, Member: quorum.Member{ID: "b/0"}, Remove: true})
	if k := lastKind(c); k != quorum.EntryNoOp {
		t.Errorf("removing b with c silent became an entry of kind %d", k)
	}
	c.Step(2*time.Second, answer(quorum.HeartbeatReply, "c/0", 0, 1))
	c.Step(2*time.Second, quorum.ChangeMembership{Term: 4, Index: 5, Member: quorum.Member{ID: "a/0"}, Remove: true})
	if k := lastKind(c); k != quorum.EntryNoOp {
		t.Errorf("the leader's own removal became an entry of kind %d", k)
	}
}

// A snapshot arrives with a byte changed. It must not become the state.
func TestDamagedSnapshotStartsOver(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "d/0", Seed: 1}, quorum.PersistedState{})
	chunk := quorum.Message{
		Kind: quorum.SnapshotChunk, From: "a/0", To: "d/0", Term: 4, Index: 50, LogTerm: 4, SenderAddress: "a",
		TotalBytes: 4, Checksum: 1, Data: []byte("abcd"),
	}
	fx := c.Step(time.Second, quorum.Receive{Message: chunk})
	if fx.SaveSnapshot != nil {
		t.Error("a damaged snapshot is saved")
	}
	want := []quorum.OutgoingMessage{{Address: "a", Message: quorum.Message{
		Kind: quorum.SnapshotChunkReply, From: "d/0", To: "a/0", Term: 4, Index: 50, Checksum: 1,
	}}}
	if d := cmp.Diff(want, fx.Messages); d != "" {
		t.Error(d)
	}
}

// The connection breaks in the middle of a snapshot, and a late chunk comes twice.
// The replica asks for what it lacks, and takes each byte once.
func TestSnapshotResumes(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "d/0", Seed: 1}, quorum.PersistedState{})
	state := quorum.Snapshot{State: []byte("abcdef")}
	send := func(offset uint64, data string) quorum.Effects {
		return c.Step(time.Second, quorum.Receive{Message: quorum.Message{
			Kind: quorum.SnapshotChunk, From: "a/0", To: "d/0", Term: 4, Index: 50, LogTerm: 4, SenderAddress: "a",
			Offset: offset, TotalBytes: 6, Checksum: state.Checksum(), Data: []byte(data),
		}})
	}
	send(0, "abc")
	for _, late := range []string{"abc", ""} {
		fx := send(0, late)
		if got := fx.Messages[0].Message.Offset; got != 3 {
			t.Errorf("asks to go on at %d", got)
		}
	}
	fx := send(3, "def")
	if fx.SaveSnapshot == nil || string(fx.SaveSnapshot.State) != "abcdef" {
		t.Errorf("saves %v", fx.SaveSnapshot)
	}
}

// A reader asks a leader for the latest state; an answer to an earlier heartbeat
// comes late, from before another leader was elected.
// Taken for an answer to the round that the read started, it would let the
// deposed leader answer, and grant leases that the next one does not wait for.
func TestLateAnswerConfirmsNoLaterRound(t *testing.T) {
	c := lead(t)
	second := 2*time.Second + 50*time.Millisecond
	c.Step(second, quorum.ConfirmLeadership{})
	for _, x := range []struct {
		round uint64
		want  []quorum.Report
	}{
		{1, nil},
		{2, []quorum.Report{quorum.LeadershipConfirmed{Term: 4, RoundStartedAt: second}}},
	} {
		fx := c.Step(second+time.Millisecond, answer(quorum.HeartbeatReply, "b/0", 3, x.round))
		if d := cmp.Diff(x.want, fx.Reports); d != "" {
			t.Errorf("answer to round %d: %s", x.round, d)
		}
	}
}

// A leader dies while a follower writes its last entries, and the next one
// replaces them before the write is synced.
// The write must go on as it is, and its sync must not count for the entries
// that came in their place: they would be committed and on no disk.
func TestEntriesReplacedDuringTheirWrite(t *testing.T) {
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}}
	first := quorum.Entry{Index: 1, Term: 1, Kind: quorum.EntryMembership, Data: quorum.EncodeMembers(members)}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{HardState: quorum.HardState{Term: 1}, Entries: []quorum.Entry{first}})
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
			t.Errorf("entry %d of the write under way is of term %d now", e.Index, e.Term)
		}
	}
	for _, o := range c.Step(time.Second, quorum.WriteSynced{Seq: w.Seq}).Messages {
		if o.Message.Kind == quorum.AppendEntriesReply && o.Message.Index > 1 {
			t.Errorf("acknowledges entry %d, which is not synced", o.Message.Index)
		}
	}
}

// A replica takes a snapshot over a log that differs, and its process dies.
// Had the journal forgotten the entry at the snapshot's index before it was cut,
// the stale entries behind it would look like the ones that go on from it.
func TestJournalForgetsAfterTheAnchor(t *testing.T) {
	members := []quorum.Member{{ID: "a/0", Address: "a"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Address: "c"}}
	saved := quorum.PersistedState{HardState: quorum.HardState{Term: 1}}
	for i := range uint64(4) {
		saved.Entries = append(saved.Entries, quorum.Entry{Index: i + 1, Term: 1, Kind: quorum.EntryNoOp})
	}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, saved)
	state := quorum.Snapshot{State: []byte("x")}
	fx := c.Step(time.Second, quorum.Receive{Message: quorum.Message{
		Kind: quorum.SnapshotChunk, From: "b/0", To: "c/0", Term: 2, Index: 3, LogTerm: 2,
		TotalBytes: 1, Checksum: state.Checksum(), Data: state.State, Members: members,
	}})
	c.Step(time.Second, quorum.WriteSynced{Seq: fx.Write.Seq})
	fx = c.Step(time.Second, quorum.SnapshotSaved{Index: 3})
	if fx.Write == nil || fx.DropJournalUpTo != 0 {
		t.Fatalf("writes %v, lets the journal forget up to %d", fx.Write, fx.DropJournalUpTo)
	}
	if fx = c.Step(time.Second, quorum.WriteSynced{Seq: fx.Write.Seq}); fx.DropJournalUpTo != 3 {
		t.Errorf("after the anchor is synced the journal forgets up to %d", fx.DropJournalUpTo)
	}
}

// A learner is promoted, and the leader dies before the learner hears of it.
// The other voter has the promotion in its log and needs the learner's vote.
func TestLearnerVotes(t *testing.T) {
	members := []quorum.Member{{ID: "a/0"}, {ID: "b/0", Address: "b"}, {ID: "c/0", Learner: true}}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{
		HardState: quorum.HardState{Term: 1},
		Entries:   []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembership, Data: quorum.EncodeMembers(members)}},
	})
	m := quorum.Message{Kind: quorum.VoteRequest, From: "b/0", To: "c/0", Term: 2, Index: 2, LogTerm: 1}
	fx := c.Step(time.Second, quorum.Receive{Message: m})
	fx = c.Step(time.Second, quorum.WriteSynced{Seq: fx.Write.Seq})
	want := []quorum.OutgoingMessage{{Address: "b", Message: quorum.Message{
		Kind: quorum.VoteReply, From: "c/0", To: "b/0", Term: 2,
	}}}
	if d := cmp.Diff(want, fx.Messages); d != "" {
		t.Error(d)
	}
}

// A leader with a slow disk commits by the syncs of the others, and takes a
// snapshot that is ahead of its own journal. The entries before it would be
// forgotten before they are written, and the journal would have a gap.
func TestSnapshotWaitsForTheJournal(t *testing.T) {
	c := elected(t)
	c.Step(2*time.Second, answer(quorum.AppendEntriesReply, "b/0", 3, 0))
	c.Step(2*time.Second, answer(quorum.AppendEntriesReply, "c/0", 3, 0))
	if s := c.Status(); s.Commit != 3 {
		t.Fatalf("commit %d", s.Commit)
	}
	if fx := c.Step(2*time.Second, quorum.Compact{Index: 3}); fx.SaveSnapshot != nil {
		t.Error("saves a snapshot ahead of the journal")
	}
	if fx := c.Step(2*time.Second, quorum.WriteSynced{Seq: 2}); fx.SaveSnapshot == nil {
		t.Error("does not save it after the sync")
	}
}

// A new replica saves a snapshot and dies before its term is on the disk.
// It must not go back to a term before that of its log.
func TestTermOfTheSnapshot(t *testing.T) {
	members := []quorum.Member{{ID: "a/0"}, {ID: "b/0"}, {ID: "c/0"}}
	c := quorum.New(quorum.Config{ID: "c/0", Seed: 1}, quorum.PersistedState{
		Snapshot: quorum.Snapshot{Index: 9, Term: 5, Members: members},
	})
	if s := c.Status(); s.Term != 5 {
		t.Errorf("starts in term %d", s.Term)
	}
}

// A leader is stopped as planned while entries are on the way to its transferee.
// Elected without them the transferee would lose against the others' logs, and nobody
// would lead until the next timeout; it is asked to stand when it has them.
func TestHeirHasTheWholeLog(t *testing.T) {
	c := lead(t)
	c.Step(2*time.Second, quorum.Propose{Term: 4, FirstIndex: 4, Commands: [][]byte{[]byte("x")}})
	asked := func(fx quorum.Effects) bool {
		return slices.ContainsFunc(fx.Messages, func(o quorum.OutgoingMessage) bool { return o.Message.Kind == quorum.TimeoutNow })
	}
	if asked(c.Step(2*time.Second, quorum.TransferLeadership{})) {
		t.Error("asked before it has the log")
	}
	if !asked(c.Step(2*time.Second, reply(quorum.AppendEntriesReply, 4, 4))) {
		t.Error("not asked when it has the log")
	}
}
