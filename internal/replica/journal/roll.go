package journal

import (
	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// rollIfDue starts a new segment when the newest one has reached rollSize. If the
// new segment cannot be created for lack of space or open files, appends continue
// in the newest one and the next attempt is made after it has grown further.
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

// startNextSegment syncs the newest segment and creates its successor. All segments
// but the newest are therefore complete and synced, and an unreadable frame in them
// is corruption, not a torn tail.
func (j *Journal) startNextSegment() error {
	if j.brokenErr != nil {
		return j.brokenErr
	}
	if err := j.completeSegment(); err != nil {
		return err
	}
	err := j.createSegment(j.segments.newest().number + 1)
	if err != nil && !disk.IsRetryable(err) {
		return j.markBroken("create a segment", err)
	}
	return errors.Wrap(err, "create a segment")
}

// syncRemoval makes the removal of an incomplete new segment durable. This must
// succeed before more data is appended to the segment before it. Otherwise a crash
// could restore the removed file, and recovery would report a torn tail in the
// earlier segment as corruption.
func (j *Journal) syncRemoval() error {
	if !j.removalUnsynced || j.brokenErr != nil {
		return j.brokenErr
	}
	err := j.disk.SyncFolder(j.dir)
	if err != nil && !disk.IsRetryable(err) {
		return j.markBroken("sync the removal of a segment", err)
	}
	j.removalUnsynced = err != nil
	return errors.Wrap(err, "sync the removal of an incomplete segment")
}

// completeSegment truncates the preallocated zeros of the newest segment and syncs it.
func (j *Journal) completeSegment() error {
	if j.allocatedSize > j.dataSize {
		if err := j.file.Truncate(j.dataSize); err != nil {
			return j.markBroken("truncate the preallocated space", err)
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

// createSegment creates a segment whose first frame holds the hard state, and makes
// it the one that is appended to. On failure the previous segment stays in use.
func (j *Journal) createSegment(segmentNumber uint64) error {
	path := segmentPath(j.dir, segmentNumber)
	file, err := j.disk.Create(path)
	if err != nil {
		return err // no file was created
	}
	b := appendFrame(segmentHeader(), segmentNumber, headerSize, record{hardState: &j.hardState})
	if _, err = file.WriteAt(b, 0); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = j.disk.SyncFolder(j.dir)
	}
	if err != nil {
		return j.discardSegment(file, path, err)
	}
	if j.file != nil {
		// An error is ignored because the data of this file is already synced.
		_ = j.file.Close()
	}
	size := int64(len(b))
	j.file, j.dataSize, j.syncedSize, j.allocatedSize = file, size, size, size
	j.rollSize, j.failedRolls = max(j.segmentSize, size), 0
	j.segments = j.segments.withSegment(segmentNumber)
	return nil
}

// discardSegment removes an incomplete new segment. syncRemoval makes the removal durable.
func (j *Journal) discardSegment(file disk.File, path string, cause error) error {
	if err := errors.CombineErrors(file.Close(), j.disk.Remove(path)); err != nil {
		return errors.Newf("%v; removing the incomplete segment failed: %v", cause, err)
	}
	j.removalUnsynced = true
	return cause
}

// Compact removes the segments whose entries all have indexes up to the given one.
// The caller must hold a durable snapshot of that index. Entries above the index are
// never removed. When the journal ends at or below the index, the next entry may
// have any index above it. This holds even when Compact returns ErrDiskFull or
// ErrTooManyFiles because no new segment could be created.
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

// removeSegments removes the oldest segments with entries up to index, but never
// the newest segment. Each removal is synced before the next one, because recovery
// treats a gap in the segment numbers as corruption.
func (j *Journal) removeSegments(index uint64) error {
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		err := j.disk.Remove(segmentPath(j.dir, j.segments[0].number))
		if err == nil || errors.Is(err, disk.ErrNotExist) { // an earlier call removed the file, but its sync failed
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
