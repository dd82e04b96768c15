package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

// markZone starts or ends the drain of a zone and fails the test if that is refused.
func (w *testCluster) markZone(zone string, drain bool) {
	w.t.Helper()
	if err := w.dispatcher.SetZoneDrain(w.t.Context(), zone, drain); err != nil {
		w.t.Fatal(err)
	}
}

// runsInZone returns the runs on the servers of a zone.
func (w *testCluster) runsInZone(zone string) (runs []string) {
	for id, backend := range w.busyWorkers() {
		if zoneOf(id) != zone {
			continue
		}
		for _, r := range backend.Running() {
			runs = append(runs, fmt.Sprintf("%s on %s", r, id))
		}
	}
	return runs
}

// Guards against placing tasks in a drained zone, where they would be lost when its power
// is switched off.
func TestDrainedZoneGetsNoNewTasks(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		w.markZone("x", true)
		w.markZone("x", true) // a repeated drain has no further effect
		w.submit("a", newStep(8, 1000))
		w.submit("g", newGangStep(4, 1000))
		time.Sleep(500 * time.Millisecond)
		if got := w.runsInZone("x"); len(got) > 0 {
			t.Error("runs in the drained zone:", got)
		}
		w.awaitState("a", stateDone, 10*time.Second)
		w.awaitState("g", stateDone, 10*time.Second)
		w.markZone("x", false)
		w.submit("b", newStep(16, 1000))
		time.Sleep(500 * time.Millisecond)
		if len(w.runsInZone("x")) == 0 {
			t.Error("no runs in the zone after its drain ended")
		}
	})
}

// Guards against losing an acknowledged drain when the leader changes.
func TestZoneDrainSurvivesLeaderChange(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		w.markZone("x", true)
		w.electNewLeader()
		time.Sleep(time.Second)
		w.submit("a", newStep(6, 1000))
		time.Sleep(500 * time.Millisecond)
		if got := w.runsInZone("x"); len(got) > 0 {
			t.Error("runs in the drained zone:", got)
		}
		w.awaitState("a", stateDone, 10*time.Second)
	})
}

// Guards against placing tasks on a server that joins a zone after the drain of that zone.
func TestNewServerInDrainedZoneGetsNoTasks(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.markZone("x", true)
		w.addWorker("s3", 1)
		w.addWorker("s2", 1)
		w.submit("a", newStep(4, 1000))
		time.Sleep(500 * time.Millisecond)
		if got := w.runsInZone("x"); len(got) > 0 {
			t.Error("runs in the drained zone:", got)
		}
		w.awaitState("a", stateDone, 5*time.Second)
	})
}

// Guards against retrying an unanswered start after its zone was drained.
func TestStartIsNotRetriedInDrainedZone(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		var drained atomic.Bool
		w.changeWorkers(func(id string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && zoneOf(id) == "x" {
					if drained.Load() {
						t.Error("a start was sent to a server in the drained zone")
					}
					return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", newStep(8, 1000))
		time.Sleep(8 * time.Millisecond)
		w.markZone("x", true)
		drained.Store(true)
		w.awaitState("a", stateDone, 20*time.Second)
	})
}

// Guards against sending a start whose placement was committed together with the drain of
// its zone.
func TestPlacementCommittedWithDrainIsNotStarted(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		var drained atomic.Bool
		w.changeWorkers(func(id string, backend *worker.Worker) {
			backend.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && zoneOf(id) == "x" && drained.Load() {
					t.Error("a start was sent to a server in the drained zone")
				}
				return worker.Fault{}
			}
		})
		for i := range 20 {
			w.submit(fmt.Sprint("f", i), newStep(1, 500))
			w.submit(fmt.Sprint("g", i), newGangStep(3, 500))
			drained.Store(false)
			drainCommitted := make(chan struct{})
			go func() { w.markZone("x", true); drained.Store(true); close(drainCommitted) }()
			<-drainCommitted
			time.Sleep(100 * time.Millisecond)
			drained.Store(false)
			w.markZone("x", false)
		}
		for i := range 20 {
			w.awaitState(fmt.Sprint("f", i), stateDone, 30*time.Second)
			w.awaitState(fmt.Sprint("g", i), stateDone, 30*time.Second)
		}
	})
}

