package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
	"gypsumreel/internal/fake/relay"
	"gypsumreel/internal/fake/server"
)

// enrolment is the enrolment secret of the backend servers.
const enrolment = "enrolment"

// connectionAge is the maximum age of connections. It is short, so that connections
// reach it during a test.
const connectionAge = 20 * time.Second

var (
	entryNames   = []string{"e1", "e2"}
	replicaNames = []string{"c1", "c2"}
	serverNames  = []string{"s1", "s2"}
)

// testCell is a cell whose processes run in memory. Every connection between an entry and
// a replica, a backend server or another client passes through a relay.
type testCell struct {
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	network    *relay.MemoryNetwork
	ledger     *fakeLedger
	replicas   map[string]*fakeReplica
	entries    map[string]*entryRun
	servers    map[string]*server.Server
	stopFuncs  map[string]context.CancelFunc
	relays     map[string]*relay.Relay
	taskRecord *server.Recorder
	// maxPending bounds the pending requests of each entry. Zero means the default.
	maxPending  int
	teamKey     string
	operatorKey string
	// onStep is called with the name of each step of a scenario.
	onStep func(string)
	// injectedAt is the time at which the fault was injected, nil before.
	injectedAt atomic.Pointer[time.Time]

	mu           sync.Mutex
	observations map[string][]string
}

// terminate stops a replica or a backend server immediately.
func (w *testCell) terminate(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopFuncs[name]()
}

func (w *testCell) backendServer(name string) *server.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[name]
}

// currentEntry returns the latest run of an entry.
func (w *testCell) currentEntry(name string) *entryRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[name]
}

// entryRun is one run of an entry, from its start to its end.
type entryRun struct {
	entry *entry.Entry
	// stop begins a graceful shutdown.
	stop context.CancelFunc
	// kill ends the run immediately and closes all connections.
	kill func()
}

// trackedListener records the accepted connections, so that they can be closed when
// the entry is killed.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *trackedListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func newTestCell(maxPending int) *testCell {
	w := &testCell{
		network: &relay.MemoryNetwork{}, ledger: newFakeLedger(), replicas: map[string]*fakeReplica{}, entries: map[string]*entryRun{},
		servers: map[string]*server.Server{}, stopFuncs: map[string]context.CancelFunc{}, relays: map[string]*relay.Relay{},
		taskRecord: &server.Recorder{}, maxPending: maxPending, observations: map[string][]string{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.teamKey = w.ledger.grantKey("team-key", "quarry", false)
	w.operatorKey = w.ledger.grantKey("operator-key", "", true)
	w.ledger.leader = replicaNames[0]
	for _, name := range replicaNames {
		w.replicas[name] = &fakeReplica{ledger: w.ledger, name: name}
		w.startReplica(name)
	}
	for _, e := range entryNames {
		for _, c := range replicaNames {
			w.addRelay(e, c)
		}
		w.addRelay("caller", e+"-callers")
		w.addRelay("operator", e+"-operators")
		w.addRelay("probe", e+"-platform")
		for _, s := range serverNames {
			w.addRelay(s, e+"-backends")
		}
		w.startEntry(e)
	}
	for _, s := range serverNames {
		w.startServer(s)
	}
	return w
}

func (w *testCell) close() {
	w.cancel()
	for _, r := range w.replicas {
		r.gate.open()
	}
	w.wg.Wait()
}

// addRelay starts a relay for the connections from one process to another.
func (w *testCell) addRelay(from, to string) {
	name := from + ">" + to
	r := &relay.Relay{Listener: w.network.Listen(name), Dial: w.network.DialerTo(to)}
	w.relays[name] = r
	w.wg.Go(func() { _ = r.Run(w.ctx) })
}

// dialFrom returns the dial function of a process, which connects through the relays
// of that process.
func (w *testCell) dialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, _, _ := strings.Cut(address, ":")
		return w.network.Dial(ctx, network, from+">"+to)
	}
}

func (w *testCell) startReplica(name string) {
	ctx, stop := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.stopFuncs[name] = stop
	w.mu.Unlock()
	l := w.network.Listen(name)
	r := w.replicas[name]
	w.wg.Go(func() { r.serve(ctx, l) })
}

