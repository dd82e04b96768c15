package dispatch_test

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/edge/holder"
	"gypsumreel/internal/fake/worker"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// commitDelay is the simulated duration of a commit.
const commitDelay = 5 * time.Millisecond

// exchangeLatency is the simulated time on the network of an exchange with a holder.
const exchangeLatency = time.Millisecond

// testMembers is the membership of the replication group in these tests.
var testMembers = group.MembershipChanged{Self: "a/1", Members: []quorum.Member{{ID: "a/1", Address: "a"}}}

// fakeHost is a control thread with a ledger and without replicas. Applied commands are
// committed after commitDelay.
type fakeHost struct {
	t               *testing.T
	dispatcher      *dispatch.Dispatcher
	startedAt       time.Time
	postedFuncs     chan func()
	stopped         chan struct{}
	ledger          *flows.Ledger
	committedRecord *record.FlowsRecord
	commitCallbacks []commitCallback
	lastIndex       int
	// committedIndex is the highest committed index.
	committedIndex int
	isLeader       bool
	// proofExpired reports whether this replica no longer knows that it still leads.
	proofExpired atomic.Bool
	term         uint64
	// startDecisionTime is the simulated time that the control thread spends on applying a
	// start command.
	startDecisionTime time.Duration
	// clockStoppedAt is the time at which the ledger's clock stands still, or 0.
	clockStoppedAt atomic.Int64
	// yieldCount counts how often the control thread let other work run.
	yieldCount int
}

type commitCallback struct {
	index int
	run   func()
}

func (h *fakeHost) ApplyCommand(f *record.Flow) *code.Error {
	if f.GetStart() != nil {
		time.Sleep(h.startDecisionTime)
	}
	err := h.ledger.Apply(h.LedgerTime(), f)
	if err != nil {
		return err
	}
	h.lastIndex++
	index, term, record := h.lastIndex, h.term, h.ledger.Record()
	time.AfterFunc(commitDelay, func() {
		h.Post(func() {
			if h.term == term {
				h.commit(index, record)
			}
		})
	})
	return nil
}

func (h *fakeHost) commit(index int, record *record.FlowsRecord) {
	if !h.isLeader || index < h.committedIndex {
		return // a later index is already committed
	}
	h.committedRecord, h.committedIndex = record, index
	for len(h.commitCallbacks) > 0 && h.commitCallbacks[0].index <= index {
		run := h.commitCallbacks[0].run
		h.commitCallbacks = h.commitCallbacks[1:]
		run()
	}
}

func (h *fakeHost) AfterCommit(fn func()) {
	if len(h.commitCallbacks) == 0 && h.isFullyCommitted() {
		h.commitCallbacks = append(h.commitCallbacks, commitCallback{h.lastIndex, fn})
		go h.Post(func() { h.commit(h.committedIndex, h.committedRecord) })
		return
	}
	h.commitCallbacks = append(h.commitCallbacks, commitCallback{h.lastIndex, fn})
}

func (h *fakeHost) isFullyCommitted() bool {
	return h.lastIndex == 0 || h.committedRecord.GetDigest() == h.ledger.Digest()
}

func (h *fakeHost) AfterLeadershipProof(_ time.Duration, fn func()) { go h.Post(fn) }
func (h *fakeHost) Leads() bool                                     { return h.isLeader && !h.proofExpired.Load() }
func (h *fakeHost) Flows() *flows.Ledger                            { return h.ledger }
func (h *fakeHost) LedgerTime() time.Duration {
	return time.Duration(cmp.Or(h.clockStoppedAt.Load(), time.Now().UnixNano()))
}
func (h *fakeHost) DiskFull() bool                   { return false }
func (h *fakeHost) Members() group.MembershipChanged { return testMembers }
func (h *fakeHost) ChangeMember(quorum.Member, bool) {}
func (h *fakeHost) HasZone(zone string) bool         { return zone == "x" || zone == "y" }
func (h *fakeHost) LedgerIsCommitted() bool          { return true }
func (h *fakeHost) YieldProcessor()                  { h.yieldCount++ }
func (h *fakeHost) SetSubject(fmt.Stringer)          {}
func (h *fakeHost) IsSynced(string) bool             { return true }

func (h *fakeHost) Post(fn func()) bool {
	select {
	case h.postedFuncs <- fn:
		return true
	case <-h.stopped:
		return false
	}
}

