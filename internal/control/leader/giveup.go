package leader

import (
	"context"
	"slices"

	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// leadContext is the time until this replica gives up the lead for the next time.
type leadContext struct {
	context.Context
	end context.CancelFunc
}

func newLeadContext() *leadContext {
	ctx, cancel := context.WithCancel(context.Background())
	return &leadContext{Context: ctx, end: cancel}
}

// Lead returns a context that ends when this replica gives up the lead for the next time. It is safe
// for concurrent use.
func (l *Leader) Lead() context.Context { return l.currentLead.Load() }

// GiveUpLead ends what this replica does as the leader of the present term, also while the control
// thread stands: Status reports no leader at once, and the control thread sends and proposes nothing
// more in the term. The group does not learn of it: its replica goes on as the leader until it abstains
// (quorum.Abstain). GiveUpLead returns false if the replica does not lead, has given up the lead before,
// or is the only voter, in whose place nobody could lead. It is safe for concurrent use.
func (l *Leader) GiveUpLead() bool {
	term := l.leadTerm.Load()
	if term == 0 || l.onlyVoter.Load() || l.givenUpTerm.Swap(term) == term {
		return false
	}
	l.currentLead.Swap(newLeadContext()).end()
	if l.OnDeposed != nil {
		l.OnDeposed()
	}
	return true
}

// HasGivenUp reports whether the replica has given up the lead and not yet learned from the group
// that it no longer leads. It is safe for concurrent use.
func (l *Leader) HasGivenUp() bool { return l.hasGivenUp(l.leadTerm.Load()) }

// IsLeading reports whether the replica leads, or takes over, and has not given up the lead. It is
// safe for concurrent use.
func (l *Leader) IsLeading() bool {
	term := l.leadTerm.Load()
	return term > 0 && !l.hasGivenUp(term)
}

func (l *Leader) hasGivenUp(term uint64) bool { return term > 0 && l.givenUpTerm.Load() == term }

// stopIfGivenUp reports whether the lead was given up in the present term. If it was, the extension is
// told once, on the control thread, so that it sends nothing more. The ledger stays until the group
// reports who leads.
func (l *Leader) stopIfGivenUp() bool {
	lead := l.leadership
	if !l.hasGivenUp(lead.term) {
		return false
	}
	if !lead.extensionDeposed {
		lead.extensionDeposed = true
		if l.Extension != nil {
			l.Extension.OnDeposed()
		}
	}
	return true
}

// serving reports whether this replica leads and has not given up the lead.
func (l *Leader) serving() bool { return l.leadership != nil && !l.stopIfGivenUp() }

// finishLeaderTurn runs the parts of a turn in which a leader decides, proposes and replies. Each part
// may take long, and the lead may be given up meanwhile.
func (l *Leader) finishLeaderTurn() {
	for _, part := range []struct {
		step turn.Step
		run  func()
	}{
		{turn.Effects, l.runCommittedEffects},
		{turn.Decisions, l.applyDecisions},
		{turn.Syncs, l.answerSyncs},
		{turn.Reads, l.runConfirmedReads},
		{turn.Plan, l.runExtension},
		{turn.Proposal, l.proposePending},
		{turn.Replies, l.deliverCommittedReplies},
	} {
		if !l.serving() {
			return
		}
		l.Turns.Enter(part.step)
		part.run()
	}
}

func (l *Leader) runExtension() {
	if l.Extension != nil {
		l.Extension.BeforePropose()
	}
}

// isOnlyVoter reports whether the group has no other voter than this replica.
func isOnlyVoter(n group.MembershipChanged) bool {
	return !slices.ContainsFunc(n.Members, func(m quorum.Member) bool { return m.ID != n.Self && !m.Learner })
}

// publishMembership stores what is needed of the membership to give up the lead.
func (l *Leader) publishMembership(n group.MembershipChanged) {
	l.onlyVoter.Store(isOnlyVoter(n))
	var addresses []string
	for _, m := range n.Members {
		if m.ID != n.Self {
			addresses = append(addresses, m.Address)
		}
	}
	l.otherAddresses.Store(&addresses)
}

// OtherAddresses returns the addresses of the other members of the group. It is safe for concurrent use.
func (l *Leader) OtherAddresses() []string {
	if addresses := l.otherAddresses.Load(); addresses != nil {
		return *addresses
	}
	return nil
}
