package steps_test

import (
	gocmp "cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/steps"
)

func server(id string, cpu int64, labels ...string) steps.Server {
	return steps.Server{Server: &flows.Server{ID: id, Pool: "pool", Capacity: capacity.Size{CPU: cpu, Memory: 1000}, Labels: labels}, Speed: 1}
}

func item(id string, spec *v1.FlowStep) steps.Item {
	s := &flows.Step{StepID: flow.StepID{Flow: id}, Flow: &flows.Flow{ID: id, Customer: "customer"}, Spec: spec, QueuedTasks: int(spec.GetCount())}
	for range spec.GetCount() {
		s.Tasks = append(s.Tasks, flows.Task{Phase: flows.Queued})
	}
	return steps.Item{Step: s, Pool: "pool"}
}

func tasks(count uint32, cpu int64) *v1.FlowStep {
	return &v1.FlowStep{Count: count, Size: &v1.Size{Cpu: cpu, Memory: 10}}
}

func gang(count uint32, cpu int64) *v1.FlowStep {
	s := tasks(count, cpu)
	s.Gang = true
	return s
}

func view(servers []steps.Server, items ...steps.Item) steps.View {
	return steps.View{
		Items: items, Servers: servers,
		RemainingLimit: func(string) capacity.Size { return capacity.Size{CPU: 1 << 40, Memory: 1 << 40, Accel: 1 << 40} },
		Permissions:    known(servers, func(flow.StepID, string) steps.Permission { return steps.Granted }),
	}
}

// known returns what is known of each step on each server.
func known(servers []steps.Server, of func(flow.StepID, string) steps.Permission) func(flow.StepID) iter.Seq2[string, steps.Permission] {
	return func(id flow.StepID) iter.Seq2[string, steps.Permission] {
		return func(yield func(string, steps.Permission) bool) {
			for _, s := range servers {
				if p := of(id, s.ID); p != steps.NotAsked && !yield(s.ID, p) {
					return
				}
			}
		}
	}
}

// placed returns how many tasks of each flow go to each server.
func placed(p steps.Plan) map[string]int {
	out := map[string]int{}
	for _, one := range p.Placements {
		for _, place := range one.Assignments {
			out[place.Flow+" on "+place.Server]++
		}
	}
	return out
}

func check(t *testing.T, want map[string]int, p steps.Plan) {
	t.Helper()
	if diff := cmp.Diff(want, placed(p)); diff != "" {
		t.Error(diff)
	}
}

func TestFullestServerIsFilledFirst(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	b.Used = capacity.Size{CPU: 2000}
	check(t, map[string]int{"x on b": 2, "x on a": 1}, steps.Make(view([]steps.Server{a, b}, item("x", tasks(3, 1000)))))
}

func TestFastServerGoesBeforePacking(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	b.Used, a.Speed = capacity.Size{CPU: 2000}, 1.5
	check(t, map[string]int{"x on a": 2}, steps.Make(view([]steps.Server{a, b}, item("x", tasks(2, 1000)))))
}

func TestOrder(t *testing.T) {
	urgent, patient, surplus, hopeless := item("urgent", tasks(1, 1)), item("patient", tasks(1, 1)), item("surplus", tasks(1, 1)), item("hopeless", tasks(1, 1))
	late := item("late", tasks(1, 1))
	patient.Priority, patient.Slack = 1, time.Second
	late.Priority, late.Slack = 1, -time.Second
	surplus.OverShare, hopeless.Worthless = true, true
	items := []steps.Item{hopeless, surplus, patient, late, urgent}
	slices.SortFunc(items, steps.Compare)
	var got []string
	for _, it := range items {
		got = append(got, it.Flow.ID)
	}
	if diff := cmp.Diff([]string{"urgent", "late", "patient", "surplus", "hopeless"}, got); diff != "" {
		t.Error(diff)
	}
}