// setLeader makes the named replica the leader.
func (w *testCell) setLeader(name string) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.leader = name
}

func (w *testCell) startEntry(name string) {
	ctx, stop := context.WithCancel(w.ctx)
	abort := make(chan struct{})
	callers := &trackedListener{Listener: w.network.Listen(name + "-callers")}
	backends := &trackedListener{Listener: w.network.Listen(name + "-backends")}
	operators := &trackedListener{Listener: w.network.Listen(name + "-operators")}
	platform := &trackedListener{Listener: w.network.Listen(name + "-platform")}
	var replicas []control.Replica
	for _, c := range replicaNames {
		replicas = append(replicas, control.Replica{Name: c, Address: c + ":1"})
	}
	e := &entry.Entry{
		Cell: "test", Name: name, CallerListener: callers, BackendListener: backends, OperatorListener: operators, PlatformListener: platform, ControlReplicas: replicas, Dial: w.dialFrom(name), MaxPendingRequests: w.maxPending,
		EnrolmentDigests: []backend.Digest{key.Digest(enrolment)}, Log: logr.Discard(), Abort: abort,
		ShutdownDelay: time.Second, DrainTimeout: 5 * time.Second, MaxConnectionAge: connectionAge,
	}
	var once sync.Once
	run := &entryRun{entry: e, stop: stop, kill: func() {
		once.Do(func() { close(abort) })
		callers.closeAll()
		backends.closeAll()
		operators.closeAll()
		platform.closeAll()
		stop()
	}}
	w.mu.Lock()
	w.entries[name] = run
	w.mu.Unlock()
	w.wg.Go(func() { _ = e.Run(ctx) })
}

func (w *testCell) startServer(name string) {
	ctx, stop := context.WithCancel(w.ctx)
	s := &server.Server{Name: name, Secret: enrolment, Recorder: w.taskRecord}
	for _, e := range entryNames {
		s.EntryClients = append(s.EntryClients, server.NewEntryClient(e+"-backends:1", nil, w.dialFrom(name)))
	}
	w.mu.Lock()
	w.servers[name], w.stopFuncs[name] = s, stop
	w.mu.Unlock()
	w.wg.Go(func() {
		_ = s.Run(ctx)
		for _, e := range s.EntryClients {
			e.CloseIdle()
		}
	})
}

// retryingClient is a caller or an operator. It retries each call at the next entry
// until it gets a final reply.
type retryingClient struct {
	cell            *testCell
	key             string
	callerClients   []v1.CallerClient
	operatorClients []v1.OperatorClient
	closeIdle       func()
}

func (w *testCell) newClient(key string) *retryingClient {
	from := "caller"
	if key == w.operatorKey {
		from = "operator"
	}
	transport := &http.Transport{DialContext: w.dialFrom(from)}
	c := &retryingClient{cell: w, key: key, closeIdle: transport.CloseIdleConnections}
	for _, e := range entryNames {
		httpClient := &http.Client{Transport: transport}
		c.callerClients = append(c.callerClients, v1.NewCallerClient(httpClient, "http://"+e+"-callers:1"))
		c.operatorClients = append(c.operatorClients, v1.NewOperatorClient(httpClient, "http://"+e+"-operators:1"))
	}
	return c
}

