package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/fairness"
)

// order returns the order in which a plan handles the items.
func (v View) order() func(a, b Item) int {
	if v.Contended {
		return compareContended
	}
	return Compare
}

// compareContended orders items while customers compete.
func compareContended(a, b Item) int {
	return cmp.Or(
		fairness.Compare(a.Rank(), b.Rank()),
		cmp.Compare(a.Flow.ID, b.Flow.ID),
		cmp.Compare(a.StepID.Turn, b.StepID.Turn),
		cmp.Compare(a.StepID.Step, b.StepID.Step),
	)
}

// Rank returns the place of the item among the items of competing customers.
func (item Item) Rank() fairness.Rank {
	return fairness.Rank{
		Worthless: item.Worthless, Surplus: item.Surplus, Late: item.Overdue, BelowFloor: item.BelowFloor,
		Priority: item.Priority, Begun: item.Begun, Use: item.CustomerUse, Slack: item.Slack,
	}
}

// Deferrable reports whether, while customers compete, the item gets only what other items
// leave.
func (item Item) Deferrable() bool { return item.Overdue || item.Worthless || item.Surplus }

// MarkBelowFloor marks the items that get what their queue lacks to its floor. shortfalls holds
// the CPU that each queue lacks, in thousandths of a core, and is reduced by what the marked
// items need. No more items are marked than the queue lacks: otherwise a backlog of one queue
// would take all free room at once. Items that can end in time are marked first. What is left is
// for those that only get what others leave; among them the queue keeps its floor too. An item
// that is not at risk needs no floor.
func MarkBelowFloor(items []Item, shortfalls map[string]int64) {
	if len(shortfalls) == 0 {
		return
	}
	order := make([]int, 0, len(items))
	for i, item := range items {
		if shortfalls[item.Flow.QueueName] > 0 && item.AtRisk {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return compareContended(items[a], items[b]) })
	for _, i := range order {
		item := &items[i]
		if shortfalls[item.Flow.QueueName] > 0 {
			item.BelowFloor = true
			shortfalls[item.Flow.QueueName] -= int64(item.QueuedTasks) * flow.TaskSize(item.Spec).CPU
		}
	}
}

// MarkStarved marks the first item of each queue of which nothing runs. It is for plans with too
// little room while customers do not compete: a backlog of higher priority would keep such a queue
// from starting anything. An item that is not at risk can wait, and a gang keeps its own place,
// since the room for it would stay idle until it suffices.
func MarkStarved(items []Item, runs func(queue string) bool) {
	first := map[string]int{}
	for i, item := range items {
		if !item.AtRisk || item.Spec.GetGang() {
			continue
		}
		if j, ok := first[item.Flow.QueueName]; !ok || Compare(item, items[j]) < 0 {
			first[item.Flow.QueueName] = i
		}
	}
	for queue, i := range first {
		items[i].Starved = !runs(queue)
	}
}

// RoomShort reports whether the steps that are ready need more CPU than is free in any pool.
// queued holds the CPU of their queued tasks by pool, in thousandths of a core.
func RoomShort(queued map[string]int64, servers []Server) bool {
	free := map[string]int64{}
	for _, s := range servers {
		free[s.Pool] += max(s.FreeCapacity().CPU, 0)
	}
	for pool, cpu := range queued {
		if cpu > free[pool] {
			return true
		}
	}
	return false
}
