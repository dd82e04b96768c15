package quorum

import "time"

// Effects is what the driver has to do after a step.
type Effects struct {
	// Write goes to the journal; Synced answers it. At most one is on its way.
	Write *Write
	// Save goes to the snapshot store; SnapshotSaved answers it. At most one is
	// on its way.
	Save *Snapshot
	// Drop lets the journal forget entries up to this index, unless 0.
	Drop uint64
	// Out are messages that may leave now.
	Out []Outgoing
	// Reports are for the control thread, in order.
	Reports []Report
}

// Write is one group commit of the journal.
type Write struct {
	Seq uint64
	// Hard is nil when unchanged. It is written before the entries.
	Hard *Hard
	// Entries replace everything from the first of them on.
	Entries []Entry
}

// Outgoing is a message with the address of its receiver.
type Outgoing struct {
	Address string
	Message Message
}

// Report tells the control thread something.
type Report interface{ report() }

// Led tells that this replica leads and that all entries up to Last were reported.
type Led struct {
	Term    uint64
	Last    uint64
	Elected time.Duration
}

// Followed tells that this replica does not lead; Leader is empty if unknown.
type Followed struct {
	Term    uint64
	Leader  string
	Address string
}

// Applied gives committed entries to a replica that does not lead.
type Applied struct{ Entries []Entry }

// Committed tells the leader how far its proposals are committed.
type Committed struct{ Index uint64 }

// RoundConfirmed tells the leader the start of a round that a quorum confirmed.
type RoundConfirmed struct {
	Term  uint64
	Start time.Duration
}

// Restored replaces the state by that of a snapshot.
type Restored struct {
	Index uint64
	State []byte
}

// MembersChanged tells the committed membership.
type MembersChanged struct{ Members []Member }

func (Led) report()            {}
func (Followed) report()       {}
func (Applied) report()        {}
func (Committed) report()      {}
func (RoundConfirmed) report() {}
func (Restored) report()       {}
func (MembersChanged) report() {}
