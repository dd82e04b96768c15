package share_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/policy/share"
)

var approx = cmpopts.EquateApprox(0, 1e-9)

func TestDivide(t *testing.T) {
	tests := map[string]struct {
		teams []share.Team
		want  []float64
	}{
		"weights divide the cell":                    {[]share.Team{{Weight: 3, Demand: 1}, {Weight: 1, Demand: 1}}, []float64{0.75, 0.25}},
		"unused share goes to the others":            {[]share.Team{{Weight: 1, Demand: 0.1}, {Weight: 1, Demand: 1}}, []float64{0.1, 0.9}},
		"a guarantee comes first":                    {[]share.Team{{Guarantee: 0.6, Weight: 1, Demand: 1}, {Weight: 1, Demand: 1}}, []float64{0.8, 0.2}},
		"an unused guarantee is lent":                {[]share.Team{{Guarantee: 0.6, Weight: 1, Demand: 0.2}, {Weight: 1, Demand: 1}}, []float64{0.2, 0.8}},
		"guarantees above the whole cell are scaled": {[]share.Team{{Guarantee: 1, Demand: 1}, {Guarantee: 0.25, Demand: 1}}, []float64{0.8, 0.2}},
		"no weight gives only the guarantee":         {[]share.Team{{Demand: 1}, {Weight: 1, Demand: 0.5}}, []float64{0, 0.5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, share.Divide(test.teams), approx); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// No team may get more than its demand, or less than the demanded part of its guarantee and
// of its minimum share. The whole cell must be divided while there is unmet demand.
func TestDivideKeepsGuaranteesAndMinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := make([]share.Team, rapid.IntRange(1, 8).Draw(t, "teams"))
		fraction := rapid.Float64Range(0, 1)
		for i := range teams {
			teams[i] = share.Team{Guarantee: fraction.Draw(t, "guarantee") / float64(len(teams)), Weight: rapid.Float64Range(1, 5).Draw(t, "weight"), Demand: fraction.Draw(t, "want")}
		}
		minShares := share.MinShares(teams)
		sum, demand := 0.0, 0.0
		for i, target := range share.Divide(teams) {
			team := teams[i]
			if target > team.Demand+1e-9 || target < min(team.Demand, team.Guarantee)-1e-9 || target < min(team.Demand, minShares[i])-1e-9 {
				t.Fatalf("target share %v of team %+v with minimum share %v", target, team, minShares[i])
			}
			sum += target
			demand += team.Demand
		}
		if diff := cmp.Diff(min(1, demand), sum, approx); diff != "" {
			t.Fatal(diff)
		}
	})
}