func (h *fakeHost) PostContext(ctx context.Context, fn func()) bool {
	select {
	case h.postedFuncs <- fn:
		return true
	case <-ctx.Done():
		return false
	case <-h.stopped:
		return false
	}
}

func (h *fakeHost) now() time.Duration { return time.Since(h.startedAt) + time.Hour }

// run is the loop of the control thread.
func (h *fakeHost) run() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-h.stopped:
			return
		case fn := <-h.postedFuncs:
			fn()
		case <-tick.C:
			if h.isLeader {
				h.dispatcher.Tick(h.now())
			}
		}
		if h.isLeader {
			h.dispatcher.BeforePropose()
		}
	}
}

// runAndWait runs fn on the control thread and waits until it has returned.
func (h *fakeHost) runAndWait(fn func()) {
	finished := make(chan struct{})
	h.Post(func() { fn(); close(finished) })
	<-finished
}

// testCluster is a dispatcher with simulated backend servers (workers).
type testCluster struct {
	*fakeHost
	mu      sync.Mutex
	workers map[string]*worker.Worker
	// startCounts counts the starts of each run. duplicateRuns describes tasks that ran on
	// two workers at once.
	startCounts   map[flow.RunID]int
	duplicateRuns []string
	// capacity is the capacity of each worker.
	capacity capacity.Size
	// crashesWorker reports whether the start of a run crashes its worker; nil for never.
	// crashCounts counts the crashed workers by the task that caused the crash.
	crashesWorker func(flow.RunID) bool
	crashCounts   map[flow.TaskID]int
	// runOutcome returns the duration and the end of the runs on workers that start later.
	runOutcome func(flow.RunID) (time.Duration, inner.RunEnd)
	// restarts waits for the crashed workers that are restarting.
	restarts sync.WaitGroup
	// isStopped is true once no further worker restarts.
	isStopped bool
	// underMaintenance holds the workers under maintenance, maxUnderMaintenance is the
	// highest number of them at the same time, and interruptedRuns counts the runs that a
	// maintenance interrupted.
	underMaintenance map[string]bool
	// begunMaintenance holds the machines and waves whose maintenance has begun.
	begunMaintenance    map[string]bool
	maxUnderMaintenance int
	interruptedRuns     int
	// firstMaintenanceOrders holds the time of the first maintenance order for each
	// fencing token.
	firstMaintenanceOrders map[uint64]time.Duration
	// leaderCutOff makes all direct calls of the leader time out. lastRelay holds the
	// helper through which each worker was last called.
	leaderCutOff atomic.Bool
	lastRelay    map[string]string
	// refusesReplicas makes all calls that the leader and holders make themselves fail with a
	// refused connection.
	refusesReplicas atomic.Bool
	// ownerIsSilent makes the platform that owns the machines answer no reading.
	ownerIsSilent atomic.Bool
	// listDelay is the time that it takes for a reading, in nanoseconds. listsAllStopped makes it
	// list all machines as stopped.
	listDelay       atomic.Int64
	listsAllStopped atomic.Bool
	// refusesMaintenance makes the platform refuse orders of maintenance.
	refusesMaintenance atomic.Bool
	// announcedTo lists the processes that received an announcement of a leader.
	announcedTo   []string
	adviserAnswer func(r *inner.AdviseRequest) *inner.AdviseReply
	// callDelay is called for each direct call of the leader. lastDirectCall holds the time
	// of the last direct call to each worker. maxDirectServers is passed to the dispatcher.
	callDelay        atomic.Pointer[func()]
	lastDirectCall   map[string]time.Duration
	maxDirectServers func() int
	// holders holds the processes that hold workers, by address, and heldCalls counts the calls
	// that they made to workers. lostHolders holds those that do not answer. exchanges counts
	// the exchanges of the leader.
	holders     map[string]*holder.Server
	lostHolders map[string]bool
	heldCalls   atomic.Int64
	exchanges   atomic.Int64
	// directCalls counts the calls of the leader to workers.
	directCalls atomic.Int64
	// directServers is passed to the dispatcher.
	directServers int
	// options are the options of the dispatchers that are elected later.
	options dispatch.Options
	// advice is the adviser's configuration in the documents of putRate.
	advice *v1.Advice
	// metrics is passed to the dispatchers that are elected later.
	metrics *metrics.Set
}

