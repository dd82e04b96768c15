package quorum_test

import (
	"fmt"
	"slices"

	"gypsumreel/internal/replica/quorum"
)

// leader returns the running replica whose control thread knows that it leads in the latest term.
func (s *simulation) leader() *simReplica {
	var latest *simReplica
	for _, n := range s.replicas {
		if n.core != nil && !n.paused && n.leadership != nil && (latest == nil || n.leadership.Term > latest.leadership.Term) {
			latest = n
		}
	}
	return latest
}

func (s *simulation) propose(n *simReplica, count int) {
	if n == nil || n.leadership == nil || n.core.Transferring() {
		return
	}
	p := quorum.Propose{Term: n.leadership.Term, FirstIndex: n.nextIndex}
	for range count {
		s.proposedCommands++
		data := fmt.Appendf(nil, "command %d", s.proposedCommands)
		p.Commands = append(p.Commands, data)
		n.proposedEntries[n.nextIndex] = quorum.Entry{Index: n.nextIndex, Term: p.Term, Kind: quorum.EntryCommand, Data: data}
		n.nextIndex++
	}
	s.step(n, p)
}

func (s *simulation) changeMembership(n *simReplica, m quorum.Member, remove bool) {
	if n == nil || n.leadership == nil || n.core.Transferring() {
		return
	}
	index := n.nextIndex
	n.nextIndex++
	s.step(n, quorum.ChangeMembership{Term: n.leadership.Term, Index: index, Member: m, Remove: remove})
	if n.leadership != nil {
		base, _ := n.core.LogBase()
		n.proposedEntries[index] = n.core.LogEntries()[index-base-1]
	}
}

func (s *simulation) compact(n *simReplica) {
	if n != nil && n.core != nil {
		s.step(n, quorum.Compact{Index: n.appliedIndex, State: fmt.Append(nil, n.stateDigest)})
	}
}

// repairMembership makes the leader propose the next change towards a membership in which every
// replica is a voter and no lost identity remains.
func (s *simulation) repairMembership() {
	leader := s.leader()
	if leader == nil {
		return
	}
	members := leader.core.Status().Members
	for _, n := range s.replicas {
		i := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == n.id })
		if i < 0 {
			s.changeMembership(leader, quorum.Member{ID: n.id, Address: n.name, Learner: true}, false)
			return
		}
	}
	for _, m := range members {
		if s.lostIdentities[m.ID] {
			s.changeMembership(leader, m, true)
			return
		}
	}
	for _, m := range members {
		if m.Learner {
			m.Learner = false
			s.changeMembership(leader, m, false)
			return
		}
	}
}
