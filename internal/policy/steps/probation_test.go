package steps_test

import (
	"fmt"
	"testing"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/policy/steps"
)

// suspect marks the first tasks of an item as ones that may have crashed a server.
func suspect(it steps.Item, n int) steps.Item {
	for i := range n {
		it.Tasks[i].BlamedCrashes = 1
	}
	return it
}

// Work that may crash its server begins beside other work, takes that down with it, and
// nobody can tell which of them it was.
func TestSuspectedTasksBeginApart(t *testing.T) {
	var servers []steps.Server
	for i := range 32 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), 4000))
	}
	servers[0].Used = capacity.Size{CPU: 1000}
	plan := steps.Make(view(servers, suspect(item("a", tasks(4, 1000)), 2), item("b", tasks(100, 1000))))
	began, suspected := map[string]int{}, map[string]bool{}
	for _, one := range plan.Placements {
		for _, p := range one.Assignments {
			began[p.Server]++
			if p.Flow == "a" && p.Index < 2 {
				suspected[p.Server] = true
			}
		}
	}
	if len(suspected) != 2 {
		t.Fatalf("two suspected tasks began on %v", suspected)
	}
	for s := range suspected {
		if began[s] != 1 || s == "s00" {
			t.Errorf("%d tasks began on %s, which a suspected one was to have for itself", began[s], s)
		}
	}
}

// Something begins on a server while it is seen there whether a task crashes it.
func TestNothingBeginsBesideAProbation(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	a.OnProbation = true
	check(t, map[string]int{"x on b": 4}, steps.Make(view([]steps.Server{a, b}, item("x", tasks(8, 1000)))))
	check(t, map[string]int{"x on b": 4}, steps.Make(view([]steps.Server{a, b}, item("x", gang(4, 1000)))))
}

// After the loss of a rack all that ran there is suspected, and the servers that are
// left are kept for it while nothing else begins.
func TestProbationLeavesMostServers(t *testing.T) {
	var servers []steps.Server
	for i := range 16 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), 4000))
	}
	plan := steps.Make(view(servers, suspect(item("a", tasks(40, 1000)), 40), item("b", tasks(12, 1000))))
	n := 0
	for _, one := range plan.Placements {
		n += len(one.Assignments)
	}
	if least := 52; n < least {
		t.Errorf("%d tasks began, there is room for %d beside two such servers", n, least)
	}
}

// A gang with a suspected member begins beside other work that begins.
func TestSuspectedGangBeginsApart(t *testing.T) {
	var servers []steps.Server
	for i := range 16 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), 4000))
	}
	plan := steps.Make(view(servers, suspect(item("a", gang(6, 1000)), 1), item("b", tasks(40, 1000))))
	of := map[string]map[string]bool{}
	for _, one := range plan.Placements {
		for _, p := range one.Assignments {
			if of[p.Server] == nil {
				of[p.Server] = map[string]bool{}
			}
			of[p.Server][p.Flow] = true
		}
	}
	for s, flows := range of {
		if flows["a"] && len(flows) > 1 {
			t.Errorf("work began on %s beside the gang", s)
		}
	}
	if len(plan.Placements) != 2 {
		t.Errorf("%d placements, want 2", len(plan.Placements))
	}
}

// Work that is to be given up with the next crash begins beside other suspected work,
// and is given up for what that does.
func TestTheLastProbationIsWaitedFor(t *testing.T) {
	servers := []steps.Server{server("a", 4000), server("b", 4000)}
	servers[0].OnProbation = true
	x, y := suspect(item("x", tasks(2, 1000)), 2), item("y", tasks(2, 1000))
	x.Tasks[1].BlamedCrashes = 2
	check(t, map[string]int{"x on b": 1, "y on b": 2}, steps.Make(view(servers, x, y)))
	servers[0].OnProbation = false
	x.Tasks[0].BlamedCrashes = 2
	plan := steps.Make(view(servers, x, y))
	if got := placed(plan); got["x on a"]+got["x on b"] != 1 || got["x on a"] == 1 && got["y on a"] > 0 || got["x on b"] == 1 && got["y on b"] > 0 {
		t.Errorf("two tasks that may not crash a server again began, or one beside another: %v", got)
	}
}

// A suspected task goes to the emptiest server, which is one that has just come back and
// is about to crash again by itself, and is given up for that.
func TestProbationIsOnAServerThatStood(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	a.RecentlyStarted, b.Used = true, capacity.Size{CPU: 2000}
	check(t, map[string]int{"x on b": 1}, steps.Make(view([]steps.Server{a, b}, suspect(item("x", tasks(1, 1000)), 1))))
}
