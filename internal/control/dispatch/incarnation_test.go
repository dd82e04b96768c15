package dispatch_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/fake/worker"
)

// restartDelay is the time for which a worker in these tests is down between two incarnations.
const restartDelay = 300 * time.Millisecond

// restart ends a worker silently and starts its next incarnation under the same id and address.
func (w *testCluster) restart(id string) *worker.Worker {
	w.mu.Lock()
	former := w.workers[id]
	w.mu.Unlock()
	former.Crash()
	time.Sleep(restartDelay)
	return w.startWorker(id, former.Incarnation+1)
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
