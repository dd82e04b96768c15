package quorum

import (
	"slices"
	"strings"
)

// Status is the state of a core as shown to operators.
type Status struct {
	ID       string
	Term     uint64
	Leading  bool
	Leader   string
	Last     uint64
	Synced   uint64
	Commit   uint64
	Snapshot uint64
	// Base is the index of the last entry that is no longer in the log in memory.
	Base    uint64
	Members []Member
	Voters  int
	// Peers is set only on the leader.
	Peers []PeerStatus
}

// PeerStatus is the replication state of another replica, as known to the leader.
type PeerStatus struct {
	ID    string
	Match uint64
	// Installing is set while the leader sends a snapshot. Offset is the position of the
	// next chunk.
	Installing bool
	Offset     uint64
	// Promotable is set for a learner that can be promoted to voter now.
	Promotable bool
}

// Status returns the current state of the core.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Term: c.hardState.Term, Leading: c.role == roleLeader, Leader: c.leaderID,
		Last: c.log.lastIndex(), Synced: c.journal.syncedIndex, Commit: c.commitIndex,
		Snapshot: c.snapshot.Index, Base: c.log.base,
		Members: slices.Clone(c.currentMembership().members), Voters: len(c.currentMembership().voterIDs()),
	}
	for id, p := range c.leaderState.peers {
		if id == c.cfg.ID || !c.currentMembership().contains(id) {
			continue
		}
		s.Peers = append(s.Peers, PeerStatus{
			ID: id, Match: p.matchIndex, Installing: p.state == progressSnapshot, Offset: p.snapshotOffset,
			Promotable: !c.currentMembership().isVoter(id) && c.isPromotable(id),
		})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return strings.Compare(a.ID, b.ID) })
	return s
}

// Transferring reports whether a leadership transfer is in progress. The leader rejects
// proposals meanwhile.
func (c *Core) Transferring() bool { return c.leaderState.transferee != "" }

// UncommittedBytes returns the total size of the entries that wait for a quorum.
func (c *Core) UncommittedBytes() int { return c.log.bytes - c.log.committedBytes }
