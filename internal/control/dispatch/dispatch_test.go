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
	running   = v1.FlowState_FLOW_STATE_RUNNING
	done      = v1.FlowState_FLOW_STATE_DONE
	failed    = v1.FlowState_FLOW_STATE_FAILED
	cancelled = v1.FlowState_FLOW_STATE_CANCELLED
)

// play runs a test on virtual time.
func play(t *testing.T, workers int, fn func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, workers)
		defer w.end()
		fn(t, w)
	})
}

// after returns a step that waits for others.
func after(s *v1.FlowStep, steps ...uint32) *v1.FlowStep {
	s.After = steps
	return s
}

func TestStepsRunInTheirOrder(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.submit("a", step(3, 1000), after(step(2, 2000), 0))
		begin := time.Now()
		w.await("a", done, 5*time.Second)
		if took := time.Since(begin); took < 2*time.Second {
			t.Errorf("two steps of a second each took %v", took)
		}
	})
}

// A caller's flow stands still for ever. Its placement was committed, but the
// leader froze before the start left. The server lists nothing of it, and no
// start or stop was ever answered that would tell the next leader so.
func TestNextLeaderSettlesWhatWasNeverStarted(t *testing.T) {
	play(t, 1, func(_ *testing.T, w *world) {
		var found atomic.Bool
		w.change(func(_ string, one *worker.Worker) {
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && !found.Load() {
					return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", step(2, 1000))
		time.Sleep(50 * time.Millisecond)
		w.elect()
		found.Store(true)
		w.await("a", done, 5*time.Second)
	})
}

// A server starts a task and its answer is lost. Started again as another run,
// the work would be done twice.
func TestLostAnswerStartsOnce(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.change(func(_ string, one *worker.Worker) {
			first := true
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || !first {
					return worker.Fault{}
				}
				first = false
				return worker.Fault{Lost: true}
			}
		})
		w.submit("a", step(1, 1000))
		w.await("a", done, 10*time.Second)
		if began := w.began(); len(began) != 1 {
			t.Errorf("runs that began: %v", began)
		}
	})
}

// A server starts a task and its answer is lost; a list shows that it runs. The
// start is asked for again all the same, and refused: its permit is over by now.
// Taken for a start that failed, the task would be placed elsewhere as well.
func TestRefusalOfARunThatIsThere(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		var starts atomic.Int32
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Flow == "a" {
					return 3 * time.Second, inner.RunEnd_RUN_END_DONE
				}
				return 100 * time.Millisecond * time.Duration(r.Index+1), inner.RunEnd_RUN_END_DONE
			}
			one.Fault = func(c *inner.ServerCall) worker.Fault {
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
		w.submit("b", step(20, 100))
		w.submit("a", step(1, 1000))
		w.await("a", done, 10*time.Second)
		if got := w.began()[flow.RunID{TaskID: flow.TaskID{StepID: flow.StepID{Flow: "a"}}, Number: 2}]; got != 0 {
			t.Error("the task was started again although it ran")
		}
	})
}

// A start is held up in the network for seconds. Its task was given to another
// server meanwhile; carried out then, it would run in two places.
func TestLateStartIsNotCarriedOut(t *testing.T) {
	play(t, 2, func(_ *testing.T, w *world) {
		var late atomic.Int32
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 8 * time.Second, inner.RunEnd_RUN_END_DONE }
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || late.Add(1) > 2 {
					return worker.Fault{}
				}
				return worker.Fault{Late: 4 * time.Second}
			}
		})
		w.submit("a", step(1, 1000))
		w.await("a", done, 20*time.Second)
	})
}

// A server is cut off with work on it and runs on. The work may be placed again
// only when its lease is over there, however slow its clock is.
func TestWorkOfASilentServerWaitsForItsLease(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.change(func(_ string, one *worker.Worker) {
			one.Rate = 0.98
			one.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Number == 1 {
					return time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		w.submit("a", step(1, 1000))
		time.Sleep(500 * time.Millisecond)
		for _, one := range w.busy() {
			one.Change(func(one *worker.Worker) {
				one.Fault = func(*inner.ServerCall) worker.Fault { return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT} }
			})
		}
		w.await("a", done, 20*time.Second)
		if began := w.began(); len(began) != 2 {
			t.Errorf("runs that began: %v", began)
		}
	})
}

