package node_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
	"gypsumreel/internal/fake/server"
	"gypsumreel/internal/replica/quorum"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Runs jobs of three kinds over the loopback interface, with a control replica that
// writes a journal, an entry, a backend server and a caller with a team's key.
func TestEndToEndOverLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	controlListener, callers, backends, operators := listen(t), listen(t), listen(t), listen(t)
	digest := key.Digest("secret")
	n := &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: controlListener, Address: controlListener.Addr().String(),
		Replicas: []quorum.Member{{ID: "c1", Address: controlListener.Addr().String()}},
		RootKey:  &v1.KeyGrant{Id: "op", Operator: true, Digest: digest[:]},
	}
	e := &entry.Entry{
		Cell: "test", Name: "e1", CallerListener: callers, BackendListener: backends, OperatorListener: operators, ControlReplicas: []control.Replica{{Name: "c1", Address: controlListener.Addr().String()}},
		EnrolmentDigests: []backend.Digest{backend.Digest(key.Digest("enrol"))}, ShutdownDelay: time.Millisecond,
	}
	s := &server.Server{
		Name: "b1", EntryClients: []server.EntryClient{server.NewEntryClient(backends.Addr().String(), nil, nil)}, Secret: "enrol",
		Capacity: &v1.Size{Cpu: 16_000, Memory: 32_000, Slots: 8}, Rack: "r1", Zone: "z1",
	}
	for _, run := range []func(context.Context) error{n.Run, e.Run, s.Run} {
		go func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
		}()
	}
	defer func() {
		cancel()
		<-s.Done()
		<-e.Done()
		<-n.Done()
	}()
	operator := v1.NewOperatorClient(http.DefaultClient, "http://"+operators.Addr().String())
	applyChange := func(req *v1.ChangeRequest) {
		t.Helper()
		var reply *connect.Response[v1.ChangeReply]
		var err error
		for range 100 {
			if reply, err = operator.Change(ctx, withKey(req, "op.secret")); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil || reply.Msg.GetStatus().GetCode() != 0 {
			t.Fatal(err, reply)
		}
	}
	applyChange(&v1.ChangeRequest{Id: "1", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{{Row: &v1.Row{
		Team: "rail", Weight: 1, Queue: 100, Limit: &v1.Size{Cpu: -1, Memory: -1, Accel: -1, Slots: -1},
	}}}}}})
	applyChange(&v1.ChangeRequest{Id: "2", Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "k", Team: "rail", Digest: digest[:]}}})
	caller := v1.NewCallerClient(http.DefaultClient, "http://"+callers.Addr().String())
	for _, spec := range []*v1.Spec{
		{Id: "quote", Kind: v1.Kind_KIND_URGENT, Name: "q", Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 100, Slots: 1}, Input: []byte("3 t of ballast")},
		{Id: "plan", Kind: v1.Kind_KIND_BATCH, Name: "p", Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 100, Slots: 1}, Input: []byte("section 4")},
		{Id: "sweep", Kind: v1.Kind_KIND_GANG, Name: "s", Count: 3, Size: &v1.Size{Cpu: 1000, Memory: 100, Slots: 1}, Input: []byte("x")},
	} {
		completed := false
		reply, err := caller.Submit(ctx, withKey(&v1.SubmitRequest{Jobs: []*v1.Spec{spec}}, "k.secret"))
		if err != nil || reply.Msg.GetJobs()[0].GetStatus().GetCode() != 0 {
			t.Fatal(err, reply)
		}
		for range 20 {
			w, err := caller.Wait(ctx, withKey(&v1.WaitRequest{Id: spec.GetId(), Patience: 2000}, "k.secret"))
			if err != nil {
				t.Fatal(err)
			}
			if w.Msg.GetOutcome() == v1.Outcome_OUTCOME_DONE {
				completed = true
				break
			}
		}
		if !completed {
			t.Errorf("job %s did not complete", spec.GetId())
		}
	}
}

func withKey[T any](message *T, apiKey string) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+apiKey)
	return r
}

// A replica whose journal was deleted while its identity remains has lost its vote.
// It must not start, because it could vote twice in the same term.
func TestReplicaWithoutJournalDoesNotStart(t *testing.T) {
	dataDir := t.TempDir()
	start := func(initCell bool) (*node.Node, context.CancelFunc, chan error) {
		l := listen(t)
		n := &node.Node{
			Cell: "test", Name: "c1", DataDir: dataDir, InitCell: initCell, Listener: l, Address: l.Addr().String(),
			Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}}, Control: leader.New(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		runErr := make(chan error, 1)
		go func() { runErr <- n.Run(ctx) }()
		return n, cancel, runErr
	}
	n, cancel, runErr := start(true)
	for !n.Control.Status().Leads {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(dataDir, "journal")); err != nil {
		t.Fatal(err)
	}
	_, cancel, runErr = start(false)
	defer cancel()
	if err := <-runErr; !errors.Is(err, node.ErrJournalMissing) {
		t.Errorf("Run returned %v, want ErrJournalMissing", err)
	}
}

// One of three replicas is stopped while it waits for the others to found the group,
// and is started again. The group must be founded nevertheless.
func TestReplicaRestartDuringFoundingSucceeds(t *testing.T) {
	names := []string{"c1", "c2", "c3"}
	var members []quorum.Member
	addresses := map[string]string{}
	for _, name := range names {
		l := listen(t)
		addresses[name] = l.Addr().String()
		members = append(members, quorum.Member{ID: name, Address: addresses[name]})
		_ = l.Close()
	}
	dir := t.TempDir()
	start := func(name string) (*node.Node, func()) {
		l, err := net.Listen("tcp", addresses[name])
		if err != nil {
			t.Fatal(err)
		}
		n := &node.Node{
			Cell: "test", Name: name, DataDir: filepath.Join(dir, name), InitCell: true, Listener: l, Address: addresses[name],
			Replicas: members, Control: leader.New(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		runErr := make(chan error, 1)
		go func() { runErr <- n.Run(ctx) }()
		return n, func() {
			cancel()
			if err := <-runErr; err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}
	}
	_, stop := start("c1")
	for {
		if _, err := os.Stat(filepath.Join(dir, "c1", "identity")); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	stop()
	var nodes []*node.Node
	for _, name := range names {
		n, stop := start(name)
		defer stop()
		nodes = append(nodes, n)
	}
	deadline := time.Now().Add(30 * time.Second)
	for hasLeader := false; !hasLeader; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the group was not founded within 30 s")
		}
		for _, n := range nodes {
			hasLeader = hasLeader || n.Control.Status().Leads
		}
	}
}
