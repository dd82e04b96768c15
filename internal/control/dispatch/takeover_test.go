package dispatch_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
	"gypsumreel/internal/replica/quorum"
)

// processor runs queued functions one after the other, like a process with one core.
type processor struct {
	queue chan func()
}

// limitLeaderProcessor makes the calls of the leader share one simulated processor until
// end is called.
func limitLeaderProcessor(w *testCluster) (p *processor, end func()) {
	p = &processor{queue: make(chan func(), 100_000)}
	go func() {
		for fn := range p.queue {
			fn()
		}
	}()
	delay := func() { p.work(takeoverCallCost) }
	w.callDelay.Store(&delay)
	return p, func() {
		w.callDelay.Store(nil)
		time.Sleep(3 * time.Second)
		close(p.queue)
	}
}

// work queues d of simulated CPU time and returns when it is done.
func (p *processor) work(d time.Duration) {
	done := make(chan struct{})
	p.queue <- func() { time.Sleep(d); close(done) }
	<-done
}

// With these values the leader needs most of its processor for the holds of its servers.
const (
	takeoverServers  = 400
	takeoverCallCost = 2 * time.Millisecond
)

// Guards against a takeover that calls all servers at once. The leader's heartbeats would
// wait behind the calls until it is deposed, and the same would happen to the next leader.
func TestTakeoverDoesNotDelayHeartbeats(t *testing.T) {
	runWithDirectCalls(t, takeoverServers, func(t *testing.T, w *testCluster) {
		p, end := limitLeaderProcessor(w)
		defer end()
		w.electNewLeader()
		longestWait := time.Duration(0)
		for range 40 {
			startedAt := time.Now()
			p.work(0)
			longestWait = max(longestWait, time.Since(startedAt))
			time.Sleep(50 * time.Millisecond)
		}
		if longestWait > quorum.DefaultElectionTimeout/2 {
			t.Errorf("a heartbeat waited %v for the processor", longestWait)
		}
	})
}

// Guards against delaying placements after an election until all servers have sent their
// run lists. The servers that have answered are sufficient.
func TestPlacementStartsBeforeAllServersAnswered(t *testing.T) {
	runWithDirectCalls(t, takeoverServers, func(t *testing.T, w *testCluster) {
		_, end := limitLeaderProcessor(w)
		defer end()
		w.electNewLeader()
		startedAt := time.Now()
		w.submit("a", newStep(4, 1000))
		for len(w.runStarts()) < 4 && time.Since(startedAt) < 3*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if elapsed := time.Since(startedAt); elapsed > 500*time.Millisecond {
			t.Errorf("the first tasks started %v after the election", elapsed)
		}
	})
}

// Guards against exceeding the connection limit of the process. The servers beyond the
// limit are called through helpers, and none of them becomes unresponsive.
func TestServersBeyondConnectionLimitAreRelayed(t *testing.T) {
	runWithDirectCalls(t, 30, func(t *testing.T, w *testCluster) {
		w.maxDirectServers = func() int { return 10 }
		w.electNewLeader()
		for range 10 {
			for i := range 5 {
				w.dispatcher.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
			}
			time.Sleep(time.Second)
		}
		directCount := 0
		w.mu.Lock()
		for _, calledAt := range w.lastDirectCall {
			if w.now()-calledAt < 3*time.Second {
				directCount++
			}
		}
		if len(w.lastRelay) < 20 || directCount > 10 {
			t.Errorf("%d servers are called through helpers, %d directly", len(w.lastRelay), directCount)
		}
		w.mu.Unlock()
		for i := range 30 {
			w.submit(fmt.Sprint("f", i), newStep(1, 4000))
		}
		for i := range 30 {
			w.awaitState(fmt.Sprint("f", i), stateDone, 5*time.Second)
		}
	})
}

// Guards against a new leader that ignores the processes that greeted it as a follower. It
// would have no helper to ask the adviser, and callers would wait for the next greeting.
func TestNewLeaderAnnouncesItself(t *testing.T) {
	runWithDirectCalls(t, 1, func(t *testing.T, w *testCluster) {
		w.runAndWait(func() { w.isLeader = false; w.dispatcher.OnDeposed() })
		for _, address := range []string{"entry1", "entry2"} {
			w.dispatcher.RegisterProcess(t.Context(), &inner.Greeting{Address: address})
		}
		w.runAndWait(func() {
			w.term++
			w.isLeader = true
			w.dispatcher.OnElected(w.term, w.now())
		})
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		slices.Sort(w.announcedTo)
		if diff := cmp.Diff([]string{"entry1", "entry2"}, w.announcedTo); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against running a task twice after a leader change. The previous leader's start is
// in transit when the new leader receives a run list without that run.
func TestDelayedStartOfPreviousLeaderIsNotExecuted(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.runOutcome = func(flow.RunID) (time.Duration, inner.RunEnd) { return 5 * time.Second, inner.RunEnd_RUN_END_DONE }
		var starts atomic.Int32
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.RunOutcome = w.runOutcome
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && starts.Add(1) <= 2 {
					return worker.Fault{Delay: 300 * time.Millisecond}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", newStep(2, 3000))
		time.Sleep(20 * time.Millisecond)
		w.electNewLeader()
		startedAt := time.Now()
		for len(w.runStarts()) < 2 && time.Since(startedAt) < 3*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		if elapsed := time.Since(startedAt); elapsed > 150*time.Millisecond {
			t.Errorf("the tasks started %v after the election", elapsed)
		}
		w.awaitState("a", stateDone, 15*time.Second)
	})
}

// Guards against a task that runs twice because a leader without contact to the others keeps
// the leases of its servers alive. The next leader counts them as expired.
func TestLeaderWithoutProofDoesNotRenewLeases(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.makeRunsLasting()
		w.submit("a", newStep(2, 3000))
		time.Sleep(2 * time.Second)
		if len(w.busyWorkers()) != 2 {
			t.Fatalf("%d workers are busy, want 2", len(w.busyWorkers()))
		}
		w.proofExpired.Store(true)
		time.Sleep(dispatch.DefaultMaxLease + time.Second)
		if busy := len(w.busyWorkers()); busy > 0 {
			t.Errorf("%d workers still have a lease after the longest lease has passed", busy)
		}
	})
}

// Guards against a series of elections over a large ledger: a new leader of which no part of the
// takeover ends is taken for one that makes no progress.
func TestTakeoverOfALargeLedgerYields(t *testing.T) {
	const flows = 2000
	runWithDirectCalls(t, 0, func(t *testing.T, w *testCluster) {
		w.putManyCustomers(10)
		w.acceptFlows(flows, 10)
		w.runAndWait(func() {
			w.dispatcher.OnDeposed()
			before := w.yieldCount
			w.term++
			w.dispatcher.OnElected(w.term, w.now())
			if n := w.yieldCount - before; n < flows {
				t.Errorf("the takeover of %d flows yielded %d times", flows, n)
			}
		})
	})
}
