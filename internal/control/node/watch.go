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
	// watchEvery is how often the node looks after itself.
	watchEvery = time.Second
	// stoodStill is a gap between two looks that tells of a paused process.
	stoodStill = 3 * time.Second
	// slowSync is the time of an fsync from which it is told.
	slowSync = 500 * time.Millisecond
)

// replicas lets only processes through whose certificate names a control
// replica: with an entry's certificate, messages of consensus could be forged.
// Without TLS there is nothing to look at, and the settings say so.
func (n *Node) replicas(h http.Handler) http.Handler {
	if n.ServerTLS == nil {
		return h
	}
	known := func(name string) bool {
		return slices.ContainsFunc(n.Replicas, func(m quorum.Member) bool { return m.ID == name })
	}
	only := secure.RequireName(known, h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if names := secure.PeerNames(r); !slices.ContainsFunc(names, known) {
			n.limit.Log(n.Log, event.PeerRefused, "peer", strings.Join(names, " "), "error", "its certificate names no control replica, this is "+n.Name)
		}
		only.ServeHTTP(w, r)
	})
}

// watch tells of readiness that comes and goes, of a process that stood still,
// and of entries that do not confirm the table's revision.
func (n *Node) watch(ctx context.Context) error {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	last, ready := n.now(), false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := n.now()
		if gap := now - last; gap > stoodStill {
			event.Log(n.Log, event.ClockJumped, "gap", gap.String())
		}
		last = now
		err := n.ready()
		switch {
		case err == nil && !ready:
			event.Log(n.Log, event.Ready)
		case err != nil && ready:
			event.LogError(n.Log, event.Unready, err)
		}
		ready = err == nil
		n.service.Load().LogTableConfirmations()
	}
}

// damaged logs an error of the files at the start as an event, when it is damage.
func (n *Node) damaged(id event.Definition, err error) error {
	var j *journal.CorruptionError
	var s *snapshot.CorruptionError
	if errors.As(err, &j) || errors.As(err, &s) {
		event.LogError(n.Log, id, err)
	}
	return err
}
