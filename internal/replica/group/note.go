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
	Term     uint64
	First    uint64
	Commands [][]byte
	// Change is set instead of Commands to change the membership.
	Change *quorum.Member
	// Remove tells that Change removes the member.
	Remove bool
}

// Note is what the group tells the control thread, in order.
type Note interface{ note() }

// Lead tells that this replica leads in Term, that every entry up to Last has
// been given out by Apply, and that the next proposal starts at Last+1.
type Lead struct {
	Term uint64
	Last uint64
	// Elected is the time of the election on the clock of Config.Now.
	Elected time.Duration
}

// Follow tells that this replica does not lead (any more). Leader is empty
// while none is known.
type Follow struct {
	Term    uint64
	Leader  string
	Address string
}

// Apply gives committed entries to a replica that does not lead.
type Apply struct{ Entries []quorum.Entry }

// Commit tells the leader that its proposals up to Index are committed.
type Commit struct{ Index uint64 }

// Confirmed tells the leader that a quorum confirmed, in its term, a heartbeat
// round that began at Start on the clock of Config.Now.
type Confirmed struct {
	Term  uint64
	Start time.Duration
}

// Restore replaces the ledger by a snapshot taken at Index; Apply notes with
// the entries after it follow. State is empty at Index 0: an empty ledger.
type Restore struct {
	Index uint64
	State []byte
}

// Members tells the membership in force.
type Members struct {
	Members []quorum.Member
	// Self is this replica's own ID.
	Self string
}

// Full tells whether the journal has too little room on its disk for new work.
type Full struct{ Full bool }

func (Lead) note()      {}
func (Follow) note()    {}
func (Apply) note()     {}
func (Commit) note()    {}
func (Confirmed) note() {}
func (Restore) note()   {}
func (Members) note()   {}
func (Full) note()      {}
