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

// machine drives a ledger with random commands, sound and unsound ones.
type machine struct {
	l       *flows.Ledger
	at      time.Duration
	flows   int
	servers []string
	// drained are the zones that are drained by the order of commands.
	drained map[string]bool
	// resized are the servers that have said that they hold more or less by now.
	resized map[string]bool
	// done are the tasks that ended well.
	done map[flow.TaskID]bool
}

func document() *v1.Document {
	return &v1.Document{
		Version: 1, Pools: []*v1.Pool{{Name: "p"}},
		Queues:    []*v1.Queue{{Name: "q", Host: "h", Path: "/", Pool: "p", Attempts: 2, Timeout: 1}},
		Customers: []*v1.Customer{{Name: "c", Limit: &v1.Size{Cpu: 9}}},
	}
}

func newMachine(t *rapid.T) *machine {
	m := &machine{l: flows.New(), done: map[flow.TaskID]bool{}, drained: map[string]bool{}, resized: map[string]bool{}}
	m.apply(t, &record.Flow{What: &record.Flow_Document{Document: document()}})
	for i := range 3 {
		id := fmt.Sprintf("s%d", i)
		m.servers = append(m.servers, id)
		m.born(t, id, 1)
	}
	return m
}

func (m *machine) born(t *rapid.T, id string, born int64) {
	m.apply(t, &record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: id, Born: born, Zone: zoneOf(id), Pool: "p", Capacity: &v1.Size{Cpu: 4, Memory: 100}}}})
}

func (m *machine) apply(t *rapid.T, f *record.Flow) bool {
	m.at += time.Millisecond
	before := m.l.Digest()
	err := m.l.Apply(m.at, f)
	if err != nil && m.l.Digest() != before {
		t.Fatalf("a refused command changed the state: %v", err)
	}
	return err == nil
}

// zoneOf puts the first server into a zone of its own.
func zoneOf(server string) string {
	if server == "s0" {
		return "x"
	}
	return "y"
}

// zoned is a machine whose zones are drained and taken back as well.
type zoned struct{ *machine }

// Zone drains a zone or takes it back.
func (m zoned) Zone(t *rapid.T) {
	zone, drain := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), rapid.Bool().Draw(t, "drain")
	m.apply(t, &record.Flow{What: &record.Flow_Zone{Zone: &record.ZoneMark{Zone: zone, Drain: drain}}})
	m.drained[zone] = drain
}

// unsteady is a machine whose servers crash, shrink and grow as well.
type unsteady struct{ *machine }

// Crash ends a life of a server under all that it held, some of which may be at fault.
func (m unsteady) Crash(t *rapid.T) {
	b, _ := m.l.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	c := &record.FlowClear{Id: b.ID, Born: b.StartedAtMs, Over: true}
	for _, h := range b.HeldRuns {
		c.Blamed = append(c.Blamed, h.Message())
	}
	m.apply(t, &record.Flow{What: &record.Flow_Clear{Clear: c}})
	m.born(t, b.ID, b.StartedAtMs+1)
}

// Resize lets a server hold more or less from now on.
func (m unsteady) Resize(t *rapid.T) {
	b, _ := m.l.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	m.resized[b.ID] = true
	cpu := rapid.Int64Range(0, 5).Draw(t, "cpu")
	m.apply(t, &record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: b.ID, Born: b.StartedAtMs, Zone: b.Zone, Pool: b.Pool, Capacity: &v1.Size{Cpu: cpu, Memory: 100}}}})
}

// Accept takes in a flow of one or two steps.
func (m *machine) Accept(t *rapid.T) {
	m.flows++
	first := &v1.FlowStep{Count: uint32(rapid.IntRange(1, 3).Draw(t, "count")), Size: &v1.Size{Cpu: 1, Memory: 1}, Gang: rapid.Bool().Draw(t, "gang")}
	spec := &v1.FlowSpec{Id: fmt.Sprintf("f%d", m.flows), Steps: []*v1.FlowStep{first}}
	if rapid.Bool().Draw(t, "second") {
		spec.Steps = append(spec.Steps, &v1.FlowStep{Count: 1, Size: &v1.Size{Cpu: 2}, After: []uint32{0}})
	}
	m.apply(t, &record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: "q", Customer: "c", Spec: spec}}})
}

// Start places the waiting tasks of a ready step, wherever chance says.
func (m *machine) Start(t *rapid.T) {
	ready := slices.SortedFunc(maps.Keys(m.l.ReadySteps()), func(a, b flow.StepID) int { return strings.Compare(a.String(), b.String()) })
	for _, id := range ready {
		s, _ := m.l.Step(id)
		start := &record.FlowStart{}
		var top uint32
		for _, task := range s.Tasks {
			top = max(top, task.LatestRun)
		}
		for i, task := range s.Tasks {
			if task.Phase == flows.Queued {
				id := flow.RunID{TaskID: flow.TaskID{StepID: s.StepID, Index: uint32(i)}, Number: top + 1}
				start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: rapid.SampledFrom(m.servers).Draw(t, "server")})
			}
		}
		ok := m.apply(t, &record.Flow{What: &record.Flow_Start{Start: start}})
		for _, p := range start.Places {
			b, _ := m.l.Server(p.GetServer())
			switch {
			case ok && m.drained[zoneOf(p.GetServer())]:
				t.Fatalf("%v was started in a drained zone", p)
			case ok && !b.Used.Fits(b.Capacity):
				t.Fatalf("%v was started on a server that holds %v and has %v", p, b.Capacity, b.Used)
			}
		}
		return
	}
}

