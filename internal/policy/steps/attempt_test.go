package steps_test

import (
	"fmt"
	"testing"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/steps"
)

// provenServer returns a server on which a run has just ended successfully.
func provenServer(id string, cpu int64, labels ...string) steps.Server {
	s := server(id, cpu, labels...)
	s.Proven = true
	return s
}

// probingServer returns a server whose latest runs failed.
func probingServer(id string, cpu int64) steps.Server {
	s := server(id, cpu)
	s.Probing, s.ConsecutiveFailures = true, 2
	return s
}

// lastAttempt puts the first n tasks of an item at their last of two attempts.
func lastAttempt(testItem steps.Item, n int) steps.Item {
	testItem.LastAttempt, testItem.MaxAttempts, testItem.ProofPeriod = true, 2, time.Second
	for i := range n {
		testItem.Tasks[i].FailedRuns = 1
	}
	return testItem
}

// releasesOn returns the releases of a pool in which only one server releases room, after a time.
func releasesOn(id string, after time.Duration, cpu int64) func(string) []steps.Release {
	return func(server string) []steps.Release {
		if server != id {
			return nil
		}
		return []steps.Release{{After: after, Size: capacity.Size{CPU: cpu, Memory: 100}}}
	}
}

// awaitingProven makes an item wait for proven servers.
func awaitingProven(testItem steps.Item) steps.Item {
	testItem.AwaitsProven = true
	return testItem
}

// A part of the servers fails everything. The last attempt goes to one that has just ended a
// run, although packing prefers another.
func TestLastAttemptGoesToAProvenServer(t *testing.T) {
	used, old, failed, proven := server("a", 4000), provenServer("b", 4000), server("c", 4000), provenServer("d", 4000)
	used.Used, old.SinceSuccess, failed.ConsecutiveFailures = capacity.Size{CPU: 2000}, 2*time.Second, 1
	servers := []steps.Server{used, old, failed, proven}
	checkPlaced(t, map[string]int{"x on d": 1}, steps.Make(view(servers, lastAttempt(item("x", tasks(1, 1000)), 1))))
	checkPlaced(t, map[string]int{"x on a": 1}, steps.Make(view(servers, item("x", tasks(1, 1000)))))
}

// All proven servers are full, or none is left: a step that may wait stays queued, and one that
// waited long enough goes to the server with the least evidence against it.
func TestLastAttemptWaitsForAProvenServerAndThenGoesAnywhere(t *testing.T) {
	full, failed, unknown := provenServer("a", 4000), server("b", 4000), server("c", 4000)
	full.Used, failed.ConsecutiveFailures = full.Capacity, 1
	servers := []steps.Server{full, failed, unknown}
	for name, spec := range map[string]*v1.FlowStep{"single": tasks(1, 1000), "gang": gang(1, 1000)} {
		t.Run(name, func(t *testing.T) {
			x := lastAttempt(item("x", spec), 1)
			checkPlaced(t, map[string]int{}, steps.Make(view(servers, awaitingProven(x))))
			checkPlaced(t, map[string]int{"x on c": 1}, steps.Make(view(servers, x)))
		})
	}
}

// Guards against a last attempt on a server that fails its runs as well and whose proof is older
// than the failed run.
func TestProofHasToBeLaterThanTheFailedRun(t *testing.T) {
	const now = 12 * time.Second
	provenAt := func(id string, cpu int64, at time.Duration) steps.Server {
		s := provenServer(id, cpu)
		s.ProvenAt, s.SinceSuccess = at, now-at
		return s
	}
	for name, spec := range map[string]*v1.FlowStep{"single": tasks(1, 1000), "gang": gang(1, 1000)} {
		t.Run(name, func(t *testing.T) {
			earlier, later, unknown := provenAt("a", 2000, 9*time.Second), provenAt("b", 4000, 11*time.Second), server("c", 1000)
			x := awaitingProven(lastAttempt(item("x", spec), 1))
			x.FailedAt, x.OutlastTime, x.ProofPeriod, x.AwaitsLaterProof = 10*time.Second, time.Second, 5*time.Second, true
			checkPlaced(t, map[string]int{"x on b": 1}, steps.Make(view([]steps.Server{earlier, later, unknown}, x)))
			checkPlaced(t, map[string]int{}, steps.Make(view([]steps.Server{earlier, unknown}, x)))
			earlier.HeldRuns = map[flow.TaskID]*flows.HeldRun{{}: {PlacedAt: x.FailedAt, Size: capacity.Size{CPU: 1000}}}
			checkPlaced(t, map[string]int{"x on a": 1}, steps.Make(view([]steps.Server{earlier, unknown}, x)))
			earlier.HeldRuns, x.AwaitsLaterProof = nil, false
			checkPlaced(t, map[string]int{"x on a": 1}, steps.Make(view([]steps.Server{earlier, unknown}, x)))
		})
	}
}

