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

const enrolment = "enrolment"

// connectionAge is short, so that runs see connections that reach it.
const connectionAge = 20 * time.Second

var (
	entryNames   = []string{"e1", "e2"}
	replicaNames = []string{"c1", "c2"}
	serverNames  = []string{"s1", "s2"}
)

// world is a cell in memory with a relay on each link: from each entry to each
// replica, and from each backend server and the caller to each entry.
type world struct {
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	memory   *relay.MemoryNetwork
	cell     *cell
	replicas map[string]*replica
	entries  map[string]*process
	servers  map[string]*server.Server
	stops    map[string]context.CancelFunc
	relays   map[string]*relay.Relay
	record   *server.Recorder
	limit    int
	team     string
	operator string
	// step is told of each step; injected is when the fault came.
	step     func(string)
	injected atomic.Pointer[time.Time]

	mu    sync.Mutex
	notes map[string][]string
}

// end stops a replica or a backend server at once.
func (w *world) end(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops[name]()
}

func (w *world) backend(name string) *server.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[name]
}

// process returns the present run of an entry.
func (w *world) process(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[name]
}

// process is one run of an entry.
type process struct {
	entry *entry.Entry
	stop  context.CancelFunc
	kill  func()
}

// trackedListener closes what it accepted when the process is killed.
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

func (l *trackedListener) kill() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func newWorld(limit int) *world {
	w := &world{
		memory: &relay.MemoryNetwork{}, cell: newCell(), replicas: map[string]*replica{}, entries: map[string]*process{},
		servers: map[string]*server.Server{}, stops: map[string]context.CancelFunc{}, relays: map[string]*relay.Relay{},
		record: &server.Recorder{}, limit: limit, notes: map[string][]string{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.team = w.cell.grant("team-key", "quarry", false)
	w.operator = w.cell.grant("operator-key", "", true)
	w.cell.leader = replicaNames[0]
	for _, name := range replicaNames {
		w.replicas[name] = &replica{cell: w.cell, name: name}
		w.startReplica(name)
	}
	for _, e := range entryNames {
		for _, c := range replicaNames {
			w.link(e, c)
		}
		w.link("caller", e+"-callers")
		w.link("operator", e+"-operators")
		w.link("probe", e+"-platform")
		for _, s := range serverNames {
			w.link(s, e+"-backends")
		}
		w.startEntry(e)
	}
	for _, s := range serverNames {
		w.startServer(s)
	}
	return w
}

func (w *world) close() {
	w.cancel()
	for _, r := range w.replicas {
		r.gate.open()
	}
	w.wg.Wait()
}

// link puts a relay between two processes.
func (w *world) link(from, to string) {
	name := from + ">" + to
	r := &relay.Relay{Listener: w.memory.Listen(name), Dial: w.memory.DialerTo(to)}
	w.relays[name] = r
	w.wg.Go(func() { _ = r.Run(w.ctx) })
}

// dial returns the dial function of a process: everything goes through its own relays.
func (w *world) dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, _, _ := strings.Cut(address, ":")
		return w.memory.Dial(ctx, network, from+">"+to)
	}
}

func (w *world) startReplica(name string) {
	ctx, stop := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.stops[name] = stop
	w.mu.Unlock()
	l := w.memory.Listen(name)
	r := w.replicas[name]
	w.wg.Go(func() { r.serve(ctx, l) })
}

// lead makes another replica the leader.
func (w *world) lead(name string) {
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	w.cell.leader = name
}

func (w *world) startEntry(name string) {
	ctx, stop := context.WithCancel(w.ctx)
	abort := make(chan struct{})
	callers := &trackedListener{Listener: w.memory.Listen(name + "-callers")}
	backends := &trackedListener{Listener: w.memory.Listen(name + "-backends")}
	operators := &trackedListener{Listener: w.memory.Listen(name + "-operators")}
	platform := &trackedListener{Listener: w.memory.Listen(name + "-platform")}
	var replicas []control.Replica
	for _, c := range replicaNames {
		replicas = append(replicas, control.Replica{Name: c, Address: c + ":1"})
	}
	e := &entry.Entry{
		Cell: "test", Name: name, CallerListener: callers, BackendListener: backends, OperatorListener: operators, PlatformListener: platform, ControlReplicas: replicas, Dial: w.dial(name), MaxPendingRequests: w.limit,
		EnrolmentDigests: []backend.Digest{key.Digest(enrolment)}, Log: logr.Discard(), Abort: abort,
		ShutdownDelay: time.Second, DrainTimeout: 5 * time.Second, MaxConnectionAge: connectionAge,
	}
	var once sync.Once
	p := &process{entry: e, stop: stop, kill: func() {
		once.Do(func() { close(abort) })
		callers.kill()
		backends.kill()
		operators.kill()
		platform.kill()
		stop()
	}}
	w.mu.Lock()
	w.entries[name] = p
	w.mu.Unlock()
	w.wg.Go(func() { _ = e.Run(ctx) })
}

func (w *world) startServer(name string) {
	ctx, stop := context.WithCancel(w.ctx)
	s := &server.Server{Name: name, Secret: enrolment, Recorder: w.record}
	for _, e := range entryNames {
		s.Entries = append(s.Entries, server.NewEntry(e+"-backends:1", nil, w.dial(name)))
	}
	w.mu.Lock()
	w.servers[name], w.stops[name] = s, stop
	w.mu.Unlock()
	w.wg.Go(func() {
		_ = s.Run(ctx)
		for _, e := range s.Entries {
			e.CloseIdle()
		}
	})
}

