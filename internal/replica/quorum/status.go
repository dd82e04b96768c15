package quorum

import (
	"slices"
	"strings"
)

// Status is the state of a core for operators.
type Status struct {
	ID       string
	Term     uint64
	Leading  bool
	Leader   string
	Last     uint64
	Synced   uint64
	Commit   uint64
	Snapshot uint64
	// Base is the index behind which the log is forgotten.
	Base    uint64
	Members []Member
	Voters  int
	// Peers is set while leading.
	Peers []PeerStatus
}

// PeerStatus is what a leader knows of another replica.
type PeerStatus struct {
	ID    string
	Match uint64
	// Installing tells that it is being sent a snapshot, up to Offset so far.
	Installing bool
	Offset     uint64
	// Promotable tells that a learner may become a voter now.
	Promotable bool
}

// Status gives the state of the core.
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

// Transferring tells that the leader hands over and takes no proposals.
func (c *Core) Transferring() bool { return c.leaderState.transferee != "" }

// UncommittedBytes gives the bytes of the entries that wait for a quorum.
func (c *Core) UncommittedBytes() int { return c.log.bytes - c.log.committedBytes }