// End ends something that a server holds, or something that it does not.
func (m *machine) End(t *rapid.T) {
	b, _ := m.l.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	held := slices.SortedFunc(maps.Keys(b.HeldRuns), func(a, b flow.TaskID) int { return strings.Compare(a.String(), b.String()) })
	for _, id := range held {
		h := b.HeldRuns[id]
		how := inner.RunEnd(rapid.IntRange(1, 7).Draw(t, "how"))
		e := &record.FlowEnd{Run: h.Message(), How: how, Checkpoint: "c"}
		m.apply(t, &record.Flow{What: &record.Flow_Ends{Ends: &record.FlowEnds{Server: b.ID, Born: b.StartedAtMs, Ends: []*record.FlowEnd{e, e}}}})
		m.done[id] = m.done[id] || how == inner.RunEnd_RUN_END_DONE
		return
	}
}

// Cancel cancels some flow.
func (m *machine) Cancel(t *rapid.T) {
	id := fmt.Sprintf("f%d", rapid.IntRange(1, 9).Draw(t, "flow"))
	m.apply(t, &record.Flow{What: &record.Flow_Cancel{Cancel: &record.FlowCancel{Id: id}}})
}

// Reborn ends a life of a server and begins the next.
func (m *machine) Reborn(t *rapid.T) {
	b, _ := m.l.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	m.born(t, b.ID, b.StartedAtMs+1)
}

// Clear loses all that a server held.
func (m *machine) Clear(t *rapid.T) {
	b, _ := m.l.Server(rapid.SampledFrom(m.servers).Draw(t, "server"))
	m.apply(t, &record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: b.ID, Born: b.StartedAtMs}}})
}

// Restore goes on from a snapshot.
func (m *machine) Restore(t *rapid.T) {
	l, err := flows.Restore(m.l.Record())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.l.Record(), l.Record(), protocmp.Transform()); diff != "" {
		t.Fatal(diff)
	}
	if len(l.ReadySteps()) != len(m.l.ReadySteps()) || len(l.RunsToStop()) != len(m.l.RunsToStop()) || l.OpenFlows() != m.l.OpenFlows() || l.PendingFlows("q") != m.l.PendingFlows("q") {
		t.Fatalf("what is derived differs: ready %d %d, unwanted %d %d, open %d %d, pending %d %d", len(l.ReadySteps()), len(m.l.ReadySteps()),
			len(l.RunsToStop()), len(m.l.RunsToStop()), l.OpenFlows(), m.l.OpenFlows(), l.PendingFlows("q"), m.l.PendingFlows("q"))
	}
	m.l = l
}

// Check tells what no order of commands may break.
func (m *machine) Check(t *rapid.T) {
	var used capacity.Size
	where := map[flow.TaskID]string{}
	for _, b := range m.l.Servers() {
		var held capacity.Size
		for id, h := range b.HeldRuns {
			held = held.Add(h.Size)
			if other, ok := where[id]; ok {
				t.Fatalf("%v is held by %s and %s", id, other, b.ID)
			}
			where[id] = b.ID
		}
		if held != b.Used || !held.Fits(b.Capacity) && !m.resized[b.ID] {
			t.Fatalf("%s holds %v, counted are %v of %v", b.ID, held, b.Used, b.Capacity)
		}
		used = used.Add(held)
	}
	if used != m.l.CustomerUsage("c") || used.CPU > 9 {
		t.Fatalf("the customer has %v, counted are %v", used, m.l.CustomerUsage("c"))
	}
	if m.l.InvalidTransitions() > 0 {
		t.Fatal("an event came that the charts do not allow")
	}
	for _, f := range m.l.Flows() {
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
		t.Fatalf("%v counts %d %d %d, it has %v", s.StepID, s.QueuedTasks, s.PlacedTasks, s.DoneTasks, counts)
	}
	if s.Spec.GetGang() && s.PlacedTasks > 0 && s.QueuedTasks > 0 {
		t.Fatalf("gang %v waits and runs", s.StepID)
	}
	if s.UnfinishedDependencies > 0 && s.QueuedTasks != len(s.Tasks) {
		t.Fatalf("%v began before the steps before it ended", s.StepID)
	}
}

func TestDrainedZonesUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(zoned{newMachine(t)}))
	})
}

func TestUnsteadyServersUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(unsteady{newMachine(t)}))
	})
}

func TestLedgerUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}