// A server is cut off with urgent work on it. Whoever waits for that is served only
// if it is placed again soon; long work elsewhere must keep its long leases, and no
// task may run in two places for that.
func TestUrgentWorkOfASilentServerIsPlacedAgainInTime(t *testing.T) {
	play(t, 12, func(t *testing.T, w *world) {
		w.do(func() { w.d.MaxLease = 10 * time.Second })
		w.urgent()
		w.change(func(_ string, one *worker.Worker) {
			one.Rate = 0.98
			one.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Flow == "b" {
					return time.Minute, inner.RunEnd_RUN_END_DONE
				}
				return 2 * time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		long, urgent := step(6, 4000), step(2, 1000)
		long.Runtime, urgent.Runtime = 60000, 2000
		rep := w.d.Ask(t.Context(), &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT, Host: "host", Path: "/later/b", Key: key[:], Spec: &v1.FlowSpec{Id: "b", Steps: []*v1.FlowStep{long}}})
		if rep.GetCode() != 0 {
			t.Fatal(rep)
		}
		time.Sleep(5 * time.Second)
		w.submit("a", urgent)
		time.Sleep(200 * time.Millisecond)
		cut := 0
		for _, one := range w.busy() {
			if one.Running()[0].Flow == "a" {
				cut++
				one.Change(func(one *worker.Worker) {
					one.Fault = func(*inner.ServerCall) worker.Fault { return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT} }
				})
			}
		}
		if cut == 0 {
			t.Fatal("no server runs urgent work alone")
		}
		w.await("a", done, 9500*time.Millisecond) // three times 1.5 x 2 + 0.25 s
	})
}

// A caller's task runs again although it had ended well. One list tells of an end;
// before that is committed a stop is answered, which asks for the list again, and the
// next one tells of another end. Acknowledged with the first, the second is forgotten
// by the server; the leader dies before it is committed, and nobody knows of it.
func TestNoEndIsAcknowledgedBeforeItIsCommitted(t *testing.T) {
	const first, others = time.Second, 10
	play(t, 1, func(t *testing.T, w *world) {
		var began atomic.Int64
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				switch {
				case r.Flow != "a":
					return time.Hour, inner.RunEnd_RUN_END_DONE
				case r.Index == 0:
					began.Store(time.Now().UnixNano())
					return first, inner.RunEnd_RUN_END_DONE
				}
				return first + commitTime, inner.RunEnd_RUN_END_DONE
			}
		})
		long := step(1, 100)
		long.Runtime = uint64(time.Hour / time.Millisecond)
		for i := range others {
			w.submit(fmt.Sprint("b", i), long)
		}
		time.Sleep(time.Second)
		w.submit("a", step(2, 1000))
		time.Sleep(500 * time.Millisecond)
		at := func(d time.Duration) { time.Sleep(time.Until(time.Unix(0, began.Load()).Add(d))) }
		for i := range others {
			// Its stop is answered a commit later, one each millisecond around the ends.
			at(first - commitTime + time.Duration(i)*time.Millisecond)
			go w.ask(inner.FlowVerb_FLOW_VERB_CANCEL, fmt.Sprint("b", i))
		}
		at(first + 2*commitTime - time.Millisecond)
		w.elect()
		w.await("a", done, 10*time.Second)
		if n := len(w.began()); n != others+2 {
			t.Errorf("%d runs of %d tasks began: %v", n, others+2, w.began())
		}
	})
}

// A server's process dies. Nobody listens at its address, so nothing runs there,
// and its work need not wait for the end of the lease.
func TestWorkOfADeadServerGoesOnAtOnce(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.submit("a", step(1, 1000))
		time.Sleep(500 * time.Millisecond)
		for _, one := range w.busy() {
			one.Crash()
		}
		begin := time.Now()
		w.await("a", done, 10*time.Second)
		if took := time.Since(begin); took > 3*time.Second {
			t.Errorf("it took %v", took)
		}
	})
}

// A server dies and starts again under its name while a start is on its way. The
// start reaches the new life, which has seen no fencing token and runs it. The
// task must not be placed elsewhere before that run is stopped.
func TestStartThatReachesTheNextLife(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		var reborn atomic.Bool
		w.change(func(id string, one *worker.Worker) {
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || reborn.Swap(true) {
					return worker.Fault{}
				}
				go func() {
					one.Crash()
					next := w.place(id, 2)
					next.Change(func(next *worker.Worker) {
						next.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 5 * time.Second, inner.RunEnd_RUN_END_DONE }
					})
					next.Call(t.Context(), c)
					w.announce(id, 2)
				}()
				return worker.Fault{Verdict: inner.Verdict_VERDICT_SILENT}
			}
		})
		w.submit("a", step(1, 1000))
		w.await("a", done, 30*time.Second)
	})
}

