package fault_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/base/page"
)

// requestSteps are the steps of a request at which a fault can be injected.
var requestSteps = []string{"submit", "accepted", "run", "report", "answer"}

// fault describes how a fault is injected into a cell and how it is repaired. The inject
// function returns the name of the affected process.
type fault struct {
	name   string
	inject func(*testCell) string
	repair func(*testCell, string)
}

func noRepair(*testCell, string) {}

// leader returns the name of the leader, or of the first replica if there is no leader.
func (w *testCell) leader() string {
	if name, ok := w.cell.Leader(); ok {
		return name
	}
	return "c1"
}

// follower returns the name of a replica that is not the leader.
func (w *testCell) follower() string {
	leader := w.leader()
	for _, name := range w.cell.ProcessNames("c", replicas) {
		if name != leader {
			return name
		}
	}
	return ""
}

func restart(w *testCell, name string) {
	if err := w.cell.Restart(name); err != nil {
		w.t.Error(err)
	}
}

func healLinks(w *testCell, name string) { w.net.heal(name) }

// newFault returns a fault that affects the process that selectProcess returns at the time
// of the injection.
func newFault(name string, selectProcess func(*testCell) string, inject func(*testCell, string), repair func(*testCell, string)) fault {
	return fault{name: name, inject: func(w *testCell) string { process := selectProcess(w); inject(w, process); return process }, repair: repair}
}

func processNamed(name string) func(*testCell) string { return func(*testCell) string { return name } }

func kill(w *testCell, name string)          { w.cell.Kill(name) }
func stop(w *testCell, name string)          { w.cell.Stop(name) }
func dropTraffic(w *testCell, name string)   { w.net.dropTraffic(name) }
func holdTraffic(w *testCell, name string)   { w.net.holdTraffic(name) }
func blackholeOpen(w *testCell, name string) { w.net.blackholeOpen(name) }

func pause(w *testCell, name string)  { w.cell.Server(name).Pause() }
func resume(w *testCell, name string) { w.cell.Server(name).Resume() }

// faults lists the injected faults of each kind of process.
var faults = []fault{
	newFault("leader killed", (*testCell).leader, kill, restart),
	newFault("leader shut down gracefully", (*testCell).leader, stop, restart),
	newFault("leader's traffic dropped silently", (*testCell).leader, dropTraffic, healLinks),
	newFault("leader paused", (*testCell).leader, holdTraffic, healLinks),
	newFault("leader's outgoing consensus messages dropped", (*testCell).leader, func(w *testCell, p string) { w.net.blockReplica(p, false) }, healLinks),
	newFault("leader's incoming consensus messages dropped", (*testCell).leader, func(w *testCell, p string) { w.net.blockReplica(p, true) }, healLinks),
	newFault("leader's open connections blackholed", (*testCell).leader, blackholeOpen, noRepair),
	newFault("follower killed", (*testCell).follower, kill, restart),
	newFault("follower's traffic dropped silently", (*testCell).follower, dropTraffic, healLinks),
	newFault("entry killed", processNamed("e1"), kill, restart),
	newFault("entry shut down gracefully", processNamed("e1"), stop, restart),
	newFault("entry's traffic dropped silently", processNamed("e1"), dropTraffic, healLinks),
	newFault("entry paused", processNamed("e1"), holdTraffic, healLinks),
	newFault("entry's open connections blackholed", processNamed("e1"), blackholeOpen, noRepair),
	newFault("backend server killed", processNamed("b1"), kill, restart),
	newFault("backend server's traffic dropped silently", processNamed("b1"), dropTraffic, healLinks),
	newFault("backend server paused", processNamed("b1"), pause, resume),
	newFault("backend server's open connections blackholed", processNamed("b1"), blackholeOpen, noRepair),
	newFault("backend server leaves", processNamed("b1"), func(w *testCell, p string) { w.cell.Server(p).Leave() }, noRepair),
}

