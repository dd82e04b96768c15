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

// drain marks a zone and fails the test when that is refused.
func (w *world) drain(zone string, drain bool) {
	w.t.Helper()
	if err := w.d.Zone(w.t.Context(), zone, drain); err != nil {
		w.t.Fatal(err)
	}
}

// strays returns the runs on the servers of a zone.
func (w *world) strays(zone string) (out []string) {
	for id, one := range w.busy() {
		if zoneOf(id) != zone {
			continue
		}
		for _, r := range one.Running() {
			out = append(out, fmt.Sprintf("%s on %s", r, id))
		}
	}
	return out
}

// Work that is placed in a drained zone runs there when its power goes.
func TestDrainedZoneGetsNothingNew(t *testing.T) {
	play(t, 4, func(t *testing.T, w *world) {
		w.drain("x", true)
		w.drain("x", true) // the same order again is one
		w.submit("a", step(8, 1000))
		w.submit("g", gangOf(4, 1000))
		time.Sleep(500 * time.Millisecond)
		if got := w.strays("x"); len(got) > 0 {
			t.Error("in the drained zone:", got)
		}
		w.await("a", done, 10*time.Second)
		w.await("g", done, 10*time.Second)
		w.drain("x", false)
		w.submit("b", step(16, 1000))
		time.Sleep(500 * time.Millisecond)
		if len(w.strays("x")) == 0 {
			t.Error("the zone was taken back and gets nothing")
		}
	})
}

// A drain that was acknowledged is forgotten with the leader that took it.
func TestDrainOutlivesTheLeader(t *testing.T) {
	play(t, 4, func(t *testing.T, w *world) {
		w.drain("x", true)
		w.elect()
		time.Sleep(time.Second)
		w.submit("a", step(6, 1000))
		time.Sleep(500 * time.Millisecond)
		if got := w.strays("x"); len(got) > 0 {
			t.Error("in the drained zone:", got)
		}
		w.await("a", done, 10*time.Second)
	})
}

// A server comes to a zone after it was drained, and is given work.
func TestServerThatComesToADrainedZone(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		w.drain("x", true)
		w.add("s3", 1)
		w.add("s2", 1)
		w.submit("a", step(4, 1000))
		time.Sleep(500 * time.Millisecond)
		if got := w.strays("x"); len(got) > 0 {
			t.Error("in the drained zone:", got)
		}
		w.await("a", done, 5*time.Second)
	})
}

// A start is not answered and asked for again after its zone was drained.
func TestStartOnItsWayIntoADrainedZone(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		var drained atomic.Bool
		w.change(func(id string, one *worker.Worker) {
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && zoneOf(id) == "x" {
					if drained.Load() {
						t.Error("a start was sent into the drained zone")
					}
					return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", step(8, 1000))
		time.Sleep(8 * time.Millisecond)
		w.drain("x", true)
		drained.Store(true)
		w.await("a", done, 20*time.Second)
	})
}

// A placement is committed together with the drain of its zone, and its start
// leaves after that.
func TestPlacementCommittedWithTheDrain(t *testing.T) {
	play(t, 4, func(t *testing.T, w *world) {
		var drained atomic.Bool
		w.change(func(id string, one *worker.Worker) {
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && zoneOf(id) == "x" && drained.Load() {
					t.Error("a start was sent into the drained zone")
				}
				return worker.Fault{}
			}
		})
		for i := range 20 {
			w.submit(fmt.Sprint("f", i), step(1, 500))
			w.submit(fmt.Sprint("g", i), gangOf(3, 500))
			drained.Store(false)
			marked := make(chan struct{})
			go func() { w.drain("x", true); drained.Store(true); close(marked) }()
			<-marked
			time.Sleep(100 * time.Millisecond)
			drained.Store(false)
			w.drain("x", false)
		}
		for i := range 20 {
			w.await(fmt.Sprint("f", i), done, 30*time.Second)
			w.await(fmt.Sprint("g", i), done, 30*time.Second)
		}
	})
}

