package quorum_test

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"gypsumreel/internal/replica/quorum"
)

func hashOf(v ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, v...)
	return h.Sum64()
}

// apply applies a committed entry to the state of a replica, as its control thread would. It
// checks that all replicas apply the same entries in the same order.
func (s *simulation) apply(n *simReplica, e quorum.Entry) {
	if e.Index != n.appliedIndex+1 {
		s.fail("%s applies entry %d after entry %d", n.id, e.Index, n.appliedIndex)
	}
	if committedEntry, ok := s.committed[e.Index]; ok && (committedEntry.Term != e.Term || string(committedEntry.Data) != string(e.Data)) {
		s.fail("%s: committed entry %d changed from %v to %v", n.id, e.Index, committedEntry, e)
	}
	n.appliedIndex, n.stateDigest = e.Index, hashOf(n.stateDigest, e.Term, string(e.Data))
	s.committed[e.Index], s.digestByIndex[e.Index] = e, n.stateDigest
	s.commitIndex = max(s.commitIndex, e.Index)
}

func (s *simulation) report(n *simReplica, r quorum.Report) {
	s.trace(strings.TrimPrefix(fmt.Sprintf("%T", r), "quorum."), n)
	switch r := r.(type) {
	case quorum.BecameLeader:
		if n.appliedIndex != r.LastIndex {
			s.fail("%s became leader with last log index %d but applied index %d", n.id, r.LastIndex, n.appliedIndex)
		}
		n.leadership, n.nextIndex, n.proposedEntries = &r, r.LastIndex+1, map[uint64]quorum.Entry{}
		n.confirmedAt = r.ElectedAt
		s.elections = append(s.elections, r)
	case quorum.BecameFollower:
		n.leadership = nil
	case quorum.EntriesCommitted:
		for _, e := range r.Entries {
			s.apply(n, e)
		}
	case quorum.CommitAdvanced:
		for i := n.appliedIndex + 1; i <= r.Index; i++ {
			s.apply(n, n.proposedEntries[i])
		}
	case quorum.LeadershipConfirmed:
		n.confirmedAt = r.RoundStartedAt
		// Leases rely on this invariant: no later leader was elected before the start of a
		// confirmed round.
		for _, e := range s.elections {
			if e.Term > r.Term && e.ElectedAt < r.RoundStartedAt {
				s.fail("%s confirmed the round started at %v in term %d, but the leader of term %d was elected at %v", n.id, r.RoundStartedAt, r.Term, e.Term, e.ElectedAt)
			}
		}
	case quorum.StateRestored:
		n.appliedIndex, n.stateDigest, n.leadership = r.Index, 0, nil
		if r.Index > 0 {
			fmt.Sscan(string(r.State), &n.stateDigest)
		}
		if n.stateDigest != s.digestByIndex[r.Index] {
			s.fail("%s restored a state at index %d that differs from the committed state", n.id, r.Index)
		}
	case quorum.MembershipChanged:
		s.checkMembers(n, r.Members)
	}
}

// checkMembers checks that no two voters have the same replica name. Otherwise one machine
// would count twice.
func (s *simulation) checkMembers(n *simReplica, members []quorum.Member) {
	s.members = members
	isVoter := map[string]bool{}
	for _, m := range members {
		name, _, _ := strings.Cut(m.ID, "/")
		if !m.Learner && isVoter[name] {
			s.fail("%s: two voters have the replica name %s", n.id, name)
		}
		isVoter[name] = isVoter[name] || !m.Learner
	}
}

// maxUnconfirmedLeadership returns how long a leader may lead without a confirmed round. This
// is the election timeout if it is fixed, or else its maximum during an election storm.
func (s *simulation) maxUnconfirmedLeadership() time.Duration {
	const maxStormFactor = 4
	if s.config.MaxElectionTimeout == 0 {
		return quorum.DefaultElectionTimeout
	}
	return maxStormFactor * s.config.MaxElectionTimeout
}

