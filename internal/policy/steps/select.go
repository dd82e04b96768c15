package steps

import (
	"slices"

	"gypsumreel/internal/domain/flow"
)

// Bounds of what one plan looks at.
const (
	// maxLeadingItems bounds the steps that every plan looks at, the most pressing
	// first: many more than start between two plans.
	maxLeadingItems = 128
	// maxRotatingItems bounds those that it looks at beside them, others with each plan.
	maxRotatingItems = 64
)

// SelectItems returns the items that a plan looks at, in the order of Compare. Those of a
// customer that may start nothing are passed over. With a long backlog the most
// pressing are taken, and of the rest a part that changes with each turn: were the
// most pressing ones waiting for something that never comes, nothing else would
// ever start.
func SelectItems(v View, planNumber int) []Item {
	items := slices.DeleteFunc(slices.Clone(v.Items), func(it Item) bool {
		return fittingTasks(flow.SizeOf(it.Spec), v.RemainingLimit(it.Flow.Customer)) == 0
	})
	slices.SortFunc(items, Compare)
	if len(items) <= maxLeadingItems+maxRotatingItems {
		return items
	}
	rest := items[maxLeadingItems:]
	start := planNumber * maxRotatingItems % len(rest)
	others := rest[start:min(start+maxRotatingItems, len(rest))]
	return append(items[:maxLeadingItems:maxLeadingItems], others...)
}
