package quorum

import "time"

// heartbeatRound is a heartbeat round on its way.
type heartbeatRound struct {
	number    uint64
	startedAt time.Duration
	// commitIndex is the commit index at its start.
	commitIndex uint64
}

// leaderState is what only a leader has; it is dropped with the role.
type leaderState struct {
	electedAt time.Duration
	// noOpIndex is the index of the Empty entry of the term.
	noOpIndex uint64
	peers     map[string]*replicaProgress

	lastRound   uint64
	nextRoundAt time.Duration
	openRounds  []heartbeatRound
	// confirmedRound is the last round that a quorum has answered.
	confirmedRound     heartbeatRound
	reportedRoundStart time.Duration
	roundRequested     bool

	transferee       string
	timeoutNowSent   bool
	transferDeadline time.Duration
}

func (c *Core) becomeLeader() {
	c.changeRole(c.hardState.Term, roleLeader, c.cfg.ID)
	c.leaderState.electedAt = c.now
	c.leaderState.confirmedRound.startedAt = c.now
	c.leaderState.peers = map[string]*replicaProgress{}
	c.leaderState.noOpIndex = c.log.lastIndex() + 1
	c.appendEntry(Entry{Index: c.leaderState.noOpIndex, Term: c.hardState.Term, Kind: EntryNoOp})
	c.startRound()
}

// isOnlyVoter tells that this replica is the only voter.
func (c *Core) isOnlyVoter() bool {
	voters := c.currentMembership().voterIDs()
	return len(voters) == 1 && voters[0] == c.cfg.ID
}

// stepDownIfUnconfirmed ends a leadership that no quorum confirmed for the longest election timeout. An
// isolated leader, or one that was paused, would otherwise answer from a state
// that another leader has left behind.
func (c *Core) stepDownIfUnconfirmed() {
	if c.role != roleLeader || c.isOnlyVoter() {
		return
	}
	if c.now-c.leaderState.confirmedRound.startedAt > max(c.electionTimeout(), c.cfg.MaxElectionTimeout) {
		c.changeRole(c.hardState.Term, roleFollower, "")
	}
}

func (c *Core) tickLeader() {
	if c.leaderState.transferee != "" && c.now >= c.leaderState.transferDeadline {
		c.leaderState.transferee = ""
	}
	if c.now >= c.leaderState.nextRoundAt {
		c.resendUnanswered()
		c.startRound()
	}
}

// startRound sends a heartbeat to every member.
func (c *Core) startRound() {
	state := &c.leaderState
	state.lastRound++
	state.openRounds = append(state.openRounds, heartbeatRound{number: state.lastRound, startedAt: c.now, commitIndex: c.commitIndex})
	state.nextRoundAt = c.now + c.cfg.HeartbeatInterval
	for _, m := range c.currentMembership().members {
		if m.ID == c.cfg.ID {
			continue
		}
		c.send(Message{
			Kind: Heartbeat, To: m.ID, Term: c.hardState.Term,
			Round: state.lastRound, CommitIndex: min(c.commitIndex, c.progressOf(m.ID).matchIndex),
		})
	}
	c.confirmRounds()
}

// confirmRounds confirms the latest round that a quorum has answered. Whoever is
// elected later has the vote of a replica that answered, after it did; so the
// election is after the start of the round.
func (c *Core) confirmRounds() {
	state := &c.leaderState
	answeredRound := c.currentMembership().majorityReached(func(id string) uint64 {
		if id == c.cfg.ID {
			return state.lastRound
		}
		return c.progressOf(id).answeredRound
	})
	for len(state.openRounds) > 0 && state.openRounds[0].number <= answeredRound {
		state.confirmedRound = state.openRounds[0]
		state.openRounds = state.openRounds[1:]
	}
	if state.roundRequested && len(state.openRounds) == 0 {
		state.roundRequested = false
		c.startRound()
	}
}

// requestRound starts a round, unless one is on its way: then the next starts after it.
func (c *Core) requestRound() {
	if c.role != roleLeader {
		return
	}
	if len(c.leaderState.openRounds) == 0 {
		c.startRound()
		return
	}
	c.leaderState.roundRequested = true
}

// reportConfirmedRound tells the control thread of a newly confirmed round.
func (c *Core) reportConfirmedRound() {
	state := &c.leaderState
	if !c.hasReportedLeadership() || state.confirmedRound.number == 0 || state.reportedRoundStart == state.confirmedRound.startedAt {
		return
	}
	state.reportedRoundStart = state.confirmedRound.startedAt
	c.addReport(LeadershipConfirmed{Term: c.hardState.Term, RoundStartedAt: state.confirmedRound.startedAt})
}

// advanceCommitIndex commits what a majority has synced. Only an entry of its own term
// commits by count: one of an earlier term could still be replaced by a leader
// that never saw it.
func (c *Core) advanceCommitIndex() {
	if c.role != roleLeader {
		return
	}
	syncedIndex := c.currentMembership().majorityReached(func(id string) uint64 {
		if id == c.cfg.ID {
			return c.journal.syncedIndex
		}
		return c.progressOf(id).matchIndex
	})
	if term, ok := c.log.termAt(syncedIndex); ok && syncedIndex > c.commitIndex && term == c.hardState.Term {
		c.commitUpTo(syncedIndex)
	}
}

