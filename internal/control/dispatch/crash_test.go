package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
	"gypsumreel/internal/ledger/flows"
)

// maxCrashesPerTask is the number of servers that one task may crash: three, and two more
// through starts that were sent before the third crash was known.
const maxCrashesPerTask = 5

// crashServersRunning makes the first task of a flow crash every server that starts it.
func (w *testCluster) crashServersRunning(id string) {
	w.runAndWait(func() {
		w.crashesWorker = func(r flow.RunID) bool { return r.Flow == id && r.Index == 0 }
	})
}

// checkCrashCounts checks the number of servers that each task crashed.
func (w *testCluster) checkCrashCounts(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashCounts) == 0 {
		t.Error("no server crashed, want at least one")
	}
	for id, n := range w.crashCounts {
		if n > maxCrashesPerTask {
			t.Errorf("task %v crashed %d servers, want at most %d", id, n, maxCrashesPerTask)
		}
	}
}

// Guards against a task that crashes each server that starts it and thereby takes down
// server after server with all their other runs.
func TestTaskThatCrashesServersFailsItsFlow(t *testing.T) {
	lasting := newStep(1, 1000)
	lasting.Lasting = true
	for name, s := range map[string]*v1.FlowStep{"single": newStep(3, 1000), "gang": newGangStep(6, 1000), "lasting": lasting} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, 16, func(t *testing.T, w *testCluster) {
				w.crashServersRunning("a")
				for i := range 8 {
					w.submit(fmt.Sprint("b", i), newStep(4, 500))
				}
				w.submit("a", s)
				w.awaitState("a", stateFailed, 20*time.Second)
				for i := range 8 {
					w.awaitState(fmt.Sprint("b", i), stateDone, 20*time.Second)
				}
				w.checkCrashCounts(t)
			})
		})
	}
}

// Guards against a task that crashes the only server and is never given up, because the server is
// always one that has just started.
func TestTaskThatCrashesTheOnlyServerFailsItsFlow(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.crashServersRunning("a")
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateFailed, 30*time.Second)
		w.checkCrashCounts(t)
	})
}

// Guards against a new leader that restarts the crash count of a task at zero.
func TestCrashesAreCountedAcrossLeaders(t *testing.T) {
	runWithCluster(t, 16, func(t *testing.T, w *testCluster) {
		w.crashServersRunning("a")
		w.submit("a", newStep(1, 1000))
		for range 20 {
			time.Sleep(700 * time.Millisecond)
			w.electNewLeader()
		}
		w.awaitState("a", stateFailed, 10*time.Second)
		w.checkCrashCounts(t)
	})
}

// Guards against failing healthy flows because the servers that run them crash repeatedly
// for other reasons.
func TestHealthyWorkSurvivesServerCrashes(t *testing.T) {
	runWithCluster(t, 12, func(_ *testing.T, w *testCluster) {
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.RunOutcome = func(flow.RunID) (time.Duration, inner.RunEnd) {
				return 800 * time.Millisecond, inner.RunEnd_RUN_END_DONE
			}
		})
		w.restarts.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-w.stopped:
					return
				case <-time.After(400 * time.Millisecond):
				}
				w.crashNextServer(i)
			}
		})
		for i := range 40 {
			w.submit(fmt.Sprint("b", i), newStep(3, 500))
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 40 {
			w.awaitState(fmt.Sprint("b", i), stateDone, 20*time.Second)
		}
	})
}

// Guards against failing healthy flows because servers crashed to which their starts were sent and
// on which they never began. Each time the leader is lost before it knows of the crash, so the next
// one finds several runs of which it only knows that they were placed.
func TestStartsThatNeverArriveAreNoCrashes(t *testing.T) {
	const crashCount = flows.MaxConsecutiveCrashes + 1
	runWithCluster(t, 2*crashCount, func(t *testing.T, w *testCluster) {
		orderedOn := w.loseStarts()
		w.submit("a", newStep(1, 500))
		w.submit("b", newStep(1, 500))
		for range crashCount {
			var server string
			select {
			case server = <-orderedOn:
			case <-time.After(20 * time.Second):
				t.Fatalf("no start is sent any more, flow a is %v", w.flowState("a"))
			}
			w.mu.Lock()
			backend := w.workers[server]
			w.mu.Unlock()
			time.AfterFunc(time.Millisecond, backend.Crash)
			w.changeLeaderAfter(500 * time.Millisecond)
			for len(orderedOn) > 0 {
				<-orderedOn
			}
		}
		w.changeWorkers(func(_ string, backend *worker.Worker) { backend.Fault = nil })
		w.awaitState("a", stateDone, 20*time.Second)
		w.awaitState("b", stateDone, 20*time.Second)
	})
}

