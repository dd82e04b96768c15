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
func Divide(claims []Team) []float64 {
	targets := make([]float64, len(claims))
	left := guarantee(claims, targets)
	pour(claims, targets, left)
	return targets
}

// guarantee grants the guarantees that are wanted and returns what is left.
func guarantee(claims []Team, targets []float64) float64 {
	sum := 0.0
	for _, c := range claims {
		sum += c.Guarantee
	}
	scale := 1 / max(1, sum)
	left := 1.0
	for i, c := range claims {
		targets[i] = min(c.Demand, c.Guarantee*scale)
		left -= targets[i]
	}
	return max(0, left)
}

// pour adds what is left by weight, the soonest satisfied team first.
func pour(claims []Team, targets []float64, left float64) {
	order := make([]int, 0, len(claims))
	weights := 0.0
	for i, c := range claims {
		if c.Demand > targets[i] && c.Weight > 0 {
			order = append(order, i)
			weights += c.Weight
		}
	}
	level := func(i int) float64 { return (claims[i].Demand - targets[i]) / claims[i].Weight }
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case level(a) < level(b):
			return -1
		case level(a) > level(b):
			return 1
		}
		return a - b
	})
	for _, i := range order {
		part := min(claims[i].Demand-targets[i], left*claims[i].Weight/weights)
		targets[i] += part
		left -= part
		weights -= claims[i].Weight
	}
}

// MinShares returns what each team could have at least, however much the others
// want, if it wanted the whole cell.
func MinShares(claims []Team) []float64 {
	sum, weights := 0.0, 0.0
	for _, c := range claims {
		sum += c.Guarantee
		weights += c.Weight
	}
	scale, rest := 1/max(1, sum), max(0, 1-sum)
	floors := make([]float64, len(claims))
	for i, c := range claims {
		floors[i] = c.Guarantee * scale
		if weights > 0 {
			floors[i] += rest * c.Weight / weights
		}
	}
	return floors
}
