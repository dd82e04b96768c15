package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/quorum"
)

// journal writes and syncs on a goroutine of its own, so that a slow disk delays
// no heartbeat. The core has at most one write on its way.
func (g *Group) journal(ctx context.Context) {
	defer g.close()
	look := time.NewTicker(freeInterval)
	defer look.Stop()
	full := g.look(false)
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-g.writes:
			if !g.settle(quorum.Synced{Seq: w.Seq}, g.write(w)) {
				return
			}
		case index := <-g.drops:
			if err := g.Journal.Compact(index); err != nil {
				g.settle(nil, errors.Wrap(err, "compact the journal"))
				return
			}
		case <-look.C:
			full = g.look(full)
		}
	}
}

func (g *Group) close() {
	if err := g.Journal.Close(); err != nil {
		g.Log.Error(err, "close the journal")
	}
}

// write writes and syncs once. After a failed sync nobody knows what the disk
// holds, and a second try may pass without having written: the group ends.
func (g *Group) write(w quorum.Write) error {
	if err := g.Journal.Append(w.Hard, w.Entries); err != nil {
		return errors.Wrap(err, "append to the journal")
	}
	return errors.Wrap(g.Journal.Sync(), "sync the journal")
}

// settle gives the outcome to the loop. The queue holds one of each goroutine.
func (g *Group) settle(ev quorum.Event, err error) bool {
	g.synced <- outcome{ev: ev, err: err}
	return err == nil
}

// look tells the loop when the disk got full, or got room again.
func (g *Group) look(was bool) bool {
	free, err := g.Journal.Free()
	if err != nil {
		return was
	}
	want := g.Free
	if want == 0 {
		want = DefaultFree
	}
	now := free < want
	if now != was {
		select {
		case g.full <- now:
		default:
			return was
		}
	}
	return now
}

// snapshot saves snapshots on a goroutine of its own: they take long.
func (g *Group) snapshot(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.saves:
			err := errors.Wrap(g.Snapshots.Save(s), "save a snapshot")
			if !g.settle(quorum.SnapshotSaved{Index: s.Index}, err) {
				return
			}
		}
	}
}