// A customer's limit was lowered far below what it sends, and its flows pile up at
// the head of the line; others wait for a label that no server has. Neither may
// keep the flows behind them from room that is there.
func TestBlockedStepsDoNotHoldUpTheOthers(t *testing.T) {
	var items []steps.Item
	for i := range 400 {
		it := item(fmt.Sprintf("limited%03d", i), tasks(1, 1000))
		it.Flow.Customer = "limited"
		label := item(fmt.Sprintf("label%03d", i), tasks(1, 1000))
		label.Spec.Label = "nowhere"
		items = append(items, it, label)
	}
	last := item("last", tasks(1, 1000))
	last.Priority = 9
	v := view([]steps.Server{server("a", 9000)}, append(items, last)...)
	v.RemainingLimit = func(customer string) capacity.Size {
		if customer == "limited" {
			return capacity.Size{}
		}
		return capacity.Size{CPU: 1 << 40, Memory: 1 << 40, Accel: 1 << 40}
	}
	for turn := range 20 {
		w := v
		w.Items = steps.SelectItems(v, turn)
		if len(placed(steps.Make(w))) > 0 {
			return
		}
	}
	t.Error("the last flow did not start in 20 plans")
}

func TestLabelRackAndApart(t *testing.T) {
	spec := tasks(4, 1000)
	spec.Label, spec.Rack, spec.Apart = "big", "r1", 2
	servers := []steps.Server{server("a", 9000, "big", "r2"), server("b", 9000, "big", "r1"), server("c", 9000, "small", "r1")}
	check(t, map[string]int{"x on b": 2, "x on a": 2}, steps.Make(view(servers, item("x", spec))))
}

func TestCustomersLimitBinds(t *testing.T) {
	v := view([]steps.Server{server("a", 9000)}, item("x", tasks(4, 1000)), item("y", gang(2, 1000)))
	v.RemainingLimit = func(string) capacity.Size { return capacity.Size{CPU: 3000, Memory: 1 << 40, Accel: 1 << 40} }
	check(t, map[string]int{"x on a": 3}, steps.Make(v))
}

func TestGangOfOneRackWherePossible(t *testing.T) {
	spec := gang(4, 1000)
	spec.Together = true
	servers := []steps.Server{server("a", 3000, "r1"), server("b", 2000, "r2"), server("c", 2000, "r2")}
	check(t, map[string]int{"x on b": 2, "x on c": 2}, steps.Make(view(servers, item("x", spec))))
}

// Small work keeps arriving and fills each gap at once. A gang that needs a gap
// on several servers at the same time would wait for ever; it keeps what it
// needs from those that come after it.
func TestGangIsNotStarvedBySmallWork(t *testing.T) {
	servers := []steps.Server{server("a", 4000), server("b", 4000), server("c", 4000), server("d", 4000)}
	for i := range servers {
		servers[i].Used = capacity.Size{CPU: 2000}
	}
	large := item("gang", gang(2, 4000))
	small := item("small", tasks(8, 1000))
	small.Priority, small.ExpectedRuntime = 2, 5*time.Second
	v := view(servers, large, small)
	v.Releases = func(string) []steps.Release {
		return []steps.Release{{After: 3 * time.Second, Size: capacity.Size{CPU: 2000}}}
	}
	p := steps.Make(v)
	left := 0
	for _, id := range []string{"a", "b", "c", "d"} {
		if placed(p)["small on "+id] == 0 {
			left++
		}
	}
	if left != 2 {
		t.Errorf("%d servers were kept free for the gang, want 2: %v", left, placed(p))
	}
}

// Room is kept for a gang until the last of it is free. Left idle meanwhile it
// would serve nobody; what ends before then may use it.
func TestShortWorkUsesWhatIsKeptForAGang(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	a.Used = capacity.Size{CPU: 3000}
	large, short, long := item("gang", gang(2, 4000)), item("short", tasks(9, 1000)), item("long", tasks(9, 1000))
	short.Priority, short.ExpectedRuntime = 1, time.Second
	long.Priority, long.ExpectedRuntime = 2, 4*time.Second
	v := view([]steps.Server{a, b}, large, short, long)
	v.Releases = func(id string) []steps.Release {
		if id != "a" {
			return nil
		}
		return []steps.Release{{After: 3 * time.Second, Size: capacity.Size{CPU: 3000}}}
	}
	check(t, map[string]int{"short on a": 1, "short on b": 4}, steps.Make(v))
	v.Items = []steps.Item{large, long}
	check(t, map[string]int{}, steps.Make(v))
}

