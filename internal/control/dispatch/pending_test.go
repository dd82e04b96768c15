package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/fake/worker"
)

// Guards against flows that are not counted as pending since they were placed on a server that does
// not answer, also by the next leader, and against counting those that have begun.
func TestPlacedFlowsArePendingUntilTheyBegin(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		const begun, waiting = 2, 4
		pending := func() uint32 {
			return w.askFlow(inner.FlowVerb_FLOW_VERB_PENDING, "").GetPending()
		}
		w.changeWorkers(func(_ string, backend *worker.Worker) { backend.RunOutcome = endAfter(time.Minute) })
		for i := range begun {
			w.submit(fmt.Sprint("begun", i), newStep(1, 500))
		}
		time.Sleep(2 * time.Second)
		if n := pending(); n != 0 {
			t.Errorf("%d flows are pending, all have begun", n)
		}
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Fault = func(*inner.ServerCall) worker.Fault { return worker.Fault{Delay: time.Hour} }
		})
		for i := range waiting {
			w.submit(fmt.Sprint("waiting", i), newStep(1, 500))
		}
		for range 2 {
			time.Sleep(2 * time.Second)
			if n := pending(); n < waiting {
				t.Errorf("%d flows are pending, %d have not begun", n, waiting)
			}
			w.electNewLeader()
		}
		w.changeWorkers(func(_ string, backend *worker.Worker) { backend.Fault = nil })
		time.Sleep(15 * time.Second)
		if n := pending(); n != 0 {
			t.Errorf("%d flows are pending, all have begun", n)
		}
	})
}
