// Package quorum implements the consensus protocol of the control group as a
// deterministic state machine without goroutines, clocks or I/O.
package quorum

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of entry.
const (
	// EntryCommand carries a command of the control thread, which this package does not
	// interpret.
	EntryCommand EntryKind = iota + 1
	// EntryNoOp carries no data. A new leader commits one before it accepts proposals.
	EntryNoOp
	// EntryMembership carries a new membership of the group.
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	// Index is the position in the log. It starts at 1 and has no gaps.
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the term and vote of a replica. A replica syncs it to disk before it votes,
// requests votes or acknowledges entries.
type HardState struct {
	Term uint64
	// Vote is the ID of the replica that received the vote in Term. Empty means no vote.
	Vote string
}

// Member is one replica of the control group.
type Member struct {
	// ID is the identity of the replica, as NAME/NONCE. A replica whose disk was replaced
	// gets a new nonce.
	ID      string
	Address string
	// Learner is set for a replica that receives the log but does not count towards a quorum.
	Learner bool
}
