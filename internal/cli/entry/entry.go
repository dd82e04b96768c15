// Package entry is the verb that runs the entry daemon.
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
		Long:   "Runs an entry until SIGTERM, and then until the requests in flight have ended. A second signal ends it at once.",
		Runner: &command{},
	}
}

type command struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the settings file"`
}

// Run serves until ctx ends.
func (c *command) Run(ctx context.Context, env verb.Env, _ []string) error {
	s, err := verb.LoadSettings(env, c.Settings, settings.RoleEntry)
	if err != nil {
		return err
	}
	e, err := build(s)
	if err != nil {
		event.LogError(event.New(env.Err, s.LogLevel), event.ListenFailed, err)
		return err
	}
	e.Log, e.Abort = event.New(env.Err, s.LogLevel), verb.SecondSignal(ctx)
	sides, err := verb.NewDaemonTLS(ctx, s.TLS, s.ControlReplicas, s.Time.ReloadInterval, e.Log)
	if err != nil {
		return err
	}
	e.OutsideTLS, e.InsideTLS = sides.Outside.ServerConfig(), sides.Inside.ClientConfig(sides.ReplicaNames...)
	pool := e.LeaderClient()
	pool.CallTimeout, pool.MaxContactAge, pool.MaxPushItems = s.Time.CallTimeout, s.Time.MaxLeaderSilence, int(s.Limits.BatchItems)
	event.Log(e.Log, event.Started, "role", s.Role, "process", s.Name, "cell", s.Cell, "zone", s.Zone)
	defer event.Log(e.Log, event.Stopped, "process", s.Name)
	signal := &dump.SignalHandler{Name: s.Name, State: e.Dump, MaxBytes: int(s.Limits.DumpBytes), Log: e.Log}
	go func() { _ = signal.Run(ctx) }()
	return e.Run(ctx)
}

// build makes the daemon from its settings.
func build(s *settings.Settings) (*entry.Entry, error) {
	e := &entry.Entry{
		Cell: s.Cell, Name: s.Name, DrainTimeout: s.Time.FinishTimeout,
		// Zero would stand for the entry's own default.
		ShutdownDelay:  max(s.Time.DrainDelay, time.Nanosecond),
		MaxConnections: min(int(s.Limits.Connections), files.NewBudget(files.ProcessLimit(s.Limits.OpenFiles)).Allowance(files.Callers)), MaxPendingRequests: int(s.Limits.QueuedRequests),
	}
	bounds.LimitHeap(s.Limits.MemoryMiB)
	for _, l := range []struct {
		setting string
		address string
		to      *net.Listener
	}{
		{"listen.callers", s.Listen.Callers, &e.CallerListener},
		{"listen.backends", s.Listen.Backends, &e.BackendListener},
		{"listen.operators", s.Listen.Operators, &e.OperatorListener},
		{"listen.platform", s.Listen.Platform, &e.PlatformListener},
	} {
		var err error
		if *l.to, err = net.Listen("tcp", l.address); err != nil {
			return nil, errors.Wrap(err, l.setting)
		}
	}
	for _, p := range s.ControlReplicas {
		e.ControlReplicas = append(e.ControlReplicas, control.Replica{Name: p.Name, Address: p.Address})
	}
	for _, text := range s.EnrolmentDigests {
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != len(backend.Digest{}) {
			return nil, errors.Newf("enrolment: %q is no digest", text)
		}
		e.EnrolmentDigests = append(e.EnrolmentDigests, backend.Digest(digest))
	}
	return e, nil
}
