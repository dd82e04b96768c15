package quorum_test

import (
	"fmt"
	"slices"

	"gypsumreel/internal/replica/quorum"
)

// leader is the node whose control thread was told that it leads in the latest term.
func (s *sim) leader() *node {
	var best *node
	for _, n := range s.nodes {
		if n.core != nil && !n.paused && n.lead != nil && (best == nil || n.lead.Term > best.lead.Term) {
			best = n
		}
	}
	return best
}

func (s *sim) propose(n *node, count int) {
	if n == nil || n.lead == nil || n.core.Transferring() {
		return
	}
	p := quorum.Propose{Term: n.lead.Term, FirstIndex: n.next}
	for range count {
		s.proposed++
		data := fmt.Appendf(nil, "command %d", s.proposed)
		p.Commands = append(p.Commands, data)
		n.mine[n.next] = quorum.Entry{Index: n.next, Term: p.Term, Kind: quorum.EntryCommand, Data: data}
		n.next++
	}
	s.step(n, p)
}

func (s *sim) alter(n *node, m quorum.Member, remove bool) {
	if n == nil || n.lead == nil || n.core.Transferring() {
		return
	}
	index := n.next
	n.next++
	s.step(n, quorum.ChangeMembership{Term: n.lead.Term, Index: index, Member: m, Remove: remove})
	if n.lead != nil {
		base, _ := n.core.LogBase()
		n.mine[index] = n.core.LogEntries()[index-base-1]
	}
}

func (s *sim) compact(n *node) {
	if n != nil && n.core != nil {
		s.step(n, quorum.Compact{Index: n.index, State: fmt.Append(nil, n.digest)})
	}
}

// repair lets the leader do the next step towards a membership without dead
// identities and with every replica as a voter.
func (s *sim) repair() {
	l := s.leader()
	if l == nil {
		return
	}
	members := l.core.Status().Members
	for _, n := range s.nodes {
		i := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == n.id })
		if i < 0 {
			s.alter(l, quorum.Member{ID: n.id, Address: n.name, Learner: true}, false)
			return
		}
	}
	for _, m := range members {
		if s.dead[m.ID] {
			s.alter(l, m, true)
			return
		}
	}
	for _, m := range members {
		if m.Learner {
			m.Learner = false
			s.alter(l, m, false)
			return
		}
	}
}