// A member of a gang is refused. The others must be stopped at once and not left
// to wait for it, and then all start together again.
func TestRefusedMemberStopsItsGang(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		var refused atomic.Bool
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 2 * time.Second, inner.RunEnd_RUN_END_DONE }
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() == nil || refused.Swap(true) {
					return worker.Fault{}
				}
				return worker.Fault{Verdict: inner.Verdict_VERDICT_UNWELL}
			}
		})
		w.submit("a", gangOf(4, 2000))
		w.await("a", done, 10*time.Second)
		numbers := map[uint32]int{}
		for r := range w.began() {
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
func TestGangDoesNotWaitForASilentServer(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.change(func(id string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Minute, inner.RunEnd_RUN_END_DONE }
			gone := false
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if gone = gone || id == "s1" && c.GetStart() != nil; gone {
					return worker.Fault{Late: time.Hour}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", gangOf(4, 2000))
		time.Sleep(200 * time.Millisecond)
		if len(w.busy()) != 1 {
			t.Fatalf("busy servers: %v", w.busy())
		}
		time.Sleep(2500 * time.Millisecond)
		if len(w.busy()) != 0 {
			t.Error("the other members still wait")
		}
	})
}

// Something cuts the leader off from all servers, and entries still reach them.
// Relayed through one and the same entry, the calls would wait for each other.
func TestRelayedCallsAreSpread(t *testing.T) {
	play(t, 12, func(t *testing.T, w *world) {
		greet := func() {
			for i := range 6 {
				w.d.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
			}
		}
		greet()
		w.cut.Store(true)
		for range 8 {
			time.Sleep(500 * time.Millisecond)
			greet()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		through := map[string]int{}
		for _, address := range w.relays {
			through[address]++
		}
		if len(w.relays) != 12 || len(through) < 3 {
			t.Errorf("servers by who relays for them: %v", through)
		}
	})
}

// A caller cancels and is told so. Nothing of its flow may start after that, and
// what runs is stopped.
func TestCancelStopsWhatRuns(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Minute, inner.RunEnd_RUN_END_DONE }
		})
		w.submit("a", step(12, 1000))
		time.Sleep(200 * time.Millisecond)
		if rep := w.ask(inner.FlowVerb_FLOW_VERB_CANCEL, "a"); rep.GetState() != cancelled {
			t.Fatal(rep)
		}
		began := len(w.began())
		time.Sleep(time.Second)
		for id, one := range w.busy() {
			t.Errorf("%s still runs %v", id, one.Running())
		}
		if len(w.began()) != began {
			t.Error("something started after the cancel was told")
		}
	})
}

// A task that always fails has used up its attempts: the flow has failed, and no
// further run of it begins.
func TestFailedAttemptsAreCounted(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Index == 0 {
					return 100 * time.Millisecond, inner.RunEnd_RUN_END_FAILED
				}
				return time.Minute, inner.RunEnd_RUN_END_DONE
			}
		})
		w.submit("a", step(2, 1000))
		w.await("a", failed, 5*time.Second)
		time.Sleep(time.Second)
		if began := w.began(); len(began) != 4 {
			t.Errorf("runs that began: %v", began)
		}
	})
}

// A server says that it leaves and is acknowledged. From then on it gets nothing
// new, also from the next leader and after a late report that it is ready.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		if err := w.report("s1", 1, true); err != nil {
			t.Fatal(err)
		}
		w.elect()
		if err := w.report("s1", 1, false); err != nil {
			t.Fatal(err)
		}
		w.submit("a", step(1, 1000))
		time.Sleep(3 * time.Second)
		if began := w.began(); len(began) > 0 {
			t.Errorf("runs that began: %v", began)
		}
	})
}

// A key is withdrawn by a new document: the next call with it is refused, and
// what it was refused for is not accepted.
func TestWithdrawnKeyIsRefusedAtOnce(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		next := document()
		next.Version, next.Customers[0].Keys = 2, nil
		if err := w.d.Put(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		if rep := w.ask(inner.FlowVerb_FLOW_VERB_SUBMIT, "a", step(1, 1000)); code.Code(rep.GetCode()) != code.InvalidKey {
			t.Errorf("got %v", rep)
		}
	})
}

