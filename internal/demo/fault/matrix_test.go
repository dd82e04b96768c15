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

// requestSteps are the points of a request's way at which a fault may come.
var requestSteps = []string{"submit", "accepted", "run", "report", "answer"}

// fault is one thing that goes wrong, and how it ends.
type fault struct {
	name   string
	inject func(*testCell) string
	repair func(*testCell, string)
}

func noRepair(*testCell, string) {}

// leader returns the name of the leader, or the first replica when there is none.
func (w *testCell) leader() string {
	if name, ok := w.cell.Leader(); ok {
		return name
	}
	return "c1"
}

// follower returns the name of a replica that does not lead.
func (w *testCell) follower() string {
	lead := w.leader()
	for _, name := range w.cell.ProcessNames("c", replicas) {
		if name != lead {
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

// newFault returns a fault that does something to a process picked when it comes.
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

// faults are those of the brief, for each sort of process.
var faults = []fault{
	newFault("leader killed", (*testCell).leader, kill, restart),
	newFault("leader stopped as planned", (*testCell).leader, stop, restart),
	newFault("leader cut off silently", (*testCell).leader, dropTraffic, healLinks),
	newFault("leader paused", (*testCell).leader, holdTraffic, healLinks),
	newFault("leader heard by no replica", (*testCell).leader, func(w *testCell, p string) { w.net.blockReplica(p, false) }, healLinks),
	newFault("leader hears no replica", (*testCell).leader, func(w *testCell, p string) { w.net.blockReplica(p, true) }, healLinks),
	newFault("leader's connections forgotten", (*testCell).leader, blackholeOpen, noRepair),
	newFault("follower killed", (*testCell).follower, kill, restart),
	newFault("follower cut off silently", (*testCell).follower, dropTraffic, healLinks),
	newFault("entry killed", processNamed("e1"), kill, restart),
	newFault("entry stopped as planned", processNamed("e1"), stop, restart),
	newFault("entry cut off silently", processNamed("e1"), dropTraffic, healLinks),
	newFault("entry paused", processNamed("e1"), holdTraffic, healLinks),
	newFault("entry's connections forgotten", processNamed("e1"), blackholeOpen, noRepair),
	newFault("backend server killed", processNamed("b1"), kill, restart),
	newFault("backend server cut off silently", processNamed("b1"), dropTraffic, healLinks),
	newFault("backend server paused", processNamed("b1"), pause, resume),
	newFault("backend server's connections forgotten", processNamed("b1"), blackholeOpen, noRepair),
	newFault("backend server leaves", processNamed("b1"), func(w *testCell, p string) { w.cell.Server(p).Leave() }, noRepair),
}

// injection is a fault at a step.
type injection struct {
	fault fault
	step  string
}

func (i injection) String() string { return i.fault.name + " at " + i.step }

// runWithFaults serves all jobs with the faults coming at their steps and ending later,
// and returns what promises broke.
func runWithFaults(t *testing.T, injections ...injection) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(t)
		defer w.close()
		var injected sync.Map
		var wg sync.WaitGroup
		w.onStep = func(step string) {
			for i, h := range injections {
				if _, done := injected.LoadOrStore([2]any{i, step}, true); h.step != step || done {
					continue
				}
				wg.Go(func() {
					target := h.fault.inject(w)
					time.Sleep(faultDuration)
					h.fault.repair(w, target)
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

// A user's requests are under way when one thing of the brief goes wrong, at
// each step in turn, and ends twelve seconds later. Every request gets its whole
// answer or a true refusal, nothing runs in two places or twice when it must
// not, and no server or team is over its bounds.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, f := range faults {
		for _, s := range requestSteps {
			runCase(t, injection{f, s})
		}
	}
}

// runCase runs one case.
func runCase(t *testing.T, injections ...injection) {
	names := make([]string, len(injections))
	for i, h := range injections {
		names[i] = h.String()
	}
	t.Run(strings.ReplaceAll(strings.Join(names, " and "), " ", "_"), func(t *testing.T) {
		t.Parallel() // each case has a network, disks and a clock of its own
		if violations := runWithFaults(t, injections...); len(violations) > 0 {
			t.Error(strings.Join(violations, "\n"))
		}
	})
}

// targetsDiffer tells whether two faults strike different processes: one fault starting
// a process again that the other has cut off is a third fault, not these two.
func targetsDiffer(a, b fault) bool {
	return targetProcess(a) != targetProcess(b)
}

func targetProcess(f fault) string {
	words := strings.Fields(strings.ReplaceAll(f.name, "'s", ""))
	return words[0]
}

// faultPairs are the pairs of faults at the step of the first, by a stride that takes
// each fault as first and as second several times.
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

// pairStride is how many of the pairs one is taken from.
const pairStride = 4

// Two things go wrong at once, or one while the other is being repaired, such as
// a second instance lost right after a repair. The same promises hold.
func TestPairsOfFaults(t *testing.T) {
	for _, p := range faultPairs() {
		runCase(t, p[0], p[1])
	}
}

// The page of the matrix names every fault and step and the number of cases.
func TestFaultPageIsUpToDate(t *testing.T) {
	var b strings.Builder
	b.WriteString("| fault | steps |\n| --- | --- |\n")
	for _, f := range faults {
		fmt.Fprintf(&b, "| %s | %s |\n", f.name, strings.Join(requestSteps, ", "))
	}
	fmt.Fprintf(&b, "\n%d single cases, %d pairs.\n", len(faults)*len(requestSteps), len(faultPairs()))
	page.CheckGenerated(t, "../../../docs/FAULTS.md", b.String())
}
