package steps

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/domain/flow"
)

// Limits of the items in one plan.
const (
	// maxLeadingItems limits the first items in the order of the plan, which are part of every
	// plan. It is far more than the number of items that start between two plans.
	maxLeadingItems = 128
	// maxRotatingItems limits the further items, which differ from plan to plan.
	maxRotatingItems = 64
	// maxDeferrableItems is the approximate largest number of items in a plan that get only what
	// others leave while customers compete. A burst leaves many of them, and a plan over all of
	// them would take so long that it is late for the items that can still end in time.
	maxDeferrableItems = 64
)

// SelectItems returns the items to consider in a plan, in the order of the plan. It leaves out
// items of customers that have reached their limit. With a long backlog it returns the leading
// items and a part of the rest that changes with the plan number. Otherwise leading items that
// can never start would block all others.
func SelectItems(v View, planNumber int) []Item {
	items := slices.DeleteFunc(slices.Clone(v.Items), func(item Item) bool {
		return fittingTasks(flow.TaskSize(item.Spec), v.RemainingLimit(item.Flow.Customer)) == 0
	})
	slices.SortFunc(items, v.order())
	if len(items) <= maxLeadingItems+maxRotatingItems {
		return items
	}
	rest := items[maxLeadingItems:]
	start := planNumber * maxRotatingItems % len(rest)
	others := rest[start:min(start+maxRotatingItems, len(rest))]
	return append(items[:maxLeadingItems:maxLeadingItems], others...)
}

// IsDue reports whether an item takes part in a plan while customers compete. Those that get
// only what others leave take part in one of several plans in a row; all others in each.
// deferrableCount is the number of the former when the plan before was made.
func IsDue(item Item, planNumber, deferrableCount int) bool {
	if !item.Deferrable() {
		return true
	}
	planCount := uint64(1 + deferrableCount/maxDeferrableItems)
	return xxhash.Sum64String(item.Flow.ID)%planCount == uint64(planNumber)%planCount
}
