package quorum

import "time"

// round is a heartbeat round on its way.
type round struct {
	n     uint64
	start time.Duration
	// commit is the commit index at its start.
	commit uint64
}

// leadership is what only a leader has; it is dropped with the role.
type leadership struct {
	elected time.Duration
	// empty is the index of the Empty entry of the term.
	empty uint64
	peers map[string]*progress

	round     uint64
	nextRound time.Duration
	open      []round
	// confirmed is the last round that a quorum has answered.
	confirmed round
	told      time.Duration
	wanted    bool

	transferee   string
	heirSent     bool
	heirDeadline time.Duration
}

func (c *Core) becomeLeader() {
	c.turn(c.hard.Term, leader, c.cfg.ID)
	c.lead.elected = c.now
	c.lead.confirmed.start = c.now
	c.lead.peers = map[string]*progress{}
	c.lead.empty = c.log.last() + 1
	c.append(Entry{Index: c.lead.empty, Term: c.hard.Term, Kind: EntryNoOp})
	c.startRound()
}

// alone tells that this replica is the only voter.
func (c *Core) alone() bool {
	v := c.members().voters()
	return len(v) == 1 && v[0] == c.cfg.ID
}

// expire ends a leadership that no quorum confirmed for the longest election timeout. An
// isolated leader, or one that was paused, would otherwise answer from a state
// that another leader has left behind.
func (c *Core) expire() {
	if c.role != leader || c.alone() {
		return
	}
	if c.now-c.lead.confirmed.start > max(c.timeout(), c.cfg.MaxElectionTimeout) {
		c.turn(c.hard.Term, follower, "")
	}
}

func (c *Core) leaderTick() {
	if c.lead.transferee != "" && c.now >= c.lead.heirDeadline {
		c.lead.transferee = ""
	}
	if c.now >= c.lead.nextRound {
		c.resend()
		c.startRound()
	}
}

// startRound sends a heartbeat to every member.
func (c *Core) startRound() {
	l := &c.lead
	l.round++
	l.open = append(l.open, round{n: l.round, start: c.now, commit: c.commit})
	l.nextRound = c.now + c.cfg.HeartbeatInterval
	for _, m := range c.members().members {
		if m.ID == c.cfg.ID {
			continue
		}
		c.send(Message{
			Kind: Heartbeat, To: m.ID, Term: c.hard.Term,
			Round: l.round, CommitIndex: min(c.commit, c.peer(m.ID).match),
		})
	}
	c.checkRounds()
}

// checkRounds confirms the latest round that a quorum has answered. Whoever is
// elected later has the vote of a replica that answered, after it did; so the
// election is after the start of the round.
func (c *Core) checkRounds() {
	l := &c.lead
	n := c.members().reached(func(id string) uint64 {
		if id == c.cfg.ID {
			return l.round
		}
		return c.peer(id).round
	})
	for len(l.open) > 0 && l.open[0].n <= n {
		l.confirmed = l.open[0]
		l.open = l.open[1:]
	}
	if l.wanted && len(l.open) == 0 {
		l.wanted = false
		c.startRound()
	}
}

// confirm starts a round, unless one is on its way: then the next starts after it.
func (c *Core) confirm() {
	if c.role != leader {
		return
	}
	if len(c.lead.open) == 0 {
		c.startRound()
		return
	}
	c.lead.wanted = true
}

// reportRound tells the control thread of a newly confirmed round.
func (c *Core) reportRound() {
	l := &c.lead
	if !c.led() || l.confirmed.n == 0 || l.told == l.confirmed.start {
		return
	}
	l.told = l.confirmed.start
	c.say(LeadershipConfirmed{Term: c.hard.Term, RoundStartedAt: l.confirmed.start})
}

// advance commits what a majority has synced. Only an entry of its own term
// commits by count: one of an earlier term could still be replaced by a leader
// that never saw it.
func (c *Core) advance() {
	if c.role != leader {
		return
	}
	n := c.members().reached(func(id string) uint64 {
		if id == c.cfg.ID {
			return c.disk.stable
		}
		return c.peer(id).match
	})
	if term, ok := c.log.term(n); ok && n > c.commit && term == c.hard.Term {
		c.commitUpTo(n)
	}
}

