package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// option is a server on which a task could start.
type option struct {
	*room
	permission Permission
	// count is how many tasks of the step it may still take.
	count int64
	// last is greater for what comes after all others, by what is known of the
	// server and the item; ties go by free room.
	last int
}

// before orders options. It is called for every pair that a plan compares, and
// what it compares is worked out beforehand.
func (o option) before(other option) int {
	return cmp.Or(o.last-other.last, cmp.Compare(o.free.CPU, other.free.CPU), o.at-other.at)
}

// Steps in the order of options: a server on which a task of the step failed comes
// after all others, one that is slow after its start after all that are not, one that is not near the data after all that are, one whose
// leases do not suit after those whose leases do, and a slow one after the faster.
const (
	slowClasses = 1 << 20
	leaseStep   = 2 * slowClasses
	farStep     = 2 * leaseStep
	coldStep    = 2 * farStep
	shunnedStep = 2 * coldStep
)

// last works out where a server comes for an item.
func last(it Item, r *room) int {
	n := -min(max(r.class, -slowClasses), slowClasses)
	if !isNear(it, r) {
		n += farStep
	}
	if it.Urgent != r.ShortLease {
		n += leaseStep
	}
	if r.Cold {
		n += coldStep
	}
	if it.FailedOn[r.ID] {
		n += shunnedStep
	}
	return n
}

// options returns the servers that may hold a task of the item now, the best
// first: those on which none of it failed, near the data, then fast, then those
// that are left fullest, so that large holes stay for large tasks.
func (p *planner) options(it Item) (out []option) {
	size := flow.SizeOf(it.Spec)
	if p.full(it) {
		return nil
	}
	here := map[string]int64{}
	for _, t := range it.Tasks {
		if t.Phase == flows.Placed {
			here[t.Server]++
		}
	}
	for _, r := range p.listed(it) {
		perm := p.permission(it, r)
		if perm == Denied || r.probation || !suits(it, r) {
			continue
		}
		n := fits(size, r.left(it))
		if most := it.Spec.GetApart(); most > 0 {
			n = min(n, int64(most)-here[r.ID])
		}
		if n > 0 {
			out = append(out, option{room: r, permission: perm, count: n, last: last(it, r)})
		}
	}
	slices.SortFunc(out, option.before)
	return out
}

// full tells that no server had room for a task of the item when the plan began, and
// that the adviser was asked already: the usual case where much waits.
func (p *planner) full(it Item) bool {
	return (it.AdviserAsked || !it.NeedsPermit) && it.Spec.GetSize().GetCpu() > p.most[it.Pool]
}

// speedClass groups servers whose speed differs by less than can be told apart
// from a few runs, so that packing decides among them.
func speedClass(speed float64) int {
	const grain = 4 // quarters of the usual speed
	return int(speed*grain + 0.5)
}

func isNear(it Item, r *room) bool {
	rack := it.Spec.GetRack()
	return rack == "" || slices.Contains(r.Labels, rack)
}
