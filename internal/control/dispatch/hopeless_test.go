package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

// isHopeless reports whether the runs of a flow in these tests fail.
func isHopeless(id string) bool { return id[0] == 'h' }

// runWithHopeless runs a test on sound workers on which the runs of hopeless flows fail after a time
// and the others are done after their run time.
func runWithHopeless(t *testing.T, failAfter, runtime time.Duration, test func(w *testCluster)) {
	runWithCluster(t, 8, func(_ *testing.T, w *testCluster) {
		w.options.ProvenAttempts = true
		w.electNewLeader()
		outcome := func(r flow.RunID) (time.Duration, inner.RunEnd) {
			if isHopeless(r.Flow) {
				return failAfter, inner.RunEnd_RUN_END_FAILED
			}
			return runtime, inner.RunEnd_RUN_END_DONE
		}
		w.changeWorkers(func(_ string, backend *worker.Worker) { backend.RunOutcome = outcome })
		test(w)
	})
}

// checkBegun checks that each of the given flows has a run.
func (w *testCluster) checkBegun(ids []string) {
	w.t.Helper()
	begun := map[string]bool{}
	for r := range w.runStarts() {
		begun[r.Flow] = true
	}
	for _, id := range ids {
		if !begun[id] {
			w.t.Errorf("flow %s has not begun", id)
		}
	}
}

// Guards against closing sound servers to all work since the tasks of hopeless services, which are
// started again for ever, fail on each of them.
func TestHopelessServicesLeaveTheServersToOthers(t *testing.T) {
	for _, services := range []int{2, 4} {
		t.Run(fmt.Sprintf("%d services", services), func(t *testing.T) {
			runWithHopeless(t, time.Millisecond, time.Second, func(w *testCluster) {
				for i := range services {
					w.submit(fmt.Sprintf("h%d", i), &v1.FlowStep{Count: 16, Size: &v1.Size{Cpu: 500, Memory: 256}, Lasting: true})
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				before := len(w.runStarts())
				time.Sleep(10 * time.Second)
				if starts := len(w.runStarts()) - before; starts > 16*services*20 {
					w.t.Errorf("%d starts of hopeless tasks in 10 s", starts)
				}
				for i := range 20 {
					id := fmt.Sprintf("b%d", i)
					w.submit(id, newStep(1, 1000))
					time.Sleep(500 * time.Millisecond)
					w.checkBegun([]string{id})
				}
			})
		})
	}
}

// Guards against sound servers that take one task at a time, until a long one ends, after hopeless
// flows.
func TestLongTasksAfterHopelessFlowsBegin(t *testing.T) {
	runWithHopeless(t, 100*time.Millisecond, 10*time.Minute, func(w *testCluster) {
		for i := range 2 {
			step := newStep(8, 500)
			step.Apart = 1
			w.submit(fmt.Sprintf("h%d", i), step)
		}
		time.Sleep(8 * time.Second)
		var ids []string
		for i := range 16 {
			ids = append(ids, fmt.Sprintf("b%d", i))
			step := newStep(1, 1000)
			step.Runtime = uint64((10 * time.Minute).Milliseconds())
			w.submit(ids[i], step)
		}
		time.Sleep(5 * time.Second)
		w.checkBegun(ids)
	})
}

// Guards against lasting tasks that stay away since their servers are closed: that a task fails after
// it has worked says nothing about its server.
func TestServicesThatFailNowAndThenAreBackSoon(t *testing.T) {
	runWithHopeless(t, 5*time.Second, time.Second, func(w *testCluster) {
		for i := range 4 {
			w.submit(fmt.Sprintf("h%d", i), &v1.FlowStep{Count: 3, Size: &v1.Size{Cpu: 500, Memory: 256}, Lasting: true, Apart: 1})
			time.Sleep(700 * time.Millisecond)
		}
		const maxAway = 3 * time.Second // after a run's last sign, of the 9 s that users bear
		awaySince := map[flow.TaskID]time.Time{}
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			running := map[flow.TaskID]bool{}
			for _, backend := range w.busyWorkers() {
				for _, r := range backend.Running() {
					running[r.TaskID] = true
				}
			}
			for r := range w.runStarts() {
				if running[r.TaskID] {
					delete(awaySince, r.TaskID)
				} else if since, ok := awaySince[r.TaskID]; !ok {
					awaySince[r.TaskID] = time.Now()
				} else if away := time.Since(since); away > maxAway {
					w.t.Fatalf("task %s is away for %v", r.TaskID, away)
				}
			}
		}
	})
}
