package dispatch_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

// refuseCalls makes all calls to the given workers fail with a refused connection until the
// returned function is called. The workers and their runs continue.
func (w *testCluster) refuseCalls(workers map[string]*worker.Worker) (stop func()) {
	var stopped atomic.Bool
	for _, backend := range workers {
		backend.Update(func(backend *worker.Worker) {
			backend.Fault = func(*inner.ServerCall) worker.Fault {
				if stopped.Load() {
					return worker.Fault{}
				}
				return worker.Fault{Verdict: inner.Verdict_VERDICT_ABSENT}
			}
		})
	}
	return func() { stopped.Store(true) }
}

// submitLong submits a flow of one task that runs for the given duration.
func (w *testCluster) submitLong(id string, duration time.Duration) {
	w.t.Helper()
	w.runOutcome = func(flow.RunID) (time.Duration, inner.RunEnd) { return duration, inner.RunEnd_RUN_END_DONE }
	w.changeWorkers(func(_ string, backend *worker.Worker) { backend.RunOutcome = w.runOutcome })
	step := newStep(1, 1000)
	step.Runtime = uint64(duration / time.Millisecond)
	w.submit(id, step)
}

// Guards against a second run of a task whose server is behind a cut that refuses connections.
func TestRunBehindRefusedConnectionsIsNotStartedAgain(t *testing.T) {
	for name, cutTime := range map[string]time.Duration{"shorter than the lease": 3 * time.Second, "longer than the lease": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, 2, func(_ *testing.T, w *testCluster) {
				w.submitLong("a", 8*time.Second)
				time.Sleep(500 * time.Millisecond)
				stop := w.refuseCalls(w.busyWorkers())
				time.Sleep(cutTime)
				stop()
				w.awaitState("a", stateDone, 30*time.Second)
			})
		})
	}
}

// Guards against a second run of a task whose server is behind a cut that refuses connections
// when the leader changes during the cut.
func TestLeaderElectedDuringACutStartsNothingAgain(t *testing.T) {
	runWithCluster(t, 2, func(_ *testing.T, w *testCluster) {
		w.submitLong("a", 8*time.Second)
		time.Sleep(500 * time.Millisecond)
		stop := w.refuseCalls(w.busyWorkers())
		time.Sleep(time.Second)
		w.electNewLeader()
		time.Sleep(2 * time.Second)
		stop()
		w.awaitState("a", stateDone, 30*time.Second)
	})
}

// Guards against losing the runs of a server that refuses the connections of the replicas and
// that other processes reach.
func TestRefusedServerIsCalledThroughOtherProcesses(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.submitLong("a", 15*time.Second)
		time.Sleep(500 * time.Millisecond)
		w.refusesReplicas.Store(true)
		for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			w.dispatcher.RegisterProcess(t.Context(), &inner.Greeting{Address: "e1"})
			w.greetFromHolders()
		}
		w.awaitState("a", stateDone, time.Second)
		if starts := w.runStarts(); len(starts) != 1 {
			t.Errorf("runs started: %v, want one", starts)
		}
	})
}

// Guards against a second run of a task after its server crashed, before anything shows that.
func TestTaskOfRefusingServerWaitsForItsLease(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.ownerIsSilent.Store(true)
		w.submitLong("a", 10*time.Second)
		time.Sleep(2 * time.Second)
		for _, backend := range w.busyWorkers() {
			backend.Crash()
		}
		time.Sleep(4 * time.Second)
		if starts := w.runStarts(); len(starts) != 1 {
			t.Errorf("runs started before the end of the lease: %v, want one", starts)
		}
		w.awaitState("a", stateDone, 20*time.Second)
	})
}

// Guards against waiting for the end of the lease when another server runs on the machine.
func TestTaskOfReplacedServerIsPlacedAgain(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.ownerIsSilent.Store(true)
		w.submitLong("a", 10*time.Second)
		time.Sleep(2 * time.Second)
		for id, backend := range w.busyWorkers() {
			backend.Crash()
			w.addWorker("r"+id, backend.Incarnation+1)
		}
		time.Sleep(time.Second)
		if starts := w.runStarts(); len(starts) != 2 {
			t.Errorf("runs started after another server answered: %v, want two", starts)
		}
		w.awaitState("a", stateDone, 20*time.Second)
	})
}

// Guards against ending the runs of a server that has answered since the list of machines was
// requested.
func TestListRequestedBeforeTheLatestAnswerEndsNothing(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.submitLong("a", 4*time.Second)
		time.Sleep(500 * time.Millisecond)
		w.listDelay.Store(int64(time.Second))
		w.listsAllStopped.Store(true)
		stop := w.refuseCalls(w.busyWorkers())
		time.Sleep(500 * time.Millisecond)
		stop()
		w.awaitState("a", stateDone, 10*time.Second)
		if starts := w.runStarts(); len(starts) != 1 {
			t.Errorf("runs started: %v, want one", starts)
		}
	})
}

// Guards against a start without an answer that the next incarnation of its server executes while
// the task runs elsewhere. That the connection was refused meanwhile does not show that the start is
// lost.
func TestRefusedStopDoesNotSettleAStart(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		var restarted atomic.Bool
		w.changeWorkers(func(id string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || restarted.Swap(true) {
					return worker.Fault{}
				}
				go func() {
					backend.Crash()
					time.Sleep(time.Second)
					next := w.startWorker(id, 2)
					next.Update(func(next *worker.Worker) {
						next.RunOutcome = func(flow.RunID) (time.Duration, inner.RunEnd) { return 5 * time.Second, inner.RunEnd_RUN_END_DONE }
					})
					next.Call(t.Context(), c)
					w.reportUntilAccepted(id, 2)
				}()
				return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
			}
		})
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateDone, 30*time.Second)
	})
}

// Guards against keeping servers that are gone for good, and against refusing one that comes back.
func TestServerWithoutRunsIsForgottenAndComesBack(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.mu.Lock()
		backend := w.workers["s1"]
		w.mu.Unlock()
		stop := w.refuseCalls(map[string]*worker.Worker{"s1": backend})
		time.Sleep(2 * time.Minute)
		w.runAndWait(func() {
			if _, known := w.ledger.Server("s1"); known {
				t.Error("server s1 is still known, want it forgotten")
			}
		})
		stop()
		w.addWorker("s1", 1)
		w.submit("a", newStep(2, 4000))
		w.awaitState("a", stateDone, 10*time.Second)
	})
}
