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
func (l *Leader) note(n group.Note) error {
	switch n := n.(type) {
	case group.Lead:
		l.elected(n)
	case group.Follow:
		l.follow(n)
	case group.Apply:
		return l.apply(n.Entries)
	case group.Commit:
		if l.lead != nil {
			l.lead.committed = max(l.lead.committed, n.Index)
			l.settle(n.Index)
		}
	case group.Confirmed:
		if l.lead != nil && n.Term == l.lead.term {
			l.lead.confirmed = max(l.lead.confirmed, n.Start)
			l.lead.proved = true
		}
	case group.Restore:
		return l.restore(n)
	case group.Members:
		l.membersSeen(n)
		l.members = n
	case group.Full:
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

func (l *Leader) restore(n group.Restore) error {
	st, err := state.Decode(n.State)
	if err != nil {
		return err
	}
	l.abandon()
	l.restored(n)
	l.st, l.applied, l.saved = st, n.Index, n.Index
	return nil
}
