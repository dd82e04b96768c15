package steps

import (
	"slices"

	"gypsumreel/internal/domain/flow"
)

// Bounds of what one plan looks at.
const (
	// mostPressing bounds the steps that every plan looks at, the most pressing
	// first: many more than start between two plans.
	mostPressing = 128
	// mostOthers bounds those that it looks at beside them, others with each plan.
	mostOthers = 64
)

// SelectItems returns the items that a plan looks at, in the order of Compare. Those of a
// customer that may start nothing are passed over. With a long backlog the most
// pressing are taken, and of the rest a part that changes with each turn: were the
// most pressing ones waiting for something that never comes, nothing else would
// ever start.
func SelectItems(v View, turn int) []Item {
	items := slices.DeleteFunc(slices.Clone(v.Items), func(it Item) bool {
		return fits(flow.SizeOf(it.Spec), v.RemainingLimit(it.Flow.Customer)) == 0
	})
	slices.SortFunc(items, Compare)
	if len(items) <= mostPressing+mostOthers {
		return items
	}
	rest := items[mostPressing:]
	start := turn * mostOthers % len(rest)
	others := rest[start:min(start+mostOthers, len(rest))]
	return append(items[:mostPressing:mostPressing], others...)
}
