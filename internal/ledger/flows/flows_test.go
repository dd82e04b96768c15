package flows_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/ledger/flows"
)

// ledgerModel drives a ledger with random commands, both valid and invalid ones.
type ledgerModel struct {
	ledger        *flows.Ledger
	now           time.Duration
	acceptedFlows int
	servers       []string
	// drainedZones holds the zones that the commands sent so far have drained.
	drainedZones map[string]bool
	// resizedServers holds the servers whose reported capacity changed. They may hold
	// more than their capacity.
	resizedServers map[string]bool
	// doneTasks holds the tasks with a run that ended successfully.
	doneTasks map[flow.TaskID]bool
}

func testDocument() *v1.Document {
	return &v1.Document{
		Version: 1, Pools: []*v1.Pool{{Name: "p"}},
		Queues:    []*v1.Queue{{Name: "q", Host: "h", Path: "/", Pool: "p", Attempts: 2, Timeout: 1}},
		Customers: []*v1.Customer{{Name: "c", Limit: &v1.Size{Cpu: 9}}},
	}
}

func newLedgerModel(t *rapid.T) *ledgerModel {
	m := &ledgerModel{ledger: flows.New(), doneTasks: map[flow.TaskID]bool{}, drainedZones: map[string]bool{}, resizedServers: map[string]bool{}}
	m.apply(t, &record.Flow{What: &record.Flow_Document{Document: testDocument()}})
	for i := range 3 {
		id := fmt.Sprintf("s%d", i)
		m.servers = append(m.servers, id)
		m.startServer(t, id, 1)
	}
	return m
}

func (m *ledgerModel) startServer(t *rapid.T, id string, startedAtMs int64) {
	m.apply(t, &record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: id, Born: startedAtMs, Zone: zoneOf(id), Pool: "p", Capacity: &v1.Size{Cpu: 4, Memory: 100}}}})
}

func (m *ledgerModel) apply(t *rapid.T, f *record.Flow) bool {
	m.now += time.Millisecond
	digestBefore := m.ledger.Digest()
	err := m.ledger.Apply(m.now, f)
	if err != nil && m.ledger.Digest() != digestBefore {
		t.Fatalf("a rejected command changed the digest: %v", err)
	}
	return err == nil
}

// zoneOf returns the zone of a server. The first server has a zone to itself.
func zoneOf(server string) string {
	if server == "s0" {
		return "x"
	}
	return "y"
}

// zoneModel is a ledgerModel whose zones are also drained and returned to service.
type zoneModel struct{ *ledgerModel }

// Zone drains a zone or ends its drain.
func (m zoneModel) Zone(t *rapid.T) {
	zone, drain := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), rapid.Bool().Draw(t, "drain")
	m.apply(t, &record.Flow{What: &record.Flow_Zone{Zone: &record.ZoneMark{Zone: zone, Drain: drain}}})
	m.drainedZones[zone] = drain
}

// crashModel is a ledgerModel whose servers also crash, shrink and grow.
type crashModel struct{ *ledgerModel }

// Crash ends a server incarnation without notice and blames all runs that it held.
func (m crashModel) Crash(t *rapid.T) {
	b, _ := m.ledger.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	c := &record.FlowClear{Id: b.ID, Born: b.StartedAtMs, Over: true}
	for _, h := range b.HeldRuns {
		c.Blamed = append(c.Blamed, h.Message())
	}
	m.apply(t, &record.Flow{What: &record.Flow_Clear{Clear: c}})
	m.startServer(t, b.ID, b.StartedAtMs+1)
}

// Resize changes the capacity that a server reports.
func (m crashModel) Resize(t *rapid.T) {
	b, _ := m.ledger.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	m.resizedServers[b.ID] = true
	cpu := rapid.Int64Range(0, 5).Draw(t, "cpu")
	m.apply(t, &record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: b.ID, Born: b.StartedAtMs, Zone: b.Zone, Pool: b.Pool, Capacity: &v1.Size{Cpu: cpu, Memory: 100}}}})
}

