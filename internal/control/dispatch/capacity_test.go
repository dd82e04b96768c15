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

// holds lets a server say how much it holds, by the report of that number.
func (w *world) holds(id string, cpu int64, call uint64) {
	w.t.Helper()
	err := w.d.Report(w.t.Context(), dispatch.Report{FlowServer: &record.FlowServer{
		Id: id, Born: 1, Address: id, Zone: zoneOf(id), Pool: "pool", Machine: "m-" + id, Capacity: &v1.Size{Cpu: cpu, Memory: w.capacity.Memory},
	}, Number: call})
	if err != nil {
		w.t.Fatal(err)
	}
}

// lastingStep is a step whose tasks run until their flow is cancelled.
func lastingStep(count uint32, cpu int64) *v1.FlowStep {
	s := step(count, cpu)
	s.Lasting = true
	return s
}

// running counts what runs on the workers.
func (w *world) running() (n int) {
	for _, one := range w.busy() {
		n += len(one.Running())
	}
	return n
}

// A server that has become smaller gets work beyond what it holds now, and one that
// has grown again gets none.
func TestRoomFollowsWhatAServerSays(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		w.lasting()
		w.holds("s1", 3000, 2)
		w.submit("a", lastingStep(2, 1000))
		time.Sleep(500 * time.Millisecond)
		w.holds("s1", 1000, 3)
		w.submit("b", lastingStep(2, 1000))
		time.Sleep(2 * time.Second)
		if n := w.running(); n != 2 {
			t.Errorf("%d tasks run on a server that holds one by now, two of them from before", n)
		}
		w.ask(inner.FlowVerb_FLOW_VERB_CANCEL, "a")
		time.Sleep(2 * time.Second)
		if n := w.running(); n != 1 {
			t.Errorf("%d tasks run on a server that holds one", n)
		}
		w.holds("s1", 4000, 4)
		time.Sleep(2 * time.Second)
		if n := w.running(); n != 2 {
			t.Errorf("%d tasks run on a server that has grown again, want both", n)
		}
	})
}

// A report that was held up on its way comes after a later one, at a leader that has
// not seen that: the server grows back to what it was.
func TestLateReportDoesNotGrowAServer(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		w.lasting()
		w.holds("s1", 4000, 5)
		w.holds("s1", 1000, 6)
		w.elect()
		w.holds("s1", 4000, 5)
		w.submit("a", lastingStep(3, 1000))
		time.Sleep(2 * time.Second)
		if n := w.running(); n != 1 {
			t.Errorf("%d tasks run on a server that holds one", n)
		}
	})
}

// A start is on its way while its server becomes smaller. Sent again, it would take the
// server beyond what it holds.
func TestStartIsNotRepeatedOnAServerThatShrank(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		var starts atomic.Int32
		w.lasting()
		w.holds("s1", 4000, 2)
		w.submit("a", lastingStep(1, 1000))
		time.Sleep(500 * time.Millisecond)
		w.change(func(_ string, one *worker.Worker) {
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || c.GetStart().GetRun().GetFlow() != "b" {
					return worker.Fault{}
				}
				if starts.Add(1) == 1 {
					return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
				}
				return worker.Fault{}
			}
		})
		w.submit("b", lastingStep(1, 3000))
		for starts.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		w.holds("s1", 2000, 3)
		time.Sleep(2 * time.Second)
		if n := w.running(); n != 1 || starts.Load() != 1 {
			t.Errorf("%d tasks run on a server that holds one of them, a start was sent %d times", n, starts.Load())
		}
		w.holds("s1", 4000, 4)
		w.await("b", running, 5*time.Second)
		time.Sleep(2 * time.Second)
		if n := w.running(); n != 2 {
			t.Errorf("%d tasks run on a server that has grown again, want both", n)
		}
	})
}
