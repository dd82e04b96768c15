package quorum

import (
	"slices"
)

// leadershipReport is what the control thread was told last.
type leadershipReport struct {
	sent     bool
	isLeader bool
	term     uint64
	leaderID string
}

// reportFollower tells of lost leadership before anything that follows from it.
func (c *Core) reportFollower() {
	isLeader := c.role == roleLeader
	if isLeader && (!c.lastReport.isLeader || c.lastReport.term == c.hardState.Term) {
		return
	}
	report := leadershipReport{sent: true, term: c.hardState.Term, leaderID: c.leaderID}
	if isLeader {
		report.leaderID = ""
	}
	if c.lastReport == report {
		return
	}
	c.lastReport = report
	c.addReport(BecameFollower{Term: report.term, Leader: report.leaderID, LeaderAddress: c.addressOf(report.leaderID)})
}

// hasReportedLeadership tells whether the control thread was told that this replica leads in this term.
func (c *Core) hasReportedLeadership() bool {
	return c.role == roleLeader && c.lastReport.isLeader && c.lastReport.term == c.hardState.Term
}

// reportCommitted reports what was committed.
func (c *Core) reportCommitted() {
	if c.reportedIndex >= c.commitIndex {
		return
	}
	if c.hasReportedLeadership() {
		c.addReport(CommitAdvanced{Index: c.commitIndex})
	} else {
		c.addReport(EntriesCommitted{Entries: slices.Clone(c.log.entriesBetween(c.reportedIndex, c.commitIndex))})
	}
	c.reportedIndex = c.commitIndex
}

// reportMembership reports the committed membership when it is a new one.
func (c *Core) reportMembership() {
	membership := c.memberships.at(c.commitIndex)
	if membership.index == c.reportedMembersIndex {
		return
	}
	c.reportedMembersIndex = membership.index
	c.addReport(MembershipChanged{Members: membership.members})
}

// reportLeader waits until everything in the log is committed: the entry of its
// own term too, without which a leader can't know what is.
func (c *Core) reportLeader() {
	if c.role != roleLeader || c.hasReportedLeadership() || c.commitIndex < c.leaderState.noOpIndex || c.commitIndex < c.log.lastIndex() {
		return
	}
	c.lastReport = leadershipReport{sent: true, isLeader: true, term: c.hardState.Term, leaderID: c.cfg.ID}
	c.addReport(BecameLeader{Term: c.hardState.Term, LastIndex: c.log.lastIndex(), ElectedAt: c.leaderState.electedAt})
}

// reloadState gives the state again to a control thread that has to drop its own.
func (c *Core) reloadState() {
	c.addReport(StateRestored{Index: c.snapshot.Index, State: c.snapshot.State})
	c.reportedIndex = c.snapshot.Index
	c.lastReport.isLeader = c.lastReport.isLeader && c.role != roleLeader
	c.leaderState.reportedRoundStart = 0
}
