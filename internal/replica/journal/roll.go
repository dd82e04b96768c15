package journal

import (
	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// roll begins a new segment when the newest has reached its size. Nothing hangs
// on that: where none can be begun now, the newest grows on for a while.
func (j *Journal) roll() error {
	j.mu.Lock()
	due, stray := j.size >= j.due, j.stray
	j.mu.Unlock()
	if !due && !stray {
		return nil
	}
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.forget(); err != nil || !due {
		return err
	}
	err := j.turn()
	if !disk.IsRetryable(err) {
		return err
	}
	j.due = j.size + j.limit/retryParts<<min(j.puts, retryParts)
	j.puts++
	j.told(err)
	return j.forget()
}

// turn syncs the newest segment and begins the one after it. Only a completed,
// synced segment gets a successor, so damage in it is never a torn tail.
func (j *Journal) turn() error {
	if j.broken != nil {
		return j.broken
	}
	if err := j.complete(); err != nil {
		return err
	}
	err := j.begin(j.segments.newest().number + 1)
	if err != nil && !disk.IsRetryable(err) {
		return j.fail("begin a segment", err)
	}
	return errors.Wrap(err, "begin a segment")
}

// forget makes the removal of a segment that could not be begun last. Its
// predecessor is appended to only then: after a crash the file would otherwise make
// a torn tail of the predecessor look like damage.
func (j *Journal) forget() error {
	if !j.stray || j.broken != nil {
		return j.broken
	}
	err := j.disk.SyncFolder(j.dir)
	if err != nil && !disk.IsRetryable(err) {
		return j.fail("remove a segment", err)
	}
	j.stray = err != nil
	return errors.Wrap(err, "remove a segment that could not be begun")
}

// complete cuts the zeros off the newest segment and syncs it.
func (j *Journal) complete() error {
	if j.reserved > j.size {
		if err := j.file.Truncate(j.size); err != nil {
			return j.fail("cut off what was reserved", err)
		}
	} else if j.synced == j.size {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		return j.fail("sync", err)
	}
	j.synced, j.reserved = j.size, j.size
	return nil
}

// begin makes a segment that opens with the hard state, and turns to it. On
// failure the journal stays with the segment it had.
func (j *Journal) begin(number uint64) error {
	name := segmentName(j.dir, number)
	f, err := j.disk.Create(name)
	if err != nil {
		return err // nothing was made
	}
	b := appendFrame(header(), number, headerBytes, record{hard: &j.hard})
	if _, err = f.WriteAt(b, 0); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.disk.SyncFolder(j.dir)
	}
	if err != nil {
		return j.discard(f, name, err)
	}
	if j.file != nil {
		// Its data is synced; nothing hangs on the outcome.
		_ = j.file.Close()
	}
	n := int64(len(b))
	j.file, j.size, j.synced, j.reserved = f, n, n, n
	j.due, j.puts = max(j.limit, n), 0
	j.segments = j.segments.with(number)
	return nil
}

// discard removes a segment that could not be begun; forget makes that last.
func (j *Journal) discard(f disk.File, name string, cause error) error {
	if err := errors.CombineErrors(f.Close(), j.disk.Remove(name)); err != nil {
		return errors.Newf("%v, and then: %v", cause, err)
	}
	j.stray = true
	return cause
}

// Compact drops the segments whose entries are all at or below index: those
// that a lasting snapshot of that index replaces. It never drops an entry above.
// When the journal ends at or below index, the next entry may have any index
// above it, also when no segment could be begun (ErrFull, ErrNoFile).
func (j *Journal) Compact(index uint64) error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.broken != nil {
		return j.broken
	}
	j.floor = max(j.floor, index)
	if err := j.forget(); err != nil {
		return err
	}
	if err := j.drop(index); err != nil {
		return err
	}
	if j.last == 0 || j.last > index {
		return nil
	}
	if err := j.turn(); err != nil {
		return err
	}
	return j.drop(index)
}

// drop removes the oldest segments up to index, never the newest. Each removal
// lasts before the next: a gap in the numbers would read as damage.
func (j *Journal) drop(index uint64) error {
	for len(j.segments) > 1 && j.segments[0].last <= index {
		err := j.disk.Remove(segmentName(j.dir, j.segments[0].number))
		if err == nil || errors.Is(err, disk.ErrNotExist) { // missing: removed before, and not made to last
			err = j.disk.SyncFolder(j.dir)
		}
		if disk.IsRetryable(err) {
			return errors.Wrap(err, "remove a segment")
		}
		if err != nil {
			return j.fail("remove a segment", err)
		}
		j.segments = j.segments[1:]
	}
	if j.segments.empty() {
		j.last = 0
	}
	return nil
}
