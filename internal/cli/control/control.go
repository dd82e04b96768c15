// Package control is the verb that runs the control daemon.
package control

import (
	"context"
	"encoding/hex"
	"net"

	"github.com/cockroachdb/errors"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/bounds"
	"gypsumreel/internal/base/clock"
	"gypsumreel/internal/base/dump"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/settings"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/replica/quorum"
)

// rootKey is the id of the first operator's key.
const rootKey = "operator"

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "control", Short: "run a control replica",
		Long:   "Runs a control replica until SIGTERM. With --init, once, at the first start of a new cell on all its control replicas.",
		Runner: &command{},
	}
}

type command struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the settings file"`
	Init     bool   `long:"init" description:"found a new cell: only at its very first start"`
}

// Run serves until ctx ends.
func (c *command) Run(ctx context.Context, env verb.Env, _ []string) error {
	s, err := verb.LoadSettings(env, c.Settings, settings.RoleControl)
	if err != nil {
		return err
	}
	n, err := build(s)
	if err != nil {
		event.LogError(event.New(env.Err, s.LogLevel), event.ListenFailed, err)
		return err
	}
	n.InitCell, n.Log, n.Abort = c.Init, event.New(env.Err, s.LogLevel), verb.SecondSignal(ctx)
	sides, err := verb.NewDaemonTLS(ctx, s.TLS, s.ControlReplicas, s.Time.ReloadInterval, n.Log)
	if err != nil {
		return err
	}
	n.ServerTLS, n.ClientTLS, n.ProbeTLS = sides.Inside.ServerConfig(), sides.Inside.ClientConfig(sides.ReplicaNames...), sides.Outside.ServerConfig()
	n.PeerTLS = sides.Inside.ClientConfig(sides.ReplicaNames...)
	event.Log(n.Log, event.Started, "role", s.Role, "process", s.Name, "cell", s.Cell, "zone", s.Zone)
	defer event.Log(n.Log, event.Stopped, "process", s.Name)
	signal := &dump.SignalHandler{Dir: s.DataDir, Name: s.Name, State: n.State, MaxBytes: int(s.Limits.DumpBytes), Log: n.Log}
	go func() { _ = signal.Run(ctx) }()
	return n.Run(ctx)
}

// build makes the daemon from its settings.
func build(s *settings.Settings) (*node.Node, error) {
	l, err := net.Listen("tcp", s.Listen.Control)
	if err != nil {
		return nil, errors.Wrap(err, "listen.control")
	}
	probes, err := net.Listen("tcp", s.Listen.Platform)
	if err != nil {
		return nil, errors.Wrap(err, "listen.platform")
	}
	n := &node.Node{
		Cell: s.Cell, Name: s.Name, DataDir: s.DataDir, Listener: l, ProbeListener: probes,
		HeartbeatInterval: s.Time.HeartbeatInterval, ElectionTimeout: s.Time.ElectionTimeout, MaxElectionTimeout: s.Time.MaxElectionTimeout, Control: leader.New(),
		MaxDumpBytes: int(s.Limits.DumpBytes), MinFreeBytes: bounds.DiskReserve(s.Limits.DiskMiB), Clock: clock.SinceBoot,
	}
	bounds.LimitHeap(s.Limits.MemoryMiB)
	for _, p := range s.ControlReplicas {
		n.Replicas = append(n.Replicas, quorum.Member{ID: p.Name, Address: p.Address})
		if p.Name == s.Name {
			n.Address = p.Address
		}
	}
	n.Control.LeaseTerms.Length = s.Time.LeaseDuration
	n.Control.Retention = s.Time.OutcomeRetention
	n.Control.Zones = s.Zones
	n.Control.MaxPollWait = s.Time.MaxPoll
	n.Control.SnapshotInterval = uint64(s.Limits.SnapshotEntries)
	if s.OperatorDigest != "" {
		digest, err := hex.DecodeString(s.OperatorDigest)
		if err != nil {
			return nil, errors.Wrap(err, "operator")
		}
		n.RootKey = &v1.KeyGrant{Id: rootKey, Operator: true, Digest: digest}
	}
	return n, nil
}