func (w *testCluster) Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	w.directCalls.Add(1)
	if delay := w.callDelay.Load(); delay != nil {
		(*delay)()
	}
	w.mu.Lock()
	w.lastDirectCall[c.GetServer()] = w.now()
	w.mu.Unlock()
	if w.leaderCutOff.Load() {
		<-ctx.Done()
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	if w.refusesReplicas.Load() {
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_ABSENT}
	}
	a := w.callWorker(ctx, c)
	if ctx.Err() != nil {
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	return a
}

// Exchange makes an exchange with one of the holders.
func (w *testCluster) Exchange(ctx context.Context, address string, r *inner.HolderRequest) *inner.HolderReply {
	w.exchanges.Add(1)
	w.mu.Lock()
	h, lost := w.holders[address], w.lostHolders[address]
	w.mu.Unlock()
	if h == nil || lost {
		return nil
	}
	time.Sleep(exchangeLatency)
	reply, err := h.Exchange(ctx, r)
	w.mu.Lock()
	lost = w.lostHolders[address]
	w.mu.Unlock()
	if err != nil || lost {
		return nil
	}
	return reply
}

// holderBackends makes the calls of holders.
type holderBackends struct{ *testCluster }

func (b holderBackends) Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	b.heldCalls.Add(1)
	if b.refusesReplicas.Load() {
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_ABSENT}
	}
	a := b.callWorker(ctx, c)
	if ctx.Err() != nil {
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	return a
}

// addHolders starts processes that hold workers, the first in zone x, the next in zone y, and
// so on. The leader gives all workers to them.
func (w *testCluster) addHolders(n int) {
	w.mu.Lock()
	for i := range n {
		w.holders[fmt.Sprintf("h%d", i+1)] = &holder.Server{Backends: holderBackends{w}, Cell: "cell"}
	}
	w.mu.Unlock()
	w.greetFromHolders()
}

// greetFromHolders registers the holders with the leader.
func (w *testCluster) greetFromHolders() {
	w.mu.Lock()
	addresses := slices.Sorted(maps.Keys(w.holders))
	w.mu.Unlock()
	for _, address := range addresses {
		w.dispatcher.RegisterProcess(w.t.Context(), &inner.Greeting{Address: address, Replica: address + "/1", Zone: zoneOf(address), Holds: 10_000})
	}
}

// setHolderLost makes a holder stop answering the leader, or answer again.
func (w *testCluster) setHolderLost(address string, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lostHolders[address] = lost
}

func (w *testCluster) callWorker(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	w.mu.Lock()
	backend := w.workers[c.GetAddress()]
	w.mu.Unlock()
	if backend == nil {
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_ABSENT}
	}
	return backend.Call(ctx, c)
}

func (w *testCluster) Advise(_ context.Context, _ string, r *inner.AdviseRequest) *inner.AdviseReply {
	return w.adviserAnswer(r)
}

func (w *testCluster) Announce(_ context.Context, address string, _ *inner.Announcement) *inner.Greeting {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announcedTo = append(w.announcedTo, address)
	return &inner.Greeting{Address: address}
}

func (w *testCluster) Relay(ctx context.Context, address string, c *inner.ServerCall) *inner.ServerAnswer {
	w.mu.Lock()
	w.lastRelay[c.GetServer()] = address
	w.mu.Unlock()
	return w.callWorker(ctx, c)
}

// States lists the machines of the workers, unless ownerIsSilent is set.
func (w *testCluster) States(ctx context.Context, machines []string) (map[string]dispatch.MachineState, error) {
	if w.ownerIsSilent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(w.listDelay.Load()))
	w.mu.Lock()
	defer w.mu.Unlock()
	states := map[string]dispatch.MachineState{}
	for id, backend := range w.workers {
		machine := machineOf(id)
		if !slices.Contains(machines, machine) {
			continue
		}
		if !backend.Crashed() && !w.listsAllStopped.Load() {
			states[machine] = dispatch.MachineState{Server: id}
		} else if _, ok := states[machine]; !ok {
			states[machine] = dispatch.MachineState{Stopped: true}
		}
	}
	return states, nil
}

