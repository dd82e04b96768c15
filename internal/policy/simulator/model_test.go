package simulator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/simulator"
)

func TestSameSeedGivesTheSameDecisions(t *testing.T) {
	for seed := range uint64(3) {
		a, b := simulator.New(simulator.GenerateScenario(seed, 48), simulator.Policy{}), simulator.New(simulator.GenerateScenario(seed, 48), simulator.Policy{})
		if diff := cmp.Diff(a.Run(), b.Run()); diff != "" {
			t.Error(diff)
		}
		if a.DecisionHash != b.DecisionHash || a.DecisionHash == 0 {
			t.Errorf("seed %d: decisions %x and %x", seed, a.DecisionHash, b.DecisionHash)
		}
	}
}
