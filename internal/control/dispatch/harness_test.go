package dispatch_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// commitTime is how long a commit takes in these tests.
const commitTime = 5 * time.Millisecond

// members is the group of these tests.
var members = group.MembershipChanged{Self: "a/1", Members: []quorum.Member{{ID: "a/1", Address: "a"}}}

// host is a control thread with a ledger and no replicas: what is decided is
// committed a little later.
type host struct {
	t         *testing.T
	d         *dispatch.Dispatcher
	begin     time.Time
	posts     chan func()
	done      chan struct{}
	ledger    *flows.Ledger
	committed *record.FlowsRecord
	effects   []effect
	index     int
	// sure is the index up to which all is committed.
	sure  int
	leads bool
	term  uint64
	// slow is how long the control thread takes to decide on starts.
	slow time.Duration
}

type effect struct {
	index int
	run   func()
}

func (h *host) ApplyCommand(f *record.Flow) *code.Error {
	if f.GetStart() != nil {
		time.Sleep(h.slow)
	}
	err := h.ledger.Apply(h.LedgerTime(), f)
	if err != nil {
		return err
	}
	h.index++
	at, term, record := h.index, h.term, h.ledger.Record()
	time.AfterFunc(commitTime, func() {
		h.Post(func() {
			if h.term == term {
				h.commit(at, record)
			}
		})
	})
	return nil
}

func (h *host) commit(at int, record *record.FlowsRecord) {
	if !h.leads || at < h.sure {
		return // a later one was committed with it
	}
	h.committed, h.sure = record, at
	for len(h.effects) > 0 && h.effects[0].index <= at {
		run := h.effects[0].run
		h.effects = h.effects[1:]
		run()
	}
}

func (h *host) AfterCommit(fn func()) {
	if len(h.effects) == 0 && h.committedAll() {
		h.effects = append(h.effects, effect{h.index, fn})
		go h.Post(func() { h.commit(h.sure, h.committed) })
		return
	}
	h.effects = append(h.effects, effect{h.index, fn})
}

func (h *host) committedAll() bool {
	return h.index == 0 || h.committed.GetDigest() == h.ledger.Digest()
}

func (h *host) AfterLeadershipProof(_ time.Duration, fn func()) { go h.Post(fn) }
func (h *host) Leads() bool                                     { return h.leads }
func (h *host) Flows() *flows.Ledger                            { return h.ledger }
func (h *host) LedgerTime() time.Duration                       { return time.Duration(time.Now().UnixNano()) }
func (h *host) DiskFull() bool                                  { return false }
func (h *host) Members() group.MembershipChanged                { return members }
func (h *host) ChangeMember(quorum.Member, bool)                {}
func (h *host) HasZone(zone string) bool                        { return zone == "x" || zone == "y" }
func (h *host) YieldProcessor()                                 {}
func (h *host) IsSynced(string) bool                            { return true }

func (h *host) Post(fn func()) bool {
	select {
	case h.posts <- fn:
		return true
	case <-h.done:
		return false
	}
}

func (h *host) now() time.Duration { return time.Since(h.begin) + time.Hour }

// run is the control thread.
func (h *host) run() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-h.done:
			return
		case fn := <-h.posts:
			fn()
		case <-tick.C:
			if h.leads {
				h.d.Tick(h.now())
			}
		}
		if h.leads {
			h.d.BeforePropose()
		}
	}
}

// do runs fn on the control thread and returns when it has run.
func (h *host) do(fn func()) {
	ran := make(chan struct{})
	h.Post(func() { fn(); close(ran) })
	<-ran
}

// world is a dispatcher with backend servers.
type world struct {
	*host
	mu      sync.Mutex
	workers map[string]*worker.Worker
	// begun counts how often each run began.
	begun map[flow.RunID]int
	twice []string
	// capacity is that of each worker.
	capacity capacity.Size
	// crashes tells whether a run takes its worker down as it begins; nil for none.
	// crashed counts the workers that went down, by the task that did it.
	crashes func(flow.RunID) bool
	crashed map[flow.TaskID]int
	// work is what runs do on a new life.
	work func(flow.RunID) (time.Duration, inner.RunEnd)
	// lives are the workers that are on their way back.
	lives sync.WaitGroup
	// down are the workers under upkeep, mostDown the most at once, and
	// interrupted counts the runs that an upkeep ended.
	down        map[string]bool
	mostDown    int
	interrupted int
	// orders are the first orders about machines, by their fencing token.
	orders map[uint64]time.Duration
	// cut tells that the leader itself reaches no worker, relays through whom it
	// last reached each.
	cut    atomic.Bool
	relays map[string]string
	// announced are the processes that were told of a leader.
	announced []string
	advise    func(r *inner.AdviseRequest) *inner.AdviseReply
	// cost is called for each call of the leader, reached tells when it last called
	// each worker itself, direct is the dispatcher's Direct.
	cost    atomic.Pointer[func()]
	reached map[string]time.Duration
	direct  func() int
}

