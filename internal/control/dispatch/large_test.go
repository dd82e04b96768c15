package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/policy/steps"
)

// emptyPlanner plans nothing, so that a test sees what the dispatcher does before a plan.
type emptyPlanner struct{}

func (emptyPlanner) Make(steps.View) steps.Plan { return steps.Plan{} }

// The size of a large ledger, and how often a pass over all of it yields at least.
const (
	largeFlows, largeServers = 5000, 640
	flowYields, serverYields = largeFlows / 256, largeServers / 64
	// sweepParts is the number of parts of a sweep, which yields after each.
	sweepParts = 10
)

// runWithLargeLedger runs fn on the control thread of a new leader of a large ledger.
func runWithLargeLedger(t *testing.T, fn func(w *testCluster)) {
	runWithDirectCalls(t, 0, func(_ *testing.T, w *testCluster) {
		w.putManyCustomers(10)
		w.addLargeLedger()
		w.runAndWait(func() {
			w.takeOver()
			fn(w)
		})
	})
}

// addLargeLedger adds flows and servers to the ledger, and lets no plan place anything.
func (w *testCluster) addLargeLedger() {
	w.acceptFlows(largeFlows, 10)
	w.runAndWait(func() {
		for i := range largeServers {
			server := &record.FlowServer{Id: fmt.Sprintf("s%04d", i), Born: 1, Zone: "x", Pool: "pool", Capacity: &v1.Size{Cpu: 4000}}
			if err := w.ledger.Apply(w.LedgerTime(), &record.Flow{What: &record.Flow_Server{Server: server}}); err != nil {
				w.t.Error(err)
			}
		}
		w.dispatcher.Planner = emptyPlanner{}
	})
}

// takeOver begins a term with the ledger as it is, on the control thread.
func (w *testCluster) takeOver() {
	w.dispatcher.OnDeposed()
	w.term++
	w.dispatcher.OnElected(w.term, w.now())
}

// expectYields checks how often the control thread yields within fn.
func (w *testCluster) expectYields(what string, atLeast int, fn func()) {
	w.t.Helper()
	if n := w.yieldsOf(fn); n < atLeast {
		w.t.Errorf("%s of %d flows and %d servers yielded %d times, want at least %d", what, largeFlows, largeServers, n, atLeast)
	}
}

func (w *testCluster) yieldsOf(fn func()) int {
	before := w.yieldCount
	fn()
	return w.yieldCount - before
}

// Guards against a slow leader that loses the lead: what it reads before a plan grows with the
// backlog and the servers, and nothing in it counted as progress.
func TestViewOfALargeBacklogYields(t *testing.T) {
	runWithLargeLedger(t, func(w *testCluster) {
		w.expectYields("a plan", flowYields+serverYields, w.dispatcher.BeforePropose)
	})
}

// Guards against a slow leader that loses the lead: a sweep goes over all flows once a second.
func TestSweepOfALargeLedgerYields(t *testing.T) {
	runWithLargeLedger(t, func(w *testCluster) {
		w.dispatcher.Tick(w.now()) // also reports the load, which the next sweep does not
		w.expectYields("a tick with a sweep", flowYields+serverYields+sweepParts, func() { w.dispatcher.Tick(w.now() + time.Second) })
	})
}

// limitCustomers puts a document in force in which all customers have limits, so that they can
// compete.
func (w *testCluster) limitCustomers() {
	doc := proto.Clone(w.ledger.Config().Document).(*v1.Document)
	doc.Version++
	for _, c := range doc.GetCustomers() {
		c.Limit = &v1.Size{Cpu: 1 << 40}
	}
	if err := w.ledger.Apply(w.LedgerTime(), &record.Flow{What: &record.Flow_Document{Document: doc}}); err != nil {
		w.t.Error(err)
	}
}

// Guards against a slow leader that loses the lead: while customers compete, a submission may need a
// forecast, which goes over the whole backlog.
func TestForecastOfALargeBacklogYields(t *testing.T) {
	runWithDirectCalls(t, 0, func(t *testing.T, w *testCluster) {
		w.putManyCustomers(10)
		w.addLargeLedger()
		w.runAndWait(func() {
			w.limitCustomers()
			w.dispatcher.Options.Contention = 1
			w.takeOver()
		})
		ask := submitRequest("a")
		ask.Path, ask.Key = "/q0000/a", fmt.Appendf(nil, "%032d", 0)
		var before, after int
		w.runAndWait(func() { before = w.yieldCount })
		go w.dispatcher.Ask(t.Context(), ask)
		synctest.Wait() // the submission is applied, and no time has passed for a plan
		w.runAndWait(func() { after = w.yieldCount })
		if n := after - before; n < flowYields+serverYields {
			t.Errorf("a submission with a forecast of %d flows and %d servers yielded %d times, want at least %d", largeFlows, largeServers, n, flowYields+serverYields)
		}
	})
}

// Guards against a series of elections in a cell whose customers compete: a new leader computes from
// all flows what the customers have used of their rates.
func TestTakeoverWithRatesOfALargeLedgerYields(t *testing.T) {
	runWithLargeLedger(t, func(w *testCluster) {
		w.limitCustomers()
		without := w.yieldsOf(w.takeOver)
		w.dispatcher.Options.Contention = 1
		const customers = 6 // whose flows acceptFlows adds
		w.expectYields("a takeover", without+flowYields+customers, w.takeOver)
	})
}