// Some tasks of a step failed and others did not. Only those at their last attempt need the
// proven server, and they come first there.
func TestLastAttemptsComeFirstOnProvenServers(t *testing.T) {
	servers := []steps.Server{provenServer("a", 2000), server("b", 4000)}
	x := lastAttempt(item("x", tasks(4, 1000)), 0)
	x.Tasks[2].FailedRuns, x.Tasks[3].FailedRuns = 1, 1
	plan := steps.Make(view(servers, awaitingProven(x)))
	checkPlaced(t, map[string]int{"x on a": 2, "x on b": 2}, plan)
	for _, a := range plan.Placements[0].Assignments {
		if (a.Server == "a") != (a.Index >= 2) {
			t.Errorf("task %d starts on server %s", a.Index, a.Server)
		}
	}
}

// The limit of the customer allows one more task. The one at its last attempt has waited longest.
func TestLastAttemptsComeFirstWithinTheLimit(t *testing.T) {
	x := lastAttempt(item("x", tasks(3, 1000)), 0)
	x.Tasks[2].FailedRuns = 1
	v := view([]steps.Server{provenServer("a", 4000)}, x)
	v.RemainingLimit = func(string) capacity.Size { return capacity.Size{CPU: 1000, Memory: 1000} }
	plan := steps.Make(v)
	checkPlaced(t, map[string]int{"x on a": 1}, plan)
	if got := plan.Placements[0].Assignments[0].Index; got != 2 {
		t.Errorf("task %d starts, want task 2", got)
	}
}

// The room that tasks at their last attempt take is not given to the other tasks of the step again.
func TestMixedStepDoesNotOvercommitAProvenServer(t *testing.T) {
	plan := steps.Make(view([]steps.Server{provenServer("a", 3000)}, lastAttempt(item("x", tasks(5, 1000)), 2)))
	checkPlaced(t, map[string]int{"x on a": 3}, plan)
}

// A gang fails as a whole, so each of its members needs a proven server.
func TestGangAtItsLastAttemptUsesProvenServersOnly(t *testing.T) {
	servers := []steps.Server{server("a", 4000), provenServer("b", 2000), provenServer("c", 2000)}
	x := awaitingProven(lastAttempt(item("x", gang(4, 1000)), 0))
	checkPlaced(t, map[string]int{"x on b": 2, "x on c": 2}, steps.Make(view(servers, x)))
	servers[2].Proven, servers[2].ConsecutiveFailures = false, 1
	checkPlaced(t, map[string]int{}, steps.Make(view(servers, x)))
	x.AwaitsProven = false
	checkPlaced(t, map[string]int{"x on b": 2, "x on a": 2}, steps.Make(view(servers, x)))
}

// A gang that waits for proven servers must not keep room idle on servers that it will not use.
func TestWaitingLastAttemptKeepsNoRoom(t *testing.T) {
	servers := []steps.Server{server("a", 4000)}
	plan := steps.Make(view(servers, awaitingProven(lastAttempt(item("x", gang(2, 2000)), 0)), item("y", tasks(4, 1000))))
	checkPlaced(t, map[string]int{"y on a": 4}, plan)
}

// A rack loses its switch or its cooling, and its servers fail one after the other.
func TestLastAttemptLeavesTheRackWhereTheTaskFailed(t *testing.T) {
	x := lastAttempt(item("x", tasks(1, 1000)), 1)
	x.FailedRacks, x.FailedOn = map[string]bool{"r1": true}, map[string]bool{"a": true}
	sameRack, otherRack := provenServer("b", 4000, "r1"), provenServer("c", 8000, "r2")
	servers := []steps.Server{provenServer("a", 1000, "r1"), sameRack, otherRack}
	checkPlaced(t, map[string]int{"x on c": 1}, steps.Make(view(servers, x)))
	servers[2].Used = otherRack.Capacity
	checkPlaced(t, map[string]int{"x on b": 1}, steps.Make(view(servers, x)))
	servers[2].Used = capacity.Size{}
	x.Spec.Rack = "r1"
	checkPlaced(t, map[string]int{"x on b": 1}, steps.Make(view(servers, x)))
}