// Two operators send documents with the same or a lower number: both are told
// yes, and the one in force stays.
func TestOlderDocumentChangesNothing(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		other := document()
		other.Text = []byte("other")
		if err := w.d.Put(t.Context(), other); err != nil {
			t.Fatal(err)
		}
		text, err := w.d.Read(t.Context())
		if err != nil || string(text) != "one" {
			t.Errorf("read %q, %v", text, err)
		}
		unsound := document()
		unsound.Queues[0].Pool = "none"
		if err := w.d.Put(t.Context(), unsound); err == nil || err.Code != code.Malformed {
			t.Errorf("an unsound document was answered with %v", err)
		}
	})
}

// A server hangs: it takes what it is told to start, and nothing moves there. The
// caller's flow must not wait for it.
func TestHangingRunIsMoved(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		var first atomic.Bool
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) {
				if !first.Swap(true) {
					return 1000 * time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		w.submit("a", step(1, 1000))
		w.await("a", done, 8*time.Second)
		if began := w.began(); len(began) != 2 {
			t.Errorf("runs that began: %v", began)
		}
	})
}

// A server hangs, and on it a run that somebody waits for and that should take half a
// second. It has to end elsewhere while its end is still worth something: within
// three times what such a flow may take, here 3 s.
func TestHangingUrgentRunIsMovedInTime(t *testing.T) {
	play(t, 2, func(_ *testing.T, w *world) {
		w.urgent()
		var first atomic.Bool
		w.change(func(_ string, one *worker.Worker) {
			one.StopTime = 900 * time.Millisecond
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) {
				if !first.Swap(true) {
					return 1000 * time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return 500 * time.Millisecond, inner.RunEnd_RUN_END_DONE
			}
		})
		urgent := step(1, 1000)
		urgent.Runtime = 500
		w.submit("a", urgent)
		w.await("a", done, 3*time.Second)
	})
}

// A server fails all that it starts, at once, so that it always has room. A flow
// that could be done must not use up its attempts there.
func TestFailingServerIsPassedOver(t *testing.T) {
	play(t, 2, func(_ *testing.T, w *world) {
		w.change(func(id string, one *worker.Worker) {
			if id == "s1" {
				one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) {
					return 10 * time.Millisecond, inner.RunEnd_RUN_END_FAILED
				}
			}
		})
		for _, id := range []string{"a", "b", "c", "d"} {
			w.submit(id, step(2, 1000))
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			w.await(id, done, 15*time.Second)
		}
	})
}

// Tasks that fill a server make what serves there answer too slowly. They must
// give way within seconds, and get back what does no harm.
func TestFillingTasksGiveWay(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		var tail atomic.Int64
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Hour, inner.RunEnd_RUN_END_DONE }
			one.Load = func(r flow.RunID, paces map[flow.TaskID]uint32) float64 {
				if r.Flow == "fill" {
					return 0
				}
				percent, told := paces[flow.TaskID{StepID: flow.StepID{Flow: "fill"}}]
				if !told {
					percent = 100
				}
				tail.Store(50 + 2*int64(percent))
				return float64(tail.Load())
			}
		})
		serve, fill := step(1, 1000), step(1, 3000)
		serve.Lasting, serve.Target = true, 100
		fill.Fills, fill.Lasting = true, true
		w.submit("serve", serve)
		w.submit("fill", fill)
		time.Sleep(4 * time.Second)
		if got := tail.Load(); got > 100 {
			t.Errorf("the tail is still %d ms", got)
		}
		time.Sleep(10 * time.Second)
		if got := tail.Load(); got > 110 || got < 60 {
			t.Errorf("the tail has come to %d ms", got)
		}
	})
}

// A server leaves soon with a long run on it. It goes on from its checkpoint
// elsewhere; left there, what it did since the last one would be lost.
func TestLeavingServerIsEvacuated(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(r flow.RunID) (time.Duration, inner.RunEnd) {
				if r.Number == 1 {
					return time.Hour, inner.RunEnd_RUN_END_DONE
				}
				return time.Second, inner.RunEnd_RUN_END_DONE
			}
		})
		long := step(1, 1000)
		long.Saves, long.Runtime = true, 3_600_000
		w.submit("a", long)
		time.Sleep(time.Minute)
		for id := range w.busy() {
			if err := w.report(id, 1, true); err != nil {
				t.Fatal(err)
			}
		}
		w.await("a", done, 5*time.Second)
	})
}