func (w *world) Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	if cost := w.cost.Load(); cost != nil {
		(*cost)()
	}
	w.mu.Lock()
	w.reached[c.GetServer()] = w.now()
	w.mu.Unlock()
	if w.cut.Load() {
		<-ctx.Done()
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	a := w.reach(ctx, c)
	if ctx.Err() != nil {
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	return a
}

func (w *world) reach(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	w.mu.Lock()
	one := w.workers[c.GetAddress()]
	w.mu.Unlock()
	if one == nil {
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_ABSENT}
	}
	return one.Call(ctx, c)
}

func (w *world) Advise(_ context.Context, _ string, r *inner.AdviseRequest) *inner.AdviseReply {
	return w.advise(r)
}

func (w *world) Announce(_ context.Context, address string, _ *inner.Announcement) *inner.Greeting {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced = append(w.announced, address)
	return &inner.Greeting{Address: address}
}

func (w *world) Relay(ctx context.Context, address string, c *inner.ServerCall) *inner.ServerAnswer {
	w.mu.Lock()
	w.relays[c.GetServer()] = address
	w.mu.Unlock()
	return w.reach(ctx, c)
}

// StartUpkeep takes a worker down for two seconds.
func (w *world) StartUpkeep(_ context.Context, machine string, _, fence uint64) dispatch.UpkeepResult {
	id := strings.TrimPrefix(machine, "m-")
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.orders[fence]; !ok {
		w.orders[fence] = w.now()
	}
	if w.down[id] {
		return dispatch.UpkeepStarted
	}
	w.down[id] = true
	now := 0
	for _, down := range w.down {
		if down {
			now++
		}
	}
	w.mostDown = max(w.mostDown, now)
	one := w.workers[id]
	w.interrupted += len(one.Running())
	one.Crash()
	time.AfterFunc(2*time.Second, func() {
		w.place(id, one.Born+1)
		w.mu.Lock()
		w.down[id] = false
		w.mu.Unlock()
		w.announce(id, one.Born+1)
	})
	return dispatch.UpkeepStarted
}

var key = sha256.Sum256([]byte("key"))

func document() *v1.Document {
	return &v1.Document{
		Version: 1, Text: []byte("one"), Pools: []*v1.Pool{{Name: "pool"}},
		Queues:    []*v1.Queue{{Name: "queue", Host: "host", Path: "/q/", Pool: "pool", Attempts: 3, Factor: 2, Target: 1000, Timeout: 3000}},
		Customers: []*v1.Customer{{Name: "customer", Keys: [][]byte{key[:]}, Weight: 100}},
	}
}

// urgent puts a document in force by which what is submitted comes before another
// queue, and somebody waits for it.
func (w *world) urgent() {
	doc := document()
	doc.Version = 2
	doc.Queues[0].Factor, doc.Queues[0].Target = 1.5, 250
	doc.Queues = append(doc.Queues, &v1.Queue{Name: "later", Host: "host", Path: "/later/", Pool: "pool", Timeout: 3000, Priority: 1})
	if err := w.d.Put(w.t.Context(), doc); err != nil {
		w.t.Fatal(err)
	}
}

// newWorld makes a world with n workers and a document in force.
func newWorld(t *testing.T, n int) *world {
	w := &world{
		host:    &host{t: t, begin: time.Now(), posts: make(chan func(), 1024), done: make(chan struct{}), ledger: flows.New()},
		workers: map[string]*worker.Worker{}, crashed: map[flow.TaskID]int{}, begun: map[flow.RunID]int{}, down: map[string]bool{}, relays: map[string]string{}, reached: map[string]time.Duration{}, orders: map[uint64]time.Duration{},
		work:     func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Second, inner.RunEnd_RUN_END_DONE },
		capacity: capacity.Size{CPU: 4000, Memory: 4000},
	}
	w.committed = w.ledger.Record()
	go w.run()
	w.elect()
	if err := w.d.Put(t.Context(), document()); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		w.add(fmt.Sprintf("s%d", i+1), 1)
	}
	return w
}

// add starts a life of a worker and lets it report.
func (w *world) add(id string, born int64) {
	w.place(id, born)
	w.announce(id, born)
}

// place starts a life of a worker at its address.
func (w *world) place(id string, born int64) *worker.Worker {
	one := &worker.Worker{ID: id, Born: born, StopTime: 50 * time.Millisecond}
	one.Work = w.work
	one.Started = func(r flow.RunID) { w.started(id, r) }
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id] = one
	return one
}

