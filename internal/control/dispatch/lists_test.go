package dispatch_test

import (
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

// listedEnds is the number of ends in one list of the workers in the tests below.
const listedEnds = 5

// submitTasks submits a flow of the given number of tasks, all on the only worker, and waits until
// they run. Each runs for the given duration.
func (w *testCluster) submitTasks(id string, tasks int, duration func(flow.RunID) time.Duration) {
	w.t.Helper()
	w.changeWorkers(func(_ string, backend *worker.Worker) {
		backend.ListedEnds = listedEnds
		backend.RunOutcome = func(r flow.RunID) (time.Duration, inner.RunEnd) { return duration(r), inner.RunEnd_RUN_END_DONE }
	})
	step := newStep(uint32(tasks), 50)
	step.Size.Memory, step.Runtime = 1, uint64(duration(flow.RunID{})/time.Millisecond)
	w.submit(id, step)
	time.Sleep(500 * time.Millisecond)
	if starts := w.runStarts(); len(starts) != tasks {
		w.t.Fatalf("%d runs started, want %d", len(starts), tasks)
	}
}

// checkNoneRanAgain waits until a flow is done and checks that none of its tasks was started again.
func (w *testCluster) checkNoneRanAgain(id string) {
	w.t.Helper()
	w.awaitState(id, stateDone, 10*time.Second)
	for r := range w.runStarts() {
		if r.Flow == id && r.Number > 1 {
			w.t.Errorf("run %s was started, want one run for each task", r)
		}
	}
}

func afterFourSeconds(flow.RunID) time.Duration { return 4 * time.Second }

// Guards against running tasks again whose ends did not fit into one list after a cut during which
// all of them ended.
func TestEndsBeyondOneListAreNotLost(t *testing.T) {
	for name, tasks := range map[string]int{"two pages": listedEnds + 2, "full pages": 2 * listedEnds, "many pages": 7*listedEnds + 1} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, 1, func(_ *testing.T, w *testCluster) {
				w.submitTasks("a", tasks, afterFourSeconds)
				stop := w.refuseCalls(w.busyWorkers())
				time.Sleep(5 * time.Second)
				stop()
				w.checkNoneRanAgain("a")
			})
		})
	}
}

// Guards against running tasks again whose ends did not fit into the first list that a new leader
// receives.
func TestNewLeaderDoesNotLoseEndsBeyondOneList(t *testing.T) {
	runWithCluster(t, 1, func(_ *testing.T, w *testCluster) {
		w.submitTasks("a", 4*listedEnds+1, afterFourSeconds)
		stop := w.refuseCalls(w.busyWorkers())
		time.Sleep(3 * time.Second)
		w.electNewLeader()
		time.Sleep(time.Second)
		stop()
		w.checkNoneRanAgain("a")
	})
}

// Guards against running tasks again when a stop is answered before the ends of the last list are
// committed. The next list has the same ends then.
func TestStopBetweenTwoPagesOfEndsLosesNone(t *testing.T) {
	runWithCluster(t, 1, func(_ *testing.T, w *testCluster) {
		w.submitTasks("a", 4*listedEnds+1, afterFourSeconds)
		w.submit("cancelled", newStep(10, 10))
		time.Sleep(500 * time.Millisecond)
		stop := w.refuseCalls(w.busyWorkers())
		time.Sleep(4 * time.Second)
		w.askFlow(inner.FlowVerb_FLOW_VERB_CANCEL, "cancelled")
		stop()
		w.checkNoneRanAgain("a")
	})
}

// Guards against reading no further while ends keep coming in larger numbers than one list holds.
func TestEndsAreReadWhileMoreCome(t *testing.T) {
	runWithCluster(t, 1, func(_ *testing.T, w *testCluster) {
		w.submitTasks("a", 12*listedEnds, func(r flow.RunID) time.Duration { return time.Second + time.Duration(r.Index)*10*time.Millisecond })
		stop := w.refuseCalls(w.busyWorkers())
		time.Sleep(time.Second)
		stop()
		w.checkNoneRanAgain("a")
	})
}
