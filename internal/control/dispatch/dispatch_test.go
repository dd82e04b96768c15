package dispatch_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

const (
	stateRunning   = v1.FlowState_FLOW_STATE_RUNNING
	stateDone      = v1.FlowState_FLOW_STATE_DONE
	stateFailed    = v1.FlowState_FLOW_STATE_FAILED
	stateCancelled = v1.FlowState_FLOW_STATE_CANCELLED
)

// runWithCluster runs a test on virtual time.
func runWithCluster(t *testing.T, workers int, fn func(t *testing.T, w *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, workers)
		defer w.shutDown()
		fn(t, w)
	})
}

// withDependencies returns a step that waits for others.
func withDependencies(s *v1.FlowStep, steps ...uint32) *v1.FlowStep {
	s.After = steps
	return s
}

func TestStepsRunInDependencyOrder(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.submit("a", newStep(3, 1000), withDependencies(newStep(2, 2000), 0))
		startedAt := time.Now()
		w.awaitState("a", stateDone, 5*time.Second)
		if elapsed := time.Since(startedAt); elapsed < 2*time.Second {
			t.Errorf("two steps of a second each took %v", elapsed)
		}
	})
}

// A caller's flow stands still for ever. Its placement was committed, but the
// leader froze before the start left. The server lists nothing of it, and no
// start or stop was ever answered that would tell the next leader so.
func TestNextLeaderRestartsRunWhoseStartWasNeverSent(t *testing.T) {
	runWithCluster(t, 1, func(_ *testing.T, w *testCluster) {
		var reachable atomic.Bool
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && !reachable.Load() {
					return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", newStep(2, 1000))
		time.Sleep(50 * time.Millisecond)
		w.electNewLeader()
		reachable.Store(true)
		w.awaitState("a", stateDone, 5*time.Second)
	})
}

// A server starts a task and its answer is lost. Started again as another run,
// the work would be done twice.
func TestLostStartAnswerStartsTaskOnce(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			isFirst := true
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || !isFirst {
					return worker.Fault{}
				}
				isFirst = false
				return worker.Fault{Lost: true}
			}
		})
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateDone, 10*time.Second)
		if runStarts := w.runStarts(); len(runStarts) != 1 {
			t.Errorf("runs that began: %v", runStarts)
		}
	})
}

// A server starts a task and its answer is lost; a list shows that it runs. The
// start is asked for again all the same, and refused: its permit is over by now.
// Taken for a start that failed, the task would be placed elsewhere as well.
func TestRefusedRetryDoesNotEndReportedRun(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		var starts atomic.Int32
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Flow == "a" {
					return 3 * time.Second, inner.RunEnd_RUN_END_DONE
				}
				return 100 * time.Millisecond * time.Duration(r.Index+1), inner.RunEnd_RUN_END_DONE
			}
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart().GetRun().GetFlow() != "a" {
					return worker.Fault{}
				}
				switch starts.Add(1) {
				case 1:
					return worker.Fault{Lost: true}
				case 2:
					return worker.Fault{Verdict: inner.Verdict_VERDICT_PERMIT}
				}
				return worker.Fault{}
			}
		})
		w.submit("b", newStep(20, 100))
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateDone, 10*time.Second)
		if got := w.runStarts()[flow.RunID{TaskID: flow.TaskID{StepID: flow.StepID{Flow: "a"}}, Number: 2}]; got != 0 {
			t.Error("the task was started again although it ran")
		}
	})
}

// A start is held up in the network for seconds. Its task was given to another
// server meanwhile; carried out then, it would run in two places.
func TestDelayedStartIsNotExecuted(t *testing.T) {
	runWithCluster(t, 2, func(_ *testing.T, w *testCluster) {
		var starts atomic.Int32
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 8 * time.Second, inner.RunEnd_RUN_END_DONE }
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || starts.Add(1) > 2 {
					return worker.Fault{}
				}
				return worker.Fault{Late: 4 * time.Second}
			}
		})
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateDone, 20*time.Second)
	})
}