// callUntilFinal makes a call with a timeout and repeats it at the next entry until
// isFinal accepts the reply.
func callUntilFinal[Req, Rep any](c *retryingClient, firstEntry int, call func(i int, ctx context.Context, r *connect.Request[Req]) (*connect.Response[Rep], error), msg *Req, isFinal func(*Rep) bool) *Rep {
	for i := firstEntry; ; i++ {
		ctx, cancel := context.WithTimeout(c.cell.ctx, 1500*time.Millisecond)
		req := connect.NewRequest(msg)
		req.Header().Set("Authorization", "Bearer "+c.key)
		reply, err := call(i%len(entryNames), ctx, req)
		cancel()
		if c.cell.ctx.Err() != nil {
			var zero Rep
			return &zero
		}
		if err == nil && isFinal(reply.Msg) {
			return reply.Msg
		}
		if err != nil {
			c.closeIdle()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// isTransient reports whether a status asks the client to retry.
func isTransient(s *v1.Status) bool {
	switch code.Code(s.GetCode()) {
	case code.LeaderTimeout, code.NoLeader, code.ShuttingDown, code.ControlUnreachable, code.Overloaded, code.Internal:
		return true
	}
	return false
}

func (c *retryingClient) submit(firstEntry int, spec *v1.Spec) *v1.Accepted {
	reply := callUntilFinal(c, firstEntry, func(i int, ctx context.Context, r *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
		return c.callerClients[i].Submit(ctx, r)
	}, &v1.SubmitRequest{Jobs: []*v1.Spec{spec}}, func(m *v1.SubmitReply) bool { return !isTransient(m.GetJobs()[0].GetStatus()) })
	if len(reply.GetJobs()) == 0 {
		return &v1.Accepted{}
	}
	return reply.GetJobs()[0]
}

// wait fetches the complete answer of a job, each chunk from a different entry.
func (c *retryingClient) wait(firstEntry int, id string) (*v1.WaitReply, []byte) {
	var parts answer.Assembler
	for chunk := uint32(0); ; {
		reply := callUntilFinal(c, firstEntry+int(chunk), func(i int, ctx context.Context, r *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
			return c.callerClients[i].Wait(ctx, r)
		}, &v1.WaitRequest{Id: id, Chunk: chunk, Patience: 1000}, func(m *v1.WaitReply) bool {
			return !isTransient(m.GetStatus()) && (m.GetOutcome() >= v1.Outcome_OUTCOME_DONE || m.GetStatus().GetCode() != 0)
		})
		if reply.GetOutcome() != v1.Outcome_OUTCOME_DONE || reply.GetChunk() == nil {
			return reply, nil
		}
		if err := parts.Add(reply.GetChunk()); err != nil {
			return reply, []byte(err.Error())
		}
		data, ok, err := parts.Assemble()
		if err != nil {
			return reply, []byte(err.Error())
		}
		if ok {
			return reply, data
		}
		chunk++
	}
}

func (c *retryingClient) cancel(firstEntry int, id string) {
	callUntilFinal(c, firstEntry, func(i int, ctx context.Context, r *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelReply], error) {
		return c.callerClients[i].Cancel(ctx, r)
	}, &v1.CancelRequest{Ids: []string{id}}, func(m *v1.CancelReply) bool { return !isTransient(m.GetStatus()) })
}

func (c *retryingClient) change(firstEntry int, req *v1.ChangeRequest) *v1.ChangeReply {
	return callUntilFinal(c, firstEntry, func(i int, ctx context.Context, r *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
		return c.operatorClients[i].Change(ctx, r)
	}, req, func(m *v1.ChangeReply) bool { return !isTransient(m.GetStatus()) })
}

func newSpec(id string, once bool, input []byte) *v1.Spec {
	return &v1.Spec{Id: id, Kind: v1.Kind_KIND_BATCH, Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 10, Slots: 1}, Once: once, Input: input}
}

// expectedAnswer returns the answer of a job with the given input and answer size.
func expectedAnswer(input []byte, size int) []byte {
	if size > 0 {
		return server.AnswerPattern(size)
	}
	return input
}

// runJob submits one job and checks its answer. It returns a description of the
// problem, or "" if the answer is correct.
func (c *retryingClient) runJob(firstEntry int, id string, wish server.TaskScript) string {
	input := wish.Input()
	c.submit(firstEntry, newSpec(id, false, input))
	reply, data := c.wait(firstEntry, id)
	if reply.GetOutcome() != v1.Outcome_OUTCOME_DONE || !bytes.Equal(data, expectedAnswer(input, wish.AnswerSize)) {
		return fmt.Sprintf("%s: outcome %v, status %v, %d bytes", id, reply.GetOutcome(), reply.GetStatus(), len(data))
	}
	return ""
}
