package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// candidate is a server on which a task of an item can start.
type candidate struct {
	*serverState
	permission Permission
	// taskCount is the number of tasks of the step that the server can still take.
	taskCount int64
	// penalty ranks the server for the item; a higher penalty comes later. Servers with equal
	// penalties are ordered by free CPU.
	penalty int
	// attemptRank ranks the server for the tasks of the item at their last attempt.
	attemptRank int
}

// compare orders candidates. It runs for every compared pair of a plan, so the penalty is
// computed beforehand.
func (c candidate) compare(other candidate) int {
	return cmp.Or(c.penalty-other.penalty, cmp.Compare(c.free.CPU, other.free.CPU), c.index-other.index)
}

// Penalties in ascending order of importance: the server is slow, its lease does not suit the
// item, it is outside the preferred rack, it is in its slow start, a task of the step or the
// latest runs of several flows failed there. Each penalty outweighs all smaller ones together.
const (
	maxSpeedClass    = 1 << 20
	leasePenalty     = 2 * maxSpeedClass
	farPenalty       = 2 * leasePenalty
	slowStartPenalty = 2 * farPenalty
	failedPenalty    = 2 * slowStartPenalty
)

// penalty returns the rank of a server for an item. Lower values come first.
func penalty(item Item, r *serverState) int {
	total := -min(max(r.speedClass, -maxSpeedClass), maxSpeedClass)
	if !inPreferredRack(item, r) {
		total += farPenalty
	}
	if item.Urgent != r.ShortLease {
		total += leasePenalty
	}
	if r.InSlowStart {
		total += slowStartPenalty
	}
	if item.FailedOn[r.ID] || r.Probing {
		total += failedPenalty
	}
	return total
}

// candidates returns the servers on which a task of the item can start now, best first. After
// the penalty, servers with less free CPU come first, so that large gaps stay free for large
// tasks.
func (p *planner) candidates(item Item) (out []candidate) {
	size := flow.TaskSize(item.Spec)
	if p.poolFull(item) {
		return nil
	}
	placedOn := map[string]int64{}
	for _, t := range item.Tasks {
		if t.Phase == flows.Placed {
			placedOn[t.Server]++
		}
	}
	for _, r := range p.knownServersFor(item) {
		permission := p.permission(item, r)
		if permission == Denied || r.heldForSuspect || !eligible(item, r) {
			continue
		}
		n := r.probeLimit(fittingTasks(size, r.usable(item)))
		if maxPerServer := item.Spec.GetApart(); maxPerServer > 0 {
			n = min(n, int64(maxPerServer)-placedOn[r.ID])
		}
		if n > 0 {
			out = append(out, candidate{serverState: r, permission: permission, taskCount: n, penalty: penalty(item, r)})
		}
	}
	slices.SortFunc(out, candidate.compare)
	return out
}

// poolFull reports whether no server of the pool had enough free CPU for a task of the item
// when the plan began and no question needs to be sent. This is the common case with a long
// backlog.
func (p *planner) poolFull(item Item) bool {
	return (item.AdviserAsked || !item.NeedsPermit) && item.Spec.GetSize().GetCpu() > p.maxFreeCPU[item.Pool]
}

// speedClass groups servers whose speeds cannot be told apart after a few runs, so that free
// CPU decides among them.
func speedClass(speed float64) int {
	const classesPerUnit = 4 // one class for each quarter of the average speed
	return int(speed*classesPerUnit + 0.5)
}

// inPreferredRack reports whether the server is in the rack that holds the data of the step, or
// the step names no rack.
func inPreferredRack(item Item, r *serverState) bool {
	rack := item.Spec.GetRack()
	return rack == "" || slices.Contains(r.Labels, rack)
}
