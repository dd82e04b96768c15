package quorum

import "time"

// Effects lists the actions that the caller of Step has to carry out.
type Effects struct {
	// Write has to be written to the journal. The caller confirms it with WriteSynced. At
	// most one write is in progress.
	Write *JournalWrite
	// SaveSnapshot has to be saved to the snapshot store. The caller confirms it with
	// SnapshotSaved. At most one save is in progress.
	SaveSnapshot *Snapshot
	// DropJournalUpTo allows the journal to drop all entries up to this index. 0 means none.
	DropJournalUpTo uint64
	// Messages have to be sent to other replicas.
	Messages []OutgoingMessage
	// Reports have to be passed to the control thread, in this order.
	Reports []Report
	// StalledTerm is the term in which this replica stops leading because its first entry
	// was not committed. 0 means none.
	StalledTerm uint64
}

// JournalWrite is a batch of changes that the journal writes and syncs together.
type JournalWrite struct {
	Seq uint64
	// HardState is nil if unchanged. It is written before the entries.
	HardState *HardState
	// Entries replace all journal entries from the index of the first one on.
	Entries []Entry
}

// OutgoingMessage is a message and the network address of its receiver.
type OutgoingMessage struct {
	Address string
	Message Message
}

// Report informs the control thread about a change in the consensus state.
type Report interface{ isReport() }

// BecameLeader reports that this replica leads and that all entries up to LastIndex were
// reported before.
type BecameLeader struct {
	Term      uint64
	LastIndex uint64
	ElectedAt time.Duration
}

// BecameFollower reports that this replica does not lead. Leader is empty if no leader is
// known.
type BecameFollower struct {
	Term          uint64
	Leader        string
	LeaderAddress string
}

// EntriesCommitted reports newly committed entries on a replica whose leadership has not
// been reported.
type EntriesCommitted struct{ Entries []Entry }

// CommitAdvanced reports on the leader that its proposals are committed up to Index.
type CommitAdvanced struct{ Index uint64 }

// LeadershipConfirmed reports on the leader that a quorum has answered the heartbeat round
// that started at RoundStartedAt.
type LeadershipConfirmed struct {
	Term           uint64
	RoundStartedAt time.Duration
}

// StateRestored replaces the state of the control thread with the state of a snapshot.
type StateRestored struct {
	Index uint64
	State []byte
}

// MembershipChanged reports a newly committed membership.
type MembershipChanged struct{ Members []Member }

func (BecameLeader) isReport()        {}
func (BecameFollower) isReport()      {}
func (EntriesCommitted) isReport()    {}
func (CommitAdvanced) isReport()      {}
func (LeadershipConfirmed) isReport() {}
func (StateRestored) isReport()       {}
func (MembershipChanged) isReport()   {}
