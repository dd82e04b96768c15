package quorum

import "time"

// heartbeatRound is one round of heartbeats to all members.
type heartbeatRound struct {
	number    uint64
	startedAt time.Duration
	// commitIndex is the commit index at the start of the round.
	commitIndex uint64
}

const (
	// firstCommitTimeout is the shortest time without progress towards the first commit of a
	// term after which its leader steps down. It allows for a slow sync of the disks.
	firstCommitTimeout = 2 * time.Second
	// firstCommitFactor multiplies the election timeout to give the same time while leaders
	// change in quick succession.
	firstCommitFactor = 2
)

// leaderState is the state that exists only on a leader. It is reset when the role changes.
type leaderState struct {
	electedAt time.Duration
	// noOpIndex is the index of the no-op entry that starts the leader's term.
	noOpIndex uint64
	// syncProgressAt is when a voter last synced more of what leads to the commit of the
	// no-op entry.
	syncProgressAt time.Duration
	peers          map[string]*replicaProgress

	lastRound   uint64
	nextRoundAt time.Duration
	openRounds  []heartbeatRound
	// confirmedRound is the last round answered by a quorum.
	confirmedRound     heartbeatRound
	reportedRoundStart time.Duration
	roundRequested     bool

	transferee       string
	timeoutNowSent   bool
	transferDeadline time.Duration
}

func (c *Core) becomeLeader() {
	c.changeRole(c.hardState.Term, roleLeader, c.cfg.ID)
	c.leaderState.electedAt, c.leaderState.syncProgressAt = c.now, c.now
	c.leaderState.confirmedRound.startedAt = c.now
	c.leaderState.peers = map[string]*replicaProgress{}
	c.leaderState.noOpIndex = c.log.lastIndex() + 1
	c.appendEntry(Entry{Index: c.leaderState.noOpIndex, Term: c.hardState.Term, Kind: EntryNoOp})
	c.startRound()
}

func (c *Core) isOnlyVoter() bool {
	voters := c.currentMembership().voterIDs()
	return len(voters) == 1 && voters[0] == c.cfg.ID
}

// stepDownIfUnconfirmed makes the leader a follower if no quorum has answered a heartbeat
// round within the longest election timeout. Otherwise a leader that was isolated or
// paused would serve stale state although another leader may have been elected.
func (c *Core) stepDownIfUnconfirmed() {
	if c.role != roleLeader || c.isOnlyVoter() {
		return
	}
	if c.now-c.leaderState.confirmedRound.startedAt > max(c.electionTimeout(), c.cfg.MaxElectionTimeout) {
		c.changeRole(c.hardState.Term, roleFollower, "")
	}
}

// stepDownIfFirstEntryStalls makes a new leader a follower if its no-op entry is not committed
// and no voter gets closer to it. The control thread learns from that commit that the replica
// leads, so it can't give up the lead before.
func (c *Core) stepDownIfFirstEntryStalls() {
	state := &c.leaderState
	if c.role != roleLeader || c.commitIndex >= state.noOpIndex || c.isOnlyVoter() {
		return
	}
	if c.now-state.syncProgressAt > max(firstCommitTimeout, firstCommitFactor*c.electionTimeout()) {
		c.effects.StalledTerm = c.hardState.Term
		c.changeRole(c.hardState.Term, roleFollower, "")
	}
}

func (c *Core) tickLeader() {
	if c.leaderState.transferee != "" && c.now >= c.leaderState.transferDeadline {
		c.leaderState.transferee = ""
		c.stepDownIfNoHeir()
	}
	if c.role == roleLeader && c.now >= c.leaderState.nextRoundAt {
		c.resendUnanswered()
		c.startRound()
	}
}

// startRound sends a heartbeat to every other member.
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

// confirmRounds marks the latest round answered by a quorum as confirmed. A later leader
// needs a vote of at least one replica that answered the round before it voted. The later
// election is therefore after the start of the confirmed round.
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

// requestRound starts a heartbeat round. If a round is in progress, the new round starts
// when that one is confirmed.
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