// StartMaintenance takes a worker down for two seconds.
func (w *testCluster) StartMaintenance(_ context.Context, machine string, wave, fence uint64) dispatch.MaintenanceResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.firstMaintenanceOrders[fence]; !ok {
		w.firstMaintenanceOrders[fence] = w.now()
	}
	begun := fmt.Sprintf("%s in wave %d", machine, wave)
	if w.begunMaintenance[begun] {
		return dispatch.MaintenanceStarted
	}
	id := ""
	for candidate, backend := range w.workers {
		if machineOf(candidate) == machine && !backend.Crashed() {
			id = candidate
		}
	}
	if id == "" || w.refusesMaintenance.Load() {
		return dispatch.MaintenanceBusy
	}
	w.begunMaintenance[begun], w.underMaintenance[id] = true, true
	downCount := 0
	for _, down := range w.underMaintenance {
		if down {
			downCount++
		}
	}
	w.maxUnderMaintenance = max(w.maxUnderMaintenance, downCount)
	backend := w.workers[id]
	w.interruptedRuns += len(backend.Running())
	backend.Crash()
	time.AfterFunc(2*time.Second, func() {
		w.startWorker(id, backend.Incarnation+1)
		w.mu.Lock()
		w.underMaintenance[id] = false
		w.mu.Unlock()
		w.reportUntilAccepted(id, backend.Incarnation+1)
	})
	return dispatch.MaintenanceStarted
}

// hasBegunMaintenance reports whether the maintenance of a machine in a wave has begun.
func (w *testCluster) hasBegunMaintenance(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begunMaintenance[name]
}

var keyHash = sha256.Sum256([]byte("key"))

func testDocument() *v1.Document {
	return &v1.Document{
		Version: 1, Text: []byte("one"), Pools: []*v1.Pool{{Name: "pool"}},
		Queues:    []*v1.Queue{{Name: "queue", Host: "host", Path: "/q/", Pool: "pool", Attempts: 3, Factor: 2, Target: 1000, Timeout: 3000}},
		Customers: []*v1.Customer{{Name: "customer", Keys: [][]byte{keyHash[:]}, Weight: 100}},
	}
}

// putUrgentQueue activates a document in which the flows of the test's queue are urgent,
// because another queue has a lower priority.
func (w *testCluster) putUrgentQueue() {
	doc := testDocument()
	doc.Version = 2
	doc.Queues[0].Factor, doc.Queues[0].Target = 1.5, 250
	doc.Queues = append(doc.Queues, &v1.Queue{Name: "later", Host: "host", Path: "/later/", Pool: "pool", Timeout: 3000, Priority: 1})
	if err := w.dispatcher.PutDocument(w.t.Context(), doc); err != nil {
		w.t.Fatal(err)
	}
}

// newTestCluster returns a cluster with n workers and an active document.
func newTestCluster(t *testing.T, n int) *testCluster {
	w := &testCluster{
		fakeHost: &fakeHost{t: t, startedAt: time.Now(), postedFuncs: make(chan func(), 1024), stopped: make(chan struct{}), ledger: flows.New()},
		workers:  map[string]*worker.Worker{}, holders: map[string]*holder.Server{}, lostHolders: map[string]bool{}, crashCounts: map[flow.TaskID]int{}, startCounts: map[flow.RunID]int{}, underMaintenance: map[string]bool{}, begunMaintenance: map[string]bool{}, lastRelay: map[string]string{}, lastDirectCall: map[string]time.Duration{}, firstMaintenanceOrders: map[uint64]time.Duration{},
		runOutcome: func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Second, inner.RunEnd_RUN_END_DONE },
		capacity:   capacity.Size{CPU: 4000, Memory: 4000},
	}
	w.committedRecord = w.ledger.Record()
	go w.run()
	w.electNewLeader()
	if err := w.dispatcher.PutDocument(t.Context(), testDocument()); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		w.addWorker(fmt.Sprintf("s%d", i+1), 1)
	}
	return w
}

// addWorker starts an incarnation of a worker and reports it to the leader.
func (w *testCluster) addWorker(id string, incarnation int64) {
	w.startWorker(id, incarnation)
	w.reportUntilAccepted(id, incarnation)
}

// startWorker starts an incarnation of a worker at its address.
func (w *testCluster) startWorker(id string, incarnation int64) *worker.Worker {
	backend := w.newWorker(id, incarnation)
	w.serve(backend)
	return backend
}