// Long work fills every server to the last. A quote would find none with room and
// wait for seconds; what usually comes of quotes is left free.
func TestUrgentWorkFindsRoom(t *testing.T) {
	quote, batch := item("quote", tasks(2, 1000)), item("batch", tasks(20, 1000))
	quote.Urgent, batch.Priority = true, 2
	v := view([]steps.Server{server("a", 4000), server("b", 4000)}, batch)
	v.Headroom = func(string) steps.Headroom { return steps.Headroom{Size: capacity.Size{CPU: 1000}, Tasks: 2} }
	check(t, map[string]int{"batch on a": 4, "batch on b": 2}, steps.Make(v))
	v.Items = append(v.Items, quote)
	check(t, map[string]int{"quote on a": 2, "batch on a": 2, "batch on b": 2}, steps.Make(v))
	wide := item("wide", gang(3, 2000))
	wide.Priority = 2
	v.Items = []steps.Item{quote, wide}
	check(t, map[string]int{"quote on a": 2}, steps.Make(v))
	// What holds no quote is left over, and used.
	v.Headroom = func(string) steps.Headroom { return steps.Headroom{Size: capacity.Size{CPU: 3000}, Tasks: 2} }
	v.Items = []steps.Item{batch}
	check(t, map[string]int{"batch on a": 1, "batch on b": 1}, steps.Make(v))
}

// A service has lost a task, and its users are served by the others alone. The room
// that is left is headroom, or kept for a gang; the task must not wait for more.
func TestLastingWorkTakesWhatIsKept(t *testing.T) {
	large, lasting, batch := item("gang", gang(2, 4000)), item("lasting", tasks(1, 1000)), item("batch", tasks(1, 1000))
	lasting.Spec.Lasting, lasting.Priority, batch.Priority = true, 1, 1
	a, b := server("a", 4000), server("b", 4000)
	a.Used = capacity.Size{CPU: 4000}
	v := view([]steps.Server{a, b}, large, lasting, batch)
	v.Releases = func(string) []steps.Release {
		return []steps.Release{{After: time.Second, Size: capacity.Size{CPU: 4000}}}
	}
	v.Headroom = func(string) steps.Headroom { return steps.Headroom{Size: capacity.Size{CPU: 1000}, Tasks: 4} }
	check(t, map[string]int{"lasting on b": 1}, steps.Make(v))
}

// A gang takes a whole pool, of which a part is left free for quotes. It would wait
// for as long as quotes come.
func TestGangOfAWholePoolIsNotHeldUpByHeadroom(t *testing.T) {
	v := view([]steps.Server{server("a", 4000), server("b", 4000)}, item("gang", gang(2, 4000)))
	v.Headroom = func(string) steps.Headroom { return steps.Headroom{Size: capacity.Size{CPU: 1000}, Tasks: 1} }
	check(t, map[string]int{"gang on a": 1, "gang on b": 1}, steps.Make(v))
	v.Items = []steps.Item{item("gang", gang(2, 3000))}
	v.Servers = append(v.Servers, server("c", 1000))
	check(t, map[string]int{"gang on a": 1, "gang on b": 1}, steps.Make(v))
}

// A gang needs more servers than one question names, and some of its permits are
// good. Were those asked about again first, the others would never be.
func TestPermitsThatAreOverAreAskedForFirst(t *testing.T) {
	var servers []steps.Server
	for i := range 200 {
		servers = append(servers, server(fmt.Sprintf("s%03d", i), 4000))
	}
	it := item("x", gang(200, 4000))
	it.NeedsPermit = true
	v := view(servers, it)
	v.Permissions = known(v.Servers, func(_ flow.StepID, s string) steps.Permission {
		if s < "s150" {
			return steps.Granted
		}
		return steps.Stale
	})
	p := steps.Make(v)
	if len(p.Questions) != 1 || !slices.Contains(p.Questions[0].Servers, "s199") || len(p.Questions[0].Servers) > steps.MaxServersPerStep {
		t.Errorf("questions: %v", p.Questions)
	}
}

// More comes than can run. What is late already would make all behind it late as
// well, and in the end nothing would be in time; it goes last, and what the
// customer was promised nothing for goes behind it.
func TestLateWorkDoesNotMakeOthersLate(t *testing.T) {
	late, fresh := item("late", tasks(4, 1000)), item("fresh", tasks(4, 1000))
	late.Late, late.Slack, fresh.Priority = true, -time.Second, 2
	check(t, map[string]int{"fresh on a": 4}, steps.Make(view([]steps.Server{server("a", 4000)}, late, fresh)))
}