// reportConfirmedRound reports a newly confirmed round to the control thread.
func (c *Core) reportConfirmedRound() {
	state := &c.leaderState
	if !c.hasReportedLeadership() || state.confirmedRound.number == 0 || state.reportedRoundStart == state.confirmedRound.startedAt {
		return
	}
	state.reportedRoundStart = state.confirmedRound.startedAt
	c.addReport(LeadershipConfirmed{Term: c.hardState.Term, RoundStartedAt: state.confirmedRound.startedAt})
}

// advanceCommitIndex commits the entries that a majority has synced. Only an entry of the
// leader's own term is committed by counting replicas, because an entry of an earlier term
// could still be replaced by a later leader that never received it.
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

func (c *Core) handleProposal(p Propose) {
	if !c.acceptsProposal(p.Term, p.FirstIndex) {
		return
	}
	for i, data := range p.Commands {
		c.appendEntry(Entry{Index: p.FirstIndex + uint64(i), Term: p.Term, Kind: EntryCommand, Data: data})
	}
}

// handleChangeMembership appends a changed membership. For a refused change it appends a
// no-op entry, because the control thread has already assigned the index.
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

// changedMembers returns the members after a change, or false if the change is not
// possible at present.
func (c *Core) changedMembers(member Member, remove bool) ([]Member, bool) {
	current := c.currentMembership()
	// The majorities of two memberships that differ in two voters may be disjoint, so the
	// previous change must be committed first.
	if current.index > c.commitIndex {
		return nil, false
	}
	previous, isMember := current.find(member.ID)
	if remove {
		// A leader that removed itself would commit with a majority that excludes its own
		// disk. It has to transfer the leadership first.
		if !isMember || member.ID == c.cfg.ID || !previous.Learner && len(current.voterIDs()) == 1 {
			return nil, false
		}
		return c.requireLiveMajority(current.withoutMember(member.ID))
	}
	switch {
	case !member.isValid(), isMember && member.Learner && !previous.Learner, !isMember && !member.Learner:
		return nil, false
	case isMember && previous.Learner && !member.Learner && !c.isPromotable(member.ID):
		return nil, false
	}
	return c.requireLiveMajority(current.withMember(member))
}

// requireLiveMajority returns false if less than a majority of the voters among members
// is alive. The commit of such a membership would wait for replicas that may never return.
func (c *Core) requireLiveMajority(members []Member) ([]Member, bool) {
	isAlive := func(id string) bool { return id == c.cfg.ID || c.heardRecently(c.progressOf(id)) }
	return members, membership{members: members}.hasMajority(isAlive)
}

// isPromotable reports whether a learner may become a voter. The learner must have synced
// all entries that were committed when the last confirmed round started. Otherwise a
// majority could include a replica without the committed entries on its disk. No voter may
// have the same replica name, because one machine with a replaced disk would count twice.
func (c *Core) isPromotable(id string) bool {
	for _, voter := range c.currentMembership().voterIDs() {
		if replicaName(voter) == replicaName(id) {
			return false
		}
	}
	progress := c.progressOf(id)
	return progress.state == progressReplicating && c.heardRecently(progress) && progress.matchIndex >= c.leaderState.confirmedRound.commitIndex
}

// heardRecently reports whether the replica sent a message within the longest election
// timeout and has answered at least one heartbeat.
func (c *Core) heardRecently(progress *replicaProgress) bool {
	return progress.answeredRound > 0 && c.now-progress.heardAt <= c.cfg.MaxElectionTimeout
}

// startTransfer starts to transfer the leadership to the live voter with the most complete
// log. The leader rejects proposals meanwhile, so that this voter can catch up. If the
// transfer does not finish within the longest election timeout, it is cancelled.
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

// sendTimeoutNow asks the transferee to start an election as soon as it has the whole log.
func (c *Core) sendTimeoutNow() {
	state := &c.leaderState
	if state.transferee == "" || state.timeoutNowSent || c.progressOf(state.transferee).matchIndex < c.log.lastIndex() {
		return
	}
	state.timeoutNowSent = true
	c.send(Message{Kind: TimeoutNow, To: state.transferee, Term: c.hardState.Term})
}

// handleTimeoutNow starts an election at the request of the leader.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == roleLeader || m.From != c.leaderID || !c.maySeekElection() {
		return
	}
	c.startElection(true)
}
