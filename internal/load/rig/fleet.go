package rig

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/operator"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/fake/server"
	"gypsumreel/internal/load/work"
)

// The fake backend servers are spread over racks and availability zones.
const (
	serversPerRack = 8
	zoneCount      = 3
)

// unlimited is the value of a limit that does not apply.
const unlimited = -1

// maxQueue is the maximum queue length of a team that CreateTeam makes.
const maxQueue = 1_000_000

// Fleet is a group of fake backend servers that run in this process.
type Fleet struct {
	// TaskRecorder counts the attempts of each task. ServerRecorder counts the starts and
	// records the faults that the servers detect.
	TaskRecorder   *work.Recorder
	ServerRecorder *server.Recorder

	servers []*server.Server
	cancel  context.CancelFunc
}

// StartFleet starts n backend servers and waits until the cell reports all of them as
// ready.
func (r *Rig) StartFleet(ctx context.Context, n int, capacity *v1.Size) (*Fleet, error) {
	f := &Fleet{TaskRecorder: &work.Recorder{}, ServerRecorder: &server.Recorder{}}
	runCtx, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	for i := range n {
		s := &server.Server{
			Name: fmt.Sprintf("load-%03d", i), Secret: r.EnrolmentSecret, RunTask: f.TaskRecorder.RunTask, Recorder: f.ServerRecorder, Log: logr.Discard(),
			Rack: fmt.Sprintf("rack-%d", i/serversPerRack), Zone: fmt.Sprintf("zone-%d", i%zoneCount), Capacity: capacity,
		}
		for _, address := range r.BackendAddresses() {
			s.EntryClients = append(s.EntryClients, server.NewEntryClient(address, nil, nil))
		}
		f.servers = append(f.servers, s)
		go func() { _ = s.Run(runCtx) }() // fails only when the fleet is closed
	}
	if err := r.waitServersReady(ctx, n); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops the backend servers without a graceful shutdown.
func (f *Fleet) Close() {
	f.cancel()
	for _, s := range f.servers {
		<-s.Done()
	}
}

// waitServersReady waits until the cell reports n servers as ready.
func (r *Rig) waitServersReady(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	op := r.OperatorClient()
	for n > 0 {
		ready := 0
		reply, err := op.Show(ctx, v1.Part_PART_SERVERS)
		for _, s := range reply.GetServers() {
			if s.GetState() == "ready" {
				ready++
			}
		}
		if ready >= n {
			return nil
		}
		if !transport.Sleep(ctx, pollInterval) {
			return errors.Newf("%d of %d backend servers are ready (limit %s): %v", ready, n, startTimeout, err)
		}
	}
	return nil
}

// OperatorClient returns a client that uses the first operator's key.
func (r *Rig) OperatorClient() *operator.Client {
	return &operator.Client{Transport: &transport.Client{Addresses: r.OperatorURLs(), Key: r.OperatorKey}}
}

// CallerClient returns a client that uses the given team key.
func (r *Rig) CallerClient(token string) *caller.Client {
	return &caller.Client{Transport: &transport.Client{Addresses: r.CallerURLs(), Key: token, Multiplexed: true}}
}

// CreateTeam creates a team without limits and returns its key.
func (r *Rig) CreateTeam(ctx context.Context, team string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	op := r.OperatorClient()
	table, err := op.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return "", err
	}
	row := &v1.Row{
		Team: team, Weight: 1, Queue: maxQueue,
		Limit: &v1.Size{Cpu: unlimited, Memory: unlimited, Accel: unlimited, Slots: unlimited},
	}
	_, err = op.Change(ctx, &v1.ChangeRequest{Id: "team-" + team, Change: &v1.ChangeRequest_Table{
		Table: &v1.TableChange{Base: table.GetRevision(), Edits: []*v1.Edit{{Row: row}}},
	}})
	if err != nil {
		return "", err
	}
	return r.GrantKey(ctx, team, "key-"+team)
}

// GrantKey grants a new key to a team and returns the token that callers present.
func (r *Rig) GrantKey(ctx context.Context, team, id string) (string, error) {
	secret := key.NewSecret()
	digest := key.Digest(secret)
	_, err := r.OperatorClient().Change(ctx, &v1.ChangeRequest{Id: "grant-" + id, Change: &v1.ChangeRequest_Grant{
		Grant: &v1.KeyGrant{Id: id, Team: team, Digest: digest[:]},
	}})
	return id + "." + secret, err
}

// SettleTime is how long a new cell idles before it is measured, so that the resource
// usage of its start is not included.
const SettleTime = 2 * time.Second