// client is the caller, or the operator: it asks each entry in turn until it
// gets an answer that stands.
type client struct {
	world     *world
	key       string
	callers   []v1.CallerClient
	operators []v1.OperatorClient
	reset     func()
}

func (w *world) client(key string) *client {
	from := "caller"
	if key == w.operator {
		from = "operator"
	}
	wire := &http.Transport{DialContext: w.dial(from)}
	c := &client{world: w, key: key, reset: wire.CloseIdleConnections}
	for _, e := range entryNames {
		web := &http.Client{Transport: wire}
		c.callers = append(c.callers, v1.NewCallerClient(web, "http://"+e+"-callers:1"))
		c.operators = append(c.operators, v1.NewOperatorClient(web, "http://"+e+"-operators:1"))
	}
	return c
}

// ask makes one call with a deadline, and again at the next entry until final says so.
func ask[Req, Rep any](c *client, at int, call func(i int, ctx context.Context, r *connect.Request[Req]) (*connect.Response[Rep], error), msg *Req, final func(*Rep) bool) *Rep {
	for i := at; ; i++ {
		ctx, cancel := context.WithTimeout(c.world.ctx, 1500*time.Millisecond)
		req := connect.NewRequest(msg)
		req.Header().Set("Authorization", "Bearer "+c.key)
		reply, err := call(i%len(entryNames), ctx, req)
		cancel()
		if c.world.ctx.Err() != nil {
			var none Rep
			return &none
		}
		if err == nil && final(reply.Msg) {
			return reply.Msg
		}
		if err != nil {
			c.reset()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// transient tells whether a status only says to come back.
func transient(s *v1.Status) bool {
	switch code.Code(s.GetCode()) {
	case code.LeaderTimeout, code.NoLeader, code.ShuttingDown, code.ControlUnreachable, code.Overloaded, code.Internal:
		return true
	}
	return false
}

func (c *client) submit(at int, spec *v1.Spec) *v1.Accepted {
	reply := ask(c, at, func(i int, ctx context.Context, r *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
		return c.callers[i].Submit(ctx, r)
	}, &v1.SubmitRequest{Jobs: []*v1.Spec{spec}}, func(m *v1.SubmitReply) bool { return !transient(m.GetJobs()[0].GetStatus()) })
	if len(reply.GetJobs()) == 0 {
		return &v1.Accepted{}
	}
	return reply.GetJobs()[0]
}

// wait collects the whole answer, each chunk at another entry.
func (c *client) wait(at int, id string) (*v1.WaitReply, []byte) {
	var parts answer.Assembler
	for n := uint32(0); ; {
		reply := ask(c, at+int(n), func(i int, ctx context.Context, r *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
			return c.callers[i].Wait(ctx, r)
		}, &v1.WaitRequest{Id: id, Chunk: n, Patience: 1000}, func(m *v1.WaitReply) bool {
			return !transient(m.GetStatus()) && (m.GetOutcome() >= v1.Outcome_OUTCOME_DONE || m.GetStatus().GetCode() != 0)
		})
		if reply.GetOutcome() != v1.Outcome_OUTCOME_DONE || reply.GetChunk() == nil {
			return reply, nil
		}
		if err := parts.Add(reply.GetChunk()); err != nil {
			return reply, []byte(err.Error())
		}
		whole, ok, err := parts.Assemble()
		if err != nil {
			return reply, []byte(err.Error())
		}
		if ok {
			return reply, whole
		}
		n++
	}
}

func (c *client) cancel(at int, id string) {
	ask(c, at, func(i int, ctx context.Context, r *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelReply], error) {
		return c.callers[i].Cancel(ctx, r)
	}, &v1.CancelRequest{Ids: []string{id}}, func(m *v1.CancelReply) bool { return !transient(m.GetStatus()) })
}

func (c *client) change(at int, req *v1.ChangeRequest) *v1.ChangeReply {
	return ask(c, at, func(i int, ctx context.Context, r *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
		return c.operators[i].Change(ctx, r)
	}, req, func(m *v1.ChangeReply) bool { return !transient(m.GetStatus()) })
}

func spec(id string, once bool, input []byte) *v1.Spec {
	return &v1.Spec{Id: id, Kind: v1.Kind_KIND_BATCH, Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 10, Slots: 1}, Once: once, Input: input}
}

// wanted returns the answer that a job's input asks for.
func wanted(input []byte, size int) []byte {
	if size > 0 {
		return server.Pattern(size)
	}
	return input
}

// runs submits one job and checks its answer; it returns what went wrong.
func (c *client) runs(at int, id string, wish server.TaskScript) string {
	in := wish.Input()
	c.submit(at, spec(id, false, in))
	reply, whole := c.wait(at, id)
	if reply.GetOutcome() != v1.Outcome_OUTCOME_DONE || !bytes.Equal(whole, wanted(in, wish.AnswerSize)) {
		return fmt.Sprintf("%s: outcome %v, status %v, %d bytes", id, reply.GetOutcome(), reply.GetStatus(), len(whole))
	}
	return ""
}