// announce reports until the report is acknowledged.
func (w *world) announce(id string, born int64) {
	for {
		err := w.report(id, born, false)
		if err == nil {
			return
		}
		if err.Code != code.MembershipChangePending {
			w.t.Error(err)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// lasting lets every run last, on the lives of workers to come as well.
func (w *world) lasting() {
	w.work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 0, inner.RunEnd_RUN_END_UNSPECIFIED }
	w.change(func(_ string, one *worker.Worker) { one.Work = w.work })
}

// change changes all workers.
func (w *world) change(fn func(id string, one *worker.Worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, one := range w.workers {
		one.Change(func(one *worker.Worker) { fn(id, one) })
	}
}

// busy returns the workers that run something.
func (w *world) busy() map[string]*worker.Worker {
	w.mu.Lock()
	all := maps.Clone(w.workers)
	w.mu.Unlock()
	maps.DeleteFunc(all, func(_ string, one *worker.Worker) bool { return len(one.Running()) == 0 })
	return all
}

// began returns the runs that began, and how often.
func (w *world) began() map[flow.RunID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.begun)
}

func (w *world) report(id string, born int64, leaving bool) *code.Error {
	size := &v1.Size{Cpu: w.capacity.CPU, Memory: w.capacity.Memory}
	return w.d.Report(w.t.Context(), dispatch.Report{FlowServer: &record.FlowServer{
		Id: id, Born: born, Address: id, Zone: zoneOf(id), Pool: "pool", Machine: "m-" + id, Capacity: size, Leaving: leaving,
	}, Remaining: 2000})
}

// zoneOf returns the zone of a worker: half of them are in each.
func zoneOf(id string) string {
	if n := id[len(id)-1]; n%2 == 1 {
		return "x"
	}
	return "y"
}

// started notes a run that begins, and one of its task that runs elsewhere.
func (w *world) started(id string, r flow.RunID) {
	// The worker is locked while it tells, so the others are asked beside it.
	go w.compare(id, r)
	if w.crashes != nil && w.crashes(r) {
		time.AfterFunc(10*time.Millisecond, func() { w.crash(id, &r.TaskID) })
	}
}

// crash takes a worker down, which is back under another name after three seconds.
func (w *world) crash(id string, by *flow.TaskID) {
	w.mu.Lock()
	one := w.workers[id]
	if by != nil {
		w.crashed[*by]++
	}
	w.mu.Unlock()
	one.Crash()
	w.lives.Go(func() {
		select {
		case <-w.done:
		case <-time.After(3 * time.Second):
			w.add("r"+id, one.Born+1)
		}
	})
}

func (w *world) compare(id string, r flow.RunID) {
	w.mu.Lock()
	w.begun[r]++
	others := maps.Clone(w.workers)
	w.mu.Unlock()
	for other, one := range others {
		if other == id {
			continue
		}
		func() {
			for _, x := range one.Running() {
				if x.TaskID == r.TaskID {
					w.mu.Lock()
					w.twice = append(w.twice, fmt.Sprintf("%s on %s and %s on %s", r, id, x, other))
					w.mu.Unlock()
				}
			}
		}()
	}
}

// elect makes a new leader of what is committed.
func (w *world) elect() {
	w.do(func() {
		if w.d != nil {
			w.leads = false
			w.d.OnDeposed()
		}
		l, err := flows.Restore(w.committed)
		if err != nil {
			w.t.Error(err)
			return
		}
		w.ledger, w.effects, w.index = l, nil, w.sure
		w.term++
		w.leads = true
		w.d = dispatch.New()
		w.d.Host, w.d.Cell, w.d.Now, w.d.Backends, w.d.Helpers = w.host, "cell", w.now, w, w
		w.d.Machines, w.d.MaxDirectServers = w, w.direct
		w.d.OnElected(w.term, w.now())
	})
}

func (w *world) ask(verb inner.FlowVerb, id string, steps ...*v1.FlowStep) *inner.FlowAnswer {
	a := &inner.FlowAsk{Verb: verb, Host: "host", Path: "/q/" + id, Key: key[:]}
	if verb == inner.FlowVerb_FLOW_VERB_SUBMIT {
		a.Spec = &v1.FlowSpec{Id: id, Steps: steps}
	}
	return w.d.Ask(w.t.Context(), a)
}

func (w *world) submit(id string, steps ...*v1.FlowStep) {
	w.t.Helper()
	if rep := w.ask(inner.FlowVerb_FLOW_VERB_SUBMIT, id, steps...); rep.GetCode() != 0 {
		w.t.Fatalf("%s: %v", id, rep)
	}
}

func (w *world) state(id string) v1.FlowState {
	return w.ask(inner.FlowVerb_FLOW_VERB_STATE, id).GetState()
}

// await waits until a flow is in a state.
func (w *world) await(id string, want v1.FlowState, within time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		got := w.state(id)
		if got == want {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("flow %s is %v after %v, want %v", id, got, within, want)
		}
	}
}

// check tells what no fault may break.
func (w *world) check() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, what := range w.twice {
		w.t.Error("in two places: " + what)
	}
	for r, n := range w.begun {
		if n > 1 {
			w.t.Errorf("%s began %d times", r, n)
		}
	}
}

// end stops everything.
func (w *world) end() {
	w.do(func() { w.leads = false; w.d.OnDeposed() })
	close(w.done)
	w.lives.Wait()
	w.check()
}

func step(count uint32, cpu int64) *v1.FlowStep {
	return &v1.FlowStep{Count: count, Size: &v1.Size{Cpu: cpu, Memory: 100}, Runtime: 1000}
}

func gangOf(count uint32, cpu int64) *v1.FlowStep {
	s := step(count, cpu)
	s.Gang = true
	return s
}
