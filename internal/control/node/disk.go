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

// monitoredJournal is a journal that measures its syncs and logs failed and slow ones.
type monitoredJournal struct {
	group.Journal
	log         logr.Logger
	logLimiter  event.RateLimiter
	syncSeconds *metrics.PrometheusHistogram
}

func newMonitoredJournal(j group.Journal, set *metrics.Set, log logr.Logger) *monitoredJournal {
	return &monitoredJournal{Journal: j, log: log, syncSeconds: set.GetOrCreatePrometheusHistogram(meter.Name("control", "sync_seconds"))}
}

// Sync syncs the journal and records the duration. It logs a sync that fails or takes
// longer than slowSyncThreshold.
func (d *monitoredJournal) Sync() error {
	startedAt := time.Now()
	err := d.Journal.Sync()
	elapsed := time.Since(startedAt)
	d.syncSeconds.Update(elapsed.Seconds())
	if err != nil {
		event.LogError(d.log, event.SyncFailed, err)
		return err
	}
	if elapsed > slowSyncThreshold {
		d.logLimiter.Log(d.log, event.SyncSlow, "took", elapsed.String())
	}
	return nil
}

// monitoredSnapshots is a snapshot store that logs written snapshots and failed writes.
type monitoredSnapshots struct {
	group.SnapshotStore
	log         logr.Logger
	failedSaves *metrics.Counter
}

func newMonitoredSnapshots(s group.SnapshotStore, set *metrics.Set, log logr.Logger) *monitoredSnapshots {
	return &monitoredSnapshots{SnapshotStore: s, log: log, failedSaves: set.GetOrCreateCounter(meter.Name("control", "snapshots_failed_total"))}
}

// Save writes a snapshot and logs the result.
func (a *monitoredSnapshots) Save(meta snapshot.Meta, state []byte) error {
	startedAt := time.Now()
	err := a.SnapshotStore.Save(meta, state)
	if err != nil {
		a.failedSaves.Inc()
		event.LogError(a.log, event.StoragePutOff, err, "what", "snapshot", "index", meta.Index, "bytes", len(state))
		return err
	}
	event.Log(a.log, event.SnapshotWritten, "index", meta.Index, "bytes", len(state), "took", time.Since(startedAt).String())
	return nil
}
