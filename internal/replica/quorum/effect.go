package quorum

import "time"

// Effects is what the driver has to do after a step.
type Effects struct {
	// Write goes to the journal; Synced answers it. At most one is on its way.
	Write *JournalWrite
	// SaveSnapshot goes to the snapshot store; SnapshotSaved answers it. At most one is
	// on its way.
	SaveSnapshot *Snapshot
	// DropJournalUpTo lets the journal forget entries up to this index, unless 0.
	DropJournalUpTo uint64
	// Messages are messages that may leave now.
	Messages []OutgoingMessage
	// Reports are for the control thread, in order.
	Reports []Report
}

// JournalWrite is one group commit of the journal.
type JournalWrite struct {
	Seq uint64
	// HardState is nil when unchanged. It is written before the entries.
	HardState *HardState
	// Entries replace everything from the first of them on.
	Entries []Entry
}

// OutgoingMessage is a message with the address of its receiver.
type OutgoingMessage struct {
	Address string
	Message Message
}

// Report tells the control thread something.
type Report interface{ report() }

// BecameLeader tells that this replica leads and that all entries up to Last were reported.
type BecameLeader struct {
	Term      uint64
	LastIndex uint64
	ElectedAt time.Duration
}

// BecameFollower tells that this replica does not lead; Leader is empty if unknown.
type BecameFollower struct {
	Term          uint64
	Leader        string
	LeaderAddress string
}

// EntriesCommitted gives committed entries to a replica that does not lead.
type EntriesCommitted struct{ Entries []Entry }

// CommitAdvanced tells the leader how far its proposals are committed.
type CommitAdvanced struct{ Index uint64 }

// LeadershipConfirmed tells the leader the start of a round that a quorum confirmed.
type LeadershipConfirmed struct {
	Term           uint64
	RoundStartedAt time.Duration
}

// StateRestored replaces the state by that of a snapshot.
type StateRestored struct {
	Index uint64
	State []byte
}

// MembershipChanged tells the committed membership.
type MembershipChanged struct{ Members []Member }

func (BecameLeader) report()        {}
func (BecameFollower) report()      {}
func (EntriesCommitted) report()    {}
func (CommitAdvanced) report()      {}
func (LeadershipConfirmed) report() {}
func (StateRestored) report()       {}
func (MembershipChanged) report()   {}