func (s *simulation) checkInvariants(n *simReplica) {
	if lastEntry := n.core.LastEntry(); lastEntry != n.checkedEntry {
		n.checkedEntry = lastEntry
		s.checkLogMatching(n)
	}
	term, isLeader := n.core.TermAndLeading()
	if !isLeader {
		return
	}
	if n.leadership != nil && s.now-n.confirmedAt > s.maxUnconfirmedLeadership() {
		s.fail("%s leads although the last confirmed round started at %v", n.id, n.confirmedAt)
	}
	if knownLeader, ok := s.leaderByTerm[term]; ok {
		if knownLeader != n.id {
			s.fail("%s and %s both lead in term %d", knownLeader, n.id, term)
		}
		return
	}
	s.leaderByTerm[term] = n.id
	s.checkCommittedEntries(n)
}

// checkLogMatching checks that entries with the same index and term have the same content and
// the same preceding term in all logs.
func (s *simulation) checkLogMatching(n *simReplica) {
	base, previousTerm := n.core.LogBase()
	for i, e := range n.core.LogEntries() {
		if e.Index != base+uint64(i)+1 {
			s.fail("%s has entry %d at index %d", n.id, e.Index, base+uint64(i)+1)
		}
		entry := [2]uint64{previousTerm, hashOf(e.Kind, string(e.Data))}
		key := [2]uint64{e.Index, e.Term}
		if knownEntry, ok := s.knownEntries[key]; ok && knownEntry != entry {
			s.fail("%s: entry %d of term %d differs between logs", n.id, e.Index, e.Term)
		}
		s.knownEntries[key] = entry
		previousTerm = e.Term
	}
}

// checkCommittedEntries checks that a new leader has all committed entries.
func (s *simulation) checkCommittedEntries(n *simReplica) {
	base, _ := n.core.LogBase()
	entries := n.core.LogEntries()
	for i := base + 1; i <= s.commitIndex; i++ {
		if i-base > uint64(len(entries)) || entries[i-base-1].Term != s.committed[i].Term {
			s.fail("%s became leader without the committed entry %d", n.id, i)
			return
		}
	}
}

// isSettled reports whether a leader accepts proposals, all replicas have applied its whole
// log, and the membership needs no repair.
func (s *simulation) isSettled() bool {
	leader := s.leader()
	if leader == nil || leader.core.Transferring() || leader.core.LastEntry()[0] != s.commitIndex || len(s.members) != len(s.replicas) {
		return false
	}
	for _, m := range s.members {
		if m.Learner || s.lostIdentities[m.ID] {
			return false
		}
	}
	for _, n := range s.replicas {
		if n.appliedIndex != s.commitIndex {
			return false
		}
	}
	return true
}

// endFaultsAndCheck ends all faults and repairs the membership. It then checks that a new
// command is committed and that all replicas reach the same state.
func (s *simulation) endFaultsAndCheck() {
	s.cutLinks, s.lossProbability, s.duplicateProbability, s.maxJitter = map[[2]string]bool{}, 0, 0, 0
	for _, n := range s.replicas {
		n.paused = false
		if n.core == nil {
			s.start(n)
		}
		s.abstain(n, false)
	}
	for range 40 {
		s.runFor(250 * time.Millisecond)
		if s.isSettled() {
			break
		}
		s.repairMembership()
	}
	if !s.isSettled() && s.failure == "" {
		s.fail("replicas not in agreement 10 s after all faults ended")
		return
	}
	s.propose(s.leader(), 1)
	want := s.proposedCommands
	s.runFor(time.Second)
	leader := s.leader()
	if leader == nil || s.failure != "" {
		s.fail("no leader after all faults ended")
		return
	}
	if got := string(s.committed[s.commitIndex].Data); got != fmt.Sprintf("command %d", want) {
		s.fail("command proposed after all faults ended is not committed: got %q, want command %d", got, want)
	}
	for _, n := range s.replicas {
		if n.appliedIndex != leader.appliedIndex || n.stateDigest != leader.stateDigest || len(n.core.Status().Members) != len(s.replicas) {
			s.fail("%s differs from the leader: applied index %d, want %d; status %+v", n.id, n.appliedIndex, leader.appliedIndex, n.core.Status())
		}
	}
}
