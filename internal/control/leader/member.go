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
	// settleAfter is how long a change may take before its asker is told to ask again.
	settleAfter = 2 * time.Second
	// promoteEvery is how often a learner is proposed as a voter until it is one.
	promoteEvery = time.Second
)

// member changes the control group's membership. It needs no record of its own:
// asking again for what is so already changes nothing.
func (l *Leader) member(to ReplyTarget, c *v1.MemberChange) {
	if !strings.Contains(c.GetReplica(), "/") {
		l.refuse(to, code.New(code.Malformed, "a replica is named NAME/NONCE, as its /readyz says"))
		return
	}
	if c.GetRemove() && c.GetReplica() == l.members.Self {
		l.refuse(to, code.New(code.InUse, "%s leads; stop it first, so that another takes over", c.GetReplica()))
		return
	}
	if !l.settled(c) {
		l.alter(quorum.Member{ID: c.GetReplica(), Address: c.GetAddress(), Learner: true}, c.GetRemove())
	}
	l.await(to, c, l.Now()+settleAfter)
}

// settled tells whether the membership is as the change wants it.
func (l *Leader) settled(c *v1.MemberChange) bool {
	known := slices.ContainsFunc(l.members.Members, func(m quorum.Member) bool { return m.ID == c.GetReplica() })
	return known != c.GetRemove()
}

// await answers a change once it shows in the membership, or when it took too long.
func (l *Leader) await(to ReplyTarget, c *v1.MemberChange, until time.Duration) {
	switch {
	case l.settled(c):
		rep := &v1.ChangeReply{Status: &v1.Status{}, Revision: l.st.Table().Revision()}
		l.reply(to, &inner.Reply{Answer: &inner.Reply_Change{Change: rep}})
	case l.Now() >= until:
		event.Log(l.Log, event.MemberRefused, "member", c.GetReplica(), "remove", c.GetRemove())
		st := status(code.New(code.MembershipChangePending, "not in force yet; ask again"))
		st.Retry = uint64(promoteEvery / time.Millisecond)
		rep := &v1.ChangeReply{Status: st, Revision: l.st.Table().Revision()}
		l.reply(to, &inner.Reply{Answer: &inner.Reply_Change{Change: rep}})
	default:
		l.at(l.Now()+tick, func() { l.await(to, c, until) })
	}
}

// alter proposes one change of membership. The group gives it the next index,
// also when it cannot be made now, so that the count of indexes holds.
func (l *Leader) alter(m quorum.Member, remove bool) {
	ld := l.lead
	ld.gathered = 0 // the change takes the next index: what is before it leaves now
	l.propose()
	if len(ld.pending) > 0 {
		return // the group is busy; whoever asked asks again
	}
	if !l.Group.Propose(group.Proposal{Term: ld.term, FirstIndex: ld.last + 1, Member: &m, RemoveMember: remove}) {
		return
	}
	ld.last++
	l.applied = ld.last
}

// promote proposes learners as voters. The group takes only one that has synced
// what is committed; until then each try costs an empty entry.
func (l *Leader) promote(now time.Duration) {
	ld := l.lead
	if l.Extension != nil || now-ld.promoted < promoteEvery {
		return // a Part decides about the membership itself
	}
	ld.promoted = now
	for _, m := range l.members.Members {
		if m.Learner {
			m.Learner = false
			l.alter(m, false)
			return
		}
	}
}
