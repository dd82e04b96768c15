package steps_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/policy/steps"
)

// queueItem returns an item of a queue and a customer.
func queueItem(id, queue, customer string, priority uint32, spec *v1.FlowStep) steps.Item {
	i := item(id, spec)
	i.Flow.QueueName, i.Flow.Customer, i.Priority, i.Urgent = queue, customer, priority, priority == 0
	return i
}

// placedByFlow returns the number of placed tasks of each flow.
func placedByFlow(p steps.Plan) map[string]int {
	out := map[string]int{}
	for _, placement := range p.Placements {
		out[placement.Item.Flow.ID] += len(placement.Assignments)
	}
	return out
}

// contendedPlan selects the items and makes a plan while customers compete.
func contendedPlan(v steps.View, shortfalls map[string]int64) steps.Plan {
	v.Contended = true
	steps.MarkBelowFloor(v.Items, shortfalls)
	v.Items = steps.SelectItems(v, 0)
	return steps.Make(v)
}

// shortWork is the timing of a flow of 600 ms that should end within 1.2 s.
var shortWork = steps.Timing{Objective: 1200 * time.Millisecond, TolerantObjective: 2 * time.Second, Remaining: 600 * time.Millisecond}

// A burst of twice the urgent work that fits: with the most overdue first, all of it would end
// late.
func TestTwiceTheRoomInUrgentWorkAsManyAsFitEndInTime(t *testing.T) {
	var items []steps.Item
	ages := map[string]time.Duration{}
	for i := range 400 {
		id, age := fmt.Sprintf("%03d", i), time.Duration(i%20)*200*time.Millisecond
		ages[id] = age
		items = append(items, queueItem(id, "quick", "c", 0, tasks(2, 1000)).WithAge(shortWork, age))
	}
	p := contendedPlan(view([]steps.Server{server("a", 40_000), server("b", 40_000)}, items...), nil)
	started := placedByFlow(p)
	if len(started) != 40 {
		t.Errorf("%d flows start, want 40", len(started))
	}
	for id := range started {
		if ages[id] > 800*time.Millisecond {
			t.Errorf("a flow starts after %s and ends late", ages[id])
		}
	}
}

// Urgent work that is always there would keep the lowest priority from starting at all.
func TestLowestPriorityKeepsItsFloor(t *testing.T) {
	var items []steps.Item
	for i := range 50 {
		items = append(items,
			queueItem(fmt.Sprintf("quick %02d", i), "quick", "c", 0, tasks(1, 1000)),
			queueItem(fmt.Sprintf("batch %02d", i), "batch", "c", 2, tasks(2, 1000)))
		items[len(items)-1].AtRisk = true
	}
	got := map[string]int{}
	for _, placement := range contendedPlan(view([]steps.Server{server("a", 20_000)}, items...), map[string]int64{"batch": 3000}).Placements {
		got[placement.Item.Flow.QueueName] += len(placement.Assignments)
	}
	if diff := cmp.Diff(map[string]int{"batch": 4, "quick": 16}, got); diff != "" {
		t.Error(diff)
	}
}

// Work of the lowest priority that has just arrived can wait as usual. Its floor must not put it
// before work of higher priority while there is hardly more work than room.
func TestFloorIsForWorkAtRisk(t *testing.T) {
	timing := steps.Timing{Objective: 14 * time.Second, TolerantObjective: 25 * time.Second, Remaining: 2 * time.Second}
	items := []steps.Item{
		queueItem("new", "batch", "c", 2, tasks(5, 1000)).WithAge(timing, time.Second),
		queueItem("plan", "plan", "c", 1, tasks(5, 1000)).WithAge(timing, 0),
	}
	p := contendedPlan(view([]steps.Server{server("a", 5000)}, items...), map[string]int64{"batch": 5000})
	if diff := cmp.Diff(map[string]int{"plan": 5}, placedByFlow(p)); diff != "" {
		t.Error(diff)
	}
}

// The order for competing customers is for more work than room; with room for all it would only
// put late urgent work behind other work.
func TestRoomIsShortWhenMoreIsReadyThanIsFree(t *testing.T) {
	used := server("a", 5000)
	used.Used = capacity.Size{CPU: 2000}
	servers := []steps.Server{used, server("b", 1000)}
	if steps.RoomShort(map[string]int64{"pool": 4000}, servers) || !steps.RoomShort(map[string]int64{"pool": 4001}, servers) {
		t.Error("room is short from 4,001 on")
	}
}

