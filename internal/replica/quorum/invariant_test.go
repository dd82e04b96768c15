package quorum_test

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"gypsumreel/internal/replica/quorum"
)

func hash(v ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, v...)
	return h.Sum64()
}

// apply is the control thread's replay of one entry.
func (s *sim) apply(n *node, e quorum.Entry) {
	if e.Index != n.index+1 {
		s.fail("%s applies %d after %d", n.id, e.Index, n.index)
	}
	if old, ok := s.committed[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.fail("%s: committed entry %d changed from %v to %v", n.id, e.Index, old, e)
	}
	n.index, n.digest = e.Index, hash(n.digest, e.Term, string(e.Data))
	s.committed[e.Index], s.digests[e.Index] = e, n.digest
	s.top = max(s.top, e.Index)
}

func (s *sim) report(n *node, r quorum.Report) {
	s.label(strings.TrimPrefix(fmt.Sprintf("%T", r), "quorum."), n)
	switch r := r.(type) {
	case quorum.BecameLeader:
		if n.index != r.LastIndex {
			s.fail("%s leads from %d having applied %d", n.id, r.LastIndex, n.index)
		}
		n.lead, n.next, n.mine = &r, r.LastIndex+1, map[uint64]quorum.Entry{}
		n.confirmed = r.ElectedAt
		s.elections = append(s.elections, r)
	case quorum.BecameFollower:
		n.lead = nil
	case quorum.EntriesCommitted:
		for _, e := range r.Entries {
			s.apply(n, e)
		}
	case quorum.CommitAdvanced:
		for i := n.index + 1; i <= r.Index; i++ {
			s.apply(n, n.mine[i])
		}
	case quorum.LeadershipConfirmed:
		n.confirmed = r.RoundStartedAt
		// Leases rest on this: no later leader was elected before the round began.
		for _, e := range s.elections {
			if e.Term > r.Term && e.ElectedAt < r.RoundStartedAt {
				s.fail("%s confirmed a round of %v in term %d, term %d elected at %v", n.id, r.RoundStartedAt, r.Term, e.Term, e.ElectedAt)
			}
		}
	case quorum.StateRestored:
		n.index, n.digest, n.lead = r.Index, 0, nil
		if r.Index > 0 {
			fmt.Sscan(string(r.State), &n.digest)
		}
		if n.digest != s.digests[r.Index] {
			s.fail("%s restores another state at %d", n.id, r.Index)
		}
	case quorum.MembershipChanged:
		s.memberships(n, r.Members)
	}
}

// memberships checks that one machine never counts twice.
func (s *sim) memberships(n *node, members []quorum.Member) {
	s.members = members
	seen := map[string]bool{}
	for _, m := range members {
		before, _, _ := strings.Cut(m.ID, "/")
		if !m.Learner && seen[before] {
			s.fail("%s: %s counts twice", n.id, before)
		}
		seen[before] = seen[before] || !m.Learner
	}
}

// longestLead is how long a leader may go on unconfirmed: with a fixed timeout for
// that, else for as long as it may grow.
func (s *sim) longestLead() time.Duration {
	const growth = 4
	if s.config.MaxElectionTimeout == 0 {
		return quorum.DefaultElectionTimeout
	}
	return growth * s.config.MaxElectionTimeout
}

func (s *sim) invariants(n *node) {
	if mark := n.core.LastEntry(); mark != n.checked {
		n.checked = mark
		s.logMatching(n)
	}
	term, leads := n.core.TermAndLeading()
	if !leads {
		return
	}
	if n.lead != nil && s.now-n.confirmed > s.longestLead() {
		s.fail("%s leads without a round confirmed since %v", n.id, n.confirmed)
	}
	if old, ok := s.leaders[term]; ok {
		if old != n.id {
			s.fail("%s and %s lead in term %d", old, n.id, term)
		}
		return
	}
	s.leaders[term] = n.id
	s.complete(n)
}

// logMatching holds when an index and a term stand for one content and one
// entry before it.
func (s *sim) logMatching(n *node) {
	base, before := n.core.LogBase()
	for i, e := range n.core.LogEntries() {
		if e.Index != base+uint64(i)+1 {
			s.fail("%s has entry %d in the place of %d", n.id, e.Index, base+uint64(i)+1)
		}
		is := [2]uint64{before, hash(e.Kind, string(e.Data))}
		key := [2]uint64{e.Index, e.Term}
		if was, ok := s.prefix[key]; ok && was != is {
			s.fail("%s: entry %d of term %d differs between logs", n.id, e.Index, e.Term)
		}
		s.prefix[key] = is
		before = e.Term
	}
}

// complete holds when a new leader has every committed entry.
func (s *sim) complete(n *node) {
	base, _ := n.core.LogBase()
	entries := n.core.LogEntries()
	for i := base + 1; i <= s.top; i++ {
		if i-base > uint64(len(entries)) || entries[i-base-1].Term != s.committed[i].Term {
			s.fail("%s leads without the committed entry %d", n.id, i)
			return
		}
	}
}

// settled tells that there is a leader that takes work, all of its log is
// committed everywhere, and there is no repair to do.
func (s *sim) settled() bool {
	l := s.leader()
	if l == nil || l.core.Transferring() || l.core.LastEntry()[0] != s.top || len(s.members) != len(s.nodes) {
		return false
	}
	for _, m := range s.members {
		if m.Learner || s.dead[m.ID] {
			return false
		}
	}
	for _, n := range s.nodes {
		if n.index != s.top {
			return false
		}
	}
	return true
}

// heal ends all faults, repairs the membership, and checks that new work is
// committed and that all replicas end in one state.
func (s *sim) heal() {
	s.cut, s.loss, s.double, s.jitter = map[[2]string]bool{}, 0, 0, 0
	for _, n := range s.nodes {
		n.paused = false
		if n.core == nil {
			s.start(n)
		}
	}
	for range 40 {
		s.run(250 * time.Millisecond)
		if s.settled() {
			break
		}
		s.repair()
	}
	if !s.settled() && s.failed == "" {
		s.fail("not settled 10 s after all faults ended")
		return
	}
	s.propose(s.leader(), 1)
	want := s.proposed
	s.run(time.Second)
	l := s.leader()
	if l == nil || s.failed != "" {
		s.fail("no leader after all faults ended")
		return
	}
	if got := string(s.committed[s.top].Data); got != fmt.Sprintf("command %d", want) {
		s.fail("work after all faults ended is not committed: %q instead of command %d", got, want)
	}
	for _, n := range s.nodes {
		if n.index != l.index || n.digest != l.digest || len(n.core.Status().Members) != len(s.nodes) {
			s.fail("%s ends at %d of %d: %+v", n.id, n.index, l.index, n.core.Status())
		}
	}
}