func (c *Core) accepts(term, first uint64) bool {
	return c.led() && c.lead.transferee == "" && term == c.hard.Term && first == c.log.last()+1
}

func (c *Core) propose(p Propose) {
	if !c.accepts(p.Term, p.FirstIndex) {
		return
	}
	for i, data := range p.Commands {
		c.append(Entry{Index: p.FirstIndex + uint64(i), Term: p.Term, Kind: EntryCommand, Data: data})
	}
}

// alter proposes a membership. Refused changes still take their index, so that
// the control thread's count of indexes holds.
func (c *Core) alter(a ChangeMembership) {
	if !c.accepts(a.Term, a.Index) {
		return
	}
	e := Entry{Index: a.Index, Term: a.Term, Kind: EntryNoOp}
	if members, ok := c.change(a.Member, a.Remove); ok {
		e.Kind, e.Data = EntryMembership, EncodeMembers(members)
	}
	c.append(e)
}

// change gives the membership after a change, or false when it can't be made now.
func (c *Core) change(x Member, remove bool) ([]Member, bool) {
	now := c.members()
	// Majorities of memberships that differ in two voters need not overlap, so
	// the change before must be committed.
	if now.index > c.commit {
		return nil, false
	}
	old, known := now.find(x.ID)
	if remove {
		// A leader that removed itself would count a majority without its own
		// disk; it hands over first.
		if !known || x.ID == c.cfg.ID || !old.Learner && len(now.voters()) == 1 {
			return nil, false
		}
		return c.workable(now.without(x.ID))
	}
	switch {
	case !x.valid(), known && x.Learner && !old.Learner, !known && !x.Learner:
		return nil, false
	case known && old.Learner && !x.Learner && !c.promotable(x.ID):
		return nil, false
	}
	return c.workable(now.with(x))
}

// workable refuses a membership of which no majority is alive: its commit would
// wait for replicas that may never come back.
func (c *Core) workable(members []Member) ([]Member, bool) {
	alive := func(id string) bool { return id == c.cfg.ID || c.fresh(c.peer(id)) }
	return members, membership{members: members}.majority(alive)
}

// promotable tells whether a learner may count: it has synced what was committed
// when the last confirmed round began, or else a majority could hold it that has
// entries only in memory or not at all. The identity that its disk replaced must
// be gone, or one machine would count twice.
func (c *Core) promotable(id string) bool {
	for _, v := range c.members().voters() {
		if name(v) == name(id) {
			return false
		}
	}
	p := c.peer(id)
	return p.state == replicating && c.fresh(p) && p.match >= c.lead.confirmed.commit
}

// fresh tells whether the replica was heard within the longest election timeout.
func (c *Core) fresh(p *progress) bool {
	return p.round > 0 && c.now-p.heard <= c.cfg.MaxElectionTimeout
}

// transfer starts to hand over to the voter that is furthest. No proposals are
// taken meanwhile, so that it can catch up; after an election timeout they are
// again.
func (c *Core) transfer() {
	if c.role != leader || c.lead.transferee != "" {
		return
	}
	best := ""
	for _, id := range c.members().voters() {
		if id == c.cfg.ID || !c.fresh(c.peer(id)) {
			continue
		}
		if best == "" || c.peer(id).match > c.peer(best).match {
			best = id
		}
	}
	c.lead.transferee, c.lead.heirSent = best, false
	c.lead.heirDeadline = c.now + c.cfg.MaxElectionTimeout
}

// handOver lets the transferee start an election as soon as it has the whole log.
func (c *Core) handOver() {
	l := &c.lead
	if l.transferee == "" || l.heirSent || c.peer(l.transferee).match < c.log.last() {
		return
	}
	l.heirSent = true
	c.send(Message{Kind: TimeoutNow, To: l.transferee, Term: c.hard.Term})
}

// takeOver starts an election at the wish of the leader.
func (c *Core) takeOver(m Message) {
	if c.role == leader || m.From != c.leader || !c.members().voter(c.cfg.ID) {
		return
	}
	c.elect(true)
}
