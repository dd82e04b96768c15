// Package fairness orders work for which several customers and queues compete. It has no side
// effects.
package fairness

import (
	"cmp"
	"math"
	"time"

	"gypsumreel/internal/base/bools"
)

// Rank holds the properties of a step that decide its place while customers compete.
type Rank struct {
	// Worthless is true when the end of the flow has no value any more, Late when the flow can
	// no longer end in time.
	Worthless, Late bool
	// Surplus is true for work beyond the guaranteed rate of its customer.
	Surplus bool
	// BelowFloor is true when the queue uses less than its floor.
	BelowFloor bool
	// Priority is the priority of the queue. 0 is the highest.
	Priority uint32
	// Begun is true when a task of the flow has started.
	Begun bool
	// Use is the CPU that the customer uses, divided by its guaranteed rate; 1 is the average of
	// all customers.
	Use float64
	// Slack is the time that the step can still wait.
	Slack time.Duration
}

// Compare orders ranks. Work that can end in time goes before work that cannot, whatever its
// priority: in overload the most overdue work would otherwise make all other work late too.
// Within a priority, flows that have begun come first, since a flow that is half done is worth
// nothing, then the customers that use least.
func Compare(a, b Rank) int {
	return cmp.Or(
		bools.Compare(a.Worthless, b.Worthless),
		bools.Compare(a.Surplus, b.Surplus),
		bools.Compare(a.Late, b.Late),
		bools.Compare(b.BelowFloor, a.BelowFloor),
		cmp.Compare(a.Priority, b.Priority),
		bools.Compare(b.Begun, a.Begun),
		cmp.Compare(useClass(a.Use), useClass(b.Use)),
		cmp.Compare(a.Slack, b.Slack),
	)
}

// Group returns the name of the part of the order that a rank belongs to, for metrics and logs.
func (r Rank) Group() string {
	switch {
	case r.Worthless:
		return "worthless"
	case r.Surplus:
		return "surplus"
	case r.Late:
		return "late"
	case r.BelowFloor:
		return "floor"
	}
	return "in time"
}

// useClassFactor is the ratio between classes of use. A small customer is at several times the
// average as soon as one large flow of it runs, and that must not put its next flow back.
const useClassFactor = 4

// useClass groups customers whose use is so similar that slack decides among them. All
// customers below useClassFactor times the average are in class 0.
func useClass(use float64) int {
	if use < useClassFactor {
		return 0
	}
	return int(math.Log(use) / math.Log(useClassFactor))
}

// Shortfall returns by how much the use of a queue is below its floor, which is a part of the
// capacity between 0 and 1, or 0 if it is not. All amounts are in the same unit.
func Shortfall(used, capacity int64, floor float64) int64 {
	return max(int64(floor*float64(capacity))-used, 0)
}

// Account is the CPU that a customer uses and the rate that it is guaranteed, both in any unit.
type Account struct {
	Used int64
	Rate float64
}

// Use returns, by customer, the use divided by the guaranteed rate, relative to the average of
// all customers with a rate. It leaves out customers without a rate.
func Use(accounts map[string]Account) map[string]float64 {
	used, rate := int64(0), 0.0
	for _, a := range accounts {
		if a.Rate > 0 {
			used += a.Used
			rate += a.Rate
		}
	}
	out := make(map[string]float64, len(accounts))
	for name, a := range accounts {
		if a.Rate > 0 && used > 0 {
			out[name] = float64(a.Used) / a.Rate / (float64(used) / rate)
		}
	}
	return out
}
