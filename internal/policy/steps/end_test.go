package steps_test

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"pgregory.net/rapid"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/steps"
)

// maxPlanTime is far beyond the time of any plan of a few servers, also on a busy machine.
const maxPlanTime = 10 * time.Second

// makeInTime makes a plan and fails the test if the plan does not end within maxPlanTime.
func makeInTime(t rapid.TB, v steps.View) steps.Plan {
	t.Helper()
	made := make(chan steps.Plan, 1)
	go func() { made <- steps.Make(v) }()
	select {
	case p := <-made:
		return p
	case <-time.After(maxPlanTime):
		t.Fatalf("the plan has not ended after %v", maxPlanTime)
		return steps.Plan{}
	}
}

// notAsked returns permissions of an adviser that was asked about no server.
func notAsked(flow.StepID) iter.Seq2[string, steps.Permission] {
	return func(func(string, steps.Permission) bool) {}
}

// Guards against a plan that never ends because the capacity of a server has shrunk below what
// runs on it.
func TestPlanWithAnOvercommittedServerEnds(t *testing.T) {
	full, free := server("full", 100), server("free", 4000)
	full.Used = capacity.Size{CPU: 200}
	asking := item("x", tasks(1, 1000))
	asking.NeedsPermit = true
	v := view([]steps.Server{full, free}, asking)
	v.Permissions, v.MaxQuestions = notAsked, 8
	plan := makeInTime(t, v)
	if len(plan.Questions) != 1 || len(plan.Questions[0].Servers) == 0 || plan.Questions[0].Servers[0] != "free" {
		t.Errorf("the plan asks %v, want a question that begins with the free server", plan.Questions)
	}
}

// viewOfSmallTasks returns a view of servers with the given CPU and of items with as many tasks as a
// step may have, each of the smallest size.
func viewOfSmallTasks(serverCount int, cpu int64, itemCount int, newSpec func(count uint32, cpu int64) *v1.FlowStep) steps.View {
	var servers []steps.Server
	for i := range serverCount {
		servers = append(servers, server(fmt.Sprintf("s%04d", i), cpu))
	}
	var items []steps.Item
	for i := range itemCount {
		spec := newSpec(flow.MaxTasksPerTurn, 1)
		spec.Size.Memory = 0
		items = append(items, item(fmt.Sprintf("f%03d", i), spec))
	}
	return view(servers, items...)
}

// Guards against a plan that takes many seconds: for gangs of small tasks that wait for room, it
// listed the room for each task on each server.
func TestPlanOfGangsOfManySmallTasksEnds(t *testing.T) {
	v := viewOfSmallTasks(1000, 8, 14, gang)
	v.Releases = func(string) []steps.Release {
		return []steps.Release{{After: time.Second, Size: capacity.Size{CPU: 1 << 30}}}
	}
	if plan := makeInTime(t, v); len(plan.Placements) != 0 {
		t.Errorf("the plan places %v, want nothing before there is room", placed(plan))
	}
}

// Guards against a plan that takes many seconds: for a gang that belongs in one rack, it copied all
// candidates for each rack, and a label that each server has for itself is taken for the rack.
func TestPlanOfGangsThatBelongInOneOfManyRacksEnds(t *testing.T) {
	var servers []steps.Server
	for i := range 3000 {
		servers = append(servers, server(fmt.Sprintf("s%04d", i), 1000, "kind", fmt.Sprintf("host%04d", i)))
	}
	var items []steps.Item
	for i := range 64 {
		spec := gang(uint32(len(servers)+1), 1000)
		spec.Together = true
		items = append(items, item(fmt.Sprintf("f%03d", i), spec))
	}
	if plan := makeInTime(t, view(servers, items...)); len(plan.Placements) != 0 {
		t.Errorf("the plan places %v, want nothing before there is room", placed(plan))
	}
}

// Guards against a plan that takes minutes: for tasks much smaller than the urgent ones for which
// room is kept free, it tried each number of tasks on each server.
func TestPlanOfManySmallTasksBesideHeadroomEnds(t *testing.T) {
	v := viewOfSmallTasks(500, 10000, 128, tasks)
	v.Servers[0].Capacity.CPU = 10500
	v.Headroom = func(string) steps.Headroom { return steps.Headroom{Size: capacity.Size{CPU: 10000}, Tasks: 1 << 20} }
	plan := makeInTime(t, v)
	checkPlaced(t, map[string]int{"f000 on s0000": 500}, plan)
}
