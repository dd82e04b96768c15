package node

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/secure"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

const (
	// monitorInterval is how often the node looks after itself.
	monitorInterval = time.Second
	// maxTickGap is a gap between two looks that tells of a paused process.
	maxTickGap = 3 * time.Second
	// slowSyncThreshold is the time of an fsync from which it is told.
	slowSyncThreshold = 500 * time.Millisecond
)

// onlyReplicas lets only processes through whose certificate names a control
// replica: with an entry's certificate, messages of consensus could be forged.
// Without TLS there is nothing to look at, and the settings say so.
func (n *Node) onlyReplicas(h http.Handler) http.Handler {
	if n.ServerTLS == nil {
		return h
	}
	isReplica := func(name string) bool {
		return slices.ContainsFunc(n.Replicas, func(m quorum.Member) bool { return m.ID == name })
	}
	restricted := secure.Only(isReplica, h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if names := secure.Names(r); !slices.ContainsFunc(names, isReplica) {
			n.logLimiter.Log(n.Log, event.PeerRefused, "peer", strings.Join(names, " "), "error", "its certificate names no control replica, this is "+n.Name)
		}
		restricted.ServeHTTP(w, r)
	})
}

// monitor tells of readiness that comes and goes, of a process that stood still,
// and of entries that do not confirm the table's revision.
func (n *Node) monitor(ctx context.Context) error {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	lastTick, wasReady := n.now(), false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := n.now()
		if gap := now - lastTick; gap > maxTickGap {
			event.Log(n.Log, event.ClockJumped, "gap", gap.String())
		}
		lastTick = now
		err := n.readiness()
		switch {
		case err == nil && !wasReady:
			event.Log(n.Log, event.Ready)
		case err != nil && wasReady:
			event.Fail(n.Log, event.Unready, err)
		}
		wasReady = err == nil
		n.entryService.Load().LogTableConfirmations()
	}
}

// logCorruption logs an error of the files at the start as an event, when it is damage.
func (n *Node) logCorruption(id event.ID, err error) error {
	var journalErr *journal.CorruptionError
	var snapshotErr *snapshot.CorruptionError
	if errors.As(err, &journalErr) || errors.As(err, &snapshotErr) {
		event.Fail(n.Log, id, err)
	}
	return err
}
