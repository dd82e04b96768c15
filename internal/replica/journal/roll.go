package journal

import (
	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// rollIfDue begins a new segment when the newest has reached its size. Nothing hangs
// on that: where none can be begun now, the newest grows on for a while.
func (j *Journal) rollIfDue() error {
	j.mu.Lock()
	due, removalUnsynced := j.dataSize >= j.rollSize, j.removalUnsynced
	j.mu.Unlock()
	if !due && !removalUnsynced {
		return nil
	}
	j.syncMu.Lock()
	defer j.syncMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.syncRemoval(); err != nil || !due {
		return err
	}
	err := j.startNextSegment()
	if !disk.IsRetryable(err) {
		return err
	}
	j.rollSize = j.dataSize + j.segmentSize/rollRetryDivisor<<min(j.failedRolls, rollRetryDivisor)
	j.failedRolls++
	j.onRollPostponed(err)
	return j.syncRemoval()
}

// startNextSegment syncs the newest segment and begins the one after it. Only a completed,
// synced segment gets a successor, so damage in it is never a torn tail.
func (j *Journal) startNextSegment() error {
	if j.brokenErr != nil {
		return j.brokenErr
	}
	if err := j.completeSegment(); err != nil {
		return err
	}
	err := j.createSegment(j.segments.newest().number + 1)
	if err != nil && !disk.IsRetryable(err) {
		return j.markBroken("begin a segment", err)
	}
	return errors.Wrap(err, "begin a segment")
}

// syncRemoval makes the removal of a segment that could not be begun last. Its
// predecessor is appended to only then: after a crash the file would otherwise make
// a torn tail of the predecessor look like damage.
func (j *Journal) syncRemoval() error {
	if !j.removalUnsynced || j.brokenErr != nil {
		return j.brokenErr
	}
	err := j.disk.SyncFolder(j.dir)
	if err != nil && !disk.IsRetryable(err) {
		return j.markBroken("remove a segment", err)
	}
	j.removalUnsynced = err != nil
	return errors.Wrap(err, "remove a segment that could not be begun")
}

// completeSegment cuts the zeros off the newest segment and syncs it.
func (j *Journal) completeSegment() error {
	if j.allocatedSize > j.dataSize {
		if err := j.file.Truncate(j.dataSize); err != nil {
			return j.markBroken("cut off what was reserved", err)
		}
	} else if j.syncedSize == j.dataSize {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		return j.markBroken("sync", err)
	}
	j.syncedSize, j.allocatedSize = j.dataSize, j.dataSize
	return nil
}

// createSegment makes a segment that opens with the hard state, and turns to it. On
// failure the journal stays with the segment it had.
func (j *Journal) createSegment(segmentNumber uint64) error {
	path := segmentPath(j.dir, segmentNumber)
	f, err := j.disk.Create(path)
	if err != nil {
		return err // nothing was made
	}
	b := appendFrame(segmentHeader(), segmentNumber, headerSize, record{hardState: &j.hardState})
	if _, err = f.WriteAt(b, 0); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.disk.SyncFolder(j.dir)
	}
	if err != nil {
		return j.discardSegment(f, path, err)
	}
	if j.file != nil {
		// Its data is synced; nothing hangs on the outcome.
		_ = j.file.Close()
	}
	n := int64(len(b))
	j.file, j.dataSize, j.syncedSize, j.allocatedSize = f, n, n, n
	j.rollSize, j.failedRolls = max(j.segmentSize, n), 0
	j.segments = j.segments.withSegment(segmentNumber)
	return nil
}

// discardSegment removes a segment that could not be begun; forget makes that last.
func (j *Journal) discardSegment(f disk.File, path string, cause error) error {
	if err := errors.CombineErrors(f.Close(), j.disk.Remove(path)); err != nil {
		return errors.Newf("%v, and then: %v", cause, err)
	}
	j.removalUnsynced = true
	return cause
}

// Compact drops the segments whose entries are all at or below index: those
// that a lasting snapshot of that index replaces. It never drops an entry above.
// When the journal ends at or below index, the next entry may have any index
// above it, also when no segment could be begun (ErrFull, ErrNoFile).
func (j *Journal) Compact(index uint64) error {
	j.syncMu.Lock()
	defer j.syncMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.brokenErr != nil {
		return j.brokenErr
	}
	j.compactedIndex = max(j.compactedIndex, index)
	if err := j.syncRemoval(); err != nil {
		return err
	}
	if err := j.removeSegments(index); err != nil {
		return err
	}
	if j.lastIndex == 0 || j.lastIndex > index {
		return nil
	}
	if err := j.startNextSegment(); err != nil {
		return err
	}
	return j.removeSegments(index)
}

// removeSegments removes the oldest segments up to index, never the newest. Each removal
// lasts before the next: a gap in the numbers would read as damage.
func (j *Journal) removeSegments(index uint64) error {
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		err := j.disk.Remove(segmentPath(j.dir, j.segments[0].number))
		if err == nil || errors.Is(err, disk.ErrNotExist) { // missing: removed before, and not made to last
			err = j.disk.SyncFolder(j.dir)
		}
		if disk.IsRetryable(err) {
			return errors.Wrap(err, "remove a segment")
		}
		if err != nil {
			return j.markBroken("remove a segment", err)
		}
		j.segments = j.segments[1:]
	}
	if j.segments.empty() {
		j.lastIndex = 0
	}
	return nil
}