// A server is cut off with work on it and runs on. The work may be placed again
// only when its lease is over there, however slow its clock is.
func TestTaskOfUnresponsiveServerIsPlacedAfterLeaseEnd(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Rate = 0.98
			backend.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Number == 1 {
					return time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		w.submit("a", newStep(1, 1000))
		time.Sleep(500 * time.Millisecond)
		for _, backend := range w.busyWorkers() {
			backend.Change(func(backend *worker.Worker) {
				backend.Fault = func(*inner.ServerCall) worker.Fault { return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT} }
			})
		}
		w.awaitState("a", stateDone, 20*time.Second)
		if runStarts := w.runStarts(); len(runStarts) != 2 {
			t.Errorf("runs that began: %v", runStarts)
		}
	})
}

// A server is cut off with urgent work on it. Whoever waits for that is served only
// if it is placed again soon; long work elsewhere must keep its long leases, and no
// task may run in two places for that.
func TestUrgentTaskOfUnresponsiveServerMeetsDeadline(t *testing.T) {
	runWithCluster(t, 12, func(t *testing.T, w *testCluster) {
		w.runAndWait(func() { w.dispatcher.MaxLease = 10 * time.Second })
		w.putUrgentQueue()
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Rate = 0.98
			backend.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Flow == "b" {
					return time.Minute, inner.RunEnd_RUN_END_DONE
				}
				return 2 * time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		long, urgent := newStep(6, 4000), newStep(2, 1000)
		long.Runtime, urgent.Runtime = 60000, 2000
		answer := w.dispatcher.Ask(t.Context(), &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT, Host: "host", Path: "/later/b", Key: keyHash[:], Spec: &v1.FlowSpec{Id: "b", Steps: []*v1.FlowStep{long}}})
		if answer.GetCode() != 0 {
			t.Fatal(answer)
		}
		time.Sleep(5 * time.Second)
		w.submit("a", urgent)
		time.Sleep(200 * time.Millisecond)
		cutOffServers := 0
		for _, backend := range w.busyWorkers() {
			if backend.Running()[0].Flow == "a" {
				cutOffServers++
				backend.Change(func(backend *worker.Worker) {
					backend.Fault = func(*inner.ServerCall) worker.Fault { return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT} }
				})
			}
		}
		if cutOffServers == 0 {
			t.Fatal("no server runs urgent work alone")
		}
		w.awaitState("a", stateDone, 9500*time.Millisecond) // three times 1.5 x 2 + 0.25 s
	})
}

// A caller's task runs again although it had ended well. One list tells of an end;
// before that is committed a stop is answered, which asks for the list again, and the
// next one tells of another end. Acknowledged with the first, the second is forgotten
// by the server; the leader dies before it is committed, and nobody knows of it.
func TestRunEndIsNotAcknowledgedBeforeCommit(t *testing.T) {
	const runtime, otherFlows = time.Second, 10
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		var firstStartedAt atomic.Int64
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				switch {
				case r.Flow != "a":
					return time.Hour, inner.RunEnd_RUN_END_DONE
				case r.Index == 0:
					firstStartedAt.Store(time.Now().UnixNano())
					return runtime, inner.RunEnd_RUN_END_DONE
				}
				return runtime + commitDelay, inner.RunEnd_RUN_END_DONE
			}
		})
		long := newStep(1, 100)
		long.Runtime = uint64(time.Hour / time.Millisecond)
		for i := range otherFlows {
			w.submit(fmt.Sprint("b", i), long)
		}
		time.Sleep(time.Second)
		w.submit("a", newStep(2, 1000))
		time.Sleep(500 * time.Millisecond)
		sleepUntil := func(sinceStart time.Duration) {
			time.Sleep(time.Until(time.Unix(0, firstStartedAt.Load()).Add(sinceStart)))
		}
		for i := range otherFlows {
			// Its stop is answered a commit later, one each millisecond around the ends.
			sleepUntil(runtime - commitDelay + time.Duration(i)*time.Millisecond)
			go w.askFlow(inner.FlowVerb_FLOW_VERB_CANCEL, fmt.Sprint("b", i))
		}
		sleepUntil(runtime + 2*commitDelay - time.Millisecond)
		w.electNewLeader()
		w.awaitState("a", stateDone, 10*time.Second)
		if n := len(w.runStarts()); n != otherFlows+2 {
			t.Errorf("%d runs of %d tasks began: %v", n, otherFlows+2, w.runStarts())
		}
	})
}