// A lasting task ends, for whatever reason: it is back at work at once, and its
// flow never fails.
func TestLastingTaskIsBackAtOnce(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) { return time.Second, inner.RunEnd_RUN_END_FAILED }
		})
		lasting := step(1, 1000)
		lasting.Lasting = true
		w.submit("a", lasting)
		time.Sleep(20 * time.Second)
		if n := len(w.began()); n < 10 || w.state("a") != running {
			t.Errorf("%d runs in 20 s, state %v", n, w.state("a"))
		}
	})
}

// An operator asks for a wave of upkeep. No more machines than its cap are down
// at once, also across a change of leader; what lasts is moved before its machine
// goes down, one task at a time, and the wave is complete when all are back.
func TestWaveOfUpkeep(t *testing.T) {
	play(t, 4, func(t *testing.T, w *world) {
		lasting := step(3, 1000)
		lasting.Lasting, lasting.Absent = true, 1
		w.lasting()
		w.submit("a", lasting)
		time.Sleep(time.Second)
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3", "m-s4"}, Duration: 60_000, Cap: 1}
		if err := w.d.Wave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		least := 3
		watch := func() {
			atWork := 0
			for _, one := range w.busy() {
				atWork += len(one.Running())
			}
			least = min(least, atWork)
		}
		for range 250 {
			time.Sleep(20 * time.Millisecond)
			watch()
		}
		w.elect()
		for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
			watch()
			complete, err := w.d.WaveState(t.Context(), 1)
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
		if w.mostDown != 1 || w.interrupted != 0 {
			t.Errorf("%d machines were down at once, %d runs were interrupted", w.mostDown, w.interrupted)
		}
		if least < 2 {
			t.Errorf("%d of 3 lasting tasks were at work, one may be missed", least)
		}
	})
}

// A leader has ordered a machine down and is replaced; its order is still on the way.
// An order of the next one within the lease of that word would make two holders take
// turns, where fencing tokens are not looked at.
func TestNextLeaderWaitsBeforeItOrdersMachines(t *testing.T) {
	play(t, 3, func(t *testing.T, w *world) {
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3"}, Duration: 60_000, Cap: 1}
		time.Sleep(5 * time.Second)
		if err := w.d.Wave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		elected := w.now()
		w.elect()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.orders) != 2 || w.orders[2]-elected < 3*time.Second {
			t.Errorf("orders at %v, the second leader was elected at %v", w.orders, elected)
		}
	})
}

// An operator takes a queue away while flows of it wait. They were accepted, so
// they still run, also under the next leader; new ones are refused.
func TestFlowsOutliveTheirQueue(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		w.submit("a", step(12, 1000))
		next := document()
		next.Version, next.Queues = 2, nil
		if err := w.d.Put(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		if rep := w.ask(inner.FlowVerb_FLOW_VERB_SUBMIT, "b", step(1, 1000)); code.Code(rep.GetCode()) != code.Forbidden {
			t.Error(rep)
		}
		time.Sleep(100 * time.Millisecond)
		w.elect()
		time.Sleep(8 * time.Second)
		again := document()
		again.Version = 3
		if err := w.d.Put(t.Context(), again); err != nil {
			t.Fatal(err)
		}
		if got := w.state("a"); got != done {
			t.Errorf("the flow is %v", got)
		}
	})
}

// Answers came soon, and all take long now, as those of a busy leader do. Asked for again and again, the
// starts would make it busier still.
func TestSlowAnswersAreWaitedFor(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		const quick = 60
		for i := range quick {
			w.submit(fmt.Sprint("q", i), step(1, 500))
			w.await(fmt.Sprint("q", i), done, 10*time.Second)
		}
		cost := func() { time.Sleep(400 * time.Millisecond) }
		w.cost.Store(&cost)
		var starts atomic.Int32
		w.change(func(_ string, one *worker.Worker) {
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil {
					starts.Add(1)
				}
				return worker.Fault{}
			}
		})
		const flows, learned = 30, 15
		for i := range flows {
			if i == learned {
				starts.Store(0)
			}
			w.submit(fmt.Sprint("f", i), step(1, 500))
			w.await(fmt.Sprint("f", i), done, time.Minute)
		}
		if n := starts.Load(); n > flows-learned {
			t.Errorf("%d starts for %d tasks", n, flows-learned)
		}
		w.cost.Store(nil)
		time.Sleep(3 * time.Second)
	})
}
