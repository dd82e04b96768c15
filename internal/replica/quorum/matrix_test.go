package quorum_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/quorum"
)

var (
	update = flag.Bool("update", false, "write docs/faults/quorum.md instead of comparing it")
	every  = flag.Int("every", ciPairs, "play only every nth pair of faults; 1 plays all")
)

const (
	page = "../../../docs/faults/quorum.md"
	// ciPairs shares no factor with the number of faults, so each meets each.
	ciPairs = 8
)

// scenario is what goes on while faults strike; it takes two seconds or less.
type scenario struct {
	name  string
	begin func(s *sim)
}

var scenarios = []scenario{
	{"commit", func(s *sim) {
		s.propose(s.leader(), 3)
		s.after(50*time.Millisecond, func() { s.propose(s.leader(), 30) })
	}},
	{"snapshot", func(s *sim) {
		s.propose(s.leader(), 30)
		s.after(100*time.Millisecond, func() {
			for _, n := range s.nodes {
				s.compact(n)
			}
		})
	}},
	{"transfer", func(s *sim) {
		s.propose(s.leader(), 10)
		s.after(5*time.Millisecond, func() {
			if l := s.leader(); l != nil {
				s.hand(l)
			}
		})
	}},
	{"repair", func(s *sim) {
		s.propose(s.leader(), 40)
		s.after(100*time.Millisecond, func() { s.compact(s.leader()) })
		s.after(150*time.Millisecond, func() { s.loseOrCrash(s.other()) })
		for i := range 7 {
			s.after(time.Duration(300+200*i)*time.Millisecond, s.repair)
		}
	}},
	{"membership change", func(s *sim) {
		m := s.other()
		remove := quorum.Member{ID: m.id, Address: m.name}
		learner := remove
		learner.Learner = true
		s.after(10*time.Millisecond, func() { s.alter(s.leader(), remove, true) })
		s.after(300*time.Millisecond, func() { s.alter(s.leader(), learner, false) })
		s.after(600*time.Millisecond, func() { s.alter(s.leader(), remove, false) })
	}},
	{"failover", func(s *sim) {
		l := s.leader()
		s.propose(l, 5)
		s.after(time.Millisecond, func() { s.crash(l, 5) })
		s.after(1500*time.Millisecond, func() {
			if l.core == nil {
				s.start(l)
			}
		})
	}},
}

// other is a replica that does not lead.
func (s *sim) other() *node {
	l := s.leader()
	for _, n := range s.nodes {
		if n != l {
			return n
		}
	}
	return nil
}

// fault strikes the replica at which a step happens.
type fault struct {
	name  string
	begin func(s *sim, n *node)
	end   func(s *sim, n *node)
}

func links(s *sim, n *node, in, out, cut bool) {
	for _, o := range s.nodes {
		if in {
			s.cut[[2]string{o.name, n.name}] = cut
		}
		if out {
			s.cut[[2]string{n.name, o.name}] = cut
		}
	}
}

func crash(torn int) func(*sim, *node) {
	return func(s *sim, n *node) { s.crash(n, torn) }
}

func restart(s *sim, n *node) {
	if n.core == nil {
		s.start(n)
	}
}

var faults = []fault{
	{"crash", crash(0), restart},
	{"crash, torn tail", crash(5), restart},
	{"crash after the write", crash(10), restart},
	{
		"pause",
		func(_ *sim, n *node) { n.paused = true },
		func(_ *sim, n *node) { n.paused = false },
	},
	{
		"silent both ways",
		func(s *sim, n *node) { links(s, n, true, true, true) },
		func(s *sim, n *node) { links(s, n, true, true, false) },
	},
	{
		"silent inwards",
		func(s *sim, n *node) { links(s, n, true, false, true) },
		func(s *sim, n *node) { links(s, n, true, false, false) },
	},
	{
		"silent outwards",
		func(s *sim, n *node) { links(s, n, false, true, true) },
		func(s *sim, n *node) { links(s, n, false, true, false) },
	},
	{
		"loss, duplicates, reorder",
		func(s *sim, _ *node) { s.loss, s.double, s.jitter = 0.3, 0.3, 300*time.Millisecond },
		func(s *sim, _ *node) { s.loss, s.double, s.jitter = 0, 0, 0 },
	},
	{"lost disk", (*sim).loseOrCrash, restart},
}

// loseOrCrash loses a disk only where a majority still has everything, as two
// lost disks of three can't be survived; else the replica crashes.
func (s *sim) loseOrCrash(n *node) {
	if s.mayLose() {
		s.lose(n)
	} else {
		s.crash(n, 0)
	}
}

// strike is a fault at a step: the nth event with this label.
type strike struct {
	step  int
	fault fault
}

// faultTime is longer than an election takes.
const faultTime = 1200 * time.Millisecond

// begin gives a group that has a leader; few ticks save time.
func begin() *sim {
	s := newSim(3, 1)
	s.tickEvery = 3 * tickTime
	s.run(1500 * time.Millisecond)
	return s
}