// Accept submits a flow of one or two steps.
func (m *ledgerModel) Accept(t *rapid.T) {
	m.acceptedFlows++
	first := &v1.FlowStep{Count: uint32(rapid.IntRange(1, 3).Draw(t, "count")), Size: &v1.Size{Cpu: 1, Memory: 1}, Gang: rapid.Bool().Draw(t, "gang")}
	spec := &v1.FlowSpec{Id: fmt.Sprintf("f%d", m.acceptedFlows), Steps: []*v1.FlowStep{first}}
	if rapid.Bool().Draw(t, "second") {
		spec.Steps = append(spec.Steps, &v1.FlowStep{Count: 1, Size: &v1.Size{Cpu: 2}, After: []uint32{0}})
	}
	m.apply(t, &record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: "q", Customer: "c", Spec: spec}}})
}

// Start places the queued tasks of a ready step on random servers.
func (m *ledgerModel) Start(t *rapid.T) {
	ready := slices.SortedFunc(maps.Keys(m.ledger.ReadySteps()), func(a, b flow.StepID) int { return strings.Compare(a.String(), b.String()) })
	for _, id := range ready {
		s, _ := m.ledger.Step(id)
		start := &record.FlowStart{}
		var latestRun uint32
		for _, task := range s.Tasks {
			latestRun = max(latestRun, task.LatestRun)
		}
		for i, task := range s.Tasks {
			if task.Phase == flows.Queued {
				id := flow.RunID{TaskID: flow.TaskID{StepID: s.StepID, Index: uint32(i)}, Number: latestRun + 1}
				start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: rapid.SampledFrom(m.servers).Draw(t, "server")})
			}
		}
		ok := m.apply(t, &record.Flow{What: &record.Flow_Start{Start: start}})
		for _, p := range start.Places {
			b, _ := m.ledger.Server(p.GetServer())
			switch {
			case ok && m.drainedZones[zoneOf(p.GetServer())]:
				t.Fatalf("%v was placed in a drained zone", p)
			case ok && !b.Used.Fits(b.Capacity):
				t.Fatalf("%v was placed on a server with capacity %v and usage %v", p, b.Capacity, b.Used)
			}
		}
		return
	}
}

// End reports the end of a run, twice, on a random server that holds one.
func (m *ledgerModel) End(t *rapid.T) {
	b, _ := m.ledger.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	held := slices.SortedFunc(maps.Keys(b.HeldRuns), func(a, b flow.TaskID) int { return strings.Compare(a.String(), b.String()) })
	for _, id := range held {
		h := b.HeldRuns[id]
		runEnd := inner.RunEnd(rapid.IntRange(1, 7).Draw(t, "how"))
		e := &record.FlowEnd{Run: h.Message(), How: runEnd, Checkpoint: "c"}
		m.apply(t, &record.Flow{What: &record.Flow_Ends{Ends: &record.FlowEnds{Server: b.ID, Born: b.StartedAtMs, Ends: []*record.FlowEnd{e, e}}}})
		m.doneTasks[id] = m.doneTasks[id] || runEnd == inner.RunEnd_RUN_END_DONE
		return
	}
}

// Cancel cancels a random flow, which may not exist.
func (m *ledgerModel) Cancel(t *rapid.T) {
	id := fmt.Sprintf("f%d", rapid.IntRange(1, 9).Draw(t, "flow"))
	m.apply(t, &record.Flow{What: &record.Flow_Cancel{Cancel: &record.FlowCancel{Id: id}}})
}

// RebootServer ends a server incarnation and starts the next one.
func (m *ledgerModel) RebootServer(t *rapid.T) {
	b, _ := m.ledger.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	m.startServer(t, b.ID, b.StartedAtMs+1)
}

