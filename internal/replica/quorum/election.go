package quorum

// mayVote reports whether the membership contains this replica. A replica with a blank
// disk may have voted or acknowledged entries under an earlier identity that it no longer
// knows, so it does not vote before it receives a membership with its current identity.
// Learners vote, because a learner may have been promoted without knowing it yet.
func (c *Core) mayVote() bool { return c.currentMembership().contains(c.cfg.ID) }

// leaderIsAlive reports whether this replica leads or heard from the leader within the
// election timeout. Without this check, a replica that returns from a partition, or a
// delayed message, could depose a leader that a quorum follows.
func (c *Core) leaderIsAlive() bool {
	if c.role == roleLeader {
		return true
	}
	return c.leaderID != "" && c.now-c.leaderHeardAt < c.electionTimeout()
}

// isLogUpToDate reports whether a candidate's log contains all entries that this replica
// may have acknowledged.
func (c *Core) isLogUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

// maySeekElection reports whether this replica may become the leader.
func (c *Core) maySeekElection() bool {
	return c.currentMembership().isVoter(c.cfg.ID) && (!c.abstaining || c.isOnlyVoter())
}

// setAbstaining begins or ends the abstention of this replica from leading.
func (c *Core) setAbstaining(on bool) {
	c.abstaining = on
	switch {
	case !on:
	case c.role == roleLeader:
		c.startTransfer()
		c.stepDownIfNoHeir()
	case c.role != roleFollower:
		c.changeRole(c.hardState.Term, roleFollower, "")
	}
}

// stepDownIfNoHeir makes an abstaining leader a follower unless a transfer is in progress.
func (c *Core) stepDownIfNoHeir() {
	if c.abstaining && c.leaderState.transferee == "" {
		c.changeRole(c.hardState.Term, roleFollower, "")
	}
}

// startPreVote asks the other voters whether they would vote for this replica. The term
// stays unchanged, so that the question does not depose a leader.
func (c *Core) startPreVote() {
	c.setPreVoteDeadline()
	c.leaderID = ""
	if !c.maySeekElection() {
		return
	}
	c.role = rolePreCandidate
	c.votes = map[string]bool{c.cfg.ID: true}
	if c.hasMajorityOfVotes() {
		c.startElection(false)
		return
	}
	c.requestVotes(Message{Kind: PreVoteRequest, Term: c.hardState.Term + 1}, c.send)
}

// startElection starts an election in a new term. The vote requests are sent after the
// candidate's term and own vote are synced. Otherwise a replica that forgot its candidacy
// in a crash could be elected twice in one term by the same votes.
func (c *Core) startElection(leadershipTransfer bool) {
	if !leadershipTransfer {
		c.timeoutEstimator.recordLeaderChange(c.now)
	}
	c.changeRole(c.hardState.Term+1, roleCandidate, "")
	c.hardState.Vote = c.cfg.ID
	c.setVoteDeadline()
	c.votes = map[string]bool{}
	c.sendAfterSync(Message{Kind: VoteReply, To: c.cfg.ID, Term: c.hardState.Term})
	c.requestVotes(Message{Kind: VoteRequest, Term: c.hardState.Term, LeadershipTransfer: leadershipTransfer}, c.sendAfterSync)
}

func (c *Core) requestVotes(request Message, send func(Message)) {
	request.Index, request.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	for _, id := range c.currentMembership().voterIDs() {
		if id == c.cfg.ID {
			continue
		}
		request.To = id
		send(request)
	}
}

func (c *Core) hasMajorityOfVotes() bool {
	return c.currentMembership().hasMajority(func(id string) bool { return c.votes[id] })
}

// changeRole sets the role and the known leader, in the current term or a later one.
func (c *Core) changeRole(term uint64, newRole role, leaderID string) {
	if term > c.hardState.Term {
		c.hardState, c.journal.hardStateDirty = HardState{Term: term}, true
		c.matchedIndex, c.ackedIndex, c.ackDue = 0, 0, false
	}
	if c.role == roleLeader {
		c.resetElectionDeadline()
	}
	c.role, c.leaderID = newRole, leaderID
	c.votes = nil
	c.leaderState = leaderState{}
}

