package leader

import (
	"time"

	"gypsumreel/internal/ledger/state"
)

// recordsPerStep is the number of ledger records copied for a snapshot in one turn.
const recordsPerStep = 2048

// snapshotProgress is the state of the snapshot that is being made.
type snapshotProgress struct {
	// stateCopy is the copy of the ledger. One step of it is made per turn, so that
	// no turn takes long.
	stateCopy *state.SnapshotBuilder
	index     uint64
	// inProgress is true from the start of the copy until the snapshot has been
	// handed to the group.
	inProgress bool
	// generation counts the ledger states that were discarded. A snapshot of an
	// earlier generation is void.
	generation uint64
}

// advanceSnapshot advances the snapshot in progress, or starts one when
// SnapshotInterval commands were applied since the last. The state is encoded on
// another goroutine, because encoding takes long.
func (l *Leader) advanceSnapshot() {
	progress := &l.snapshotProgress
	if !progress.inProgress && l.appliedIndex >= l.snapshotIndex+l.SnapshotInterval {
		progress.inProgress, progress.index, progress.stateCopy = true, l.appliedIndex, l.ledger.BeginSnapshotYielding(l.YieldProcessor)
		return
	}
	if progress.stateCopy == nil || !progress.stateCopy.CopyRecords(recordsPerStep) {
		return
	}
	stateCopy, index, generation := progress.stateCopy, progress.index, progress.generation
	progress.stateCopy = nil
	go func() {
		data, err := stateCopy.State().Encode()
		select {
		case l.inbox <- func() { l.handOverSnapshot(generation, index, data, err) }:
		case <-l.done:
		}
	}()
}

// abandonSnapshot discards the snapshot in progress together with its ledger state.
// Otherwise a deposed leader would hand over uncommitted commands once its new
// state had reached the index of the old one.
func (l *Leader) abandonSnapshot() {
	l.snapshotProgress.stateCopy.Cancel()
	l.snapshotProgress = snapshotProgress{generation: l.snapshotProgress.generation + 1}
}

// handOverSnapshot hands an encoded snapshot to the group. A leader's state may be
// ahead of the commit index. Such a snapshot waits for the commit, so that it never
// holds uncommitted commands.
func (l *Leader) handOverSnapshot(generation, index uint64, data []byte, err error) {
	if generation != l.snapshotProgress.generation {
		return
	}
	if err != nil {
		l.Log.Error(err, "cannot encode the snapshot", "index", index)
		l.snapshotProgress.inProgress = false
		return
	}
	if l.leadership != nil && l.leadership.commitIndex < index {
		time.AfterFunc(tickInterval, func() {
			select {
			case l.inbox <- func() { l.handOverSnapshot(generation, index, data, nil) }:
			case <-l.done:
			}
		})
		return
	}
	l.Group.Compact(index, data)
	l.snapshotIndex = index
	l.snapshotProgress.inProgress = false
}
