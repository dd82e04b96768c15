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
		ID: c.cfg.ID, Term: c.hard.Term, Leading: c.role == leader, Leader: c.leader,
		Last: c.log.last(), Synced: c.disk.stable, Commit: c.commit,
		Snapshot: c.snapshot.Index, Base: c.log.base,
		Members: slices.Clone(c.members().members), Voters: len(c.members().voters()),
	}
	for id, p := range c.lead.peers {
		if id == c.cfg.ID || !c.members().contains(id) {
			continue
		}
		s.Peers = append(s.Peers, PeerStatus{
			ID: id, Match: p.match, Installing: p.state == installing, Offset: p.offset,
			Promotable: !c.members().voter(id) && c.promotable(id),
		})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return strings.Compare(a.ID, b.ID) })
	return s
}

// Transferring tells that the leader hands over and takes no proposals.
func (c *Core) Transferring() bool { return c.lead.transferee != "" }

// UncommittedBytes gives the bytes of the entries that wait for a quorum.
func (c *Core) UncommittedBytes() int { return c.log.size - c.log.committed }