// Guards against starting a run in a zone between the acknowledgement of its drain and the
// end of the drain. Drains, elections and submits occur in random order.
func TestNoRunStartsInDrainedZoneUnderRandomOperations(t *testing.T) {
	runWithCluster(t, 6, func(t *testing.T, w *testCluster) {
		var drained [2]atomic.Bool
		zones := []string{"x", "y"}
		w.changeWorkers(func(id string, backend *worker.Worker) {
			zoneDrained := &drained[map[string]int{"x": 0, "y": 1}[zoneOf(id)]]
			backend.OnStart = func(r flow.RunID) {
				w.recordStart(id, r)
				if zoneDrained.Load() {
					t.Errorf("run %s was started on server %s in a drained zone", r, id)
				}
			}
		})
		random := rand.New(rand.NewPCG(7, 0))
		for i := range 120 {
			zone := random.IntN(2)
			switch random.IntN(6) {
			case 0:
				w.markZone(zones[zone], true)
				// Starts that were sent before the acknowledgement may still be in transit.
				time.Sleep(20 * time.Millisecond)
				drained[zone].Store(true)
			case 1:
				drained[zone].Store(false)
				w.markZone(zones[zone], false)
			case 2:
				w.electNewLeader()
			default:
				if a := w.askFlow(inner.FlowVerb_FLOW_VERB_SUBMIT, fmt.Sprint("f", i), newStep(uint32(1+random.IntN(4)), 1000)); a.GetCode() != 0 && a.GetCode() != uint32(code.Overloaded) {
					t.Error(a)
				}
			}
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
		for zone := range zones {
			drained[zone].Store(false)
			w.markZone(zones[zone], false)
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against accepting flows that would wait for an operator because all zones are
// drained.
func TestSubmitIsRefusedWhenAllZonesAreDrained(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		w.markZone("x", true)
		w.markZone("y", true)
		startedAt := time.Now()
		a := w.askFlow(inner.FlowVerb_FLOW_VERB_SUBMIT, "a", newStep(1, 1000))
		if a.GetCode() != uint32(code.Overloaded) || a.GetRetry() == 0 || time.Since(startedAt) > 100*time.Millisecond {
			t.Errorf("submit with all zones drained returned %v after %v", a, time.Since(startedAt))
		}
		w.markZone("y", false)
		w.submit("a", newStep(1, 1000))
		w.awaitState("a", stateDone, 5*time.Second)
	})
}

// Guards against acknowledging a drain of a zone that does not exist.
func TestUnknownZoneIsRefused(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		for _, name := range []string{"", "nowhere"} {
			if err := w.dispatcher.SetZoneDrain(t.Context(), name, true); err == nil || err.Code != code.NotFound {
				t.Errorf("drain of unknown zone %q returned %v", name, err)
			}
		}
	})
}

// Guards against executing a drain whose sender has given up. It could undo a newer order.
func TestAbandonedDrainRequestIsNotExecuted(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		ctx, cancel := context.WithCancel(t.Context())
		release := make(chan struct{})
		w.Post(func() { <-release })
		answered := make(chan struct{})
		go func() { _ = w.dispatcher.SetZoneDrain(ctx, "x", true); close(answered) }()
		time.Sleep(time.Millisecond)
		cancel()
		<-answered
		close(release)
		time.Sleep(50 * time.Millisecond)
		w.runAndWait(func() {
			if w.ledger.ZoneDrained("x") {
				t.Error("the drain was executed after its sender had given up")
			}
		})
	})
}

// Guards against leaving lasting tasks in a drained zone, and against moving more of them
// at a time than the flow can miss, here one.
func TestLastingTasksMoveOutOfDrainedZone(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		w.makeRunsLasting()
		service := &v1.FlowStep{Count: 4, Size: &v1.Size{Cpu: 1500, Memory: 100}, Lasting: true, Absent: 1}
		w.submit("svc", service)
		time.Sleep(3 * time.Second)
		w.markZone("x", true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			n := 0
			for _, backend := range w.busyWorkers() {
				n += len(backend.Running())
			}
			if n < 3 {
				t.Fatalf("%d of 4 lasting tasks are running, want at least 3", n)
			}
		}
		if got := w.runsInZone("x"); len(got) > 0 {
			t.Error("runs left in the drained zone:", got)
		}
	})
}

// Guards against placing urgent tasks on a server that is slow after its start while others
// have room.
func TestSlowStartingServerIsUsedLast(t *testing.T) {
	runWithCluster(t, 0, func(t *testing.T, w *testCluster) {
		for _, id := range []string{"s1", "s2"} {
			w.startWorker(id, 1)
			r := dispatch.Report{FlowServer: &record.FlowServer{
				Id: id, Born: 1, Address: id, Zone: zoneOf(id), Pool: "pool", Machine: "m-" + id,
				Capacity: &v1.Size{Cpu: w.capacity.CPU, Memory: w.capacity.Memory},
			}}
			if id == "s1" {
				r.Cold = 5000
			}
			if err := w.dispatcher.AcceptReport(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(100 * time.Millisecond)
		w.submit("a", newStep(4, 1000))
		time.Sleep(100 * time.Millisecond)
		if got := w.runsInZone("x"); len(got) > 0 {
			t.Error("runs on the server in slow start while another has room:", got)
		}
		w.submit("b", newStep(2, 1000))
		time.Sleep(100 * time.Millisecond)
		if len(w.runsInZone("x")) == 0 {
			t.Error("no run on the server in slow start although only it has room")
		}
	})
}
