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

// handleWaitingNotifications handles the notifications that wait. Under load there is always other
// work, and a leader has to learn in each turn what is committed.
func (l *Leader) handleWaitingNotifications() error {
	for range maxNotificationsPerTurn {
		select {
		case n, ok := <-l.Group.Notifications():
			if !ok {
				return errStopped
			}
			if err := l.handleNotification(n); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// handleNotification handles one notification from the group.
func (l *Leader) handleNotification(notification group.Notification) error {
	switch n := notification.(type) {
	case group.Leading:
		l.becomeLeader(n)
	case group.Following:
		l.becomeFollower(n)
	case group.ApplyEntries:
		return l.applyEntries(n.Entries)
	case group.CommitAdvanced:
		if l.leadership != nil {
			l.leadership.commitIndex = max(l.leadership.commitIndex, n.Index)
			l.measureCommits(n.Index)
		}
	case group.LeadershipConfirmed:
		if l.leadership != nil && n.Term == l.leadership.term {
			l.leadership.confirmedAt = max(l.leadership.confirmedAt, n.StartedAt)
			l.leadership.leadershipConfirmed = true
		}
	case group.RestoreSnapshot:
		return l.restoreState(n)
	case group.MembershipChanged:
		l.logMembership(n)
		l.membership = n
		l.publishMembership(n)
	case group.JournalDiskFull:
		l.logDiskFull(n.Full)
		l.diskFull = n.Full
		if l.leadership != nil {
			l.offerLeadership()
		}
	}
	return nil
}

// applyEntries applies committed log entries on a follower.
func (l *Leader) applyEntries(entries []quorum.Entry) error {
	for _, e := range entries {
		if e.Index <= l.appliedIndex {
			continue
		}
		l.YieldProcessor()
		if e.Index != l.appliedIndex+1 {
			return errors.Newf("log entry out of order: got index %d after %d", e.Index, l.appliedIndex)
		}
		l.appliedIndex = e.Index
		if e.Kind != quorum.EntryCommand {
			continue
		}
		c, err := command.Decode(e.Data)
		if err != nil {
			return err
		}
		r := l.ledger.Apply(c)
		if _, ok := c.GetWhat().(*record.Command_Check); ok && r.Code != 0 {
			event.Log(l.Log, event.StateDiffers, "member", l.membership.Self, "index", e.Index, "digest", l.ledger.Digest())
			return ErrDiverged
		}
	}
	return nil
}

// restoreState replaces the ledger by a snapshot.
func (l *Leader) restoreState(n group.RestoreSnapshot) error {
	restored, err := state.DecodeYielding(n.State, l.YieldProcessor)
	if err != nil {
		return err
	}
	l.abandonSnapshot()
	l.logRestore(n)
	l.ledger, l.appliedIndex, l.snapshotIndex, l.reloading = restored, n.Index, n.Index, false
	return nil
}
