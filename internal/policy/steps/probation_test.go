package steps_test

import (
	"fmt"
	"testing"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/steps"
)

// suspect marks the first n tasks of an item as suspected of a server crash.
func suspect(testItem steps.Item, n int) steps.Item {
	for i := range n {
		testItem.Tasks[i].BlamedCrashes = 1
	}
	return testItem
}

// If a task that may crash its server starts beside other tasks, they are lost with it, and the
// cause of the crash is unclear.
func TestSuspectTasksStartOnSeparateServers(t *testing.T) {
	var servers []steps.Server
	for i := range 32 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), 4000))
	}
	servers[0].Used = capacity.Size{CPU: 1000}
	plan := steps.Make(view(servers, suspect(item("a", tasks(4, 1000)), 2), item("b", tasks(100, 1000))))
	startedOn, suspectServers := map[string]int{}, map[string]bool{}
	for _, placement := range plan.Placements {
		for _, p := range placement.Assignments {
			startedOn[p.Server]++
			if p.Flow == "a" && p.Index < 2 {
				suspectServers[p.Server] = true
			}
		}
	}
	if len(suspectServers) != 2 {
		t.Fatalf("two suspect tasks started on %v, want two servers", suspectServers)
	}
	for s := range suspectServers {
		if startedOn[s] != 1 || s == "s00" {
			t.Errorf("%d tasks started on server %s, want only the suspect task on a server that was idle", startedOn[s], s)
		}
	}
}

// No task may start on a server while a suspect task is observed there.
func TestNoTaskStartsOnAServerOnProbation(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	a.OnProbation = true
	checkPlaced(t, map[string]int{"x on b": 4}, steps.Make(view([]steps.Server{a, b}, item("x", tasks(8, 1000)))))
	checkPlaced(t, map[string]int{"x on b": 4}, steps.Make(view([]steps.Server{a, b}, item("x", gang(4, 1000)))))
}

// After the loss of a rack all of its tasks are suspects. Holding the remaining servers for
// them would keep other tasks from starting.
func TestProbationIsLimitedToAPartOfThePool(t *testing.T) {
	var servers []steps.Server
	for i := range 16 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), 4000))
	}
	plan := steps.Make(view(servers, suspect(item("a", tasks(40, 1000)), 40), item("b", tasks(12, 1000))))
	started := 0
	for _, placement := range plan.Placements {
		started += len(placement.Assignments)
	}
	if minStarted := 52; started < minStarted {
		t.Errorf("%d tasks started, want at least %d with two servers on probation", started, minStarted)
	}
}

// No other task may start beside a gang that has a suspect task.
func TestSuspectGangStartsOnSeparateServers(t *testing.T) {
	var servers []steps.Server
	for i := range 16 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), 4000))
	}
	plan := steps.Make(view(servers, suspect(item("a", gang(6, 1000)), 1), item("b", tasks(40, 1000))))
	flowsByServer := map[string]map[string]bool{}
	for _, placement := range plan.Placements {
		for _, p := range placement.Assignments {
			if flowsByServer[p.Server] == nil {
				flowsByServer[p.Server] = map[string]bool{}
			}
			flowsByServer[p.Server][p.Flow] = true
		}
	}
	for s, flows := range flowsByServer {
		if flows["a"] && len(flows) > 1 {
			t.Errorf("other tasks started on server %s beside the gang", s)
		}
	}
	if len(plan.Placements) != 2 {
		t.Errorf("%d placements, want 2", len(plan.Placements))
	}
}

// A task that is given up after one more crash must not start beside other suspects, whose
// crash would be blamed on it.
func TestTaskWithOneCrashLeftWaitsForItsOwnServer(t *testing.T) {
	servers := []steps.Server{server("a", 4000), server("b", 4000)}
	servers[0].OnProbation = true
	x, y := suspect(item("x", tasks(2, 1000)), 2), item("y", tasks(2, 1000))
	x.Tasks[1].BlamedCrashes = 2
	checkPlaced(t, map[string]int{"x on b": 1, "y on b": 2}, steps.Make(view(servers, x, y)))
	servers[0].OnProbation = false
	x.Tasks[0].BlamedCrashes = 2
	plan := steps.Make(view(servers, x, y))
	if got := placed(plan); got["x on a"]+got["x on b"] != 1 || got["x on a"] == 1 && got["y on a"] > 0 || got["x on b"] == 1 && got["y on b"] > 0 {
		t.Errorf("want one of the two tasks with one crash left, on a server without other tasks: %v", got)
	}
}