// ClearServer ends all runs that a server held, as after an expired lease.
func (m *ledgerModel) ClearServer(t *rapid.T) {
	b, _ := m.ledger.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	m.apply(t, &record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: b.ID, Born: b.StartedAtMs}}})
}

// Restore replaces the ledger by one restored from its own snapshot.
func (m *ledgerModel) Restore(t *rapid.T) {
	l, err := flows.Restore(m.ledger.Record())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.ledger.Record(), l.Record(), protocmp.Transform()); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(runsToStop(m.ledger), runsToStop(l)); diff != "" {
		t.Fatalf("runs to stop (-live +restored):\n%s", diff)
	}
	if len(l.ReadySteps()) != len(m.ledger.ReadySteps()) || len(l.RunsToStop()) != len(m.ledger.RunsToStop()) || l.OpenFlows() != m.ledger.OpenFlows() || l.OpenBytes() != m.ledger.OpenBytes() || (l.OpenBytes() == 0) != (l.OpenFlows() == 0) || l.PendingFlows("q") != m.ledger.PendingFlows("q") {
		t.Fatalf("derived state differs, restored and live: ready steps %d %d, runs to stop %d %d, open flows %d %d, pending flows %d %d", len(l.ReadySteps()), len(m.ledger.ReadySteps()),
			len(l.RunsToStop()), len(m.ledger.RunsToStop()), l.OpenFlows(), m.ledger.OpenFlows(), l.PendingFlows("q"), m.ledger.PendingFlows("q"))
	}
	m.ledger = l
}

// Check verifies the invariants that must hold after any sequence of commands.
func (m *ledgerModel) Check(t *rapid.T) {
	var used capacity.Size
	holderByTask := map[flow.TaskID]string{}
	for _, b := range m.ledger.Servers() {
		var held capacity.Size
		for id, h := range b.HeldRuns {
			held = held.Add(h.Size)
			if other, ok := holderByTask[id]; ok {
				t.Fatalf("task %v is held by both %s and %s", id, other, b.ID)
			}
			holderByTask[id] = b.ID
		}
		if held != b.Used || !held.Fits(b.Capacity) && !m.resizedServers[b.ID] {
			t.Fatalf("server %s: held runs add up to %v, recorded usage %v, capacity %v", b.ID, held, b.Used, b.Capacity)
		}
		used = used.Add(held)
	}
	if used != m.ledger.CustomerUsage("c") || used.CPU > 9 {
		t.Fatalf("customer: held runs add up to %v, recorded usage %v", used, m.ledger.CustomerUsage("c"))
	}
	if m.ledger.InvalidTransitions() > 0 {
		t.Fatal("an event occurred that the state charts do not allow")
	}
	for _, f := range m.ledger.Flows() {
		for _, turn := range f.Turns {
			for _, s := range turn.Steps {
				checkStep(t, s)
			}
		}
	}
}

func checkStep(t *rapid.T, s *flows.Step) {
	counts := map[flows.Phase]int{}
	for _, task := range s.Tasks {
		counts[task.Phase]++
	}
	if counts[flows.Queued] != s.QueuedTasks || counts[flows.Placed] != s.PlacedTasks || counts[flows.Done] != s.DoneTasks {
		t.Fatalf("step %v: recorded queued, placed, done = %d %d %d, counted %v", s.StepID, s.QueuedTasks, s.PlacedTasks, s.DoneTasks, counts)
	}
	if s.Spec.GetGang() && s.PlacedTasks > 0 && s.QueuedTasks > 0 {
		t.Fatalf("gang %v has both queued and placed tasks", s.StepID)
	}
	if s.UnfinishedDependencies > 0 && s.QueuedTasks != len(s.Tasks) {
		t.Fatalf("step %v began before its preceding steps were done", s.StepID)
	}
}

func TestDrainedZonesUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(zoneModel{newLedgerModel(t)}))
	})
}

func TestCrashingAndResizedServersUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(crashModel{newLedgerModel(t)}))
	})
}

func TestLedgerUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}
