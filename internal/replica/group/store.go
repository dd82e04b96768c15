package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// journalWriter writes and syncs on a goroutine of its own, so that a slow disk
// delays no heartbeat. The core has at most one write on its way.
type journalWriter struct {
	*Group
	// lastIndex is the index that the journal ends with, 0 while it is empty.
	lastIndex    uint64
	reportedFull bool
}

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
		case w := <-j.journalWrites:
			if err = j.write(ctx, w); err == nil {
				j.diskResults <- diskResult{event: quorum.Synced{Seq: w.Seq}}
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
		j.Log.Error(err, "close the journal")
	}
}

// write writes and syncs once. After a failed sync nobody knows what the disk
// holds, and a second try may pass without having written: the group ends.
func (j *journalWriter) write(ctx context.Context, w quorum.Write) error {
	if err := j.compactBeforeGap(w.Entries); err != nil {
		return err
	}
	for {
		err := j.Journal.Append(w.Hard, w.Entries)
		if err == nil {
			break
		}
		if !disk.Passes(err) {
			return errors.Wrap(err, "append to the journal")
		}
		if err := j.waitForSpace(ctx); err != nil {
			return err
		}
	}
	if n := lastEntryIndex(w.Entries); n > 0 {
		j.lastIndex = n
	}
	return errors.Wrap(j.Journal.Sync(), "sync the journal")
}

// compactBeforeGap empties a journal that ends before the snapshot from which the entries
// go on.
func (j *journalWriter) compactBeforeGap(entries []quorum.Entry) error {
	if len(entries) == 0 || j.lastIndex == 0 || entries[0].Index <= j.lastIndex+1 {
		return nil
	}
	return j.compact(entries[0].Index - 1)
}

func (j *journalWriter) compact(index uint64) error {
	err := j.Journal.Compact(index)
	if disk.Passes(err) {
		// Nothing hangs on it: the next snapshot tries again.
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "compact the journal")
	}
	if j.lastIndex <= index {
		j.lastIndex = 0
	}
	return nil
}

// waitForSpace holds a write back while the disk takes none: the replica acknowledges
// nothing meanwhile, and goes on when there is room, or a snapshot made some.
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

// checkFreeSpace tells the loop when the disk got full, or got room again.
func (j *journalWriter) checkFreeSpace() {
	free, err := j.Journal.FreeBytes()
	if err != nil {
		return
	}
	minFree := j.MinFreeBytes
	if minFree == 0 {
		minFree = DefaultMinFreeBytes
	}
	j.reportFull(free < minFree)
}

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

// saveSnapshots saves snapshots on a goroutine of its own: they take long. One that
// fails ends nothing: the log stands, and holds all that the snapshot would.
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

// saveSnapshot saves a snapshot, again and again with growing pauses. In the end it gives
// it up, and the next one tries.
func (g *Group) saveSnapshot(ctx context.Context, s quorum.Snapshot) quorum.Event {
	meta := snapshot.Meta{Index: s.Index, Term: s.Term, Members: s.Members}
	for attempt := range maxSaveAttempts {
		if err := g.Snapshots.Save(meta, s.State); err == nil {
			return quorum.SnapshotSaved{Index: s.Index}
		}
		select {
		case <-ctx.Done():
			return quorum.SnapshotFailed{Index: s.Index}
		case <-time.After(initialSaveBackoff << attempt):
		}
	}
	return quorum.SnapshotFailed{Index: s.Index}
}