// A wide gang needs many servers, of which the adviser allows a few. Found one
// small question after the other, it would begin seconds later.
func TestWideStepsAskAboutMoreServers(t *testing.T) {
	var servers []steps.Server
	for i := range 200 {
		servers = append(servers, server(fmt.Sprintf("s%03d", i), 4000))
	}
	asked := func(count uint32, share float64) int {
		it := item("x", gang(count, 3000))
		it.NeedsPermit = true
		v := view(servers, it)
		v.Permissions = known(nil, nil)
		v.AllowedShare = func(steps.Item) float64 { return share }
		return len(steps.Make(v).Questions[0].Servers)
	}
	if got := []int{asked(2, 0.5), asked(20, 0.5), asked(20, 0.3), asked(100, 0.3)}; !slices.Equal(got, []int{steps.MinServersPerQuestion, 60, 100, steps.MaxServersPerStep}) {
		t.Errorf("servers asked about: %v", got)
	}
}

// A permit has run out while a step waited for room. The room is there now, and
// the question takes time: were it given away meanwhile, the step would ask for
// ever and never run.
func TestRoomIsKeptWhileAPermitIsAskedFor(t *testing.T) {
	first, second := item("first", gang(2, 2000)), item("second", tasks(4, 1000))
	first.NeedsPermit, second.Priority = true, 1
	v := view([]steps.Server{server("a", 4000)}, first, second)
	v.Permissions = known(v.Servers, func(flow.StepID, string) steps.Permission { return steps.Stale })
	p := steps.Make(v)
	check(t, map[string]int{}, p)
	if len(p.Questions) != 1 || !slices.Equal(p.Questions[0].Servers, []string{"a"}) {
		t.Errorf("questions: %v", p.Questions)
	}
}

func TestQuestionsNameServersWithRoomFirst(t *testing.T) {
	var servers []steps.Server
	for i := range 40 {
		s := server(fmt.Sprintf("s%02d", i), 4000)
		s.Used = capacity.Size{CPU: int64(i) * 100}
		servers = append(servers, s)
	}
	it := item("x", tasks(1, 1000))
	it.NeedsPermit = true
	v := view(servers, it)
	v.Permissions = known(nil, nil)
	p := steps.Make(v)
	if len(p.Questions) != 1 || len(p.Questions[0].Servers) != steps.MinServersPerQuestion || p.Questions[0].Servers[0] != "s00" {
		t.Errorf("questions: %v", p.Questions)
	}
}

// Whatever waits: no server is filled beyond its room, no limit is passed, a gang
// is whole or not at all, and no task is placed twice.
func TestPlansKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []steps.Server
		for i := range rapid.IntRange(1, 8).Draw(t, "servers") {
			s := server(fmt.Sprintf("s%d", i), rapid.Int64Range(0, 16000).Draw(t, "cpu"))
			s.Used = capacity.Size{CPU: rapid.Int64Range(0, s.Capacity.CPU).Draw(t, "used")}
			servers = append(servers, s)
		}
		var items []steps.Item
		for i := range rapid.IntRange(0, 12).Draw(t, "items") {
			spec := tasks(uint32(rapid.IntRange(1, 10).Draw(t, "count")), rapid.Int64Range(1, 5000).Draw(t, "size"))
			spec.Gang = rapid.Bool().Draw(t, "gang")
			spec.Apart = uint32(rapid.IntRange(0, 2).Draw(t, "apart"))
			it := item(fmt.Sprintf("f%d", i), spec)
			it.NeedsPermit = rapid.Bool().Draw(t, "permits")
			it.Priority = uint32(rapid.IntRange(0, 2).Draw(t, "priority"))
			items = append(items, it)
		}
		limit := rapid.Int64Range(0, 60000).Draw(t, "limit")
		v := view(servers, items...)
		v.RemainingLimit = func(string) capacity.Size { return capacity.Size{CPU: limit, Memory: 1 << 40, Accel: 1 << 40} }
		v.Permissions = known(v.Servers, func(id flow.StepID, s string) steps.Permission {
			return steps.Permission((len(id.Flow) + int(id.Flow[1]) + int(s[1])) % 4)
		})
		bounds(t, v, steps.Make(v))
	})
}