// steps runs a scenario without faults and gives the labels of its events: the
// first of each kind at each replica.
func (sc scenario) steps() []string {
	s := begin()
	var out []string
	seen := map[string]bool{}
	s.trace = func(label string, n *node) {
		label += " at " + n.name
		if strings.Contains(label, "heartbeat") || seen[label] {
			return
		}
		seen[label] = true
		out = append(out, label)
	}
	sc.begin(s)
	s.run(2 * time.Second)
	return out
}

// play runs a scenario with faults at steps and tells what broke, and whether
// all faults struck: the first may keep the step of the second from happening.
func (sc scenario) play(steps []string, strikes ...strike) (broken string, struck bool) {
	s := begin()
	done := make([]bool, len(strikes))
	s.trace = func(label string, n *node) {
		label += " at " + n.name
		for i, x := range strikes {
			if done[i] || steps[x.step] != label {
				continue
			}
			done[i] = true
			s.after(0, func() { x.fault.begin(s, n) })
			s.after(faultTime, func() { x.fault.end(s, n) })
		}
	}
	sc.begin(s)
	s.run(2*time.Second + faultTime)
	// A step that comes only now strikes no more.
	s.trace = nil
	if s.failed == "" {
		s.heal()
	}
	return s.failed, !slices.Contains(done, false)
}

// count counts what was played, and how often all faults struck.
type count struct{ steps, single, struckSingle, pairs, struckPairs int }

func (c count) plus(d count) count {
	return count{
		c.steps + d.steps, c.single + d.single, c.struckSingle + d.struckSingle,
		c.pairs + d.pairs, c.struckPairs + d.struckPairs,
	}
}

func (c count) row(name string) string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d |\n", name, c.steps, c.single, c.struckSingle, c.pairs, c.struckPairs)
}

// An operator's instance fails at the worst moment of a commit, a snapshot, a
// transfer, a repair, a change of membership or a failover; or two do.
// Every fault strikes at every step, alone and followed by every fault at the
// same step or at one of the two after it. No invariant of sim may break, and
// when the faults are over, work goes on and all replicas agree.
func TestFaultMatrix(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	var total count
	for _, sc := range scenarios {
		c := matrix(t, sc)
		b.WriteString(c.row(sc.name))
		total = total.plus(c)
	}
	b.WriteString(total.row("all"))
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	b.WriteString("\nFaults: " + strings.Join(names, "; ") + ".\n")
	t.Log("\n" + b.String())
	if *every != ciPairs {
		return
	}
	if *update && !t.Failed() {
		if err := os.WriteFile(page, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), b.String()); d != "" {
		t.Error("docs/faults/quorum.md differs; run the test with -update:\n", d)
	}
}

const pageHead = `# Fault matrix of the consensus core

Written by ` + "`go test ./internal/replica/quorum -run TestFaultMatrix -update`" + `; CI compares it.
Three replicas on a virtual clock, messages 1.5 ms one way, a sync 1 ms. A step is the
first event of each kind at each replica; a fault strikes there and lasts 1.2 s. In a pair
the second strikes at the same step or one of the two after it. After every event the
invariants hold (one leader per term, log matching, committed entries unchanged and with
every later leader, no round confirmed that began after a later election, one machine
counted once, no leadership beyond an election timeout without a confirmed round); after
the faults new work is committed and all replicas end in one state. CI plays every
single fault and every eighth pair; -every=1 plays all pairs. A fault struck when its
step came; the first of a pair may keep the step of the second from coming. Played
without a failure:

| scenario | steps | single faults | struck | pairs | both struck |
|---|---|---|---|---|---|
`

func matrix(t *testing.T, sc scenario) count {
	steps := sc.steps()
	c := count{steps: len(steps)}
	n := 0
	var jobs [][]strike
	for i := range steps {
		for _, f := range faults {
			jobs = append(jobs, []strike{{i, f}})
			c.single++
			for j := i; j < min(i+3, len(steps)); j++ {
				for _, g := range faults {
					if n++; n%*every == 0 {
						jobs = append(jobs, []strike{{i, f}, {j, g}})
						c.pairs++
					}
				}
			}
		}
	}
	work := make(chan []strike)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range min(4, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for strikes := range work {
				broken, struck := sc.play(steps, strikes...)
				if broken != "" {
					t.Errorf("%s: %s: %s", sc.name, describe(steps, strikes), broken)
				}
				mu.Lock()
				if struck && len(strikes) == 1 {
					c.struckSingle++
				} else if struck {
					c.struckPairs++
				}
				mu.Unlock()
			}
		})
	}
	for _, j := range jobs {
		work <- j
	}
	close(work)
	wg.Wait()
	return c
}

func describe(steps []string, strikes []strike) string {
	var out []string
	for _, x := range strikes {
		out = append(out, fmt.Sprintf("%s when %s (%d)", x.fault.name, steps[x.step], x.step))
	}
	return strings.Join(out, " and ")
}
