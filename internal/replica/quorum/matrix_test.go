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
	updatePage   = flag.Bool("update", false, "write docs/faults/quorum.md instead of comparing it")
	pairInterval = flag.Int("every", ciPairInterval, "play only every nth pair of faults; 1 plays all")
)

const (
	pagePath = "../../../docs/faults/quorum.md"
	// ciPairInterval shares no factor with the number of faults, so each meets each.
	ciPairInterval = 8
)

// scenario is what goes on while faults strike; it takes two seconds or less.
type scenario struct {
	name  string
	start func(s *simulation)
}

var scenarios = []scenario{
	{"commit", func(s *simulation) {
		s.propose(s.leader(), 3)
		s.schedule(50*time.Millisecond, func() { s.propose(s.leader(), 30) })
	}},
	{"snapshot", func(s *simulation) {
		s.propose(s.leader(), 30)
		s.schedule(100*time.Millisecond, func() {
			for _, n := range s.replicas {
				s.compact(n)
			}
		})
	}},
	{"transfer", func(s *simulation) {
		s.propose(s.leader(), 10)
		s.schedule(5*time.Millisecond, func() {
			if l := s.leader(); l != nil {
				s.transferLeadership(l)
			}
		})
	}},
	{"repair", func(s *simulation) {
		s.propose(s.leader(), 40)
		s.schedule(100*time.Millisecond, func() { s.compact(s.leader()) })
		s.schedule(150*time.Millisecond, func() { s.loseDiskOrCrash(s.anyFollower()) })
		for i := range 7 {
			s.schedule(time.Duration(300+200*i)*time.Millisecond, s.repairMembership)
		}
	}},
	{"membership change", func(s *simulation) {
		m := s.anyFollower()
		remove := quorum.Member{ID: m.id, Address: m.name}
		learner := remove
		learner.Learner = true
		s.schedule(10*time.Millisecond, func() { s.changeMembership(s.leader(), remove, true) })
		s.schedule(300*time.Millisecond, func() { s.changeMembership(s.leader(), learner, false) })
		s.schedule(600*time.Millisecond, func() { s.changeMembership(s.leader(), remove, false) })
	}},
	{"failover", func(s *simulation) {
		l := s.leader()
		s.propose(l, 5)
		s.schedule(time.Millisecond, func() { s.crash(l, 5) })
		s.schedule(1500*time.Millisecond, func() {
			if l.core == nil {
				s.start(l)
			}
		})
	}},
}

// anyFollower is a replica that does not lead.
func (s *simulation) anyFollower() *simReplica {
	l := s.leader()
	for _, n := range s.replicas {
		if n != l {
			return n
		}
	}
	return nil
}

// fault strikes the replica at which a step happens.
type fault struct {
	name  string
	start func(s *simulation, n *simReplica)
	stop  func(s *simulation, n *simReplica)
}

func setLinks(s *simulation, n *simReplica, inbound, outbound, isCut bool) {
	for _, other := range s.replicas {
		if inbound {
			s.cutLinks[[2]string{other.name, n.name}] = isCut
		}
		if outbound {
			s.cutLinks[[2]string{n.name, other.name}] = isCut
		}
	}
}

func crashWithTornWrite(tornTenths int) func(*simulation, *simReplica) {
	return func(s *simulation, n *simReplica) { s.crash(n, tornTenths) }
}

func restartIfDown(s *simulation, n *simReplica) {
	if n.core == nil {
		s.start(n)
	}
}

var faults = []fault{
	{"crash", crashWithTornWrite(0), restartIfDown},
	{"crash, torn tail", crashWithTornWrite(5), restartIfDown},
	{"crash after the write", crashWithTornWrite(10), restartIfDown},
	{
		"pause",
		func(_ *simulation, n *simReplica) { n.paused = true },
		func(_ *simulation, n *simReplica) { n.paused = false },
	},
	{
		"silent both ways",
		func(s *simulation, n *simReplica) { setLinks(s, n, true, true, true) },
		func(s *simulation, n *simReplica) { setLinks(s, n, true, true, false) },
	},
	{
		"silent inwards",
		func(s *simulation, n *simReplica) { setLinks(s, n, true, false, true) },
		func(s *simulation, n *simReplica) { setLinks(s, n, true, false, false) },
	},
	{
		"silent outwards",
		func(s *simulation, n *simReplica) { setLinks(s, n, false, true, true) },
		func(s *simulation, n *simReplica) { setLinks(s, n, false, true, false) },
	},
	{
		"loss, duplicates, reorder",
		func(s *simulation, _ *simReplica) {
			s.lossProbability, s.duplicateProbability, s.maxJitter = 0.3, 0.3, 300*time.Millisecond
		},
		func(s *simulation, _ *simReplica) { s.lossProbability, s.duplicateProbability, s.maxJitter = 0, 0, 0 },
	},
	{"lost disk", (*simulation).loseDiskOrCrash, restartIfDown},
}