func bounds(t *rapid.T, v steps.View, p steps.Plan) {
	used, total, seen := map[string]int64{}, int64(0), map[flow.TaskID]bool{}
	apart := map[string]uint32{}
	for _, one := range p.Placements {
		if one.Item.Spec.GetGang() && len(one.Assignments) != len(one.Item.Tasks) {
			t.Fatalf("part of a gang: %v", one)
		}
		for _, place := range one.Assignments {
			if seen[place.TaskID] {
				t.Fatalf("%v twice", place)
			}
			seen[place.TaskID] = true
			used[place.Server] += one.Item.Spec.GetSize().GetCpu()
			total += one.Item.Spec.GetSize().GetCpu()
			at := place.Flow + place.Server
			if apart[at]++; one.Item.Spec.GetApart() > 0 && apart[at] > one.Item.Spec.GetApart() {
				t.Fatalf("%v: too many of a step on one server", place)
			}
		}
	}
	for _, s := range v.Servers {
		if used[s.ID] > s.FreeCapacity().CPU {
			t.Fatalf("%s is given %d, it has %d", s.ID, used[s.ID], s.FreeCapacity().CPU)
		}
	}
	if total > v.RemainingLimit("").CPU {
		t.Fatalf("%d is placed, the limit is %d", total, v.RemainingLimit("").CPU)
	}
}

// Servers are full, and a step that waits knows which of them may run it; its permits
// are over. Asked for only once there is room, room after room would lie idle for as
// long as the adviser takes.
func TestPermitsAreAskedForBeforeThereIsRoom(t *testing.T) {
	soon, late, free := server("soon", 4000), server("late", 4000), server("other", 4000)
	for _, s := range []steps.Server{soon, late, free} {
		s.Used = capacity.Size{CPU: 4000}
	}
	it := item("x", tasks(2, 4000))
	it.NeedsPermit, it.AdviserAsked = true, true
	v := view([]steps.Server{soon, late, free}, it)
	v.Permissions = known(v.Servers, func(_ flow.StepID, server string) steps.Permission {
		if server == "other" {
			return steps.Denied
		}
		return steps.Stale
	})
	v.Releases = func(server string) []steps.Release {
		in := map[string]time.Duration{"soon": 500 * time.Millisecond, "late": time.Minute, "other": 0}[server]
		return []steps.Release{{After: in, Size: capacity.Size{CPU: 4000}}}
	}
	p := steps.Make(v)
	if len(p.Questions) != 1 || !slices.Equal(p.Questions[0].Servers, []string{"soon"}) {
		t.Errorf("asked for %+v", p.Questions)
	}
}

// Urgent work is gathered where leases are short, and long work keeps away from
// there while there is room elsewhere, whatever packs better.
func TestWorkGoesWhereItsLeasesAre(t *testing.T) {
	brief, usual := server("brief", 4000), server("usual", 4000)
	brief.ShortLease = true
	usual.Used = capacity.Size{CPU: 1000}
	urgent, long := item("urgent", tasks(1, 1000)), item("long", tasks(4, 1000))
	urgent.Urgent, long.Priority = true, 1
	check(t, map[string]int{"urgent on brief": 1, "long on usual": 3, "long on brief": 1}, steps.Make(view([]steps.Server{brief, usual}, urgent, long)))
}

// A plan over a long backlog goes over a thousand servers for each step: it takes
// tens of milliseconds, and the next one waits five times as long.
func TestPlanLooksOnceAtWhatIsKnown(t *testing.T) {
	var servers []steps.Server
	var items []steps.Item
	for i := range 200 {
		s := server(fmt.Sprintf("s%03d", i), 4000)
		s.Used = capacity.Size{CPU: 4000}
		servers = append(servers, s)
	}
	for i := range 50 {
		it := item(fmt.Sprintf("f%02d", i), tasks(4, 4000))
		if i%2 == 0 {
			it = item(fmt.Sprintf("f%02d", i), gang(4, 4000))
		}
		it.NeedsPermit, it.AdviserAsked = true, true
		items = append(items, it)
	}
	v := view(servers, items...)
	stale := known(servers, func(flow.StepID, string) steps.Permission { return steps.Stale })
	looks, frees := map[flow.StepID]int{}, map[string]int{}
	v.Permissions = func(id flow.StepID) iter.Seq2[string, steps.Permission] {
		looks[id]++
		return stale(id)
	}
	v.Releases = func(server string) []steps.Release {
		frees[server]++
		return []steps.Release{{After: 100 * time.Millisecond, Size: capacity.Size{CPU: 4000}}}
	}
	steps.Make(v)
	for id, n := range looks {
		if n > 1 {
			t.Errorf("what is known of %v was looked up %d times", id, n)
		}
	}
	for s, n := range frees {
		if n > 1 {
			t.Errorf("what %s will have free was worked out %d times", s, n)
		}
	}
}