// newWorker returns a worker that is not called yet, so that its fields may be set.
func (w *testCluster) newWorker(id string, incarnation int64) *worker.Worker {
	backend := &worker.Worker{ID: id, Incarnation: incarnation, StopDuration: 50 * time.Millisecond}
	backend.RunOutcome = w.runOutcome
	backend.OnStart = func(r flow.RunID) { w.recordStart(id, r) }
	backend.Current = func() *worker.Worker {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.workers[id]
	}
	return backend
}

// serve passes the calls for a server to the worker.
func (w *testCluster) serve(backend *worker.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[backend.ID] = backend
}

// reportUntilAccepted sends a worker's report until the leader acknowledges it.
func (w *testCluster) reportUntilAccepted(id string, incarnation int64) {
	for {
		err := w.sendReport(id, incarnation, false)
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

// makeRunsLasting makes every run last until it is stopped, also on workers that start
// later.
func (w *testCluster) makeRunsLasting() {
	w.runOutcome = func(flow.RunID) (time.Duration, inner.RunEnd) { return 0, inner.RunEnd_RUN_END_UNSPECIFIED }
	w.changeWorkers(func(_ string, backend *worker.Worker) { backend.RunOutcome = w.runOutcome })
}

// changeWorkers applies fn to all workers.
func (w *testCluster) changeWorkers(fn func(id string, backend *worker.Worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, backend := range w.workers {
		backend.Update(func(backend *worker.Worker) { fn(id, backend) })
	}
}

// busyWorkers returns the workers with at least one run.
func (w *testCluster) busyWorkers() map[string]*worker.Worker {
	w.mu.Lock()
	workers := maps.Clone(w.workers)
	w.mu.Unlock()
	maps.DeleteFunc(workers, func(_ string, backend *worker.Worker) bool { return len(backend.Running()) == 0 })
	return workers
}

// runStarts returns how often each run was started.
func (w *testCluster) runStarts() map[flow.RunID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.startCounts)
}

func (w *testCluster) sendReport(id string, incarnation int64, shuttingDown bool) *code.Error {
	return w.dispatcher.AcceptReport(w.t.Context(), w.report(id, incarnation, shuttingDown))
}

// report returns the report of a worker.
func (w *testCluster) report(id string, incarnation int64, shuttingDown bool) dispatch.Report {
	size := &v1.Size{Cpu: w.capacity.CPU, Memory: w.capacity.Memory}
	return dispatch.Report{FlowServer: &record.FlowServer{
		Id: id, Born: incarnation, Address: id, Zone: zoneOf(id), Pool: "pool", Machine: machineOf(id), Capacity: size, Leaving: shuttingDown,
	}, Remaining: 2000}
}

// machineOf returns the machine of a worker. A worker that restarts under another name stays on
// its machine.
func machineOf(id string) string { return "m-" + strings.TrimLeft(id, "r") }

// zoneOf returns the zone of a worker. Each zone holds half of the workers.
func zoneOf(id string) string {
	if n := id[len(id)-1]; n%2 == 1 {
		return "x"
	}
	return "y"
}

// recordStart records the start of a run and checks whether its task also runs on another
// worker.
func (w *testCluster) recordStart(id string, r flow.RunID) {
	// The worker holds its lock during this callback, so the check runs on another
	// goroutine.
	go w.checkDuplicates(id, r)
	if w.crashesWorker != nil && w.crashesWorker(r) {
		time.AfterFunc(10*time.Millisecond, func() { w.crashWorker(id, &r.TaskID) })
	}
}

// crashWorker crashes a worker. It is restarted under another name after three seconds.
func (w *testCluster) crashWorker(id string, crashingTask *flow.TaskID) {
	w.mu.Lock()
	backend := w.workers[id]
	if crashingTask != nil {
		w.crashCounts[*crashingTask]++
	}
	w.mu.Unlock()
	backend.Crash()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return
	}
	w.restarts.Go(func() {
		select {
		case <-w.stopped:
		case <-time.After(3 * time.Second):
			w.addWorker("r"+id, backend.Incarnation+1)
		}
	})
}

func (w *testCluster) checkDuplicates(id string, r flow.RunID) {
	w.mu.Lock()
	w.startCounts[r]++
	others := maps.Clone(w.workers)
	w.mu.Unlock()
	for other, backend := range others {
		if other == id {
			continue
		}
		func() {
			for _, otherRun := range backend.Running() {
				if otherRun.TaskID == r.TaskID {
					w.mu.Lock()
					w.duplicateRuns = append(w.duplicateRuns, fmt.Sprintf("%s on %s and %s on %s", r, id, otherRun, other))
					w.mu.Unlock()
				}
			}
		}()
	}
}

// electNewLeader replaces the dispatcher by one that starts from the committed ledger.
func (w *testCluster) electNewLeader() {
	if len(w.holders) == 0 {
		w.runAndWait(func() { w.replaceDispatcher(); w.elect() })
		return
	}
	w.runAndWait(w.replaceDispatcher)
	w.greetFromHolders() // as they greet replicas that do not lead
	w.runAndWait(w.elect)
}

// replaceDispatcher deposes the leader and creates the dispatcher of the next one.
func (w *testCluster) replaceDispatcher() {
	if w.dispatcher != nil {
		w.isLeader = false
		w.dispatcher.OnDeposed()
	}
	w.dispatcher = dispatch.New()
	w.dispatcher.Host, w.dispatcher.Cell, w.dispatcher.Now, w.dispatcher.Backends, w.dispatcher.Helpers = w.fakeHost, "cell", w.now, w, w
	w.dispatcher.Machines, w.dispatcher.MaxDirectServers, w.dispatcher.Options = w, w.maxDirectServers, w.options
	w.dispatcher.Metrics = w.metrics
	w.dispatcher.Holders, w.dispatcher.DirectServers = w, w.directServers
}

// elect makes the dispatcher lead with the committed ledger.
func (w *testCluster) elect() {
	ledger, err := flows.Restore(w.committedRecord)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.ledger, w.commitCallbacks, w.lastIndex = ledger, nil, w.committedIndex
	w.term++
	w.isLeader = true
	w.dispatcher.OnElected(w.term, w.now())
}

func (w *testCluster) askFlow(verb inner.FlowVerb, id string, steps ...*v1.FlowStep) *inner.FlowAnswer {
	a := &inner.FlowAsk{Verb: verb, Host: "host", Path: "/q/" + id, Key: keyHash[:]}
	if verb == inner.FlowVerb_FLOW_VERB_SUBMIT {
		a.Spec = &v1.FlowSpec{Id: id, Steps: steps}
	}
	return w.dispatcher.Ask(w.t.Context(), a)
}

func (w *testCluster) submit(id string, steps ...*v1.FlowStep) {
	w.t.Helper()
	if answer := w.askFlow(inner.FlowVerb_FLOW_VERB_SUBMIT, id, steps...); answer.GetCode() != 0 {
		w.t.Fatalf("submit of flow %s returned %v", id, answer)
	}
}

func (w *testCluster) flowState(id string) v1.FlowState {
	return w.askFlow(inner.FlowVerb_FLOW_VERB_STATE, id).GetState()
}

// awaitState waits until a flow reaches the wanted state.
func (w *testCluster) awaitState(id string, want v1.FlowState, within time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		got := w.flowState(id)
		if got == want {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("flow %s is %v after %v, want %v", id, got, within, want)
		}
	}
}

// checkInvariants checks that no task ran twice at the same time and that no run was
// started twice.
func (w *testCluster) checkInvariants() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, duplicate := range w.duplicateRuns {
		w.t.Error("task ran twice at the same time: " + duplicate)
	}
	for r, n := range w.startCounts {
		if n > 1 {
			w.t.Errorf("run %s was started %d times", r, n)
		}
	}
}

// shutDown stops the cluster and checks the invariants.
func (w *testCluster) shutDown() {
	w.runAndWait(func() { w.isLeader = false; w.dispatcher.OnDeposed() })
	w.mu.Lock()
	w.isStopped = true
	w.mu.Unlock()
	close(w.stopped)
	for _, h := range w.holders {
		h.Close()
	}
	w.restarts.Wait()
	time.Sleep(2 * exchangeLatency) // exchanges under way
	w.checkInvariants()
}

func newStep(count uint32, cpu int64) *v1.FlowStep {
	return &v1.FlowStep{Count: count, Size: &v1.Size{Cpu: cpu, Memory: 100}, Runtime: 1000}
}

func newGangStep(count uint32, cpu int64) *v1.FlowStep {
	s := newStep(count, cpu)
	s.Gang = true
	return s
}
