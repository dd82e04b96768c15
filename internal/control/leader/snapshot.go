package leader

import (
	"time"

	"gypsumreel/internal/ledger/state"
)

// pictureStep is the number of records that one turn copies for a snapshot.
const pictureStep = 2048

// saving is the snapshot that is being made.
type saving struct {
	// picture is taken in steps, one a turn, so that no turn takes long.
	picture *state.SnapshotBuilder
	index   uint64
	// busy tells that a snapshot is under way, from the picture's beginning on.
	busy bool
	// era counts the states that were dropped: a snapshot of an earlier one is void.
	era uint64
}

// snapshot goes on with the snapshot under way, or begins one when enough
// commands have come since the last. The encoding, which takes long, is done
// beside the control thread.
func (l *Leader) snapshot() {
	s := &l.saving
	if !s.busy && l.applied >= l.saved+l.SnapshotInterval {
		s.busy, s.index, s.picture = true, l.applied, l.st.BeginSnapshot()
		return
	}
	if s.picture == nil || !s.picture.CopyRecords(pictureStep) {
		return
	}
	p, index, era := s.picture, s.index, s.era
	s.picture = nil
	go func() {
		data, err := p.State().Encode()
		select {
		case l.inbox <- func() { l.encoded(era, index, data, err) }:
		case <-l.done:
		}
	}()
}

// abandon drops the snapshot under way: its state is dropped. Without this a
// deposed leader would hand over commands that nobody agreed on, once its new
// state has come as far as the index of the old one.
func (l *Leader) abandon() {
	l.saving.picture.Cancel()
	l.saving = saving{era: l.saving.era + 1}
}

// encoded hands a snapshot to the group. A leader's state is ahead of what is
// committed; such a snapshot waits, or a deposed leader's would hold commands
// that nobody agreed on.
func (l *Leader) encoded(era, index uint64, data []byte, err error) {
	if era != l.saving.era {
		return
	}
	if err != nil {
		l.Log.Error(err, "snapshot")
		l.saving.busy = false
		return
	}
	if l.lead != nil && l.lead.committed < index {
		time.AfterFunc(tick, func() {
			select {
			case l.inbox <- func() { l.encoded(era, index, data, nil) }:
			case <-l.done:
			}
		})
		return
	}
	l.Group.Compact(index, data)
	l.saved = index
	l.saving.busy = false
}
