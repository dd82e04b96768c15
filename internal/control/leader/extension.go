package leader

import (
	"context"
	"fmt"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// Extension makes further decisions on the control thread while the replica leads.
// It uses the exported methods of Leader. All its methods are called on the control
// thread.
type Extension interface {
	// OnElected is called when the replica begins to lead.
	OnElected(term uint64, elected time.Duration)
	// OnDeposed is called when the replica stops leading. Commands that were
	// applied but not committed are discarded.
	OnDeposed()
	// BeforePropose is called at the end of each turn, before the commands of the
	// turn are proposed.
	BeforePropose()
	// Tick is called at the control thread's tick interval, for timed work.
	Tick(now time.Duration)
}

// effect is a function that runs once the log is committed up to index.
type effect struct {
	index uint64
	run   func()
}

// ApplyCommand applies a flow command to the working ledger and queues it for the log. A
// command that the ledger refuses changes nothing and is not logged. Only an
// Extension may call ApplyCommand, and only while the replica leads.
func (l *Leader) ApplyCommand(f *record.Flow) *code.Error {
	r := l.applyIfAccepted(&record.Command{What: &record.Command_Flow{Flow: f}})
	if r.Code != code.OK {
		return &code.Error{Code: r.Code, Detail: r.Detail}
	}
	return nil
}

// AfterCommit runs fn once all commands applied so far are committed. If the replica is
// deposed first, fn does not run.
func (l *Leader) AfterCommit(fn func()) {
	l.leadership.pendingEffects = append(l.leadership.pendingEffects, effect{l.leadership.lastIndex, fn})
}

// AfterLeadershipProof runs fn once a quorum has confirmed that this replica still led at a
// time after receivedAt. If the replica is deposed first, fn does not run.
func (l *Leader) AfterLeadershipProof(receivedAt time.Duration, fn func()) {
	l.leadership.pendingReads = append(l.leadership.pendingReads, pendingRead{receivedAt: receivedAt, run: fn})
}

// Leads reports whether this replica leads, has not given up the lead, and a quorum has recently
// confirmed it.
func (l *Leader) Leads() bool { return l.leadership != nil && l.isConfirmedLeader() }

// Flows returns the flows of the working ledger.
func (l *Leader) Flows() *flows.Ledger { return l.ledger.Flows() }

// LedgerIsCommitted reports whether the ledger contains committed decisions only. That of a former
// leader may contain others until the group has delivered the committed log again.
func (l *Leader) LedgerIsCommitted() bool {
	if l.leadership != nil {
		return l.appliedIndex <= l.leadership.commitIndex
	}
	return !l.reloading
}

// LedgerTime returns the ledger's time.
func (l *Leader) LedgerTime() time.Duration { return l.ledgerTime() }

// DiskFull reports whether the journal's disk has too little free space for new work.
func (l *Leader) DiskFull() bool { return l.diskFull }

// Members returns the committed membership of the control group.
func (l *Leader) Members() group.MembershipChanged { return l.membership }

// ChangeMember proposes one change of the membership. If the change cannot be made now,
// the caller must repeat the call later.
func (l *Leader) ChangeMember(m quorum.Member, remove bool) { l.proposeMembership(m, remove) }

// maxSyncLag is the number of log entries that a member may lack and still count as
// synced. At full load, that many entries are in transit at any moment. The group
// makes a stricter check before it promotes a learner to voter.
const maxSyncLag = 256

// IsSynced reports whether a member has stored all but the latest maxSyncLag entries
// on disk. It queries the group, so it must not be called often.
func (l *Leader) IsSynced(id string) bool {
	return l.MatchIndexes != nil && l.leadership != nil && l.MatchIndexes()[id]+maxSyncLag >= l.leadership.commitIndex
}

// SetSubject records what the control thread works on, for its progress; nil if that is not known.
func (l *Leader) SetSubject(subject fmt.Stringer) { l.Turns.SetSubject(subject) }

// Post runs fn on the control thread. It blocks while the inbox is full, so it must
// not be called on the control thread itself. It returns false when the control
// thread has ended.
func (l *Leader) Post(fn func()) bool {
	select {
	case l.inbox <- fn:
		return true
	case <-l.done:
		return false
	}
}

// PostContext is Post for a caller that does not wait for longer than ctx. It returns false
// when fn was not queued: ctx ended while the inbox was full, or the control thread has ended.
func (l *Leader) PostContext(ctx context.Context, fn func()) bool {
	select {
	case l.inbox <- fn:
		return true
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
}

// runCommittedEffects runs the effects whose commands are committed.
func (l *Leader) runCommittedEffects() {
	lead := l.leadership
	n := 0
	for n < len(lead.pendingEffects) && lead.pendingEffects[n].index <= lead.commitIndex && l.serving() {
		lead.pendingEffects[n].run()
		n++
		l.YieldProcessor()
	}
	if n > 0 {
		clear(lead.pendingEffects[:n])
		lead.pendingEffects = lead.pendingEffects[n:]
	}
}