// Guards against a suspect that is blamed for another task, which started on its server just before
// it. The server that is quiet next is kept, so that a suspect does not wait for ever in a busy pool.
func TestSuspectTasksAvoidServersOnWhichOthersHaveJustStarted(t *testing.T) {
	a, b := server("a", 4000), server("b", 2000)
	a.QuietIn = 200 * time.Millisecond
	x, y := suspect(item("x", tasks(1, 1000)), 1), item("y", tasks(6, 1000))
	checkPlaced(t, map[string]int{"x on b": 1, "y on a": 4}, steps.Make(view([]steps.Server{a, b}, x, y)))
	b.QuietIn = 100 * time.Millisecond
	checkPlaced(t, map[string]int{"y on a": 4}, steps.Make(view([]steps.Server{a, b}, x, y)))
}

// The server with the most room has just restarted and may crash again without a fault of its
// tasks. A suspect task that starts there would be blamed for that.
func TestSuspectTasksAvoidRecentlyStartedServers(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	a.RecentlyStarted, b.Used = true, capacity.Size{CPU: 2000}
	checkPlaced(t, map[string]int{"x on b": 1}, steps.Make(view([]steps.Server{a, b}, suspect(item("x", tasks(1, 1000)), 1))))
}

// Guards against a sound task that is given up because its last attempt starts on a server in a crash
// loop, which is the only one with room.
func TestTaskWithOneCrashLeftWaitsForAServerThatHasStood(t *testing.T) {
	a, b := server("a", 4000), server("b", 4000)
	a.RecentlyStarted = true
	for name, mark := range map[string]func(*flows.Task){
		"blamed":     func(t *flows.Task) { t.BlamedCrashes = flows.MaxBlamedCrashes - 1 },
		"not blamed": func(t *flows.Task) { t.ConsecutiveCrashes = flows.MaxConsecutiveCrashes - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			x := item("x", tasks(2, 1000))
			mark(&x.Tasks[0])
			checkPlaced(t, map[string]int{"x on a": 1}, steps.Make(view([]steps.Server{a}, x)))
			checkPlaced(t, map[string]int{"x on a": 1, "x on b": 1}, steps.Make(view([]steps.Server{a, b}, x)))
			x.Tasks[1].BlamedCrashes = 1 // it does not wait with the other
			restarted := make([]steps.Server, 16)
			for i := range restarted {
				restarted[i] = server(fmt.Sprintf("s%02d", i), 4000)
				restarted[i].RecentlyStarted = true
			}
			checkPlaced(t, map[string]int{"x on s00": 1}, steps.Make(view(restarted, x)))
		})
	}
}

// filling returns a step whose tasks take what CPU is left and so reserve none.
func filling(count uint32) *v1.FlowStep {
	s := tasks(count, 0)
	s.Fills, s.Size.Memory = true, 600
	return s
}

// Guards against a step that never starts: its suspect task was planned beside one of its other
// tasks, beyond the memory of the server, and the ledger refused both.
func TestSuspectTaskWithoutCPUStartsOnASeparateServer(t *testing.T) {
	checkPlaced(t, map[string]int{"x on a": 1}, steps.Make(view([]steps.Server{server("a", 4000)}, suspect(item("x", filling(2)), 1))))
}

// Guards against several probes at a time on a server that fails its runs: tasks that need no
// CPU did not count as one.
func TestFailingServerTakesOneProbeWithoutCPUAtATime(t *testing.T) {
	x, y := item("x", filling(1)), item("y", filling(1))
	x.Spec.Size.Memory, y.Spec.Size.Memory = 10, 10
	checkPlaced(t, map[string]int{"x on a": 1}, steps.Make(view([]steps.Server{probingServer("a", 4000)}, x, y)))
}
