package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// journalWriter writes to the journal and syncs it on a separate goroutine, so that
// a slow disk does not delay heartbeats. The core has at most one write in
// progress.
type journalWriter struct {
	*Group
	// lastIndex is the index of the last entry in the journal. It is 0 while the
	// journal is empty.
	lastIndex uint64
	// reportedFull is the disk state in the last report to the event loop.
	reportedFull bool
}

// lastEntryIndex returns the index of the last entry, or 0 if there is none.
func lastEntryIndex(entries []quorum.Entry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	return entries[len(entries)-1].Index
}

func (j *journalWriter) run(ctx context.Context) {
	defer j.close()
	spaceCheck := time.NewTicker(freeSpaceCheckInterval)
	defer spaceCheck.Stop()
	j.checkFreeSpace()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case write := <-j.journalWrites:
			if err = j.write(ctx, write); err == nil {
				j.diskResults <- diskResult{event: quorum.WriteSynced{Seq: write.Seq}}
			}
		case index := <-j.journalCompactions:
			err = j.compact(index)
		case <-spaceCheck.C:
			j.checkFreeSpace()
		}
		if err != nil {
			j.diskResults <- diskResult{err: err}
			return
		}
	}
}

func (j *journalWriter) close() {
	if err := j.Journal.Close(); err != nil {
		j.Log.Error(err, "failed to close the journal")
	}
}

// write appends to the journal and syncs it. A failed sync stops the group: the
// contents of the disk are unknown, and a second sync may succeed although the
// data was never written.
func (j *journalWriter) write(ctx context.Context, write quorum.JournalWrite) error {
	if err := j.compactBeforeGap(write.Entries); err != nil {
		return err
	}
	for {
		err := j.Journal.Append(write.HardState, write.Entries)
		if err == nil {
			break
		}
		if !disk.IsRetryable(err) {
			return errors.Wrap(err, "cannot append to the journal")
		}
		if err := j.waitForSpace(ctx); err != nil {
			return err
		}
	}
	if n := lastEntryIndex(write.Entries); n > 0 {
		j.lastIndex = n
	}
	return errors.Wrap(j.Journal.Sync(), "cannot sync the journal")
}

// compactBeforeGap empties the journal if the entries do not continue it. This
// happens after the replica has installed a snapshot that is newer than the end of
// its journal.
func (j *journalWriter) compactBeforeGap(entries []quorum.Entry) error {
	if len(entries) == 0 || j.lastIndex == 0 || entries[0].Index <= j.lastIndex+1 {
		return nil
	}
	return j.compact(entries[0].Index - 1)
}

// compact removes the entries up to index from the journal.
func (j *journalWriter) compact(index uint64) error {
	err := j.Journal.Compact(index)
	if disk.IsRetryable(err) {
		// Compaction only frees space. It is repeated after the next snapshot.
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "cannot compact the journal")
	}
	if j.lastIndex <= index {
		j.lastIndex = 0
	}
	return nil
}

// waitForSpace delays the next attempt to write to a full disk. The replica
// acknowledges nothing in the meantime. A compaction that becomes possible after a
// snapshot is done at once, since it can free space.
func (j *journalWriter) waitForSpace(ctx context.Context) error {
	j.reportFull(true)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case index := <-j.journalCompactions:
		return j.compact(index)
	case <-time.After(fullDiskRetryInterval):
		return nil
	}
}

// checkFreeSpace tells the event loop when the free disk space falls below the
// minimum or rises above it again.
func (j *journalWriter) checkFreeSpace() {
	freeBytes, err := j.Journal.FreeBytes()
	if err != nil {
		return
	}
	minFreeBytes := j.MinFreeBytes
	if minFreeBytes == 0 {
		minFreeBytes = DefaultMinFreeBytes
	}
	j.reportFull(freeBytes < minFreeBytes)
}

// reportFull tells the event loop whether the disk is full, if that has changed.
// If the event loop has not taken the previous report, it is left to the next
// check.
func (j *journalWriter) reportFull(full bool) {
	if full == j.reportedFull {
		return
	}
	select {
	case j.Group.diskFull <- full:
		j.reportedFull = full
	default:
	}
}

// saveSnapshots saves snapshots on a separate goroutine, since saving takes long. A
// failure does not stop the group: the log is kept and contains everything that the
// snapshot would.
func (g *Group) saveSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.snapshotsToSave:
			g.diskResults <- diskResult{event: g.saveSnapshot(ctx, s)}
		}
	}
}

// saveSnapshot saves a snapshot and retries with exponential backoff. After
// maxSaveAttempts failures it gives up, and the group continues with the next
// snapshot.
func (g *Group) saveSnapshot(ctx context.Context, s quorum.Snapshot) quorum.Event {
	meta := snapshot.Meta{Index: s.Index, Term: s.Term, Members: s.Members}
	for attempt := range maxSaveAttempts {
		if err := g.Snapshots.Save(meta, s.State); err == nil {
			return quorum.SnapshotSaved{Index: s.Index}
		}
		select {
		case <-ctx.Done():
			return quorum.SnapshotSaveFailed{Index: s.Index}
		case <-time.After(initialSaveBackoff << attempt):
		}
	}
	return quorum.SnapshotSaveFailed{Index: s.Index}
}
