package leader

import (
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// Extension is a further part of the control thread: it decides while the replica
// leads, through the methods of the Leader below. All its methods are called on
// the control thread.
type Extension interface {
	// OnElected is called when the replica begins to lead.
	OnElected(term uint64, elected time.Duration)
	// OnDeposed is called when it leads no more; what was decided and not
	// committed is void.
	OnDeposed()
	// BeforePropose is called at the end of each turn, before its commands are proposed.
	BeforePropose()
	// Tick is called now and then, for what is due.
	Tick(now time.Duration)
}

// effect is something that may only be done once its cause is committed.
type effect struct {
	index uint64
	run   func()
}

// ApplyCommand applies a command about flows to the working ledger and queues it for
// the log. What the ledger refuses changed nothing and is not logged. Only a
// Part may call it, while the replica leads.
func (l *Leader) ApplyCommand(f *record.Flow) *code.Error {
	r := l.resolve(&record.Command{What: &record.Command_Flow{Flow: f}})
	if r.Code != code.OK {
		return &code.Error{Code: r.Code, Detail: r.Detail}
	}
	return nil
}

// AfterCommit runs fn once everything decided so far is committed; never when the
// replica is deposed before.
func (l *Leader) AfterCommit(fn func()) {
	l.lead.effects = append(l.lead.effects, effect{l.lead.last, fn})
}

// AfterLeadershipProof runs fn once it is proved that this replica still led at a time after
// received; never when it is deposed before.
func (l *Leader) AfterLeadershipProof(received time.Duration, fn func()) {
	l.lead.reads = append(l.lead.reads, heldRead{received: received, run: fn})
}

// Leads tells whether the replica leads and a quorum confirmed so lately.
func (l *Leader) Leads() bool { return l.lead != nil && l.current() }

// Flows returns the working ledger's flows.
func (l *Leader) Flows() *flows.Ledger { return l.st.Flows() }

// LedgerTime returns the ledger's time.
func (l *Leader) LedgerTime() time.Duration { return l.clock() }

// DiskFull tells that the journal's disk has too little room for new work.
func (l *Leader) DiskFull() bool { return l.full }

// Members returns the membership of the control group as it is committed.
func (l *Leader) Members() group.MembershipChanged { return l.members }

// ChangeMember proposes one change of the membership; when it cannot be made now,
// whoever asked asks again.
func (l *Leader) ChangeMember(m quorum.Member, remove bool) { l.alter(m, remove) }

// nearly is how many entries a member may lack that counts as synced: those of a
// moment at full load. The group itself looks more closely before it lets a
// learner vote.
const nearly = 256

// IsSynced tells whether a member has all but the latest entries on its disk. It
// asks the group, so it is for rare questions.
func (l *Leader) IsSynced(id string) bool {
	return l.MatchIndexes != nil && l.lead != nil && l.MatchIndexes()[id]+nearly >= l.lead.committed
}

// Post runs fn on the control thread. It may be called on any goroutine but
// that one, and waits for room.
func (l *Leader) Post(fn func()) bool {
	select {
	case l.inbox <- fn:
		return true
	case <-l.done:
		return false
	}
}

// perform runs the effects whose cause is committed.
func (l *Leader) perform() {
	ld := l.lead
	n := 0
	for n < len(ld.effects) && ld.effects[n].index <= ld.committed {
		ld.effects[n].run()
		n++
		l.YieldProcessor()
	}
	if n > 0 {
		clear(ld.effects[:n])
		ld.effects = ld.effects[n:]
	}
}