// Drains, takings back, elections and work come in any order: whatever it is, no
// run begins in a zone between the answer to a drain and the next taking back.
func TestNoStartAfterADrainInAnyOrder(t *testing.T) {
	play(t, 6, func(t *testing.T, w *world) {
		var drained [2]atomic.Bool
		zones := []string{"x", "y"}
		w.change(func(id string, one *worker.Worker) {
			at := &drained[map[string]int{"x": 0, "y": 1}[zoneOf(id)]]
			one.Started = func(r flow.RunID) {
				w.started(id, r)
				if at.Load() {
					t.Errorf("%s began on %s in a drained zone", r, id)
				}
			}
		})
		random := rand.New(rand.NewPCG(7, 0))
		for i := range 120 {
			n := random.IntN(2)
			switch random.IntN(6) {
			case 0:
				w.drain(zones[n], true)
				// What was sent before the answer may still be on its way.
				time.Sleep(20 * time.Millisecond)
				drained[n].Store(true)
			case 1:
				drained[n].Store(false)
				w.drain(zones[n], false)
			case 2:
				w.elect()
			default:
				if a := w.ask(inner.FlowVerb_FLOW_VERB_SUBMIT, fmt.Sprint("f", i), step(uint32(1+random.IntN(4)), 1000)); a.GetCode() != 0 && a.GetCode() != uint32(code.Overloaded) {
					t.Error(a)
				}
			}
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
		for n := range zones {
			drained[n].Store(false)
			w.drain(zones[n], false)
		}
		time.Sleep(5 * time.Second)
	})
}

// All zones are drained. What is handed in would wait for an operator, and its
// caller would not know.
func TestAllZonesDrainedRefusesAtOnce(t *testing.T) {
	play(t, 4, func(t *testing.T, w *world) {
		w.drain("x", true)
		w.drain("y", true)
		begin := time.Now()
		a := w.ask(inner.FlowVerb_FLOW_VERB_SUBMIT, "a", step(1, 1000))
		if a.GetCode() != uint32(code.Overloaded) || a.GetRetry() == 0 || time.Since(begin) > 100*time.Millisecond {
			t.Errorf("%v after %v", a, time.Since(begin))
		}
		w.drain("y", false)
		w.submit("a", step(1, 1000))
		w.await("a", done, 5*time.Second)
	})
}

// An order about a zone that is not there would be acknowledged and hold for nothing.
func TestUnknownZoneIsRefused(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		for _, name := range []string{"", "nowhere"} {
			if err := w.d.Zone(t.Context(), name, true); err == nil || err.Code != code.NotFound {
				t.Errorf("zone %q: %v", name, err)
			}
		}
	})
}

// An order whose sender has given up is carried out after the opposite one.
func TestOrderThatWasGivenUpIsNotCarriedOut(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		ctx, cancel := context.WithCancel(t.Context())
		held := make(chan struct{})
		w.Post(func() { <-held })
		answered := make(chan struct{})
		go func() { _ = w.d.Zone(ctx, "x", true); close(answered) }()
		time.Sleep(time.Millisecond)
		cancel()
		<-answered
		close(held)
		time.Sleep(50 * time.Millisecond)
		w.do(func() {
			if w.ledger.ZoneDrained("x") {
				t.Error("the order was carried out after its sender had given up")
			}
		})
	})
}

// What runs in a zone that is drained runs on; tasks that last are moved out one by
// one, since their flow can miss only one of them.
func TestLastingTasksLeaveADrainedZone(t *testing.T) {
	play(t, 4, func(t *testing.T, w *world) {
		w.lasting()
		service := &v1.FlowStep{Count: 4, Size: &v1.Size{Cpu: 1500, Memory: 100}, Lasting: true, Absent: 1}
		w.submit("svc", service)
		time.Sleep(3 * time.Second)
		w.drain("x", true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			n := 0
			for _, one := range w.busy() {
				n += len(one.Running())
			}
			if n < 3 {
				t.Fatalf("%d of 4 tasks are at work", n)
			}
		}
		if got := w.strays("x"); len(got) > 0 {
			t.Error("still in the drained zone:", got)
		}
	})
}

// A server that is slow after its start gets urgent work although others have room.
func TestColdServerComesLast(t *testing.T) {
	play(t, 0, func(t *testing.T, w *world) {
		for _, id := range []string{"s1", "s2"} {
			w.place(id, 1)
			r := dispatch.Report{FlowServer: &record.FlowServer{
				Id: id, Born: 1, Address: id, Zone: zoneOf(id), Pool: "pool", Machine: "m-" + id,
				Capacity: &v1.Size{Cpu: w.capacity.CPU, Memory: w.capacity.Memory},
			}}
			if id == "s1" {
				r.Cold = 5000
			}
			if err := w.d.Report(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(100 * time.Millisecond)
		w.submit("a", step(4, 1000))
		time.Sleep(100 * time.Millisecond)
		if got := w.strays("x"); len(got) > 0 {
			t.Error("on the cold server:", got)
		}
		w.submit("b", step(2, 1000))
		time.Sleep(100 * time.Millisecond)
		if len(w.strays("x")) == 0 {
			t.Error("work waits although only the cold server has room")
		}
	})
}