// A suspect task may crash the server under probation, and with it the last attempt of another.
func TestLastAttemptIsNeverPlacedOnAServerUnderProbation(t *testing.T) {
	a := provenServer("a", 4000)
	a.OnProbation = true
	for name, spec := range map[string]*v1.FlowStep{"single": tasks(1, 1000), "gang": gang(1, 1000)} {
		t.Run(name, func(t *testing.T) {
			x := lastAttempt(item("x", spec), 1)
			checkPlaced(t, map[string]int{}, steps.Make(view([]steps.Server{a}, x)))
			checkPlaced(t, map[string]int{"x on b": 1}, steps.Make(view([]steps.Server{a, server("b", 4000)}, x)))
		})
	}
}

// A server that fails all that it starts is always the one with free room. It takes one task at
// a time, and only when the others are full.
func TestFailingServerTakesOneProbeAtATime(t *testing.T) {
	servers := []steps.Server{probingServer("a", 4000), server("b", 2000)}
	checkPlaced(t, map[string]int{"x on b": 2}, steps.Make(view(servers, item("x", tasks(2, 1000)))))
	checkPlaced(t, map[string]int{"x on b": 2, "x on a": 1}, steps.Make(view(servers, item("x", tasks(4, 1000)), item("y", tasks(2, 1000)))))
}

// A gang waits for room. If it reserved the free room of a failing server, which takes one task
// at a time, nothing would probe that server and the gang would never start.
func TestWaitingGangReservesNoRoomOnAFailingServer(t *testing.T) {
	busy := server("b", 4000)
	busy.Used = capacity.Size{CPU: 3000}
	v := view([]steps.Server{probingServer("a", 4000), busy}, item("x", gang(4, 1000)), item("y", tasks(1, 1000)))
	v.Releases = releasesOn("b", time.Second, 3000)
	checkPlaced(t, map[string]int{"y on a": 1}, steps.Make(v))
}

// A last attempt never probes a server, also when it has waited and only the failing server has
// room now. If no other server can ever run the task, it goes there.
func TestLastAttemptProbesNoServer(t *testing.T) {
	for name, spec := range map[string]*v1.FlowStep{"single": tasks(1, 1000), "gang": gang(1, 1000)} {
		t.Run(name, func(t *testing.T) {
			busy := server("b", 2000)
			busy.Used = busy.Capacity
			x := lastAttempt(item("x", spec), 1)
			v := view([]steps.Server{probingServer("a", 4000), busy}, x)
			v.Releases = releasesOn("b", time.Minute, 2000)
			checkPlaced(t, map[string]int{}, steps.Make(v))
			v.Releases = func(string) []steps.Release { return nil }
			checkPlaced(t, map[string]int{"x on a": 1}, steps.Make(v))
		})
	}
}

// A fifteenth of the servers fails everything. As long as the others end runs, no last attempt
// starts on one that has failed.
func TestLastAttemptsAvoidTheFifteenthThatFails(t *testing.T) {
	var servers []steps.Server
	for i := range 30 {
		s := provenServer(fmt.Sprintf("s%02d", i), 4000)
		if i%15 == 0 {
			s = probingServer(s.ID, 4000)
		}
		servers = append(servers, s)
	}
	v := view(servers, item("x", tasks(80, 1000)), lastAttempt(item("y", tasks(60, 1000)), 60))
	v.Releases = func(string) []steps.Release {
		return []steps.Release{{After: time.Second, Size: capacity.Size{CPU: 1000, Memory: 10}}}
	}
	plan := steps.Make(v)
	for _, placement := range plan.Placements {
		for _, a := range placement.Assignments {
			if a.Flow == "y" && (a.Server == "s00" || a.Server == "s15") {
				t.Errorf("last attempt %v starts on the failing server %s", a.TaskID, a.Server)
			}
		}
	}
}
