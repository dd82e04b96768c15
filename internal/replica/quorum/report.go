package quorum

import (
	"slices"
)

// leadershipReport is the content of the last leadership report to the control thread.
type leadershipReport struct {
	sent     bool
	isLeader bool
	term     uint64
	leaderID string
}

// reportFollower reports that this replica does not lead. It runs before the reports that
// depend on this. A leader that was elected again in a later term first reports the loss
// of the earlier term.
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

// hasReportedLeadership reports whether the control thread knows that this replica leads
// in the current term.
func (c *Core) hasReportedLeadership() bool {
	return c.role == roleLeader && c.lastReport.isLeader && c.lastReport.term == c.hardState.Term
}

// reportCommitted reports newly committed entries.
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

// reportMembership reports the committed membership if it has changed.
func (c *Core) reportMembership() {
	membership := c.memberships.atIndex(c.commitIndex)
	if membership.index == c.reportedMembersIndex {
		return
	}
	c.reportedMembersIndex = membership.index
	c.addReport(MembershipChanged{Members: membership.members})
}

// reportLeader reports the leadership once all entries in the log are committed, including
// the no-op entry of the current term. A leader does not know which entries are committed
// before that entry is.
func (c *Core) reportLeader() {
	if c.role != roleLeader || c.hasReportedLeadership() || c.commitIndex < c.leaderState.noOpIndex || c.commitIndex < c.log.lastIndex() {
		return
	}
	c.lastReport = leadershipReport{sent: true, isLeader: true, term: c.hardState.Term, leaderID: c.cfg.ID}
	c.addReport(BecameLeader{Term: c.hardState.Term, LastIndex: c.log.lastIndex(), ElectedAt: c.leaderState.electedAt})
}

// reloadState reports the state again to a control thread that has discarded its state.
func (c *Core) reloadState() {
	c.addReport(StateRestored{Index: c.snapshot.Index, State: c.snapshot.State})
	c.reportedIndex = c.snapshot.Index
	c.lastReport.isLeader = c.lastReport.isLeader && c.role != roleLeader
	c.leaderState.reportedRoundStart = 0
}
