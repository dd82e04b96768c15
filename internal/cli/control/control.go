// Package control implements the verb that runs a control replica.
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
	"gypsumreel/internal/base/files"
	"gypsumreel/internal/base/ingress"
	"gypsumreel/internal/base/settings"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/edge/platform"
	"gypsumreel/internal/replica/quorum"
)

// firstOperatorKeyID is the id of the operator's key that the settings file provides.
const firstOperatorKeyID = "operator"

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "control", Short: "run a control replica",
		Long:   "Runs a control replica until SIGTERM. Give --init once, on all control replicas, at the first start of a new cell.",
		Runner: &command{},
	}
}

type command struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the settings file"`
	Init     bool   `long:"init" description:"create a new cell; only at its first start"`
}

// Run runs the control replica until ctx is cancelled.
func (c *command) Run(ctx context.Context, env verb.Env, _ []string) error {
	s, err := verb.LoadSettings(env, c.Settings, settings.RoleControl)
	if err != nil {
		return err
	}
	log, flush := verb.StartDaemonLog(env, s.LogLevel)
	defer flush()
	n, err := newNode(s, ingress.NewGates(s.Limits.MemoryMiB, log))
	if err != nil {
		event.LogError(log, event.ListenFailed, err)
		return err
	}
	n.InitCell, n.Log, n.Abort = c.Init, log, verb.SecondSignal(ctx)
	daemonTLS, err := verb.NewDaemonTLS(ctx, s.TLS, s.ControlReplicas, s.Time.ReloadInterval, n.Log)
	if err != nil {
		return err
	}
	n.ServerTLS, n.ClientTLS, n.ProbeTLS = daemonTLS.Inside.ServerConfig(), daemonTLS.Inside.ClientConfig(daemonTLS.ReplicaNames...), daemonTLS.Outside.ServerConfig()
	n.PeerTLS = daemonTLS.Inside.ClientConfig(daemonTLS.ReplicaNames...)
	event.Log(n.Log, event.Started, "role", s.Role, "process", s.Name, "cell", s.Cell, "zone", s.Zone)
	defer event.Log(n.Log, event.Stopped, "process", s.Name)
	dumpHandler := &dump.SignalHandler{Dir: s.DataDir, Name: s.Name, State: n.State, MaxBytes: int(s.Limits.DumpBytes), Log: n.Log}
	go func() { _ = dumpHandler.Run(ctx) }()
	return n.Run(ctx)
}

// newNode opens the listeners and builds the control replica from its settings.
func newNode(s *settings.Settings, gates ingress.Gates) (*node.Node, error) {
	controlListener, err := net.Listen("tcp", s.Listen.Control)
	if err != nil {
		return nil, errors.Wrap(err, "listen.control")
	}
	platformListener, err := net.Listen("tcp", s.Listen.Platform)
	if err != nil {
		return nil, errors.Wrap(err, "listen.platform")
	}
	budget := files.NewBudget(files.ProcessLimit(s.Limits.OpenFiles))
	n := &node.Node{
		Cell: s.Cell, Name: s.Name, DataDir: s.DataDir, Gates: gates,
		Listener:          gates.Processes.Listen(controlListener, ingress.Limits{Budget: budget, Use: files.Processes}),
		ProbeListener:     gates.Clients.Listen(platformListener, ingress.Limits{Conns: platform.MaxConns}),
		HeartbeatInterval: s.Time.HeartbeatInterval, ElectionTimeout: s.Time.ElectionTimeout, MaxElectionTimeout: s.Time.MaxElectionTimeout, Control: leader.New(),
		MaxDumpBytes: int(s.Limits.DumpBytes), MinFreeBytes: bounds.DiskReserve(s.Limits.DiskMiB), Clock: clock.SinceBoot,
	}
	bounds.LimitHeap(s.Limits.MemoryMiB)
	for _, replica := range s.ControlReplicas {
		n.Replicas = append(n.Replicas, quorum.Member{ID: replica.Name, Address: replica.Address})
		if replica.Name == s.Name {
			n.Address = replica.Address
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
		n.RootKey = &v1.KeyGrant{Id: firstOperatorKeyID, Operator: true, Digest: digest}
	}
	return n, nil
}
