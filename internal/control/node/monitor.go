package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/secure"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

const (
	// monitorInterval is the interval between two checks of the node's own state.
	monitorInterval = time.Second
	// maxTickGap is the time between two checks above which the process is
	// assumed to have been paused.
	maxTickGap = 3 * time.Second
	// slowSyncThreshold is the duration of an fsync above which it is logged.
	slowSyncThreshold = 500 * time.Millisecond
	// tellTimeout limits the time for which nobody leads while the other replicas are told at what
	// this leader stood.
	tellTimeout = 200 * time.Millisecond
)

// onlyReplicas restricts h to processes whose certificate names a control replica, so
// that consensus messages cannot be forged with an entry's certificate. If the
// settings turn TLS off, there is no certificate to check and all requests pass.
func (n *Node) onlyReplicas(h http.Handler) http.Handler {
	if n.ServerTLS == nil {
		return h
	}
	isReplica := func(name string) bool {
		return slices.ContainsFunc(n.Replicas, func(m quorum.Member) bool { return m.ID == name })
	}
	restricted := secure.RequireName(isReplica, h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if names := secure.PeerNames(r); !slices.ContainsFunc(names, isReplica) {
			n.logLimiter.Log(n.Log, event.PeerRefused, "peer", strings.Join(names, " "), "error", "the certificate names no control replica, this is "+n.Name)
		}
		restricted.ServeHTTP(w, r)
	})
}

// monitor logs changes of readiness, pauses of the process, and entries that do not
// confirm the revision of the team table.
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
			event.LogError(n.Log, event.Unready, err)
		}
		wasReady = err == nil
		n.entryService.Load().LogTableConfirmations()
	}
}

// controlThread is the function of the control thread in a stack.
const controlThread = "gypsumreel/internal/control/leader.(*Leader).Run"

// watchedReplica is the replica as the watch of the control thread sees it. Nothing of it waits for
// the control thread.
type watchedReplica struct {
	*leader.Leader
	*group.Group
}

// watchTurns watches the control thread and gives up the lead if it stands.
func (n *Node) watchTurns(ctx context.Context) error {
	replica := watchedReplica{n.Control, n.group.Load()}
	w := &turn.Watch{Meter: &n.Control.Turns, Thread: controlThread, Replica: replica, Now: n.now, Log: n.Log}
	if n.TellStood != nil {
		w.TellStood = func(subject fmt.Stringer) {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			n.TellStood(ctx, subject, n.Control.OtherAddresses())
		}
	}
	return w.Run(ctx)
}

// logCorruption logs err as the given event if it reports a corrupt journal or
// snapshot. It returns err unchanged.
func (n *Node) logCorruption(id event.Definition, err error) error {
	var journalErr *journal.CorruptionError
	var snapshotErr *snapshot.CorruptionError
	if errors.As(err, &journalErr) || errors.As(err, &snapshotErr) {
		event.LogError(n.Log, id, err)
	}
	return err
}
