package leader

import (
	"slices"
	"strings"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// Intervals of membership changes.
const (
	// membershipTimeout is how long a change may take before the caller is told to
	// retry.
	membershipTimeout = 2 * time.Second
	// promotionInterval is the interval at which a learner's promotion to voter is
	// proposed.
	promotionInterval = time.Second
)

// handleMemberChange changes the membership of the control group. A repeated
// request for a change already in force has no effect, so the request needs no
// record in the ledger.
func (l *Leader) handleMemberChange(target ReplyTarget, c *v1.MemberChange) {
	if !strings.Contains(c.GetReplica(), "/") {
		l.refuse(target, code.New(code.Malformed, "the replica's name must have the form NAME/NONCE, as shown by its /readyz"))
		return
	}
	if c.GetRemove() && c.GetReplica() == l.membership.Self {
		l.refuse(target, code.New(code.InUse, "%s is the leader; stop it first, so that another replica takes over", c.GetReplica()))
		return
	}
	if !l.membershipMatches(c) {
		l.proposeMembership(quorum.Member{ID: c.GetReplica(), Address: c.GetAddress(), Learner: true}, c.GetRemove())
	}
	l.awaitMembership(target, c, l.Now()+membershipTimeout)
}

// membershipMatches reports whether the requested change is already in force.
func (l *Leader) membershipMatches(c *v1.MemberChange) bool {
	known := slices.ContainsFunc(l.membership.Members, func(m quorum.Member) bool { return m.ID == c.GetReplica() })
	return known != c.GetRemove()
}

// awaitMembership answers a change when it is in force or when the deadline has
// passed. Until then it checks again at every tick.
func (l *Leader) awaitMembership(target ReplyTarget, c *v1.MemberChange, deadline time.Duration) {
	switch {
	case l.membershipMatches(c):
		reply := &v1.ChangeReply{Status: &v1.Status{}, Revision: l.ledger.Table().Revision()}
		l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Change{Change: reply}})
	case l.Now() >= deadline:
		event.Log(l.Log, event.MemberRefused, "member", c.GetReplica(), "remove", c.GetRemove())
		status := statusOf(code.New(code.MembershipChangePending, "the membership change is not in force yet; retry"))
		status.Retry = uint64(promotionInterval / time.Millisecond)
		reply := &v1.ChangeReply{Status: status, Revision: l.ledger.Table().Revision()}
		l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Change{Change: reply}})
	default:
		l.schedule(l.Now()+tickInterval, func() { l.awaitMembership(target, c, deadline) })
	}
}

// proposeMembership proposes one membership change. The group assigns it the next
// log index even when the change cannot be made now, so that lastIndex stays equal
// to the group's last index.
func (l *Leader) proposeMembership(m quorum.Member, remove bool) {
	lead := l.leadership
	if l.hasGivenUp(lead.term) {
		return
	}
	lead.lastProposedAt = 0 // send all pending commands now, since the change takes the next index
	l.proposePending()
	if len(lead.pendingCommands) > 0 {
		return // the group has no room; the caller retries
	}
	if !l.Group.Propose(group.Proposal{Term: lead.term, FirstIndex: lead.lastIndex + 1, Member: &m, RemoveMember: remove}) {
		return
	}
	lead.lastIndex++
	l.appliedIndex = lead.lastIndex
}

// promoteLearner proposes the first learner as a voter. The group promotes only a
// learner that has stored all committed entries; until then each attempt adds an
// empty log entry.
func (l *Leader) promoteLearner(now time.Duration) {
	lead := l.leadership
	if l.Extension != nil || now-lead.promotionTriedAt < promotionInterval {
		return // the extension manages the membership itself
	}
	lead.promotionTriedAt = now
	for _, m := range l.membership.Members {
		if m.Learner {
			m.Learner = false
			l.proposeMembership(m, false)
			return
		}
	}
}
