package dispatch_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/fake/worker"
)

// reportCapacity sends a report with the given report number in which the server has that
// CPU capacity.
func (w *testCluster) reportCapacity(id string, cpu int64, call uint64) {
	w.t.Helper()
	err := w.dispatcher.AcceptReport(w.t.Context(), dispatch.Report{FlowServer: &record.FlowServer{
		Id: id, Born: 1, Address: id, Zone: zoneOf(id), Pool: "pool", Machine: "m-" + id, Capacity: &v1.Size{Cpu: cpu, Memory: w.capacity.Memory},
	}, Number: call})
	if err != nil {
		w.t.Fatal(err)
	}
}

// newLastingStep returns a step whose tasks run until their flow is cancelled.
func newLastingStep(count uint32, cpu int64) *v1.FlowStep {
	s := newStep(count, cpu)
	s.Lasting = true
	return s
}

// countRunning returns the number of runs on all workers.
func (w *testCluster) countRunning() (n int) {
	for _, backend := range w.busyWorkers() {
		n += len(backend.Running())
	}
	return n
}

// Guards against ignoring a changed capacity: a server whose capacity was reduced would be
// overcommitted, and one whose capacity was increased would stay idle.
func TestPlacementFollowsReportedCapacity(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.makeRunsLasting()
		w.reportCapacity("s1", 3000, 2)
		w.submit("a", newLastingStep(2, 1000))
		time.Sleep(500 * time.Millisecond)
		w.reportCapacity("s1", 1000, 3)
		w.submit("b", newLastingStep(2, 1000))
		time.Sleep(2 * time.Second)
		if n := w.countRunning(); n != 2 {
			t.Errorf("%d tasks run after the capacity was reduced, want the 2 earlier ones", n)
		}
		w.askFlow(inner.FlowVerb_FLOW_VERB_CANCEL, "a")
		time.Sleep(2 * time.Second)
		if n := w.countRunning(); n != 1 {
			t.Errorf("%d tasks run on a server with capacity for one", n)
		}
		w.reportCapacity("s1", 4000, 4)
		time.Sleep(2 * time.Second)
		if n := w.countRunning(); n != 2 {
			t.Errorf("%d tasks run after the capacity was increased, want 2", n)
		}
	})
}

// Guards against a delayed report that arrives after a newer one at a leader that has not
// received the newer one. The server would get its old, larger capacity back.
func TestLateReportDoesNotRestoreOldCapacity(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.makeRunsLasting()
		w.reportCapacity("s1", 4000, 5)
		w.reportCapacity("s1", 1000, 6)
		w.electNewLeader()
		w.reportCapacity("s1", 4000, 5)
		w.submit("a", newLastingStep(3, 1000))
		time.Sleep(2 * time.Second)
		if n := w.countRunning(); n != 1 {
			t.Errorf("%d tasks run on a server with capacity for one", n)
		}
	})
}

// Guards against retrying a start after the server reported a smaller capacity. The retry
// would overcommit the server.
func TestStartIsNotRetriedAfterCapacityReduction(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		var starts atomic.Int32
		w.makeRunsLasting()
		w.reportCapacity("s1", 4000, 2)
		w.submit("a", newLastingStep(1, 1000))
		time.Sleep(500 * time.Millisecond)
		w.changeWorkers(func(_ string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || c.GetStart().GetRun().GetFlow() != "b" {
					return worker.Fault{}
				}
				if starts.Add(1) == 1 {
					return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
				}
				return worker.Fault{}
			}
		})
		w.submit("b", newLastingStep(1, 3000))
		for starts.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		w.reportCapacity("s1", 2000, 3)
		time.Sleep(2 * time.Second)
		if n := w.countRunning(); n != 1 || starts.Load() != 1 {
			t.Errorf("%d tasks run on a server with capacity for one, and %d starts were sent, want 1", n, starts.Load())
		}
		w.reportCapacity("s1", 4000, 4)
		w.awaitState("b", stateRunning, 5*time.Second)
		time.Sleep(2 * time.Second)
		if n := w.countRunning(); n != 2 {
			t.Errorf("%d tasks run after the capacity was increased, want 2", n)
		}
	})
}

// maxTestTime is far beyond the real time of a test of a few servers, also on a busy machine.
const maxTestTime = 20 * time.Second

// Guards against a leader that answers nobody: after the capacity of a full server was reduced,
// the next plan with a question to the adviser did not end.
func TestLeaderAnswersAfterAFullServerHasShrunk(t *testing.T) {
	// A control thread that computes for ever stops the virtual time of the cluster.
	defer time.AfterFunc(maxTestTime, func() { panic("the control thread stands") }).Stop()
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.makeRunsLasting()
		w.adviserAnswer = func(r *inner.AdviseRequest) *inner.AdviseReply {
			reply := &inner.AdviseReply{Valid: 20000}
			for _, s := range r.GetServers() {
				reply.Permits = append(reply.Permits, &inner.Permit{Server: s, Ticket: "ticket"})
			}
			return reply
		}
		w.advice = &v1.Advice{Base: 5, Each: 0.1, Valid: 20000}
		w.putRate(2, 0)
		w.submit("full", newLastingStep(6, 1000))
		w.awaitState("full", stateRunning, 2*time.Second)
		w.reportCapacity("s1", 2000, 2)
		w.reportCapacity("s2", 3000, 2)
		for _, id := range []string{"a", "b"} {
			w.submit(id, newLastingStep(1, 1000))
			asked := time.Now()
			w.flowState(id)
			if waited := time.Since(asked); waited > time.Second {
				t.Errorf("the state of flow %s was answered after %v", id, waited)
			}
		}
		time.Sleep(time.Second)
		w.askFlow(inner.FlowVerb_FLOW_VERB_CANCEL, "full")
		w.awaitState("a", stateRunning, 2*time.Second)
		w.awaitState("b", stateRunning, 2*time.Second)
	})
}
