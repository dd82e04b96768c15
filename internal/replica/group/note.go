// Package group runs one replica of the control group: it ties the consensus
// core to the journal, the snapshots and the peers, on one goroutine of its own,
// so that a long decision of the control thread never delays a heartbeat.
package group

import (
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Proposal is a batch of commands that the control thread has applied to its
// working ledger. The control thread is the only one that appends, so it knows
// the indexes: First is one past the last index of the Lead note or of the
// proposal before. A proposal of another term or with a gap is dropped whole.
type Proposal struct {
	Term       uint64
	FirstIndex uint64
	Commands   [][]byte
	// Member is set instead of Commands to change the membership.
	Member *quorum.Member
	// RemoveMember tells that Change removes the member.
	RemoveMember bool
}

// Notification is what the group tells the control thread, in order.
type Notification interface{ note() }

// Leading tells that this replica leads in Term, that every entry up to Last has
// been given out by Apply, and that the next proposal starts at Last+1.
type Leading struct {
	Term      uint64
	LastIndex uint64
	// ElectedAt is the time of the election on the clock of Config.Now.
	ElectedAt time.Duration
}

// Following tells that this replica does not lead (any more). Leader is empty
// while none is known.
type Following struct {
	Term          uint64
	Leader        string
	LeaderAddress string
}

// ApplyEntries gives committed entries to a replica that does not lead.
type ApplyEntries struct{ Entries []quorum.Entry }

// CommitAdvanced tells the leader that its proposals up to Index are committed.
type CommitAdvanced struct{ Index uint64 }

// LeadershipConfirmed tells the leader that a quorum confirmed, in its term, a heartbeat
// round that began at Start on the clock of Config.Now.
type LeadershipConfirmed struct {
	Term      uint64
	StartedAt time.Duration
}

// RestoreSnapshot replaces the ledger by a snapshot taken at Index; Apply notes with
// the entries after it follow. State is empty at Index 0: an empty ledger.
type RestoreSnapshot struct {
	Index uint64
	State []byte
}

// MembershipChanged tells the membership in force.
type MembershipChanged struct {
	Members []quorum.Member
	// Self is this replica's own ID.
	Self string
}

// JournalDiskFull tells whether the journal has too little room on its disk for new work.
type JournalDiskFull struct{ Full bool }

func (Leading) note()             {}
func (Following) note()           {}
func (ApplyEntries) note()        {}
func (CommitAdvanced) note()      {}
func (LeadershipConfirmed) note() {}
func (RestoreSnapshot) note()     {}
func (MembershipChanged) note()   {}
func (JournalDiskFull) note()     {}