// A server's process dies. Nobody listens at its address, so nothing runs there,
// and its work need not wait for the end of the lease.
func TestTaskOfCrashedServerIsPlacedImmediately(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.submit("a", newStep(1, 1000))
		time.Sleep(500 * time.Millisecond)
		for _, backend := range w.busyWorkers() {
			backend.Crash()
		}
		startedAt := time.Now()
		w.awaitState("a", stateDone, 10*time.Second)
		if elapsed := time.Since(startedAt); elapsed > 3*time.Second {
			t.Errorf("it took %v", elapsed)
		}
	})
}

// A server dies and starts again under its name while a start is on its way. The
// start reaches the new life, which has seen no fencing token and runs it. The
// task must not be placed elsewhere before that run is stopped.
func TestStartThatReachesNextIncarnationIsStopped(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		var restarted atomic.Bool
		w.changeWorkers(func(id string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || restarted.Swap(true) {
					return worker.Fault{}
				}
				go func() {
					backend.Crash()
					nextIncarnation := w.startWorker(id, 2)
					nextIncarnation.Change(func(nextIncarnation *worker.Worker) {
						nextIncarnation.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 5 * time.Second, inner.RunEnd_RUN_END_DONE }
					})
					nextIncarnation.Call(t.Context(), c)
					w.reportUntilAccepted(id, 2)
				}()
				return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
			}
		})
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateDone, 30*time.Second)
	})
}

// A member of a gang is refused. The others must be stopped at once and not left
// to wait for it, and then all start together again.
func TestRefusedMemberStopsItsGang(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		var refused atomic.Bool
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 2 * time.Second, inner.RunEnd_RUN_END_DONE }
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || refused.Swap(true) {
					return worker.Fault{}
				}
				return worker.Fault{Verdict: inner.Verdict_VERDICT_UNWELL}
			}
		})
		w.submit("a", newGangStep(4, 2000))
		w.awaitState("a", stateDone, 10*time.Second)
		numbers := map[uint32]int{}
		for r := range w.runStarts() {
			numbers[r.Number]++
		}
		if numbers[1] != 3 || numbers[2] != 4 {
			t.Errorf("members that began, by number of the run: %v", numbers)
		}
	})
}

// A server is gone without a word while a gang starts there. Its member is not
// known to have ended before its lease is over, which is longer than the others
// wait for it: they would hold their room in vain and end alone.
func TestGangDoesNotWaitForUnresponsiveServer(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.changeWorkers(func(id string, backend *worker.Worker) {
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Minute, inner.RunEnd_RUN_END_DONE }
			isGone := false
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if isGone = isGone || id == "s1" && c.GetStart() != nil; isGone {
					return worker.Fault{Late: time.Hour}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", newGangStep(4, 2000))
		time.Sleep(200 * time.Millisecond)
		if len(w.busyWorkers()) != 1 {
			t.Fatalf("busy servers: %v", w.busyWorkers())
		}
		time.Sleep(2500 * time.Millisecond)
		if len(w.busyWorkers()) != 0 {
			t.Error("the other members still wait")
		}
	})
}