// handleMessage processes a message from another replica, after a check of its term.
func (c *Core) handleMessage(m Message) {
	if m.SenderAddress != "" {
		c.unknownSender = Member{ID: m.From, Address: m.SenderAddress}
	}
	switch {
	case m.Term > c.hardState.Term:
		if !c.adoptHigherTerm(m) {
			return
		}
	case m.Term < c.hardState.Term:
		c.rejectLowerTerm(m)
		return
	}
	switch m.Kind {
	case PreVoteRequest:
		c.handlePreVoteRequest(m)
	case PreVoteReply:
		c.handlePreVoteReply(m)
	case VoteRequest:
		c.handleVoteRequest(m)
	case VoteReply:
		c.handleVoteReply(m)
	case AppendEntries:
		c.followLeader(m)
		c.handleAppendEntries(m)
	case Heartbeat:
		c.followLeader(m)
		c.handleHeartbeat(m)
	case SnapshotChunk:
		c.followLeader(m)
		c.handleSnapshotChunk(m)
	case TimeoutNow:
		c.handleTimeoutNow(m)
	default:
		c.handleFollowerReply(m)
	}
}

// adoptHigherTerm switches to the later term of a message unless the message has to leave
// the term unchanged. It reports whether the message has to be processed further.
func (c *Core) adoptHigherTerm(m Message) bool {
	switch {
	case m.Kind == PreVoteRequest, m.Kind == PreVoteReply && !m.Reject:
		return true
	case m.Kind == VoteRequest && (!c.mayVote() || !m.LeadershipTransfer && c.leaderIsAlive()):
		return false
	}
	if !m.LeadershipTransfer {
		c.timeoutEstimator.recordLeaderChange(c.now)
	}
	c.changeRole(m.Term, roleFollower, "")
	return true
}

// rejectLowerTerm answers a message of an earlier term so that its sender learns of the
// later term. Otherwise a deposed leader could continue to send messages that all other
// replicas ignore.
func (c *Core) rejectLowerTerm(m Message) {
	switch m.Kind {
	case PreVoteRequest:
		c.send(Message{Kind: PreVoteReply, To: m.From, Term: c.hardState.Term, Reject: true})
	case AppendEntries, Heartbeat, SnapshotChunk:
		c.send(Message{Kind: AppendEntriesReply, To: m.From, Term: c.hardState.Term, Reject: true})
	}
}

func (c *Core) handlePreVoteRequest(m Message) {
	if !c.mayVote() {
		return
	}
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= c.hardState.Term || c.leaderIsAlive() || !c.isLogUpToDate(m) {
		reply.Term, reply.Reject = c.hardState.Term, true
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(m Message) {
	if c.role != rolePreCandidate || m.Reject || m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasMajorityOfVotes() {
		c.startElection(false)
	}
}

func (c *Core) handleVoteRequest(m Message) {
	if !c.mayVote() {
		return
	}
	reply := Message{Kind: VoteReply, To: m.From, Term: c.hardState.Term}
	mayGrant := c.hardState.Vote == "" || c.hardState.Vote == m.From
	if c.leaderID != "" || !mayGrant || !c.isLogUpToDate(m) {
		reply.Reject = true
		c.send(reply)
		return
	}
	if c.hardState.Vote == "" {
		c.hardState.Vote, c.journal.hardStateDirty = m.From, true
	}
	c.role = roleFollower
	c.resetElectionDeadline()
	// If a vote were sent before it is synced, this replica could vote for another
	// candidate of the same term after a crash.
	c.sendAfterSync(reply)
}

func (c *Core) handleVoteReply(m Message) {
	if c.role != roleCandidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	// The candidate's own vote is counted only after it is synced.
	if c.hasMajorityOfVotes() && c.votes[c.cfg.ID] {
		c.becomeLeader()
	}
}

// followLeader accepts the sender of a message as the leader of the current term.
func (c *Core) followLeader(m Message) {
	if c.role != roleFollower || c.leaderID != m.From {
		c.changeRole(c.hardState.Term, roleFollower, m.From)
	} else {
		c.timeoutEstimator.recordSilence(c.now-c.leaderHeardAt, c.now)
	}
	// The log of a leader contains all committed entries.
	c.matchedIndex = max(c.matchedIndex, c.commitIndex)
	c.leaderHeardAt = c.now
	c.resetElectionDeadline()
}
