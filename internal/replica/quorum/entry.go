// Package quorum is the consensus core of the control group: a pure state
// machine without goroutines, clocks or I/O.
package quorum

// EntryKind says what an entry of the log carries.
type EntryKind uint8

// The kinds of entry.
const (
	// EntryCommand is a decision of the control thread; quorum does not look into it.
	EntryCommand EntryKind = iota + 1
	// EntryNoOp is what a new leader commits before it decides anything.
	EntryNoOp
	// EntryMembership is a change of membership.
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	// Index counts from 1 without gaps.
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a replica must have synced before it acts on it.
type HardState struct {
	Term uint64
	// Vote is the replica voted for in Term; empty for none.
	Vote string
}

// Member is one replica of the control group.
type Member struct {
	// ID is NAME/NONCE: a replica whose disk was replaced has a new one.
	ID      string
	Address string
	// Learner replicas receive the log and do not count.
	Learner bool
}
