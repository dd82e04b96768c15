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

// TestMain sets a fixed seed for rapid, so that each run draws the same cases. Flags on the
// command line override the settings.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "150", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestFaultsInAnyOrder runs groups of three and five replicas under random combinations of
// message loss, duplicates, reordering, one-way partitions, pauses, crashes with a torn journal
// tail, lost disks and membership changes. No invariant of the simulation may be violated. After
// the faults, new commands must be committed and all replicas must agree.
func TestFaultsInAnyOrder(t *testing.T) { checkFaultsInAnyOrder(t, randomActions) }

// TestFaultsAndAbstentionsInAnyOrder is like TestFaultsInAnyOrder, with replicas that abstain from
// leading, several at a time.
func TestFaultsAndAbstentionsInAnyOrder(t *testing.T) {
	checkFaultsInAnyOrder(t, func(s *simulation) map[string]func(*rapid.T) {
		actions := randomActions(s)
		actions["abstain"] = func(t *rapid.T) {
			s.abstain(s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(t, "node")], rapid.Bool().Draw(t, "on"))
		}
		actions["leader abstains"] = func(*rapid.T) { s.abstain(s.leader(), true) }
		return actions
	})
}

// abstain begins or ends the abstention of a running replica.
func (s *simulation) abstain(n *simReplica, on bool) {
	if n != nil && n.core != nil && !n.paused {
		s.step(n, quorum.Abstain{On: on})
	}
}

func checkFaultsInAnyOrder(t *testing.T, actions func(*simulation) map[string]func(*rapid.T)) {
	for _, groupSize := range []int{3, 5} {
		rapid.Check(t, func(t *rapid.T) {
			s := newSimulation(groupSize, uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")))
			s.runFor(2 * time.Second)
			t.Repeat(actions(s))
			if s.failure == "" {
				s.endFaultsAndCheck()
			}
			if s.failure != "" {
				t.Fatal(s.failure)
			}
		})
	}
}

func randomActions(s *simulation) map[string]func(*rapid.T) {
	drawReplica := func(t *rapid.T) *simReplica {
		return s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(t, "node")]
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			s.runFor(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if s.failure != "" {
				t.Fatal(s.failure)
			}
		},
		"propose": func(t *rapid.T) {
			n := drawReplica(t)
			if n.core != nil && !n.paused {
				s.propose(n, rapid.IntRange(1, 20).Draw(t, "count"))
			}
		},
		"propose to the leader": func(t *rapid.T) {
			s.propose(s.leader(), rapid.IntRange(1, 20).Draw(t, "count"))
		},
		"wait": func(*rapid.T) { s.runFor(1500 * time.Millisecond) },
		"cut": func(t *rapid.T) {
			s.cutLinks[[2]string{drawReplica(t).name, drawReplica(t).name}] = true
		},
		"isolate": func(t *rapid.T) {
			n := drawReplica(t)
			for _, o := range s.replicas {
				s.cutLinks[[2]string{n.name, o.name}], s.cutLinks[[2]string{o.name, n.name}] = true, true
			}
		},
		"join": func(*rapid.T) { s.cutLinks = map[[2]string]bool{} },
		"rough": func(t *rapid.T) {
			s.lossProbability = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			s.duplicateProbability = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
			s.maxJitter = rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Second}).Draw(t, "jitter")
		},
		"pause":  func(t *rapid.T) { drawReplica(t).paused = true },
		"resume": func(t *rapid.T) { drawReplica(t).paused = false },
		"crash":  func(t *rapid.T) { s.crash(drawReplica(t), rapid.IntRange(0, 10).Draw(t, "torn")) },
		"start": func(t *rapid.T) {
			if n := drawReplica(t); n.core == nil {
				s.start(n)
			}
		},
		"lose disk": func(t *rapid.T) {
			if n := drawReplica(t); s.canSurviveDiskLoss() {
				s.loseDisk(n)
			}
		},
		"repair": func(*rapid.T) { s.repairMembership() },
		"change": func(t *rapid.T) {
			m := quorum.Member{ID: drawReplica(t).id, Learner: rapid.Bool().Draw(t, "learner")}
			m.Address = m.ID[:1]
			// The removal of a voter while another voter has lost its disk would cost two of
			// three replicas.
			remove := rapid.Bool().Draw(t, "remove") && s.canSurviveDiskLoss()
			s.changeMembership(s.leader(), m, remove)
		},
		"compact":  func(t *rapid.T) { s.compact(drawReplica(t)) },
		"transfer": func(t *rapid.T) { s.transferLeadership(drawReplica(t)) },
		"confirm": func(t *rapid.T) {
			if n := drawReplica(t); n.core != nil && !n.paused {
				s.step(n, quorum.ConfirmLeadership{})
			}
		},
		"reload": func(t *rapid.T) {
			if n := drawReplica(t); n.core != nil && !n.paused {
				s.step(n, quorum.ReloadState{})
			}
		},
	}
}

func (s *simulation) transferLeadership(n *simReplica) {
	if n.core != nil && !n.paused {
		s.step(n, quorum.TransferLeadership{})
	}
}

// canSurviveDiskLoss reports whether the group survives the loss of a disk. All replicas must
// have all committed entries, and no replica may still know a membership with a lost identity.
func (s *simulation) canSurviveDiskLoss() bool {
	voters := 0
	for _, n := range s.replicas {
		if n.core == nil || n.appliedIndex != s.commitIndex {
			return false
		}
		voters = 0
		for _, m := range n.core.Status().Members {
			if s.lostIdentities[m.ID] {
				return false
			}
			if !m.Learner {
				voters++
			}
		}
		if voters < 3 || voters < len(s.replicas) {
			return false
		}
	}
	return true
}
