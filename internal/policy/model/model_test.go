package model_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/model"
)

func TestSameSeedGivesTheSameDecisions(t *testing.T) {
	for seed := range uint64(3) {
		a, b := model.New(model.GenerateScenario(seed, 48), model.Policy{}), model.New(model.GenerateScenario(seed, 48), model.Policy{})
		if diff := cmp.Diff(a.Run(), b.Run()); diff != "" {
			t.Error(diff)
		}
		if a.DecisionHash != b.DecisionHash || a.DecisionHash == 0 {
			t.Errorf("seed %d: decisions %x and %x", seed, a.DecisionHash, b.DecisionHash)
		}
	}
}
