package leader

import (
	"github.com/cockroachdb/errors"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// note handles one note of the group.
func (l *Leader) note(n group.Notification) error {
	switch n := n.(type) {
	case group.Leading:
		l.elected(n)
	case group.Following:
		l.follow(n)
	case group.ApplyEntries:
		return l.apply(n.Entries)
	case group.CommitAdvanced:
		if l.lead != nil {
			l.lead.committed = max(l.lead.committed, n.Index)
			l.settle(n.Index)
		}
	case group.LeadershipConfirmed:
		if l.lead != nil && n.Term == l.lead.term {
			l.lead.confirmed = max(l.lead.confirmed, n.StartedAt)
			l.lead.proved = true
		}
	case group.RestoreSnapshot:
		return l.restore(n)
	case group.MembershipChanged:
		l.membersSeen(n)
		l.members = n
	case group.JournalDiskFull:
		l.fullSeen(n.Full)
		l.full = n.Full
		if l.lead != nil {
			l.yield()
		}
	}
	return nil
}

// apply takes committed entries while following.
func (l *Leader) apply(entries []quorum.Entry) error {
	for _, e := range entries {
		if e.Index <= l.applied {
			continue
		}
		if e.Index != l.applied+1 {
			return errors.Newf("the log jumps from %d to %d", l.applied, e.Index)
		}
		l.applied = e.Index
		if e.Kind != quorum.EntryCommand {
			continue
		}
		c, err := command.Decode(e.Data)
		if err != nil {
			return err
		}
		r := l.st.Apply(c)
		if _, ok := c.GetWhat().(*record.Command_Check); ok && r.Code != 0 {
			event.Log(l.Log, event.StateDiffers, "member", l.members.Self, "index", e.Index, "digest", l.st.Digest())
			return ErrDiverged
		}
	}
	return nil
}

func (l *Leader) restore(n group.RestoreSnapshot) error {
	st, err := state.Decode(n.State)
	if err != nil {
		return err
	}
	l.abandon()
	l.restored(n)
	l.st, l.applied, l.saved = st, n.Index, n.Index
	return nil
}
