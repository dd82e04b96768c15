package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/snapshot"
)

// disk is a journal that tells how its syncs went.
type disk struct {
	group.Journal
	log   logr.Logger
	limit event.RateLimiter
	syncs *metrics.PrometheusHistogram
}

func newDisk(j group.Journal, set *metrics.Set, log logr.Logger) *disk {
	return &disk{Journal: j, log: log, syncs: set.GetOrCreatePrometheusHistogram(meter.Name("control", "sync_seconds"))}
}

// Sync syncs, measures, and tells of a sync that failed or took long.
func (d *disk) Sync() error {
	begin := time.Now()
	err := d.Journal.Sync()
	took := time.Since(begin)
	d.syncs.Update(took.Seconds())
	if err != nil {
		event.LogError(d.log, event.SyncFailed, err)
		return err
	}
	if took > slowSync {
		d.limit.Log(d.log, event.SyncSlow, "took", took.String())
	}
	return nil
}

// archive is a store of snapshots that tells of those written, and of those that
// could not be.
type archive struct {
	group.SnapshotStore
	log    logr.Logger
	failed *metrics.Counter
}

func newArchive(s group.SnapshotStore, set *metrics.Set, log logr.Logger) *archive {
	return &archive{SnapshotStore: s, log: log, failed: set.GetOrCreateCounter(meter.Name("control", "snapshots_failed_total"))}
}

// Save saves and tells.
func (a *archive) Save(meta snapshot.Meta, state []byte) error {
	begin := time.Now()
	err := a.SnapshotStore.Save(meta, state)
	if err != nil {
		a.failed.Inc()
		event.LogError(a.log, event.StoragePutOff, err, "what", "snapshot", "index", meta.Index, "bytes", len(state))
		return err
	}
	event.Log(a.log, event.SnapshotWritten, "index", meta.Index, "bytes", len(state), "took", time.Since(begin).String())
	return nil
}