// loseDiskOrCrash loses a disk only where a majority still has everything, as two
// lost disks of three can't be survived; else the replica crashes.
func (s *simulation) loseDiskOrCrash(n *simReplica) {
	if s.canSurviveDiskLoss() {
		s.loseDisk(n)
	} else {
		s.crash(n, 0)
	}
}

// faultAtStep is a fault at a step: the nth event with this label.
type faultAtStep struct {
	step  int
	fault fault
}

// faultDuration is longer than an election takes.
const faultDuration = 1200 * time.Millisecond

// startGroup gives a group that has a leader; few ticks save time.
func startGroup() *simulation {
	s := newSimulation(3, 1)
	s.tickInterval = 3 * defaultTickInterval
	s.runFor(1500 * time.Millisecond)
	return s
}

// steps runs a scenario without faults and gives the labels of its events: the
// first of each kind at each replica.
func (sc scenario) steps() []string {
	s := startGroup()
	var out []string
	seen := map[string]bool{}
	s.onEvent = func(label string, n *simReplica) {
		label += " at " + n.name
		if strings.Contains(label, "heartbeat") || seen[label] {
			return
		}
		seen[label] = true
		out = append(out, label)
	}
	sc.start(s)
	s.runFor(2 * time.Second)
	return out
}

// run runs a scenario with faults at steps and tells what broke, and whether
// all faults struck: the first may keep the step of the second from happening.
func (sc scenario) run(steps []string, injected ...faultAtStep) (failure string, allInjected bool) {
	s := startGroup()
	injectedAt := make([]bool, len(injected))
	s.onEvent = func(label string, n *simReplica) {
		label += " at " + n.name
		for i, x := range injected {
			if injectedAt[i] || steps[x.step] != label {
				continue
			}
			injectedAt[i] = true
			s.schedule(0, func() { x.fault.start(s, n) })
			s.schedule(faultDuration, func() { x.fault.stop(s, n) })
		}
	}
	sc.start(s)
	s.runFor(2*time.Second + faultDuration)
	// A step that comes only now strikes no more.
	s.onEvent = nil
	if s.failure == "" {
		s.endFaultsAndCheck()
	}
	return s.failure, !slices.Contains(injectedAt, false)
}

// runCounts counts what was played, and how often all faults struck.
type runCounts struct{ steps, singleFaults, singleInjected, pairs, pairsInjected int }

func (c runCounts) plus(d runCounts) runCounts {
	return runCounts{
		c.steps + d.steps, c.singleFaults + d.singleFaults, c.singleInjected + d.singleInjected,
		c.pairs + d.pairs, c.pairsInjected + d.pairsInjected,
	}
}

func (c runCounts) row(name string) string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d |\n", name, c.steps, c.singleFaults, c.singleInjected, c.pairs, c.pairsInjected)
}

// An operator's instance fails at the worst moment of a commit, a snapshot, a
// transfer, a repair, a change of membership or a failover; or two do.
// Every fault strikes at every step, alone and followed by every fault at the
// same step or at one of the two after it. No invariant of sim may break, and
// when the faults are over, work goes on and all replicas agree.
func TestFaultMatrix(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	var total runCounts
	for _, sc := range scenarios {
		c := runMatrix(t, sc)
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
	if *pairInterval != ciPairInterval {
		return
	}
	if *updatePage && !t.Failed() {
		if err := os.WriteFile(pagePath, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(pagePath)
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

func runMatrix(t *testing.T, sc scenario) runCounts {
	steps := sc.steps()
	c := runCounts{steps: len(steps)}
	n := 0
	var jobs [][]faultAtStep
	for i := range steps {
		for _, f := range faults {
			jobs = append(jobs, []faultAtStep{{i, f}})
			c.singleFaults++
			for j := i; j < min(i+3, len(steps)); j++ {
				for _, g := range faults {
					if n++; n%*pairInterval == 0 {
						jobs = append(jobs, []faultAtStep{{i, f}, {j, g}})
						c.pairs++
					}
				}
			}
		}
	}
	work := make(chan []faultAtStep)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range min(4, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for strikes := range work {
				broken, struck := sc.run(steps, strikes...)
				if broken != "" {
					t.Errorf("%s: %s: %s", sc.name, describeFaults(steps, strikes), broken)
				}
				mu.Lock()
				if struck && len(strikes) == 1 {
					c.singleInjected++
				} else if struck {
					c.pairsInjected++
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

func describeFaults(steps []string, strikes []faultAtStep) string {
	var out []string
	for _, x := range strikes {
		out = append(out, fmt.Sprintf("%s when %s (%d)", x.fault.name, steps[x.step], x.step))
	}
	return strings.Join(out, " and ")
}