// Something cuts the leader off from all servers, and entries still reach them.
// Relayed through one and the same entry, the calls would wait for each other.
func TestRelayedCallsUseDifferentHelpers(t *testing.T) {
	runWithCluster(t, 12, func(t *testing.T, w *testCluster) {
		greet := func() {
			for i := range 6 {
				w.dispatcher.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
			}
		}
		greet()
		w.leaderCutOff.Store(true)
		for range 8 {
			time.Sleep(500 * time.Millisecond)
			greet()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		serversByRelay := map[string]int{}
		for _, address := range w.lastRelay {
			serversByRelay[address]++
		}
		if len(w.lastRelay) != 12 || len(serversByRelay) < 3 {
			t.Errorf("servers by who relays for them: %v", serversByRelay)
		}
	})
}

// A caller cancels and is told so. Nothing of its flow may start after that, and
// what runs is stopped.
func TestCancelStopsRunningTasks(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Minute, inner.RunEnd_RUN_END_DONE }
		})
		w.submit("a", newStep(12, 1000))
		time.Sleep(200 * time.Millisecond)
		if answer := w.askFlow(inner.FlowVerb_FLOW_VERB_CANCEL, "a"); answer.GetState() != stateCancelled {
			t.Fatal(answer)
		}
		startsBefore := len(w.runStarts())
		time.Sleep(time.Second)
		for id, backend := range w.busyWorkers() {
			t.Errorf("%s still runs %v", id, backend.Running())
		}
		if len(w.runStarts()) != startsBefore {
			t.Error("something started after the cancel was told")
		}
	})
}

// A task that always fails has used up its attempts: the flow has failed, and no
// further run of it begins.
func TestFailedAttemptsAreCounted(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Index == 0 {
					return 100 * time.Millisecond, inner.RunEnd_RUN_END_FAILED
				}
				return time.Minute, inner.RunEnd_RUN_END_DONE
			}
		})
		w.submit("a", newStep(2, 1000))
		w.awaitState("a", stateFailed, 5*time.Second)
		time.Sleep(time.Second)
		if runStarts := w.runStarts(); len(runStarts) != 4 {
			t.Errorf("runs that began: %v", runStarts)
		}
	})
}

// A server says that it leaves and is acknowledged. From then on it gets nothing
// new, also from the next leader and after a late report that it is ready.
func TestLeavingServerGetsNoNewTasks(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		if err := w.sendReport("s1", 1, true); err != nil {
			t.Fatal(err)
		}
		w.electNewLeader()
		if err := w.sendReport("s1", 1, false); err != nil {
			t.Fatal(err)
		}
		w.submit("a", newStep(1, 1000))
		time.Sleep(3 * time.Second)
		if runStarts := w.runStarts(); len(runStarts) > 0 {
			t.Errorf("runs that began: %v", runStarts)
		}
	})
}

// A key is withdrawn by a new document: the next call with it is refused, and
// what it was refused for is not accepted.
func TestWithdrawnKeyIsRefusedAtOnce(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		next := testDocument()
		next.Version, next.Customers[0].Keys = 2, nil
		if err := w.dispatcher.Put(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		if answer := w.askFlow(inner.FlowVerb_FLOW_VERB_SUBMIT, "a", newStep(1, 1000)); code.Code(answer.GetCode()) != code.BadKey {
			t.Errorf("got %v", answer)
		}
	})
}

// Two operators send documents with the same or a lower number: both are told
// yes, and the one in force stays.
func TestOlderDocumentIsIgnored(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		sameVersion := testDocument()
		sameVersion.Text = []byte("other")
		if err := w.dispatcher.Put(t.Context(), sameVersion); err != nil {
			t.Fatal(err)
		}
		text, err := w.dispatcher.Read(t.Context())
		if err != nil || string(text) != "one" {
			t.Errorf("read %q, %v", text, err)
		}
		invalid := testDocument()
		invalid.Queues[0].Pool = "none"
		if err := w.dispatcher.Put(t.Context(), invalid); err == nil || err.Code != code.Malformed {
			t.Errorf("an unsound document was answered with %v", err)
		}
	})
}

// A server hangs: it takes what it is told to start, and nothing moves there. The
// caller's flow must not wait for it.
func TestHangingRunIsMoved(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		var firstStarted atomic.Bool
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) {
				if !firstStarted.Swap(true) {
					return 1000 * time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateDone, 8*time.Second)
		if runStarts := w.runStarts(); len(runStarts) != 2 {
			t.Errorf("runs that began: %v", runStarts)
		}
	})
}

