package dispatch_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

// restartDelay is the time for which a worker in these tests is down between two incarnations.
const restartDelay = 300 * time.Millisecond

// longUptime is long enough that the clock of a worker tells its incarnation from the next one.
const longUptime = time.Minute

// restart ends a worker silently and starts its next incarnation under the same id and address.
func (w *testCluster) restart(id string) *worker.Worker {
	w.mu.Lock()
	former := w.workers[id]
	w.mu.Unlock()
	former.Crash()
	time.Sleep(restartDelay)
	return w.startWorker(id, former.Incarnation+1)
}

// endAfter returns the outcome of runs that are done after a time.
func endAfter(duration time.Duration) func(flow.RunID) (time.Duration, inner.RunEnd) {
	return func(flow.RunID) (time.Duration, inner.RunEnd) { return duration, inner.RunEnd_RUN_END_DONE }
}

// delayFirstStart delays the first start that any worker receives.
func (w *testCluster) delayFirstStart(delay time.Duration) {
	var isDelayed atomic.Bool
	w.changeWorkers(func(_ string, backend *worker.Worker) {
		backend.Fault = func(c *inner.ServerCall) worker.Fault {
			if c.GetStart() == nil || isDelayed.Swap(true) {
				return worker.Fault{}
			}
			return worker.Fault{Delay: delay}
		}
	})
}

// Guards against a second run of a task when the next incarnation of its server executes an earlier
// attempt of its start, before or after the first list of that incarnation.
func TestLateAttemptOfAStartInTheNextIncarnation(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before its report": 2500 * time.Millisecond, "after its report": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, 2, func(_ *testing.T, w *testCluster) {
				w.delayFirstStart(delay)
				w.submitLong("a", 8*time.Second)
				time.Sleep(2 * time.Second)
				for id := range w.busyWorkers() {
					w.restart(id)
					time.Sleep(700 * time.Millisecond)
					w.reportUntilAccepted(id, 2)
				}
				w.awaitState("a", stateDone, 40*time.Second)
			})
		})
	}
}

// Guards against placing a task again while its server, which is cut off, may still run it: a call
// for the previous incarnation has extended the lease beyond what this session granted.
func TestLeaseExtendedByACallForTheFormerIncarnation(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.putUrgentQueue()
		var held atomic.Pointer[inner.ServerCall]
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetHold() != nil && c.GetUntil() > 0 {
					held.Store(c)
				}
				return worker.Fault{}
			}
		})
		time.Sleep(longUptime)
		w.submitLong("a", 10*time.Second)
		time.Sleep(3 * time.Second)
		w.restart("s1").Call(t.Context(), held.Load())
		w.reportUntilAccepted("s1", 2)
		time.Sleep(500 * time.Millisecond)
		busy := w.busyWorkers()
		if len(busy) != 1 {
			t.Fatalf("%d busy workers, want one", len(busy))
		}
		w.addWorker("s2", 1)
		stop := w.refuseCalls(busy)
		w.awaitState("a", stateDone, 30*time.Second)
		stop()
	})
}

// Guards against placing a task again while another incarnation of its server than the known one
// may run it. Its lease is longer than the start was to grant, since its clock has started anew.
func TestStartExecutedByAnUnknownIncarnationThatIsCutOff(t *testing.T) {
	for name, uptime := range map[string]time.Duration{"clock tells": longUptime, "clock does not tell": 0} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
				w.putUrgentQueue()
				w.runOutcome = endAfter(10 * time.Second)
				time.Sleep(uptime)
				formers := []*worker.Worker{w.replaceWorker("s1"), w.replaceWorker("s2")}
				w.submit("a", newStep(1, 1000))
				time.Sleep(20 * time.Millisecond)
				busy := w.busyWorkers()
				if len(busy) != 1 {
					t.Fatalf("%d busy workers, want one", len(busy))
				}
				for _, former := range formers {
					former.Crash()
				}
				stop := w.refuseCalls(busy)
				for _, id := range []string{"s1", "s2"} {
					if busy[id] == nil {
						w.reportUntilAccepted(id, 2)
					}
				}
				w.awaitState("a", stateDone, 40*time.Second)
				stop()
			})
		})
	}
}

// replaceWorker starts the next incarnation of a worker and returns the former one. Calls that the
// former one has received go on there.
func (w *testCluster) replaceWorker(id string) (former *worker.Worker) {
	w.mu.Lock()
	former = w.workers[id]
	w.mu.Unlock()
	w.startWorker(id, former.Incarnation+1)
	return former
}

// Guards against running a task again that is done in the next incarnation of its server: a hold for
// the previous one must not acknowledge ends that nobody has read.
func TestEndInTheNextIncarnationIsRead(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.submitLong("a", 100*time.Millisecond)
		w.awaitState("a", stateDone, 5*time.Second)
		time.Sleep(2 * time.Second)
		w.runOutcome = endAfter(20 * time.Millisecond)
		var isRestarted atomic.Bool
		restarted := make(chan struct{})
		w.changeWorkers(func(id string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || isRestarted.Swap(true) {
					return worker.Fault{}
				}
				go func() {
					defer close(restarted)
					backend.Crash()
					w.startWorker(id, 2).Call(t.Context(), c)
					time.Sleep(1500 * time.Millisecond)
					w.reportUntilAccepted(id, 2)
				}()
				return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
			}
		})
		w.submit("b", newStep(1, 1000))
		time.Sleep(time.Second)
		<-restarted
		w.checkNoneRanAgain("b")
	})
}

// Guards against an overcommitted server: a run that a late start has left there uses room that the
// ledger counts as free, until it has stopped.
func TestServerWithAStrayRunTakesNoTasks(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		var fence atomic.Uint64
		var backend *worker.Worker
		w.changeWorkers(func(_ string, b *worker.Worker) {
			backend, b.StopDuration, b.RunOutcome = b, 2*time.Second, endAfter(time.Minute)
			b.Fault = func(c *inner.ServerCall) worker.Fault { fence.Store(c.GetFence()); return worker.Fault{} }
		})
		time.Sleep(2 * time.Second)
		stray := flow.RunID{TaskID: flow.TaskID{StepID: flow.StepID{Flow: "stray"}}, Number: 1}
		start := &inner.ServerCall_Start{Start: &inner.StartRun{Run: stray.Message()}}
		backend.Call(t.Context(), &inner.ServerCall{Fence: fence.Load(), Until: 1 << 40, What: start})
		time.Sleep(1100 * time.Millisecond) // the next list has it
		w.submit("a", newStep(1, 1000))
		for len(backend.Running()) > 0 {
			if len(backend.Running()) > 1 {
				t.Fatalf("the server runs %v", backend.Running())
			}
			if backend.Running()[0] != stray {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.awaitState("a", stateRunning, 5*time.Second)
	})
}