// injection is a fault and the request step at which it is injected.
type injection struct {
	fault fault
	step  string
}

func (i injection) String() string { return i.fault.name + " at " + i.step }

// runWithFaults runs all jobs, injects each fault at its step and repairs it after
// faultDuration. It returns the violations found.
func runWithFaults(t *testing.T, injections ...injection) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(t)
		defer w.close()
		var injected sync.Map
		var wg sync.WaitGroup
		w.onStep = func(step string) {
			for i, inj := range injections {
				if _, done := injected.LoadOrStore([2]any{i, step}, true); inj.step != step || done {
					continue
				}
				wg.Go(func() {
					target := inj.fault.inject(w)
					time.Sleep(faultDuration)
					inj.fault.repair(w, target)
				})
			}
		}
		results := w.runJobs(jobSpecs())
		wg.Wait()
		time.Sleep(10 * time.Second)
		if violations = w.violations(results); len(violations) > 0 {
			violations = append(violations, w.describeUnfinishedJobs())
		}
	})
	return violations
}

// One fault is injected while requests are in progress and repaired twelve seconds later,
// for each fault and each step of a request. Every request must get its complete answer or
// a correct refusal. No task may run on two servers, or twice if it must run at most once,
// and no server or team may exceed its capacity or limit.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, f := range faults {
		for _, s := range requestSteps {
			runCase(t, injection{f, s})
		}
	}
}

// runCase runs one combination of faults as a subtest.
func runCase(t *testing.T, injections ...injection) {
	names := make([]string, len(injections))
	for i, inj := range injections {
		names[i] = inj.String()
	}
	t.Run(strings.ReplaceAll(strings.Join(names, " and "), " ", "_"), func(t *testing.T) {
		t.Parallel() // cases share no network, disk or clock
		if violations := runWithFaults(t, injections...); len(violations) > 0 {
			t.Error(strings.Join(violations, "\n"))
		}
	})
}

// targetsDiffer reports whether two faults affect different kinds of processes. Two faults
// of one process interfere, because the restart that repairs one fault also ends the
// isolation that the other fault causes.
func targetsDiffer(a, b fault) bool {
	return targetProcess(a) != targetProcess(b)
}

// targetProcess returns the kind of process that a fault affects, the first word of its name.
func targetProcess(f fault) string {
	words := strings.Fields(strings.ReplaceAll(f.name, "'s", ""))
	return words[0]
}

// faultPairs returns every pairStride-th pair of faults that affect different processes.
// Each fault occurs several times as the first and as the second of a pair.
func faultPairs() (out [][2]injection) {
	n := 0
	for i, a := range faults {
		for j, b := range faults {
			if !targetsDiffer(a, b) {
				continue
			}
			if n++; n%pairStride == 0 {
				out = append(out, [2]injection{{a, requestSteps[(i+j)%len(requestSteps)]}, {b, requestSteps[(i+2*j)%len(requestSteps)]}})
			}
		}
	}
	return out
}

// pairStride selects one of every four pairs, to limit the run time.
const pairStride = 4

// Two faults are injected at the same time, or the second while the first is being
// repaired, such as a second instance lost right after a repair. The same guarantees must
// hold as for one fault.
func TestPairsOfFaults(t *testing.T) {
	for _, p := range faultPairs() {
		runCase(t, p[0], p[1])
	}
}

// docs/FAULTS.md must list all faults and steps and the number of cases.
func TestFaultPageIsUpToDate(t *testing.T) {
	var b strings.Builder
	b.WriteString("| fault | steps |\n| --- | --- |\n")
	for _, f := range faults {
		fmt.Fprintf(&b, "| %s | %s |\n", f.name, strings.Join(requestSteps, ", "))
	}
	fmt.Fprintf(&b, "\n%d single cases, %d pairs.\n", len(faults)*len(requestSteps), len(faultPairs()))
	page.CheckGenerated(t, "../../../docs/FAULTS.md", b.String())
}
