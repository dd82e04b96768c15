package leader

import (
	"time"

	"gypsumreel/internal/ledger/state"
)

// recordsPerStep is the number of records that one turn copies for a snapshot.
const recordsPerStep = 2048

// snapshotProgress is the snapshot that is being made.
type snapshotProgress struct {
	// stateCopy is taken in steps, one a turn, so that no turn takes long.
	stateCopy *state.Picture
	index     uint64
	// inProgress tells that a snapshot is under way, from the picture's beginning on.
	inProgress bool
	// generation counts the states that were dropped: a snapshot of an earlier one is void.
	generation uint64
}

// advanceSnapshot goes on with the snapshot under way, or begins one when enough
// commands have come since the last. The encoding, which takes long, is done
// beside the control thread.
func (l *Leader) advanceSnapshot() {
	progress := &l.snapshotProgress
	if !progress.inProgress && l.appliedIndex >= l.snapshotIndex+l.SnapshotInterval {
		progress.inProgress, progress.index, progress.stateCopy = true, l.appliedIndex, l.ledger.Picture()
		return
	}
	if progress.stateCopy == nil || !progress.stateCopy.Step(recordsPerStep) {
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

// abandonSnapshot drops the snapshot under way: its state is dropped. Without this a
// deposed leader would hand over commands that nobody agreed on, once its new
// state has come as far as the index of the old one.
func (l *Leader) abandonSnapshot() {
	l.snapshotProgress.stateCopy.Drop()
	l.snapshotProgress = snapshotProgress{generation: l.snapshotProgress.generation + 1}
}

// handOverSnapshot hands a snapshot to the group. A leader's state is ahead of what is
// committed; such a snapshot waits, or a deposed leader's would hold commands
// that nobody agreed on.
func (l *Leader) handOverSnapshot(generation, index uint64, data []byte, err error) {
	if generation != l.snapshotProgress.generation {
		return
	}
	if err != nil {
		l.Log.Error(err, "snapshot")
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