func (c *Core) acceptsProposal(term, firstIndex uint64) bool {
	return c.hasReportedLeadership() && c.leaderState.transferee == "" && term == c.hardState.Term && firstIndex == c.log.lastIndex()+1
}

func (c *Core) handlePropose(p Propose) {
	if !c.acceptsProposal(p.Term, p.FirstIndex) {
		return
	}
	for i, data := range p.Commands {
		c.appendEntry(Entry{Index: p.FirstIndex + uint64(i), Term: p.Term, Kind: EntryCommand, Data: data})
	}
}

// handleChangeMembership proposes a membership. Refused changes still take their index, so that
// the control thread's count of indexes holds.
func (c *Core) handleChangeMembership(change ChangeMembership) {
	if !c.acceptsProposal(change.Term, change.Index) {
		return
	}
	entry := Entry{Index: change.Index, Term: change.Term, Kind: EntryNoOp}
	if members, ok := c.changedMembers(change.Member, change.Remove); ok {
		entry.Kind, entry.Data = EntryMembership, EncodeMembers(members)
	}
	c.appendEntry(entry)
}

// changedMembers gives the membership after a change, or false when it can't be made now.
func (c *Core) changedMembers(member Member, remove bool) ([]Member, bool) {
	current := c.currentMembership()
	// Majorities of memberships that differ in two voters need not overlap, so
	// the change before must be committed.
	if current.index > c.commitIndex {
		return nil, false
	}
	previous, isMember := current.find(member.ID)
	if remove {
		// A leader that removed itself would count a majority without its own
		// disk; it hands over first.
		if !isMember || member.ID == c.cfg.ID || !previous.Learner && len(current.voterIDs()) == 1 {
			return nil, false
		}
		return c.requireLiveMajority(current.without(member.ID))
	}
	switch {
	case !member.isValid(), isMember && member.Learner && !previous.Learner, !isMember && !member.Learner:
		return nil, false
	case isMember && previous.Learner && !member.Learner && !c.isPromotable(member.ID):
		return nil, false
	}
	return c.requireLiveMajority(current.with(member))
}

// requireLiveMajority refuses a membership of which no majority is alive: its commit would
// wait for replicas that may never come back.
func (c *Core) requireLiveMajority(members []Member) ([]Member, bool) {
	isAlive := func(id string) bool { return id == c.cfg.ID || c.heardRecently(c.progressOf(id)) }
	return members, membership{members: members}.hasMajority(isAlive)
}

// isPromotable tells whether a learner may count: it has synced what was committed
// when the last confirmed round began, or else a majority could hold it that has
// entries only in memory or not at all. The identity that its disk replaced must
// be gone, or one machine would count twice.
func (c *Core) isPromotable(id string) bool {
	for _, voter := range c.currentMembership().voterIDs() {
		if replicaName(voter) == replicaName(id) {
			return false
		}
	}
	progress := c.progressOf(id)
	return progress.state == progressReplicating && c.heardRecently(progress) && progress.matchIndex >= c.leaderState.confirmedRound.commitIndex
}

// heardRecently tells whether the replica was heard within the longest election timeout.
func (c *Core) heardRecently(progress *replicaProgress) bool {
	return progress.answeredRound > 0 && c.now-progress.heardAt <= c.cfg.MaxElectionTimeout
}

// startTransfer starts to hand over to the voter that is furthest. No proposals are
// taken meanwhile, so that it can catch up; after an election timeout they are
// again.
func (c *Core) startTransfer() {
	if c.role != roleLeader || c.leaderState.transferee != "" {
		return
	}
	transferee := ""
	for _, id := range c.currentMembership().voterIDs() {
		if id == c.cfg.ID || !c.heardRecently(c.progressOf(id)) {
			continue
		}
		if transferee == "" || c.progressOf(id).matchIndex > c.progressOf(transferee).matchIndex {
			transferee = id
		}
	}
	c.leaderState.transferee, c.leaderState.timeoutNowSent = transferee, false
	c.leaderState.transferDeadline = c.now + c.cfg.MaxElectionTimeout
}

// sendTimeoutNow lets the transferee start an election as soon as it has the whole log.
func (c *Core) sendTimeoutNow() {
	state := &c.leaderState
	if state.transferee == "" || state.timeoutNowSent || c.progressOf(state.transferee).matchIndex < c.log.lastIndex() {
		return
	}
	state.timeoutNowSent = true
	c.send(Message{Kind: TimeoutNow, To: state.transferee, Term: c.hardState.Term})
}

// handleTimeoutNow starts an election at the wish of the leader.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == roleLeader || m.From != c.leaderID || !c.currentMembership().isVoter(c.cfg.ID) {
		return
	}
	c.startElection(true)
}
