// Package group runs one replica of the control group. It connects the consensus
// core to the journal, the snapshots and the other replicas. The event loop has
// its own goroutine, so that a long decision of the control thread never delays
// a heartbeat.
package group

import (
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Proposal is a batch of commands that the control thread has applied to its
// working ledger. Only the control thread appends to the log, so it knows the log
// index of each command in advance. The group drops the whole proposal if it has
// another term or leaves a gap in the log.
type Proposal struct {
	Term uint64
	// FirstIndex is the log index of the first command. It follows LastIndex of the
	// Leading notification or the last index of the previous proposal.
	FirstIndex uint64
	Commands   [][]byte
	// Member is set instead of Commands in a proposal that changes the membership.
	Member *quorum.Member
	// RemoveMember reports whether the proposal removes Member instead of adding or
	// updating it.
	RemoveMember bool
}

// Notification is a message from the group to the control thread. Notifications
// are delivered in order.
type Notification interface{ isNotification() }

// Leading reports that this replica has become the leader in Term. All entries up
// to LastIndex have been delivered in ApplyEntries notifications.
type Leading struct {
	Term uint64
	// LastIndex is the last index of the log. The next proposal starts at LastIndex+1.
	LastIndex uint64
	// ElectedAt is the time of the election on the clock of Group.Now.
	ElectedAt time.Duration
}

// Following reports that this replica is not the leader, or no longer.
type Following struct {
	Term uint64
	// Leader is the ID of the leader. It is empty while the leader is unknown.
	Leader        string
	LeaderAddress string
}

// ApplyEntries delivers committed log entries to a replica that does not lead.
type ApplyEntries struct{ Entries []quorum.Entry }

// CommitAdvanced reports to the leader that its proposals up to the log index
// Index are committed.
type CommitAdvanced struct{ Index uint64 }

// LeadershipConfirmed reports to the leader that a quorum has answered a heartbeat
// round in the term Term.
type LeadershipConfirmed struct {
	Term uint64
	// StartedAt is the start of the heartbeat round on the clock of Group.Now.
	StartedAt time.Duration
}

// RestoreSnapshot replaces the ledger by a snapshot. ApplyEntries notifications
// with the entries after Index follow.
type RestoreSnapshot struct {
	// Index is the log index of the last entry that the snapshot contains.
	Index uint64
	// State is the encoded ledger. It is empty if Index is 0, which means an empty
	// ledger.
	State []byte
}

// MembershipChanged delivers the membership that is now in force.
type MembershipChanged struct {
	Members []quorum.Member
	// Self is the ID of this replica.
	Self string
}

// JournalDiskFull reports whether the disk of the journal has too little free
// space to accept new work.
type JournalDiskFull struct{ Full bool }

func (Leading) isNotification()             {}
func (Following) isNotification()           {}
func (ApplyEntries) isNotification()        {}
func (CommitAdvanced) isNotification()      {}
func (LeadershipConfirmed) isNotification() {}
func (RestoreSnapshot) isNotification()     {}
func (MembershipChanged) isNotification()   {}
func (JournalDiskFull) isNotification()     {}
