package quorum

import (
	"slices"
)

// standing is what the control thread was told last.
type standing struct {
	told    bool
	leading bool
	term    uint64
	leader  string
}

// reportFollowed tells of lost leadership before anything that follows from it.
func (c *Core) reportFollowed() {
	leading := c.role == leader
	if leading && (!c.report.leading || c.report.term == c.hard.Term) {
		return
	}
	now := standing{told: true, term: c.hard.Term, leader: c.leader}
	if leading {
		now.leader = ""
	}
	if c.report == now {
		return
	}
	c.report = now
	c.say(BecameFollower{Term: now.term, Leader: now.leader, LeaderAddress: c.addressOf(now.leader)})
}

// led tells whether the control thread was told that this replica leads in this term.
func (c *Core) led() bool {
	return c.role == leader && c.report.leading && c.report.term == c.hard.Term
}

// apply reports what was committed.
func (c *Core) apply() {
	if c.applied >= c.commit {
		return
	}
	if c.led() {
		c.say(CommitAdvanced{Index: c.commit})
	} else {
		c.say(EntriesCommitted{Entries: slices.Clone(c.log.slice(c.applied, c.commit))})
	}
	c.applied = c.commit
}

// announce reports the committed membership when it is a new one.
func (c *Core) announce() {
	m := c.history.at(c.commit)
	if m.index == c.announced {
		return
	}
	c.announced = m.index
	c.say(MembershipChanged{Members: m.members})
}

// reportLed waits until everything in the log is committed: the entry of its
// own term too, without which a leader can't know what is.
func (c *Core) reportLed() {
	if c.role != leader || c.led() || c.commit < c.lead.empty || c.commit < c.log.last() {
		return
	}
	c.report = standing{told: true, leading: true, term: c.hard.Term, leader: c.cfg.ID}
	c.say(BecameLeader{Term: c.hard.Term, LastIndex: c.log.last(), ElectedAt: c.lead.elected})
}

// reload gives the state again to a control thread that has to drop its own.
func (c *Core) reload() {
	c.say(StateRestored{Index: c.snapshot.Index, State: c.snapshot.State})
	c.applied = c.snapshot.Index
	c.report.leading = c.report.leading && c.role != leader
	c.lead.told = 0
}
