package share_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/policy/share"
)

var near = cmpopts.EquateApprox(0, 1e-9)

func TestDivide(t *testing.T) {
	tests := map[string]struct {
		claims []share.Team
		want   []float64
	}{
		"weights divide the cell":            {[]share.Team{{Weight: 3, Demand: 1}, {Weight: 1, Demand: 1}}, []float64{0.75, 0.25}},
		"what one leaves goes to the others": {[]share.Team{{Weight: 1, Demand: 0.1}, {Weight: 1, Demand: 1}}, []float64{0.1, 0.9}},
		"a guarantee comes first":            {[]share.Team{{Guarantee: 0.6, Weight: 1, Demand: 1}, {Weight: 1, Demand: 1}}, []float64{0.8, 0.2}},
		"an unused guarantee is lent":        {[]share.Team{{Guarantee: 0.6, Weight: 1, Demand: 0.2}, {Weight: 1, Demand: 1}}, []float64{0.2, 0.8}},
		"guarantees beyond the cell shrink":  {[]share.Team{{Guarantee: 1, Demand: 1}, {Guarantee: 0.25, Demand: 1}}, []float64{0.8, 0.2}},
		"without weight only the guarantee":  {[]share.Team{{Demand: 1}, {Weight: 1, Demand: 0.5}}, []float64{0, 0.5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, share.Divide(test.claims), near); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Nobody gets more than it wants, or less than its guarantee while it wants it,
// nothing is left while somebody wants it, and a team that wanted the whole cell
// would get at least its floor.
func TestDivideIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]share.Team, rapid.IntRange(1, 8).Draw(t, "teams"))
		part := rapid.Float64Range(0, 1)
		for i := range claims {
			claims[i] = share.Team{Guarantee: part.Draw(t, "guarantee") / float64(len(claims)), Weight: rapid.Float64Range(1, 5).Draw(t, "weight"), Demand: part.Draw(t, "want")}
		}
		floors := share.MinShares(claims)
		sum, wants := 0.0, 0.0
		for i, target := range share.Divide(claims) {
			c := claims[i]
			if target > c.Demand+1e-9 || target < min(c.Demand, c.Guarantee)-1e-9 || target < min(c.Demand, floors[i])-1e-9 {
				t.Fatalf("target %v of claim %+v with floor %v", target, c, floors[i])
			}
			sum += target
			wants += c.Demand
		}
		if diff := cmp.Diff(min(1, wants), sum, near); diff != "" {
			t.Fatal(diff)
		}
	})
}
