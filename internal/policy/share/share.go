// Package share divides the cell between teams by weighted dominant-resource fairness with
// guaranteed shares. The result depends only on the current demand of the teams. No usage
// is accumulated, so a changed weight moves the target shares and leaves no credit or debt.
package share

import (
	"slices"
)

// Team is the input for one team, in fractions of the cell.
type Team struct {
	// Guarantee is the share that the team gets whenever it demands it.
	Guarantee float64
	// Weight is the team's weight in the division of the capacity beyond the guarantees.
	Weight float64
	// Demand is the share of the team's placed and waiting tasks, bounded by the team's limit.
	Demand float64
}

// Divide returns the target share of each team, in the order of teams. A team gets at most
// its demand and, if its demand is as large, at least its guarantee. The rest is divided in
// proportion to the weights. Guarantees are scaled down if their sum exceeds the cell.
func Divide(teams []Team) []float64 {
	targets := make([]float64, len(teams))
	remaining := grantGuarantees(teams, targets)
	distributeByWeight(teams, targets, remaining)
	return targets
}

// grantGuarantees sets each target to the demanded part of the guarantee and returns the
// remaining fraction of the cell.
func grantGuarantees(teams []Team, targets []float64) float64 {
	sum := 0.0
	for _, team := range teams {
		sum += team.Guarantee
	}
	scale := 1 / max(1, sum)
	remaining := 1.0
	for i, team := range teams {
		targets[i] = min(team.Demand, team.Guarantee*scale)
		remaining -= targets[i]
	}
	return max(0, remaining)
}

// distributeByWeight adds the remaining fraction to the targets by weight. Teams with the
// smallest unmet demand relative to their weight come first, because what they leave
// unused goes to the others.
func distributeByWeight(teams []Team, targets []float64, remaining float64) {
	order := make([]int, 0, len(teams))
	weights := 0.0
	for i, team := range teams {
		if team.Demand > targets[i] && team.Weight > 0 {
			order = append(order, i)
			weights += team.Weight
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

// MinShares returns the share that each team would get if all teams demanded the whole cell.
func MinShares(teams []Team) []float64 {
	sum, weights := 0.0, 0.0
	for _, team := range teams {
		sum += team.Guarantee
		weights += team.Weight
	}
	scale, unguaranteed := 1/max(1, sum), max(0, 1-sum)
	minShares := make([]float64, len(teams))
	for i, team := range teams {
		minShares[i] = team.Guarantee * scale
		if weights > 0 {
			minShares[i] += unguaranteed * team.Weight / weights
		}
	}
	return minShares
}
