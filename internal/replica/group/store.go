package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// journalist writes and syncs on a goroutine of its own, so that a slow disk
// delays no heartbeat. The core has at most one write on its way.
type journalist struct {
	*Group
	// last is the index that the journal ends with, 0 while it is empty.
	last uint64
	full bool
}

func last(entries []quorum.Entry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	return entries[len(entries)-1].Index
}

func (j *journalist) run(ctx context.Context) {
	defer j.close()
	look := time.NewTicker(freeInterval)
	defer look.Stop()
	j.look()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case w := <-j.writes:
			if err = j.write(ctx, w); err == nil {
				j.synced <- outcome{ev: quorum.WriteSynced{Seq: w.Seq}}
			}
		case index := <-j.drops:
			err = j.compact(index)
		case <-look.C:
			j.look()
		}
		if err != nil {
			j.synced <- outcome{err: err}
			return
		}
	}
}

func (j *journalist) close() {
	if err := j.Journal.Close(); err != nil {
		j.Log.Error(err, "close the journal")
	}
}

// write writes and syncs once. After a failed sync nobody knows what the disk
// holds, and a second try may pass without having written: the group ends.
func (j *journalist) write(ctx context.Context, w quorum.JournalWrite) error {
	if err := j.rebase(w.Entries); err != nil {
		return err
	}
	for {
		err := j.Journal.Append(w.HardState, w.Entries)
		if err == nil {
			break
		}
		if !disk.IsRetryable(err) {
			return errors.Wrap(err, "append to the journal")
		}
		if err := j.wait(ctx); err != nil {
			return err
		}
	}
	if n := last(w.Entries); n > 0 {
		j.last = n
	}
	return errors.Wrap(j.Journal.Sync(), "sync the journal")
}

// rebase empties a journal that ends before the snapshot from which the entries
// go on.
func (j *journalist) rebase(entries []quorum.Entry) error {
	if len(entries) == 0 || j.last == 0 || entries[0].Index <= j.last+1 {
		return nil
	}
	return j.compact(entries[0].Index - 1)
}

func (j *journalist) compact(index uint64) error {
	err := j.Journal.Compact(index)
	if disk.IsRetryable(err) {
		// Nothing hangs on it: the next snapshot tries again.
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "compact the journal")
	}
	if j.last <= index {
		j.last = 0
	}
	return nil
}

// wait holds a write back while the disk takes none: the replica acknowledges
// nothing meanwhile, and goes on when there is room, or a snapshot made some.
func (j *journalist) wait(ctx context.Context) error {
	j.tell(true)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case index := <-j.drops:
		return j.compact(index)
	case <-time.After(fullInterval):
		return nil
	}
}

// look tells the loop when the disk got full, or got room again.
func (j *journalist) look() {
	free, err := j.Journal.FreeBytes()
	if err != nil {
		return
	}
	want := j.MinFreeBytes
	if want == 0 {
		want = DefaultMinFreeBytes
	}
	j.tell(free < want)
}

func (j *journalist) tell(full bool) {
	if full == j.full {
		return
	}
	select {
	case j.Group.full <- full:
		j.full = full
	default:
	}
}

// snapshot saves snapshots on a goroutine of its own: they take long. One that
// fails ends nothing: the log stands, and holds all that the snapshot would.
func (g *Group) snapshot(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.saves:
			g.synced <- outcome{ev: g.save(ctx, s)}
		}
	}
}

// save saves a snapshot, again and again with growing pauses. In the end it gives
// it up, and the next one tries.
func (g *Group) save(ctx context.Context, s quorum.Snapshot) quorum.Event {
	meta := snapshot.Meta{Index: s.Index, Term: s.Term, Members: s.Members}
	for try := range saveTries {
		if err := g.Snapshots.Save(meta, s.State); err == nil {
			return quorum.SnapshotSaved{Index: s.Index}
		}
		select {
		case <-ctx.Done():
			return quorum.SnapshotSaveFailed{Index: s.Index}
		case <-time.After(savePause << try):
		}
	}
	return quorum.SnapshotSaveFailed{Index: s.Index}
}