// A server hangs, and on it a run that somebody waits for and that should take half a
// second. It has to end elsewhere while its end is still worth something: within
// three times what such a flow may take, here 3 s.
func TestHangingUrgentRunMeetsDeadline(t *testing.T) {
	runWithCluster(t, 2, func(_ *testing.T, w *testCluster) {
		w.putUrgentQueue()
		var firstStarted atomic.Bool
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.StopTime = 900 * time.Millisecond
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) {
				if !firstStarted.Swap(true) {
					return 1000 * time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return 500 * time.Millisecond, inner.RunEnd_RUN_END_DONE
			}
		})
		urgent := newStep(1, 1000)
		urgent.Runtime = 500
		w.submit("a", urgent)
		w.awaitState("a", stateDone, 3*time.Second)
	})
}

// A server fails all that it starts, at once, so that it always has room. A flow
// that could be done must not use up its attempts there.
func TestFailingServerIsAvoided(t *testing.T) {
	runWithCluster(t, 2, func(_ *testing.T, w *testCluster) {
		w.changeWorkers(func(id string, backend *worker.Worker) {
			if id == "s1" {
				backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) {
					return 10 * time.Millisecond, inner.RunEnd_RUN_END_FAILED
				}
			}
		})
		for _, id := range []string{"a", "b", "c", "d"} {
			w.submit(id, newStep(2, 1000))
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			w.awaitState(id, stateDone, 15*time.Second)
		}
	})
}

// Tasks that fill a server make what serves there answer too slowly. They must
// give way within seconds, and get back what does no harm.
func TestFillTasksAreThrottled(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		var tailLatency atomic.Int64
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Hour, inner.RunEnd_RUN_END_DONE }
			backend.Load = func(r flow.RunID, paces map[flow.TaskID]uint32) float64 {
				if r.Flow == "fill" {
					return 0
				}
				percent, isPaced := paces[flow.TaskID{StepID: flow.StepID{Flow: "fill"}}]
				if !isPaced {
					percent = 100
				}
				tailLatency.Store(50 + 2*int64(percent))
				return float64(tailLatency.Load())
			}
		})
		serve, fill := newStep(1, 1000), newStep(1, 3000)
		serve.Lasting, serve.Target = true, 100
		fill.Fills, fill.Lasting = true, true
		w.submit("serve", serve)
		w.submit("fill", fill)
		time.Sleep(4 * time.Second)
		if got := tailLatency.Load(); got > 100 {
			t.Errorf("the tail is still %d ms", got)
		}
		time.Sleep(10 * time.Second)
		if got := tailLatency.Load(); got > 110 || got < 60 {
			t.Errorf("the tail has come to %d ms", got)
		}
	})
}

// A server leaves soon with a long run on it. It goes on from its checkpoint
// elsewhere; left there, what it did since the last one would be lost.
func TestLeavingServerIsEvacuated(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Number == 1 {
					return time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		long := newStep(1, 1000)
		long.Saves, long.Runtime = true, 3_600_000
		w.submit("a", long)
		time.Sleep(time.Minute)
		for id := range w.busyWorkers() {
			if err := w.sendReport(id, 1, true); err != nil {
				t.Fatal(err)
			}
		}
		w.awaitState("a", stateDone, 5*time.Second)
	})
}

// A lasting task ends, for whatever reason: it is back at work at once, and its
// flow never fails.
func TestLastingTaskIsRestartedAfterEachEnd(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Second, inner.RunEnd_RUN_END_FAILED }
		})
		lasting := newStep(1, 1000)
		lasting.Lasting = true
		w.submit("a", lasting)
		time.Sleep(20 * time.Second)
		if n := len(w.runStarts()); n < 10 || w.flowState("a") != stateRunning {
			t.Errorf("%d runs in 20 s, state %v", n, w.flowState("a"))
		}
	})
}

