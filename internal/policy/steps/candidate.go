package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// candidate is a server on which a task could start.
type candidate struct {
	*serverState
	permission Permission
	// taskCount is how many tasks of the step it may still take.
	taskCount int64
	// penalty is greater for what comes after all others, by what is known of the
	// server and the item; ties go by free room.
	penalty int
}

// compare orders options. It is called for every pair that a plan compares, and
// what it compares is worked out beforehand.
func (c candidate) compare(other candidate) int {
	return cmp.Or(c.penalty-other.penalty, cmp.Compare(c.free.CPU, other.free.CPU), c.index-other.index)
}

// Steps in the order of options: a server on which a task of the step failed comes
// after all others, one that is slow after its start after all that are not, one that is not near the data after all that are, one whose
// leases do not suit after those whose leases do, and a slow one after the faster.
const (
	maxSpeedClass = 1 << 20
	leasePenalty  = 2 * maxSpeedClass
	farPenalty    = 2 * leasePenalty
	coldPenalty   = 2 * farPenalty
	failedPenalty = 2 * coldPenalty
)

// penalty works out where a server comes for an item.
func penalty(it Item, r *serverState) int {
	points := -min(max(r.speedClass, -maxSpeedClass), maxSpeedClass)
	if !inPreferredRack(it, r) {
		points += farPenalty
	}
	if it.Urgent != r.ShortLease {
		points += leasePenalty
	}
	if r.Cold {
		points += coldPenalty
	}
	if it.FailedOn[r.ID] {
		points += failedPenalty
	}
	return points
}

// candidates returns the servers that may hold a task of the item now, the best
// first: those on which none of it failed, near the data, then fast, then those
// that are left fullest, so that large holes stay for large tasks.
func (p *planner) candidates(it Item) (out []candidate) {
	size := flow.SizeOf(it.Spec)
	if p.poolFull(it) {
		return nil
	}
	placedOn := map[string]int64{}
	for _, t := range it.Tasks {
		if t.Phase == flows.Placed {
			placedOn[t.Server]++
		}
	}
	for _, r := range p.knownServersFor(it) {
		permission := p.permission(it, r)
		if permission == Denied || r.heldForSuspect || !eligible(it, r) {
			continue
		}
		n := fittingTasks(size, r.usable(it))
		if maxPerServer := it.Spec.GetApart(); maxPerServer > 0 {
			n = min(n, int64(maxPerServer)-placedOn[r.ID])
		}
		if n > 0 {
			out = append(out, candidate{serverState: r, permission: permission, taskCount: n, penalty: penalty(it, r)})
		}
	}
	slices.SortFunc(out, candidate.compare)
	return out
}

// poolFull tells that no server had room for a task of the item when the plan began, and
// that the adviser was asked already: the usual case where much waits.
func (p *planner) poolFull(it Item) bool {
	return (it.AdviserAsked || !it.NeedsPermit) && it.Spec.GetSize().GetCpu() > p.maxFreeCPU[it.Pool]
}

// speedClass groups servers whose speed differs by less than can be told apart
// from a few runs, so that packing decides among them.
func speedClass(speed float64) int {
	const classesPerUnit = 4 // quarters of the usual speed
	return int(speed*classesPerUnit + 0.5)
}

func inPreferredRack(it Item, r *serverState) bool {
	rack := it.Spec.GetRack()
	return rack == "" || slices.Contains(r.Labels, rack)
}