// Work placed earlier in a plan takes room: a question that names servers by the
// room that they had before asks for permits where there is none.
func TestQuestionsGoByTheRoomThatIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []steps.Server
		for i := range rapid.IntRange(1, 250).Draw(t, "servers") {
			s := server(fmt.Sprintf("s%03d", i), 16000)
			s.Used = capacity.Size{CPU: 100 * rapid.Int64Range(0, 160).Draw(t, "used")}
			s.ShortLease = rapid.Bool().Draw(t, "brief")
			servers = append(servers, s)
		}
		placed, asks := item("a", tasks(uint32(rapid.IntRange(1, 200).Draw(t, "placed")), 1000)), item("b", tasks(200, 100))
		asks.NeedsPermit, asks.Priority, asks.Urgent = true, 1, rapid.Bool().Draw(t, "urgent")
		v := view(servers, placed, asks)
		v.Permissions = known(nil, nil)
		p := steps.Make(v)
		free, brief := map[string]int64{}, map[string]bool{}
		for _, s := range servers {
			free[s.ID], brief[s.ID] = s.FreeCapacity().CPU, asks.Urgent && s.ShortLease
		}
		for _, one := range p.Placements {
			for _, place := range one.Assignments {
				free[place.Server] -= 1000
			}
		}
		want := slices.SortedFunc(maps.Keys(free), func(a, b string) int {
			if brief[a] != brief[b] {
				return map[bool]int{true: -1, false: 1}[brief[a]]
			}
			return gocmp.Or(gocmp.Compare(free[b], free[a]), strings.Compare(a, b))
		})
		if got := p.Questions[0].Servers; !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("asked about %v, by room %v", got, want[:len(got)])
		}
	})
}

// A plan over a long backlog keeps its thread for long, and what waits beside it with it.
func TestLongPlanRests(t *testing.T) {
	var items []steps.Item
	for i := range 100 {
		items = append(items, item(fmt.Sprint("f", i), tasks(1, 1)))
	}
	v := view(nil, items...)
	rests := 0
	v.Yield = func() { rests++ }
	steps.Make(v)
	if rests < 20 {
		t.Errorf("%d rests in a plan over %d steps", rests, len(items))
	}
}

// The adviser takes half a second for a question, however few servers it names. Asked
// about one server at a time, all helpers are busy with one kind of work, and the others
// find nobody to ask.
func TestQuestionsAreFilledUp(t *testing.T) {
	const free, full = 1, 120
	var servers []steps.Server
	for i := range free + full {
		s := server(fmt.Sprintf("s%03d", i), 1000)
		if i >= free {
			s.Used = s.Capacity
		}
		servers = append(servers, s)
	}
	dear := &v1.Advice{Base: 480, Each: 6.9}
	it := item("a", tasks(8, 1000))
	it.NeedsPermit, it.AdviserAsked, it.QuestionSize = true, true, steps.QuestionSize(dear, 6*time.Second)
	v := view(servers, it)
	v.Permissions = known(servers, func(flow.StepID, string) steps.Permission { return steps.NotAsked })
	wants := steps.Make(v).Questions
	if len(wants) != 1 || len(wants[0].Servers) < 60 {
		t.Fatalf("%d questions, the first about %d servers", len(wants), len(wants[0].Servers))
	}
	if wants[0].Servers[0] != "s000" {
		t.Errorf("the server with room comes behind %s", wants[0].Servers[0])
	}
}

func TestWidthOfQuestions(t *testing.T) {
	for _, c := range []struct {
		base, each float64
		takes      time.Duration
		want       int
	}{
		{480, 6.9, 6 * time.Second, 69},                              // each server costs little beside the question
		{10, 1, 200 * time.Millisecond, steps.MinServersPerQuestion}, // each server costs much
		{10, 0.5, 2 * time.Second, 100},                              // there is time for more
		{0, 0, time.Second, steps.MinServersPerQuestion},             // nothing is known of the cost
		{900, 1, time.Second, steps.MaxServersPerQuestion},           // the adviser takes no more
		{100, 1.4, 2700 * time.Millisecond, 71},                      // between the two
		{5, 0.5, 200 * time.Millisecond, steps.MinServersPerQuestion},
	} {
		if got := steps.QuestionSize(&v1.Advice{Base: c.base, Each: c.each}, c.takes); got != c.want {
			t.Errorf("%v + %v each, runs of %v: %d servers, want %d", c.base, c.each, c.takes, got, c.want)
		}
	}
}
