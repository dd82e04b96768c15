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

// steps are the points of a request's way at which a fault may come.
var steps = []string{"submit", "accepted", "run", "report", "answer"}

// fault is one thing that goes wrong, and how it ends.
type fault struct {
	name  string
	start func(*world) string
	end   func(*world, string)
}

func nothing(*world, string) {}

// leader returns the name of the leader, or the first replica when there is none.
func (w *world) leader() string {
	if name, ok := w.cell.Leader(); ok {
		return name
	}
	return "c1"
}

// follower returns the name of a replica that does not lead.
func (w *world) follower() string {
	lead := w.leader()
	for _, name := range w.cell.Names("c", replicas) {
		if name != lead {
			return name
		}
	}
	return ""
}

func restart(w *world, name string) {
	if err := w.cell.Restart(name); err != nil {
		w.t.Error(err)
	}
}

func heal(w *world, name string) { w.net.heal(name) }

// on returns a fault that does something to a process picked when it comes.
func on(name string, pick func(*world) string, do func(*world, string), end func(*world, string)) fault {
	return fault{name: name, start: func(w *world) string { p := pick(w); do(w, p); return p }, end: end}
}

func named(name string) func(*world) string { return func(*world) string { return name } }

func kill(w *world, name string)   { w.cell.Kill(name) }
func stop(w *world, name string)   { w.cell.Stop(name) }
func cut(w *world, name string)    { w.net.cut(name) }
func hold(w *world, name string)   { w.net.hold(name) }
func forget(w *world, name string) { w.net.forget(name) }

func pause(w *world, name string)  { w.cell.Server(name).Pause() }
func resume(w *world, name string) { w.cell.Server(name).Resume() }

// faults are those of the brief, for each sort of process.
var faults = []fault{
	on("leader killed", (*world).leader, kill, restart),
	on("leader stopped as planned", (*world).leader, stop, restart),
	on("leader cut off silently", (*world).leader, cut, heal),
	on("leader paused", (*world).leader, hold, heal),
	on("leader heard by no replica", (*world).leader, func(w *world, p string) { w.net.silence(p, false) }, heal),
	on("leader hears no replica", (*world).leader, func(w *world, p string) { w.net.silence(p, true) }, heal),
	on("leader's connections forgotten", (*world).leader, forget, nothing),
	on("follower killed", (*world).follower, kill, restart),
	on("follower cut off silently", (*world).follower, cut, heal),
	on("entry killed", named("e1"), kill, restart),
	on("entry stopped as planned", named("e1"), stop, restart),
	on("entry cut off silently", named("e1"), cut, heal),
	on("entry paused", named("e1"), hold, heal),
	on("entry's connections forgotten", named("e1"), forget, nothing),
	on("backend server killed", named("b1"), kill, restart),
	on("backend server cut off silently", named("b1"), cut, heal),
	on("backend server paused", named("b1"), pause, resume),
	on("backend server's connections forgotten", named("b1"), forget, nothing),
	on("backend server leaves", named("b1"), func(w *world, p string) { w.cell.Server(p).Leave() }, nothing),
}

// hit is a fault at a step.
type hit struct {
	fault fault
	step  string
}

func (h hit) String() string { return h.fault.name + " at " + h.step }

// run serves all jobs with the faults coming at their steps and ending later,
// and returns what promises broke.
func run(t *testing.T, hits ...hit) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		var once sync.Map
		var wg sync.WaitGroup
		w.at = func(step string) {
			for i, h := range hits {
				if _, done := once.LoadOrStore([2]any{i, step}, true); h.step != step || done {
					continue
				}
				wg.Go(func() {
					target := h.fault.start(w)
					time.Sleep(healAfter)
					h.fault.end(w, target)
				})
			}
		}
		results := w.all(specs())
		wg.Wait()
		time.Sleep(10 * time.Second)
		if broken = w.check(results); len(broken) > 0 {
			broken = append(broken, w.story())
		}
	})
	return broken
}

// A user's requests are under way when one thing of the brief goes wrong, at
// each step in turn, and ends twelve seconds later. Every request gets its whole
// answer or a true refusal, nothing runs in two places or twice when it must
// not, and no server or team is over its bounds.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, f := range faults {
		for _, s := range steps {
			try(t, hit{f, s})
		}
	}
}

// try runs one case.
func try(t *testing.T, hits ...hit) {
	names := make([]string, len(hits))
	for i, h := range hits {
		names[i] = h.String()
	}
	t.Run(strings.ReplaceAll(strings.Join(names, " and "), " ", "_"), func(t *testing.T) {
		t.Parallel() // each case has a network, disks and a clock of its own
		if broken := run(t, hits...); len(broken) > 0 {
			t.Error(strings.Join(broken, "\n"))
		}
	})
}

// apart tells whether two faults strike different processes: one fault starting
// a process again that the other has cut off is a third fault, not these two.
func apart(a, b fault) bool {
	return target(a) != target(b)
}

func target(f fault) string {
	words := strings.Fields(strings.ReplaceAll(f.name, "'s", ""))
	return words[0]
}

// pairs are the pairs of faults at the step of the first, by a stride that takes
// each fault as first and as second several times.
func pairs() (out [][2]hit) {
	n := 0
	for i, a := range faults {
		for j, b := range faults {
			if !apart(a, b) {
				continue
			}
			if n++; n%stride == 0 {
				out = append(out, [2]hit{{a, steps[(i+j)%len(steps)]}, {b, steps[(i+2*j)%len(steps)]}})
			}
		}
	}
	return out
}

// stride is how many of the pairs one is taken from.
const stride = 4

// Two things go wrong at once, or one while the other is being repaired, such as
// a second instance lost right after a repair. The same promises hold.
func TestPairsOfFaults(t *testing.T) {
	for _, p := range pairs() {
		try(t, p[0], p[1])
	}
}

// The page of the matrix names every fault and step and the number of cases.
func TestThePageCountsTheCases(t *testing.T) {
	var b strings.Builder
	b.WriteString("| fault | steps |\n| --- | --- |\n")
	for _, f := range faults {
		fmt.Fprintf(&b, "| %s | %s |\n", f.name, strings.Join(steps, ", "))
	}
	fmt.Fprintf(&b, "\n%d single cases, %d pairs.\n", len(faults)*len(steps), len(pairs()))
	page.CheckGenerated(t, "../../../docs/FAULTS.md", b.String())
}
