// Package entry implements the verb that runs an entry.
package entry

import (
	"context"
	"encoding/hex"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/base/bounds"
	"gypsumreel/internal/base/dump"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/files"
	"gypsumreel/internal/base/ingress"
	"gypsumreel/internal/base/settings"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "entry", Short: "run an entry",
		Long:   "Runs an entry until SIGTERM and then finishes the requests in flight. A second signal stops it at once.",
		Runner: &command{},
	}
}

type command struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the settings file"`
}

// Run runs the entry until ctx is cancelled.
func (c *command) Run(ctx context.Context, env verb.Env, _ []string) error {
	s, err := verb.LoadSettings(env, c.Settings, settings.RoleEntry)
	if err != nil {
		return err
	}
	log, flush := verb.StartDaemonLog(env, s.LogLevel)
	defer flush()
	e, err := newEntry(s)
	if err != nil {
		event.LogError(log, event.ListenFailed, err)
		return err
	}
	e.Log, e.Abort, e.Gates = log, verb.SecondSignal(ctx), ingress.NewGates(s.Limits.MemoryMiB, log)
	daemonTLS, err := verb.NewDaemonTLS(ctx, s.TLS, s.ControlReplicas, s.Time.ReloadInterval, e.Log)
	if err != nil {
		return err
	}
	e.OutsideTLS, e.InsideTLS = daemonTLS.Outside.ServerConfig(), daemonTLS.Inside.ClientConfig(daemonTLS.ReplicaNames...)
	leaderClient := e.LeaderClient()
	leaderClient.CallTimeout, leaderClient.MaxContactAge, leaderClient.MaxPushItems = s.Time.CallTimeout, s.Time.MaxLeaderSilence, int(s.Limits.BatchItems)
	event.Log(e.Log, event.Started, "role", s.Role, "process", s.Name, "cell", s.Cell, "zone", s.Zone)
	defer event.Log(e.Log, event.Stopped, "process", s.Name)
	dumpHandler := &dump.SignalHandler{Name: s.Name, State: e.Dump, MaxBytes: int(s.Limits.DumpBytes), Log: e.Log}
	go func() { _ = dumpHandler.Run(ctx) }()
	return e.Run(ctx)
}

// newEntry opens the listeners and builds the entry from its settings.
func newEntry(s *settings.Settings) (*entry.Entry, error) {
	e := &entry.Entry{
		Cell: s.Cell, Name: s.Name, DrainTimeout: s.Time.FinishTimeout,
		// A zero ShutdownDelay selects the default of package entry, so a configured delay of 0
		// is passed as 1 ns.
		ShutdownDelay:  max(s.Time.DrainDelay, time.Nanosecond),
		MaxConnections: int(s.Limits.Connections), Budget: files.NewBudget(bounds.Conns(s.Limits.MemoryMiB, int64(files.ProcessLimit(s.Limits.OpenFiles)))), MaxPendingRequests: int(s.Limits.QueuedRequests),
	}
	bounds.LimitHeap(s.Limits.MemoryMiB)
	for _, l := range []struct {
		setting  string
		address  string
		listener *net.Listener
	}{
		{"listen.callers", s.Listen.Callers, &e.CallerListener},
		{"listen.backends", s.Listen.Backends, &e.BackendListener},
		{"listen.operators", s.Listen.Operators, &e.OperatorListener},
		{"listen.platform", s.Listen.Platform, &e.PlatformListener},
	} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			return nil, errors.Wrap(err, l.setting)
		}
	}
	for _, replica := range s.ControlReplicas {
		e.ControlReplicas = append(e.ControlReplicas, control.Replica{Name: replica.Name, Address: replica.Address})
	}
	for _, digestText := range s.EnrolmentDigests {
		digest, err := hex.DecodeString(digestText)
		if err != nil || len(digest) != len(backend.Digest{}) {
			return nil, errors.Newf("enrolment: %q is not a valid digest", digestText)
		}
		e.EnrolmentDigests = append(e.EnrolmentDigests, backend.Digest(digest))
	}
	return e, nil
}
