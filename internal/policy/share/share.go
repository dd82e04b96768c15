// Package share divides the cell between teams: weighted dominant-resource
// fairness over guaranteed shares. It is pure arithmetic on what teams hold and
// want now; nothing is accumulated, so an edited weight moves the targets and
// leaves no credit or debt behind.
package share

import (
	"slices"
)

// Team is what one team may count on and wants, as fractions of the cell.
type Team struct {
	// Guarantee is the part that the team is sure of while it wants it.
	Guarantee float64
	// Weight divides what the guarantees leave over.
	Weight float64
	// Demand is the part that the team holds and waits for, bounded by its limit.
	Demand float64
}

// Divide returns each team's target, in the order of the claims: no more than it
// wants, at least its guarantee if it wants that much, and the rest in
// proportion to the weights. Guarantees beyond the cell are scaled down.
func Divide(teams []Team) []float64 {
	targets := make([]float64, len(teams))
	remaining := grantGuarantees(teams, targets)
	distributeByWeight(teams, targets, remaining)
	return targets
}

// grantGuarantees grants the guarantees that are wanted and returns what is left.
func grantGuarantees(teams []Team, targets []float64) float64 {
	sum := 0.0
	for _, c := range teams {
		sum += c.Guarantee
	}
	scale := 1 / max(1, sum)
	remaining := 1.0
	for i, c := range teams {
		targets[i] = min(c.Demand, c.Guarantee*scale)
		remaining -= targets[i]
	}
	return max(0, remaining)
}

// distributeByWeight adds what is left by weight, the soonest satisfied team first.
func distributeByWeight(teams []Team, targets []float64, remaining float64) {
	order := make([]int, 0, len(teams))
	weights := 0.0
	for i, c := range teams {
		if c.Demand > targets[i] && c.Weight > 0 {
			order = append(order, i)
			weights += c.Weight
		}
	}
	relativeDemand := func(i int) float64 { return (teams[i].Demand - targets[i]) / teams[i].Weight }
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case relativeDemand(a) < relativeDemand(b):
			return -1
		case relativeDemand(a) > relativeDemand(b):
			return 1
		}
		return a - b
	})
	for _, i := range order {
		grant := min(teams[i].Demand-targets[i], remaining*teams[i].Weight/weights)
		targets[i] += grant
		remaining -= grant
		weights -= teams[i].Weight
	}
}

// MinShares returns what each team could have at least, however much the others
// want, if it wanted the whole cell.
func MinShares(teams []Team) []float64 {
	sum, weights := 0.0, 0.0
	for _, c := range teams {
		sum += c.Guarantee
		weights += c.Weight
	}
	scale, unguaranteed := 1/max(1, sum), max(0, 1-sum)
	minShares := make([]float64, len(teams))
	for i, c := range teams {
		minShares[i] = c.Guarantee * scale
		if weights > 0 {
			minShares[i] += unguaranteed * c.Weight / weights
		}
	}
	return minShares
}
