package quorum

// mayVote keeps a blank disk silent: it gave votes or acknowledged entries under
// an earlier identity that it can't know of, so it waits for a membership that
// names its own. A learner votes: it may have been promoted without knowing yet.
func (c *Core) mayVote() bool { return c.members().contains(c.cfg.ID) }

// inLease tells that a leader is alive as far as this replica knows. Without it
// a replica that came back from a partition, or an old message, would depose a
// leader that a quorum follows.
func (c *Core) inLease() bool {
	if c.role == leader {
		return true
	}
	return c.leader != "" && c.now-c.heard < c.timeout()
}

// upToDate tells whether a candidate's log holds all that this one may have
// acknowledged.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

// campaign asks whether an election could be won, before it disturbs anyone with
// a new term.
func (c *Core) campaign() {
	c.retryDeadline()
	c.leader = ""
	if !c.members().voter(c.cfg.ID) {
		return
	}
	c.role = precandidate
	c.votes = map[string]bool{c.cfg.ID: true}
	if c.won() {
		c.elect(false)
		return
	}
	c.ask(Message{Kind: PreVoteRequest, Term: c.hard.Term + 1}, c.send)
}

// elect asks for votes in a new term. The requests wait for the disk: a replica
// that forgot after a crash that it was a candidate could be elected twice in
// one term by the same votes.
func (c *Core) elect(force bool) {
	if !force {
		c.patience.turned(c.now)
	}
	c.turn(c.hard.Term+1, candidate, "")
	c.hard.Vote = c.cfg.ID
	c.voteDeadline()
	c.votes = map[string]bool{}
	c.hold(Message{Kind: VoteReply, To: c.cfg.ID, Term: c.hard.Term})
	c.ask(Message{Kind: VoteRequest, Term: c.hard.Term, LeadershipTransfer: force}, c.hold)
}

func (c *Core) ask(m Message, send func(Message)) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, id := range c.members().voters() {
		if id == c.cfg.ID {
			continue
		}
		m.To = id
		send(m)
	}
}

func (c *Core) won() bool {
	return c.members().majority(func(id string) bool { return c.votes[id] })
}

// turn takes on a role, in a term that is this one or a later one.
func (c *Core) turn(term uint64, r role, leaderID string) {
	if term > c.hard.Term {
		c.hard, c.disk.hardDirty = HardState{Term: term}, true
		c.verified, c.acked, c.ackDue = 0, 0, false
	}
	if c.role == leader {
		c.resetDeadline()
	}
	c.role, c.leader = r, leaderID
	c.votes = nil
	c.lead = leadership{}
}

// receive takes a message; the term rules come first.
func (c *Core) receive(m Message) {
	if m.SenderAddress != "" {
		c.stranger = Member{ID: m.From, Address: m.SenderAddress}
	}
	switch {
	case m.Term > c.hard.Term:
		if !c.newer(m) {
			return
		}
	case m.Term < c.hard.Term:
		c.older(m)
		return
	}
	switch m.Kind {
	case PreVoteRequest:
		c.answerPreVote(m)
	case PreVoteReply:
		c.countPreVote(m)
	case VoteRequest:
		c.answerVote(m)
	case VoteReply:
		c.countVote(m)
	case AppendEntries:
		c.follow(m)
		c.takeAppend(m)
	case Heartbeat:
		c.follow(m)
		c.takeHeartbeat(m)
	case SnapshotChunk:
		c.follow(m)
		c.takeChunk(m)
	case TimeoutNow:
		c.takeOver(m)
	default:
		c.takeReply(m)
	}
}

// newer takes on a later term, and tells whether the message is to be looked at.
func (c *Core) newer(m Message) bool {
	switch {
	case m.Kind == PreVoteRequest, m.Kind == PreVoteReply && !m.Reject:
		return true
	case m.Kind == VoteRequest && (!c.mayVote() || !m.LeadershipTransfer && c.inLease()):
		return false
	}
	if !m.LeadershipTransfer {
		c.patience.turned(c.now)
	}
	c.turn(m.Term, follower, "")
	return true
}

// older answers a message of an earlier term so that its sender learns of the
// later one: a leader that missed its own deposition would go on unheard.
func (c *Core) older(m Message) {
	switch m.Kind {
	case PreVoteRequest:
		c.send(Message{Kind: PreVoteReply, To: m.From, Term: c.hard.Term, Reject: true})
	case AppendEntries, Heartbeat, SnapshotChunk:
		c.send(Message{Kind: AppendEntriesReply, To: m.From, Term: c.hard.Term, Reject: true})
	}
}

func (c *Core) answerPreVote(m Message) {
	if !c.mayVote() {
		return
	}
	r := Message{Kind: PreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= c.hard.Term || c.inLease() || !c.upToDate(m) {
		r.Term, r.Reject = c.hard.Term, true
	}
	c.send(r)
}

func (c *Core) countPreVote(m Message) {
	if c.role != precandidate || m.Reject || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.elect(false)
	}
}

func (c *Core) answerVote(m Message) {
	if !c.mayVote() {
		return
	}
	r := Message{Kind: VoteReply, To: m.From, Term: c.hard.Term}
	free := c.hard.Vote == "" || c.hard.Vote == m.From
	if c.leader != "" || !free || !c.upToDate(m) {
		r.Reject = true
		c.send(r)
		return
	}
	if c.hard.Vote == "" {
		c.hard.Vote, c.disk.hardDirty = m.From, true
	}
	c.role = follower
	c.resetDeadline()
	// A vote that left before it was synced could be given again to another
	// candidate of the term after a crash.
	c.hold(r)
}

func (c *Core) countVote(m Message) {
	if c.role != candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	// Its own vote is among them only once it is synced.
	if c.won() && c.votes[c.cfg.ID] {
		c.becomeLeader()
	}
}

// follow takes the sender for the leader of this term.
func (c *Core) follow(m Message) {
	if c.role != follower || c.leader != m.From {
		c.turn(c.hard.Term, follower, m.From)
	} else {
		c.patience.silent(c.now-c.heard, c.now)
	}
	// A leader has everything that is committed.
	c.verified = max(c.verified, c.commit)
	c.heard = c.now
	c.resetDeadline()
}