// Work that is late has no part in the floor of its queue: it would take the room of work that
// can still end in time.
func TestFloorIsNotSpentOnLateWork(t *testing.T) {
	late := queueItem("late", "batch", "c", 2, tasks(10, 1000))
	late.AtRisk, late.Late, late.Overdue, late.Slack = true, true, true, -time.Second
	p := contendedPlan(view([]steps.Server{server("a", 10_000)}, late, queueItem("quick", "quick", "c", 0, tasks(10, 1000))), map[string]int64{"batch": 9000})
	if diff := cmp.Diff(map[string]int{"quick": 10}, placedByFlow(p)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a queue that starts nothing while all work is late, as after an outage: late work
// of higher priority would take all room.
func TestFloorHoldsAmongLateWork(t *testing.T) {
	var items []steps.Item
	for i := range 50 {
		for _, late := range []steps.Item{
			queueItem(fmt.Sprintf("quick %02d", i), "quick", "c", 0, tasks(1, 1000)),
			queueItem(fmt.Sprintf("batch %02d", i), "batch", "c", 2, tasks(2, 1000)),
		} {
			late.Overdue, late.AtRisk, late.Slack = true, true, -time.Second
			items = append(items, late)
		}
	}
	got := map[string]int{}
	for _, placement := range contendedPlan(view([]steps.Server{server("a", 20_000)}, items...), map[string]int64{"batch": 3000}).Placements {
		got[placement.Item.Flow.QueueName] += len(placement.Assignments)
	}
	if diff := cmp.Diff(map[string]int{"batch": 4, "quick": 16}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a lowest queue of which nothing ever runs beside a backlog of urgent work, while
// customers do not compete. One item of it is enough, and none once something of it runs.
func TestQueueOfWhichNothingRunsStartsOneItem(t *testing.T) {
	for _, running := range []bool{false, true} {
		var items []steps.Item
		for i := range 20 {
			low := queueItem(fmt.Sprintf("batch %02d", i), "batch", "c", 2, tasks(2, 1000))
			low.AtRisk, low.Late, low.Slack = true, true, -time.Second
			items = append(items, queueItem(fmt.Sprintf("quick %02d", i), "quick", "c", 0, tasks(1, 1000)), low)
		}
		steps.MarkStarved(items, func(queue string) bool { return queue == "quick" || running })
		v := view([]steps.Server{server("a", 10_000)}, items...)
		v.Items = steps.SelectItems(v, 0)
		got := map[string]int{}
		for _, placement := range steps.Make(v).Placements {
			got[placement.Item.Flow.QueueName] += len(placement.Assignments)
		}
		want := map[string]int{"batch": 2, "quick": 8}
		if running {
			want = map[string]int{"quick": 10}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("running %v: %s", running, diff)
		}
	}
}

// Gangs that start with their last slack wait for room together and all end late. One that has
// spent its slack must not keep the room of one that has not.
func TestGangsOfAQuarterOfTheCellInABurst(t *testing.T) {
	timing := steps.Timing{Objective: 13 * time.Second, TolerantObjective: 25 * time.Second, Remaining: 5 * time.Second}
	var items []steps.Item
	for i := range 8 {
		age := time.Duration(i) * time.Second
		items = append(items, queueItem(fmt.Sprintf("gang %s", age), "plan", "c", 1, gang(2, 10_000)).WithAge(timing, age))
	}
	var servers []steps.Server
	for i := range 8 {
		servers = append(servers, server(fmt.Sprint(i), 10_000))
	}
	p := contendedPlan(view(servers, items...), nil)
	if diff := cmp.Diff([]string{"gang 3s", "gang 4s", "gang 5s", "gang 6s"}, slices.Sorted(maps.Keys(placedByFlow(p)))); diff != "" {
		t.Error(diff)
	}
}

// Guards against a customer that sends far more than its rate and takes the room of all others.
func TestOneCustomerSendsEightTimesItsUsual(t *testing.T) {
	var items []steps.Item
	for i := range 80 {
		hot := queueItem(fmt.Sprintf("hot %02d", i), "quick", "hot", 0, tasks(1, 1000))
		hot.CustomerUse, hot.Slack = 8, 0
		items = append(items, hot)
	}
	for i := range 10 {
		usual := queueItem(fmt.Sprintf("usual %02d", i), "quick", "usual", 0, tasks(1, 1000))
		usual.CustomerUse, usual.Slack = 1, time.Second
		items = append(items, usual)
	}
	got := map[string]int{}
	for _, placement := range contendedPlan(view([]steps.Server{server("a", 15_000)}, items...), nil).Placements {
		got[placement.Item.Flow.Customer] += len(placement.Assignments)
	}
	if diff := cmp.Diff(map[string]int{"usual": 10, "hot": 5}, got); diff != "" {
		t.Error(diff)
	}
}

// A large flow starts piece by piece. Smaller flows with less slack keep arriving, and it would
// stay half done.
func TestLargeFlowsAreNotStarved(t *testing.T) {
	large := queueItem("large", "batch", "c", 2, tasks(40, 1000))
	large.Begun, large.Slack = true, 5*time.Second
	items := []steps.Item{large}
	for i := range 100 {
		items = append(items, queueItem(fmt.Sprintf("small %02d", i), "batch", "c", 2, tasks(1, 1000)))
	}
	p := contendedPlan(view([]steps.Server{server("a", 40_000)}, items...), nil)
	if diff := cmp.Diff(map[string]int{"large": 40}, placedByFlow(p)); diff != "" {
		t.Error(diff)
	}
}

// Guards against long questions while a pool is full: for each step of a backlog, servers without
// room would be named up to the limit.
func TestQuestionAboutAFullPoolKeepsItsUsualSize(t *testing.T) {
	var servers []steps.Server
	for i := range 300 {
		s := server(fmt.Sprintf("s%03d", i), 10_000)
		s.Used = capacity.Size{CPU: 9_500}
		servers = append(servers, s)
	}
	waiting := item("x", tasks(3, 1000))
	waiting.NeedsPermit = true
	v := view(servers, waiting)
	v.Permissions = permissionsOf(nil, nil)
	p := contendedPlan(v, nil)
	if len(p.Questions) != 1 || len(p.Questions[0].Servers) != steps.MinServersPerQuestion {
		t.Errorf("questions %v, want one about %d servers", p.Questions, steps.MinServersPerQuestion)
	}
}

// Guards against plans that change in a cell whose customers do not compete: the marks for
// contention must have no effect there.
func TestPlansWithoutContentionIgnoreItsOrder(t *testing.T) {
	plain := []steps.Item{queueItem("a", "quick", "c", 0, tasks(3, 1000)), queueItem("b", "plan", "c", 1, gang(3, 1000)), queueItem("c", "batch", "d", 2, tasks(9, 1000))}
	marked := slices.Clone(plain)
	for i := range marked {
		marked[i].Overdue, marked[i].Begun, marked[i].BelowFloor, marked[i].CustomerUse = i == 0, i == 2, i == 2, float64(9-4*i)
	}
	servers := []steps.Server{server("a", 4000), server("b", 4000)}
	if diff := cmp.Diff(placed(steps.Make(view(servers, plain...))), placed(steps.Make(view(servers, marked...)))); diff != "" {
		t.Error(diff)
	}
}

// A burst leaves many flows that end late or have no value. Plans over all of them come too
// seldom for the work that can still end in time, and each of them must still get its turn.
func TestLateBacklogTakesABoundedPartOfEachPlan(t *testing.T) {
	const count = 500
	considered := map[string]bool{}
	for planNumber := range 40 {
		n := 0
		for i := range count {
			old := item(fmt.Sprintf("old %03d", i), tasks(1, 1000))
			old.Overdue, old.Worthless, old.Surplus = i%3 == 0, i%3 == 1, i%3 == 2
			if steps.IsDue(old, planNumber, count) {
				considered[old.Flow.ID] = true
				n++
			}
		}
		if n > 100 {
			t.Errorf("%d late items in plan %d", n, planNumber)
		}
		if !steps.IsDue(item("new", tasks(1, 1000)), planNumber, count) {
			t.Errorf("an item of value is not in plan %d", planNumber)
		}
	}
	if len(considered) != count {
		t.Errorf("%d items were considered within 40 plans, want %d", len(considered), count)
	}
}

// Questions that no helper can take before the next plan only make the plan longer.
func TestPlanHasNoMoreQuestionsThanHelpersCanTake(t *testing.T) {
	var items []steps.Item
	for i := range 100 {
		i := queueItem(fmt.Sprintf("x%03d", i), "quick", "c", 0, tasks(1, 1000))
		i.NeedsPermit = true
		items = append(items, i)
	}
	v := view([]steps.Server{server("a", 100_000)}, items...)
	v.Permissions, v.MaxQuestions = permissionsOf(nil, nil), 10
	if n := len(contendedPlan(v, nil).Questions); n != 10 {
		t.Errorf("%d questions, want 10", n)
	}
}