// Guards against failing a sound flow because the only server that has room for it crashes again
// and again by itself: of the crashes that count, one came after the run had ended unlisted, two
// before the start arrived, and one under the task.
func TestServerInACrashLoopDoesNotFailAHealthyFlow(t *testing.T) {
	runWithCluster(t, 0, func(_ *testing.T, w *testCluster) {
		w.runOutcome = func(flow.RunID) (time.Duration, inner.RunEnd) {
			return 500 * time.Millisecond, inner.RunEnd_RUN_END_DONE
		}
		w.submit("a", newStep(1, 500))
		for incarnation := int64(1); incarnation <= 2*flows.MaxConsecutiveCrashes; incarnation++ {
			crashed := make(chan struct{})
			backend := w.newWorker("s1", incarnation)
			crash := sync.OnceFunc(func() { backend.Crash(); close(crashed) })
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				switch number := c.GetStart().GetRun().GetNumber(); {
				case incarnation == 1 && c.GetHold().GetWait() > 0:
					return worker.Fault{LoseReply: true}
				case number == 2 || number == 3:
					time.AfterFunc(time.Millisecond, crash)
					return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
				case number > 3:
					time.AfterFunc(400*time.Millisecond, crash)
				}
				return worker.Fault{}
			}
			w.serve(backend)
			w.reportUntilAccepted("s1", incarnation)
			time.AfterFunc(time.Second, crash)
			<-crashed
			time.Sleep(500 * time.Millisecond)
		}
		w.addWorker("s1", 2*flows.MaxConsecutiveCrashes+1)
		w.awaitState("a", stateDone, 20*time.Second)
	})
}

// Guards against giving up a lasting task, or making it wait, because its servers crash again and
// again long after its start.
func TestLastingTaskOutlivesCrashesOfItsServers(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.makeRunsLasting()
		step := newStep(1, 1000)
		step.Lasting = true
		w.submit("a", step)
		for crashes := range 2 * flows.MaxConsecutiveCrashes {
			time.Sleep(3500 * time.Millisecond) // its server has been up for 3 s at least
			busy := slices.Collect(maps.Keys(w.busyWorkers()))
			if len(busy) != 1 || w.flowState("a") != stateRunning {
				t.Fatalf("after %d crashes: task on %v, flow %v", crashes, busy, w.flowState("a"))
			}
			w.crashWorker(busy[0], nil)
			time.Sleep(3 * time.Second)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a task without a bound that crashes each server before the leader that sent its
// start knows of it: no leader sees a crash of its own.
func TestCrashUnseenByItsLeaderCounts(t *testing.T) {
	runWithCluster(t, 16, func(t *testing.T, w *testCluster) {
		w.crashServersRunning("a")
		w.submit("a", newStep(1, 1000))
		for seen := 0; seen < maxCrashesPerTask && w.flowState("a") != stateFailed; time.Sleep(5 * time.Millisecond) {
			w.mu.Lock()
			crashed := w.crashCounts[flow.TaskID{StepID: flow.StepID{Flow: "a"}}]
			w.mu.Unlock()
			if crashed > seen {
				seen = crashed
				w.changeLeaderAfter(500 * time.Millisecond)
			}
		}
		w.awaitState("a", stateFailed, 10*time.Second)
		w.checkCrashCounts(t)
	})
}

// changeLeaderAfter deposes the leader and elects the next one after the given time.
func (w *testCluster) changeLeaderAfter(pause time.Duration) {
	w.runAndWait(w.replaceDispatcher)
	time.Sleep(pause)
	w.greetFromHolders()
	w.runAndWait(w.elect)
}

// loseStarts makes all start orders get lost. It returns a channel with the servers to which they
// were sent.
func (w *testCluster) loseStarts() chan string {
	orderedOn := make(chan string, 1000)
	w.changeWorkers(func(id string, backend *worker.Worker) {
		backend.Fault = func(c *inner.ServerCall) worker.Fault {
			if c.GetStart() == nil {
				return worker.Fault{}
			}
			orderedOn <- id
			return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
		}
	})
	return orderedOn
}

// crashNextServer crashes one of four servers in round-robin order.
func (w *testCluster) crashNextServer(turn int) {
	w.mu.Lock()
	id := fmt.Sprint("s", 1+turn%4)
	for w.workers["r"+id] != nil {
		id = "r" + id
	}
	w.mu.Unlock()
	w.crashWorker(id, nil)
}
