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

// crashFixture is a ledger with one flow of a single task whose servers crash.
type crashFixture struct {
	*ledgerFixture
	runNumber uint32
}

func newCrashFixture(t *testing.T, step *v1.FlowStep) *crashFixture {
	c := &crashFixture{ledgerFixture: newLedgerFixture(t, time.Millisecond)}
	c.apply(&record.Flow{What: &record.Flow_Document{Document: testDocument()}})
	accept := &record.FlowAccept{Queue: "q", Customer: "c", Spec: &v1.FlowSpec{Id: "f", Steps: []*v1.FlowStep{step}}}
	c.apply(&record.Flow{What: &record.Flow_Accept{Accept: accept}})
	return c
}

// startRun places the task on a new server and returns the server and the run.
func (c *crashFixture) startRun() (server string, run *inner.Run) {
	c.t.Helper()
	c.runNumber++
	server = fmt.Sprint("s", c.runNumber)
	c.reportServer(server, false)
	run = flow.RunID{TaskID: flow.TaskID{StepID: flow.StepID{Flow: "f"}}, Number: c.runNumber}.Message()
	c.apply(&record.Flow{What: &record.Flow_Start{Start: &record.FlowStart{Places: []*record.FlowPlace{{Run: run, Server: server}}}}})
	return server, run
}

func (c *crashFixture) reportServer(server string, shuttingDown bool) {
	c.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: server, Born: 1, Pool: "p", Capacity: &v1.Size{Cpu: 4, Memory: 100}, Leaving: shuttingDown}}})
}

// endIncarnation records the end of a server incarnation if processEnded is true, and
// otherwise only the end of its lease.
func (c *crashFixture) endIncarnation(server string, processEnded bool, blamed ...*inner.Run) {
	c.t.Helper()
	c.apply(&record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: server, Born: 1, Over: processEnded, Blamed: blamed}}})
}

// restoreFromSnapshot replaces the ledger by one restored from its own snapshot.
func (c *crashFixture) restoreFromSnapshot() {
	c.t.Helper()
	l, err := flows.Restore(c.ledger.Record())
	if err != nil {
		c.t.Fatal(err)
	}
	c.ledger = l
}

func (c *crashFixture) flowFailed() bool {
	f, _ := c.ledger.Flow("f")
	return f.State == v1.FlowState_FLOW_STATE_FAILED
}

// Guards against a task that crashes every server it runs on and is never given up, and
// against one that is given up before it reaches the limit.
func TestConsecutiveCrashesFailTheFlow(t *testing.T) {
	for name, c := range map[string]struct {
		blamed     bool
		maxCrashes int
	}{"blamed": {true, flows.MaxBlamedCrashes}, "not blamed": {false, flows.MaxConsecutiveCrashes}} {
		for kind, step := range map[string]*v1.FlowStep{"single": {Count: 1, Size: &v1.Size{Cpu: 1}}, "gang": {Count: 1, Size: &v1.Size{Cpu: 1}, Gang: true}, "lasting": {Count: 1, Size: &v1.Size{Cpu: 1}, Lasting: true}} {
			t.Run(name+", "+kind, func(t *testing.T) {
				fixture := newCrashFixture(t, step)
				for n := 1; n <= c.maxCrashes; n++ {
					server, run := fixture.startRun()
					if c.blamed {
						fixture.endIncarnation(server, true, run)
					} else {
						fixture.endIncarnation(server, true)
					}
					if fixture.flowFailed() != (n == c.maxCrashes) {
						t.Fatalf("after %d crashes: flow failed = %v", n, fixture.flowFailed())
					}
					fixture.restoreFromSnapshot()
				}
			})
		}
	}
}

// Guards against healthy tasks that are given up because of planned shutdowns, expired
// leases, or rare crashes under a lasting task.
func TestPlannedOrRareServerLossesDoNotFailTheFlow(t *testing.T) {
	step := func() *v1.FlowStep { return &v1.FlowStep{Count: 1, Size: &v1.Size{Cpu: 1}, Lasting: true} }
	t.Run("graceful shutdown", func(t *testing.T) {
		fixture := newCrashFixture(t, step())
		for range 3 * flows.MaxConsecutiveCrashes {
			server, run := fixture.startRun()
			fixture.reportServer(server, true)
			fixture.endIncarnation(server, true, run)
		}
		if fixture.flowFailed() {
			t.Error("flow failed because of servers that shut down gracefully")
		}
	})
	t.Run("expired lease", func(t *testing.T) {
		fixture := newCrashFixture(t, step())
		for range 3 * flows.MaxConsecutiveCrashes {
			server, _ := fixture.startRun()
			fixture.endIncarnation(server, false)
		}
		if fixture.flowFailed() {
			t.Error("flow failed because of expired leases")
		}
	})
	t.Run("maintenance", func(t *testing.T) {
		fixture := newCrashFixture(t, step())
		for n := range uint64(3 * flows.MaxConsecutiveCrashes) {
			server, _ := fixture.startRun()
			machine := fmt.Sprint("m", n)
			fixture.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: server, Born: 1, Pool: "p", Machine: machine, Capacity: &v1.Size{Cpu: 4, Memory: 100}}}})
			fixture.apply(&record.Flow{What: &record.Flow_Wave{Wave: &record.Wave{Number: n + 1, Machines: []string{machine}, Cap: 1}}})
			fixture.apply(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: n + 1, Machine: machine}}})
			fixture.endIncarnation(server, true)
		}
		if fixture.flowFailed() {
			t.Error("flow failed because of maintenance")
		}
	})
	t.Run("rare crashes", func(t *testing.T) {
		fixture := newCrashFixture(t, step())
		for range 3 * flows.MaxConsecutiveCrashes {
			server, _ := fixture.startRun()
			fixture.now += 2 * time.Minute
			fixture.endIncarnation(server, true)
		}
		if fixture.flowFailed() {
			t.Error("flow failed because of rare crashes of a lasting task")
		}
	})
}

// Guards against a server that never counts as one that has stood, and so takes no task with one
// crash left, because its room changes again and again.
func TestChangedRoomIsNoStartOfTheServer(t *testing.T) {
	fixture := newCrashFixture(t, &v1.FlowStep{Count: 1})
	report := func(incarnation, cpu int64, slowStart uint64) time.Duration {
		fixture.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: "s", Born: incarnation, Pool: "p", Capacity: &v1.Size{Cpu: cpu}, Cold: slowStart}}})
		b, _ := fixture.ledger.Server("s")
		return b.SlowStartEndsAt
	}
	startedAt := report(1, 4, 0)
	if got := report(1, 2, 0); got != startedAt {
		t.Errorf("start of the server moved from %v to %v when its room changed", startedAt, got)
	}
	if got := report(1, 4, 1000); got != fixture.now+time.Second {
		t.Errorf("slow start ends at %v, want %v", got, fixture.now+time.Second)
	}
	if got := report(1, 2, 0); got != fixture.now {
		t.Errorf("slow start ends at %v although the server reported its end at %v", got, fixture.now)
	}
	if got := report(2, 2, 0); got != fixture.now {
		t.Errorf("start of the next incarnation is %v, want %v", got, fixture.now)
	}
}
