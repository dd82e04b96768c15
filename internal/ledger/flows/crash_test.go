package flows_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// crashes is a ledger with one flow of one task, whose servers crash.
type crashes struct {
	t      *testing.T
	l      *flows.Ledger
	at     time.Duration
	number uint32
}

func newCrashes(t *testing.T, step *v1.FlowStep) *crashes {
	c := &crashes{t: t, l: flows.New()}
	c.apply(&record.Flow{What: &record.Flow_Document{Document: document()}})
	accept := &record.FlowAccept{Queue: "q", Customer: "c", Spec: &v1.FlowSpec{Id: "f", Steps: []*v1.FlowStep{step}}}
	c.apply(&record.Flow{What: &record.Flow_Accept{Accept: accept}})
	return c
}

func (c *crashes) apply(f *record.Flow) {
	c.t.Helper()
	c.at += time.Millisecond
	if err := c.l.Apply(c.at, f); err != nil {
		c.t.Fatal(err)
	}
}

// run starts the task on a new server, and returns that.
func (c *crashes) run() (server string, run *inner.Run) {
	c.t.Helper()
	c.number++
	server = fmt.Sprint("s", c.number)
	c.serve(server, false)
	run = flow.RunID{TaskID: flow.TaskID{StepID: flow.StepID{Flow: "f"}}, Number: c.number}.Message()
	c.apply(&record.Flow{What: &record.Flow_Start{Start: &record.FlowStart{Places: []*record.FlowPlace{{Run: run, Server: server}}}}})
	return server, run
}

func (c *crashes) serve(server string, leaving bool) {
	c.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: server, Born: 1, Pool: "p", Capacity: &v1.Size{Cpu: 4, Memory: 100}, Leaving: leaving}}})
}

// end ends the life of a server, or its lease.
func (c *crashes) end(server string, over bool, blamed ...*inner.Run) {
	c.t.Helper()
	c.apply(&record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: server, Born: 1, Over: over, Blamed: blamed}}})
}

// restart goes on from a snapshot.
func (c *crashes) restart() {
	c.t.Helper()
	l, err := flows.Restore(c.l.Record())
	if err != nil {
		c.t.Fatal(err)
	}
	c.l = l
}

func (c *crashes) failed() bool {
	f, _ := c.l.Flow("f")
	return f.State == v1.FlowState_FLOW_STATE_FAILED
}

// A task that takes down each of its servers is never given up, or given up before
// it is known that it does so.
func TestCrashesInARowGiveATaskUp(t *testing.T) {
	for name, c := range map[string]struct {
		blamed bool
		most   int
	}{"blamed": {true, flows.MaxBlamedCrashes}, "beside another": {false, flows.MaxConsecutiveCrashes}} {
		for kind, step := range map[string]*v1.FlowStep{"single": {Count: 1, Size: &v1.Size{Cpu: 1}}, "gang": {Count: 1, Size: &v1.Size{Cpu: 1}, Gang: true}, "lasting": {Count: 1, Size: &v1.Size{Cpu: 1}, Lasting: true}} {
			t.Run(name+", "+kind, func(t *testing.T) {
				w := newCrashes(t, step)
				for n := 1; n <= c.most; n++ {
					server, run := w.run()
					if c.blamed {
						w.end(server, true, run)
					} else {
						w.end(server, true)
					}
					if w.failed() != (n == c.most) {
						t.Fatalf("after %d crashes: failed %v", n, w.failed())
					}
					w.restart()
				}
			})
		}
	}
}

// Sound work is given up for what is no crash: servers that leave, leases that run out,
// and crashes that come now and then under a task that lasts.
func TestWhatIsNoCrashGivesNothingUp(t *testing.T) {
	step := func() *v1.FlowStep { return &v1.FlowStep{Count: 1, Size: &v1.Size{Cpu: 1}, Lasting: true} }
	t.Run("leaving", func(t *testing.T) {
		w := newCrashes(t, step())
		for range 3 * flows.MaxConsecutiveCrashes {
			server, run := w.run()
			w.serve(server, true)
			w.end(server, true, run)
		}
		if w.failed() {
			t.Error("given up for servers that left")
		}
	})
	t.Run("silent", func(t *testing.T) {
		w := newCrashes(t, step())
		for range 3 * flows.MaxConsecutiveCrashes {
			server, _ := w.run()
			w.end(server, false)
		}
		if w.failed() {
			t.Error("given up for leases that ran out")
		}
	})
	t.Run("upkeep", func(t *testing.T) {
		w := newCrashes(t, step())
		for n := range uint64(3 * flows.MaxConsecutiveCrashes) {
			server, _ := w.run()
			machine := fmt.Sprint("m", n)
			w.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: server, Born: 1, Pool: "p", Machine: machine, Capacity: &v1.Size{Cpu: 4, Memory: 100}}}})
			w.apply(&record.Flow{What: &record.Flow_Wave{Wave: &record.Wave{Number: n + 1, Machines: []string{machine}, Cap: 1}}})
			w.apply(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: n + 1, Machine: machine}}})
			w.end(server, true)
		}
		if w.failed() {
			t.Error("given up for upkeep")
		}
	})
	t.Run("long apart", func(t *testing.T) {
		w := newCrashes(t, step())
		for range 3 * flows.MaxConsecutiveCrashes {
			server, _ := w.run()
			w.at += 2 * time.Minute
			w.end(server, true)
		}
		if w.failed() {
			t.Error("given up for crashes that came now and then")
		}
	})
}
