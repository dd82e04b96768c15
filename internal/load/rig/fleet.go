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

// Racks and zones of the fake backend servers.
const (
	perRack = 8
	zones   = 3
)

// unlimited is a limit or a queue that binds nothing.
const unlimited = -1

// maxQueue is the longest queue that the team of a run may have.
const maxQueue = 1_000_000

// Fleet is a number of fake backend servers in this process.
type Fleet struct {
	// TaskRuns is what the load's tasks did, Seen what broke a promise.
	TaskRuns     *work.Record
	ServerRecord *server.Recorder

	all    []*server.Server
	cancel context.CancelFunc
}

// StartFleet starts n backend servers and returns once the cell counts all as ready.
func (r *Rig) StartFleet(ctx context.Context, n int, capacity *v1.Size) (*Fleet, error) {
	f := &Fleet{TaskRuns: &work.Record{}, ServerRecord: &server.Recorder{}}
	running, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	for i := range n {
		s := &server.Server{
			Name: fmt.Sprintf("load-%03d", i), Secret: r.EnrolmentSecret, Work: f.TaskRuns.RunTask, Recorder: f.ServerRecord, Log: logr.Discard(),
			Rack: fmt.Sprintf("rack-%d", i/perRack), Zone: fmt.Sprintf("zone-%d", i%zones), Capacity: capacity,
		}
		for _, address := range r.BackendAddresses() {
			s.Entries = append(s.Entries, server.NewEntry(address, nil, nil))
		}
		f.all = append(f.all, s)
		go func() { _ = s.Run(running) }() // ends with the fleet, which is its only error
	}
	if err := r.counted(ctx, n); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close ends the backend servers at once.
func (f *Fleet) Close() {
	f.cancel()
	for _, s := range f.all {
		<-s.Done()
	}
}

// counted waits until n servers are ready.
func (r *Rig) counted(ctx context.Context, n int) error {
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
		if !transport.Sleep(ctx, lookEvery) {
			return errors.Newf("%d of %d servers are ready: %v", ready, n, err)
		}
	}
	return nil
}

// OperatorClient returns a client with the first operator's key.
func (r *Rig) OperatorClient() *operator.Client {
	return &operator.Client{Transport: &transport.Client{Addresses: r.OperatorURLs(), Key: r.OperatorKey}}
}

// CallerClient returns a client with a team's key.
func (r *Rig) CallerClient(token string) *caller.Client {
	return &caller.Client{Transport: &transport.Client{Addresses: r.CallerURLs(), Key: token, Multiplexed: true}}
}

// CreateTeam makes a team without limits and returns its key.
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

// GrantKey grants a team a key and returns it as it is presented.
func (r *Rig) GrantKey(ctx context.Context, team, id string) (string, error) {
	secret := key.NewSecret()
	d := key.Digest(secret)
	_, err := r.OperatorClient().Change(ctx, &v1.ChangeRequest{Id: "grant-" + id, Change: &v1.ChangeRequest_Grant{
		Grant: &v1.KeyGrant{Id: id, Team: team, Digest: d[:]},
	}})
	return id + "." + secret, err
}

// SettleTime is how long a cell is left alone before it is measured at rest.
const SettleTime = 2 * time.Second
