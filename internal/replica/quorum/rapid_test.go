package quorum_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/replica/quorum"
)

// TestMain fixes what rapid draws, so that a run gives the same verdict again;
// flags on the command line go before.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "150", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Operators see a group of three or five replicas under loss, duplicates,
// reordering, silent one-way partitions, pauses, crashes with a torn tail, lost
// disks and changes of membership, several at a time.
// Whatever the order, no invariant of sim may break, and when the faults end,
// work goes on and all replicas agree.
func TestFaultsInAnyOrder(t *testing.T) {
	for _, size := range []int{3, 5} {
		rapid.Check(t, func(t *rapid.T) {
			s := newSim(size, uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")))
			s.run(2 * time.Second)
			t.Repeat(actions(s))
			if s.failed == "" {
				s.heal()
			}
			if s.failed != "" {
				t.Fatal(s.failed)
			}
		})
	}
}

func actions(s *sim) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *node {
		return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			s.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if s.failed != "" {
				t.Fatal(s.failed)
			}
		},
		"propose": func(t *rapid.T) {
			n := pick(t)
			if n.core != nil && !n.paused {
				s.propose(n, rapid.IntRange(1, 20).Draw(t, "count"))
			}
		},
		"propose to the leader": func(t *rapid.T) {
			s.propose(s.leader(), rapid.IntRange(1, 20).Draw(t, "count"))
		},
		"wait": func(*rapid.T) { s.run(1500 * time.Millisecond) },
		"cut": func(t *rapid.T) {
			s.cut[[2]string{pick(t).name, pick(t).name}] = true
		},
		"isolate": func(t *rapid.T) {
			n := pick(t)
			for _, o := range s.nodes {
				s.cut[[2]string{n.name, o.name}], s.cut[[2]string{o.name, n.name}] = true, true
			}
		},
		"join": func(*rapid.T) { s.cut = map[[2]string]bool{} },
		"rough": func(t *rapid.T) {
			s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			s.double = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
			s.jitter = rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Second}).Draw(t, "jitter")
		},
		"pause":  func(t *rapid.T) { pick(t).paused = true },
		"resume": func(t *rapid.T) { pick(t).paused = false },
		"crash":  func(t *rapid.T) { s.crash(pick(t), rapid.IntRange(0, 10).Draw(t, "torn")) },
		"start": func(t *rapid.T) {
			if n := pick(t); n.core == nil {
				s.start(n)
			}
		},
		"lose disk": func(t *rapid.T) {
			if n := pick(t); s.mayLose() {
				s.lose(n)
			}
		},
		"repair": func(*rapid.T) { s.repair() },
		"change": func(t *rapid.T) {
			m := quorum.Member{ID: pick(t).id, Learner: rapid.Bool().Draw(t, "learner")}
			m.Address = m.ID[:1]
			// Removing a voter while another's disk is gone loses two of three.
			remove := rapid.Bool().Draw(t, "remove") && s.mayLose()
			s.alter(s.leader(), m, remove)
		},
		"compact":  func(t *rapid.T) { s.compact(pick(t)) },
		"transfer": func(t *rapid.T) { s.hand(pick(t)) },
		"confirm": func(t *rapid.T) {
			if n := pick(t); n.core != nil && !n.paused {
				s.step(n, quorum.ConfirmLeadership{})
			}
		},
		"reload": func(t *rapid.T) {
			if n := pick(t); n.core != nil && !n.paused {
				s.step(n, quorum.ReloadState{})
			}
		},
	}
}

func (s *sim) hand(n *node) {
	if n.core != nil && !n.paused {
		s.step(n, quorum.TransferLeadership{})
	}
}

// mayLose keeps to what can be survived: a second disk is lost only when the
// first was replaced in every membership that anyone has.
func (s *sim) mayLose() bool {
	voters := 0
	for _, n := range s.nodes {
		if n.core == nil || n.index != s.top {
			return false
		}
		voters = 0
		for _, m := range n.core.Status().Members {
			if s.dead[m.ID] {
				return false
			}
			if !m.Learner {
				voters++
			}
		}
		if voters < 3 || voters < len(s.nodes) {
			return false
		}
	}
	return true
}