// An operator asks for a wave of upkeep. No more machines than its cap are down
// at once, also across a change of leader; what lasts is moved before its machine
// goes down, one task at a time, and the wave is complete when all are back.
func TestUpkeepWaveRespectsCap(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		lasting := newStep(3, 1000)
		lasting.Lasting, lasting.Absent = true, 1
		w.makeRunsLasting()
		w.submit("a", lasting)
		time.Sleep(time.Second)
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3", "m-s4"}, Duration: 60_000, Cap: 1}
		if err := w.dispatcher.Wave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		minAtWork := 3
		updateMinimum := func() {
			atWork := 0
			for _, backend := range w.busyWorkers() {
				atWork += len(backend.Running())
			}
			minAtWork = min(minAtWork, atWork)
		}
		for range 250 {
			time.Sleep(20 * time.Millisecond)
			updateMinimum()
		}
		w.electNewLeader()
		for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
			updateMinimum()
			complete, err := w.dispatcher.WaveState(t.Context(), 1)
			if err != nil {
				t.Fatal(err)
			}
			if complete {
				break
			}
			if time.Now().After(end) {
				t.Fatal("the wave is not complete after a minute")
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.maxUnderUpkeep != 1 || w.interruptedRuns != 0 {
			t.Errorf("%d machines were down at once, %d runs were interrupted", w.maxUnderUpkeep, w.interruptedRuns)
		}
		if minAtWork < 2 {
			t.Errorf("%d of 3 lasting tasks were at work, one may be missed", minAtWork)
		}
	})
}

// A leader has ordered a machine down and is replaced; its order is still on the way.
// An order of the next one within the lease of that word would make two holders take
// turns, where fencing tokens are not looked at.
func TestNewLeaderDelaysUpkeepOrders(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, w *testCluster) {
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3"}, Duration: 60_000, Cap: 1}
		time.Sleep(5 * time.Second)
		if err := w.dispatcher.Wave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		electedAt := w.now()
		w.electNewLeader()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.firstUpkeepOrders) != 2 || w.firstUpkeepOrders[2]-electedAt < 3*time.Second {
			t.Errorf("orders at %v, the second leader was elected at %v", w.firstUpkeepOrders, electedAt)
		}
	})
}

// An operator takes a queue away while flows of it wait. They were accepted, so
// they still run, also under the next leader; new ones are refused.
func TestAcceptedFlowsCompleteAfterQueueRemoval(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.submit("a", newStep(12, 1000))
		next := testDocument()
		next.Version, next.Queues = 2, nil
		if err := w.dispatcher.Put(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		if answer := w.askFlow(inner.FlowVerb_FLOW_VERB_SUBMIT, "b", newStep(1, 1000)); code.Code(answer.GetCode()) != code.Forbidden {
			t.Error(answer)
		}
		time.Sleep(100 * time.Millisecond)
		w.electNewLeader()
		time.Sleep(8 * time.Second)
		restored := testDocument()
		restored.Version = 3
		if err := w.dispatcher.Put(t.Context(), restored); err != nil {
			t.Fatal(err)
		}
		if got := w.flowState("a"); got != stateDone {
			t.Errorf("the flow is %v", got)
		}
	})
}

// Answers came soon, and all take long now, as those of a busy leader do. Asked for again and again, the
// starts would make it busier still.
func TestTimeoutAdaptsToSlowAnswers(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		const quickFlows = 60
		for i := range quickFlows {
			w.submit(fmt.Sprint("q", i), newStep(1, 500))
			w.awaitState(fmt.Sprint("q", i), stateDone, 10*time.Second)
		}
		delay := func() { time.Sleep(400 * time.Millisecond) }
		w.callDelay.Store(&delay)
		var starts atomic.Int32
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil {
					starts.Add(1)
				}
				return worker.Fault{}
			}
		})
		const slowFlows, learningFlows = 30, 15
		for i := range slowFlows {
			if i == learningFlows {
				starts.Store(0)
			}
			w.submit(fmt.Sprint("f", i), newStep(1, 500))
			w.awaitState(fmt.Sprint("f", i), stateDone, time.Minute)
		}
		if n := starts.Load(); n > slowFlows-learningFlows {
			t.Errorf("%d starts for %d tasks", n, slowFlows-learningFlows)
		}
		w.callDelay.Store(nil)
		time.Sleep(3 * time.Second)
	})
}
