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

// Times of membership changes.
const (
	// membershipTimeout is how long a change may take before its asker is told to ask again.
	membershipTimeout = 2 * time.Second
	// promotionInterval is how often a learner is proposed as a voter until it is one.
	promotionInterval = time.Second
)

// handleMemberChange changes the control group's membership. It needs no record of its own:
// asking again for what is so already changes nothing.
func (l *Leader) handleMemberChange(to ReplyTarget, c *v1.MemberChange) {
	if !strings.Contains(c.GetReplica(), "/") {
		l.refuse(to, code.New(code.Malformed, "a replica is named NAME/NONCE, as its /readyz says"))
		return
	}
	if c.GetRemove() && c.GetReplica() == l.membership.Self {
		l.refuse(to, code.New(code.InUse, "%s leads; stop it first, so that another takes over", c.GetReplica()))
		return
	}
	if !l.membershipMatches(c) {
		l.proposeMembership(quorum.Member{ID: c.GetReplica(), Address: c.GetAddress(), Learner: true}, c.GetRemove())
	}
	l.awaitMembership(to, c, l.Now()+membershipTimeout)
}

// membershipMatches tells whether the membership is as the change wants it.
func (l *Leader) membershipMatches(c *v1.MemberChange) bool {
	known := slices.ContainsFunc(l.membership.Members, func(m quorum.Member) bool { return m.ID == c.GetReplica() })
	return known != c.GetRemove()
}

// awaitMembership answers a change once it shows in the membership, or when it took too long.
func (l *Leader) awaitMembership(to ReplyTarget, c *v1.MemberChange, deadline time.Duration) {
	switch {
	case l.membershipMatches(c):
		rep := &v1.ChangeReply{Status: &v1.Status{}, Revision: l.ledger.Table().Revision()}
		l.replyWhenCommitted(to, &inner.Reply{Answer: &inner.Reply_Change{Change: rep}})
	case l.Now() >= deadline:
		event.Log(l.Log, event.MemberRefused, "member", c.GetReplica(), "remove", c.GetRemove())
		st := statusOf(code.New(code.Busy, "not in force yet; ask again"))
		st.Retry = uint64(promotionInterval / time.Millisecond)
		rep := &v1.ChangeReply{Status: st, Revision: l.ledger.Table().Revision()}
		l.replyWhenCommitted(to, &inner.Reply{Answer: &inner.Reply_Change{Change: rep}})
	default:
		l.schedule(l.Now()+tickInterval, func() { l.awaitMembership(to, c, deadline) })
	}
}

// proposeMembership proposes one change of membership. The group gives it the next index,
// also when it cannot be made now, so that the count of indexes holds.
func (l *Leader) proposeMembership(m quorum.Member, remove bool) {
	lead := l.leadership
	lead.lastProposedAt = 0 // the change takes the next index: what is before it leaves now
	l.proposePending()
	if len(lead.pendingCommands) > 0 {
		return // the group is busy; whoever asked asks again
	}
	if !l.Group.Propose(group.Proposal{Term: lead.term, First: lead.lastIndex + 1, Change: &m, Remove: remove}) {
		return
	}
	lead.lastIndex++
	l.appliedIndex = lead.lastIndex
}

// promoteLearner proposes learners as voters. The group takes only one that has synced
// what is committed; until then each try costs an empty entry.
func (l *Leader) promoteLearner(now time.Duration) {
	lead := l.leadership
	if l.Extension != nil || now-lead.promotionTriedAt < promotionInterval {
		return // a Part decides about the membership itself
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
