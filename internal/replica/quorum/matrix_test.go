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
	pairInterval = flag.Int("every", ciPairInterval, "run only every nth pair of faults; 1 runs all pairs")
)

const (
	pagePath = "../../../docs/faults/quorum.md"
	// ciPairInterval has no common factor with the number of faults, so that CI runs pairs
	// of any two faults.
	ciPairInterval = 8
)

// scenario is an operation of the group during which faults are injected. It takes at most two
// seconds.
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
			if leader := s.leader(); leader != nil {
				s.transferLeadership(leader)
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
		leader := s.leader()
		s.propose(leader, 5)
		s.schedule(time.Millisecond, func() { s.crash(leader, 5) })
		s.schedule(1500*time.Millisecond, func() {
			if leader.core == nil {
				s.start(leader)
			}
		})
	}},
}

// anyFollower returns the first replica that does not lead.
func (s *simulation) anyFollower() *simReplica {
	leader := s.leader()
	for _, n := range s.replicas {
		if n != leader {
			return n
		}
	}
	return nil
}

// fault is a failure of the replica at which a step happens.
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
		"all messages lost",
		func(s *simulation, n *simReplica) { setLinks(s, n, true, true, true) },
		func(s *simulation, n *simReplica) { setLinks(s, n, true, true, false) },
	},
	{
		"inbound messages lost",
		func(s *simulation, n *simReplica) { setLinks(s, n, true, false, true) },
		func(s *simulation, n *simReplica) { setLinks(s, n, true, false, false) },
	},
	{
		"outbound messages lost",
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

// loseDiskOrCrash replaces the disk of a replica if the other replicas have all committed
// entries. Otherwise it only crashes the replica, because a group of three does not survive the
// loss of two disks.
func (s *simulation) loseDiskOrCrash(n *simReplica) {
	if s.canSurviveDiskLoss() {
		s.loseDisk(n)
	} else {
		s.crash(n, 0)
	}
}

// faultAtStep is a fault that is injected at the step with this number.
type faultAtStep struct {
	step  int
	fault fault
}

// faultDuration is longer than an election, so that a new leader can be elected during a fault.
const faultDuration = 1200 * time.Millisecond

// startGroup returns a group of three replicas with a leader. Its ticks are rare to shorten the
// test.
func startGroup() *simulation {
	s := newSimulation(3, 1)
	s.tickInterval = 3 * defaultTickInterval
	s.runFor(1500 * time.Millisecond)
	return s
}

// steps runs a scenario without faults and returns its steps. A step is the first event of each
// kind at each replica.
func (sc scenario) steps() []string {
	s := startGroup()
	var labels []string
	seenLabels := map[string]bool{}
	s.onEvent = func(label string, n *simReplica) {
		label += " at " + n.name
		if strings.Contains(label, "heartbeat") || seenLabels[label] {
			return
		}
		seenLabels[label] = true
		labels = append(labels, label)
	}
	sc.start(s)
	s.runFor(2 * time.Second)
	return labels
}

// run runs a scenario with faults at steps. It returns the violated invariant, if any, and
// whether all faults were injected. The first fault may prevent the step of the second one.
func (sc scenario) run(steps []string, faults ...faultAtStep) (failure string, allInjected bool) {
	s := startGroup()
	injected := make([]bool, len(faults))
	s.onEvent = func(label string, n *simReplica) {
		label += " at " + n.name
		for i, f := range faults {
			if injected[i] || steps[f.step] != label {
				continue
			}
			injected[i] = true
			s.schedule(0, func() { f.fault.start(s, n) })
			s.schedule(faultDuration, func() { f.fault.stop(s, n) })
		}
	}
	sc.start(s)
	s.runFor(2*time.Second + faultDuration)
	// Steps that happen after this time inject no faults.
	s.onEvent = nil
	if s.failure == "" {
		s.endFaultsAndCheck()
	}
	return s.failure, !slices.Contains(injected, false)
}

// runCounts counts the runs and how often all faults of a run were injected.
type runCounts struct{ steps, singleFaults, singleInjected, pairs, pairsInjected int }

func (c runCounts) add(d runCounts) runCounts {
	return runCounts{
		c.steps + d.steps, c.singleFaults + d.singleFaults, c.singleInjected + d.singleInjected,
		c.pairs + d.pairs, c.pairsInjected + d.pairsInjected,
	}
}

func (c runCounts) row(name string) string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d |\n", name, c.steps, c.singleFaults, c.singleInjected, c.pairs, c.pairsInjected)
}

// TestFaultMatrix injects one or two faults into a commit, a snapshot, a transfer, a repair, a
// membership change and a failover. Each fault is injected at each step, alone and followed by
// each fault at the same step or one of the next two. No invariant of the simulation may be
// violated. After the faults, new commands must be committed and all replicas must agree.
func TestFaultMatrix(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	var total runCounts
	for _, sc := range scenarios {
		c := runMatrix(t, sc)
		b.WriteString(c.row(sc.name))
		total = total.add(c)
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
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Error("docs/faults/quorum.md differs; run the test with -update:\n", diff)
	}
}

const pageHead = `# Fault matrix of the consensus core

Written by ` + "`go test ./internal/replica/quorum -run TestFaultMatrix -update`" + `; CI compares it.
The test runs three replicas on a virtual clock. A message takes 1.5 ms one way, a disk
sync 1 ms. A step is the first event of each kind at each replica. A fault is injected at
a step and lasts 1.2 s. In a pair, the second fault is injected at the same step or one of
the next two. These invariants are checked after every event:

- Each term has at most one leader.
- Entries with the same index and term are equal in all logs.
- Committed entries do not change, and every later leader has them.
- No heartbeat round is confirmed that started after a later election.
- One machine counts as one voter.
- No leader leads longer than an election timeout without a confirmed round.

After the faults, a new command is committed and all replicas reach the same state. CI
runs every single fault and every eighth pair; -every=1 runs all pairs. A fault is
injected when its step happens. The first fault of a pair may prevent the step of the
second. All runs below passed:

| scenario | steps | single faults | injected | pairs | both injected |
|---|---|---|---|---|---|
`

func runMatrix(t *testing.T, sc scenario) runCounts {
	steps := sc.steps()
	c := runCounts{steps: len(steps)}
	pairNumber := 0
	var runs [][]faultAtStep
	for i := range steps {
		for _, f := range faults {
			runs = append(runs, []faultAtStep{{i, f}})
			c.singleFaults++
			for j := i; j < min(i+3, len(steps)); j++ {
				for _, g := range faults {
					if pairNumber++; pairNumber%*pairInterval == 0 {
						runs = append(runs, []faultAtStep{{i, f}, {j, g}})
						c.pairs++
					}
				}
			}
		}
	}
	queuedRuns := make(chan []faultAtStep)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range min(4, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for injected := range queuedRuns {
				failure, allInjected := sc.run(steps, injected...)
				if failure != "" {
					t.Errorf("%s: %s: %s", sc.name, describeFaults(steps, injected), failure)
				}
				mu.Lock()
				if allInjected && len(injected) == 1 {
					c.singleInjected++
				} else if allInjected {
					c.pairsInjected++
				}
				mu.Unlock()
			}
		})
	}
	for _, r := range runs {
		queuedRuns <- r
	}
	close(queuedRuns)
	wg.Wait()
	return c
}

func describeFaults(steps []string, faults []faultAtStep) string {
	var descriptions []string
	for _, f := range faults {
		descriptions = append(descriptions, fmt.Sprintf("%s at step %d (%s)", f.fault.name, f.step, steps[f.step]))
	}
	return strings.Join(descriptions, " and ")
}
