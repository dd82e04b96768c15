package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
)

// want asks for fresh permits of servers that are known to be allowed, the first
// ones first where there are too many.
func (p *planner) want(it Item, servers []string, options []option) {
	extra := spare
	for _, o := range options {
		if extra == 0 || len(servers) >= MostWanted {
			break
		}
		if !slices.Contains(servers, o.ID) {
			servers = append(servers, o.ID)
			extra--
		}
	}
	p.plan.Wants = append(p.plan.Wants, Want{it, servers[:min(len(servers), MostWanted)]})
}

// ask asks about servers that nobody asked about yet, those with most room first:
// as many as should have room for all that waits, by the part of them that may
// run it. A gang whose servers are found one small question after the other
// begins as much later.
func (p *planner) ask(it Item, unasked []*room) {
	if len(unasked) == 0 {
		return
	}
	slices.SortFunc(unasked, func(a, b *room) int { return cmp.Or(cmp.Compare(b.free.CPU, a.free.CPU), a.at-b.at) })
	size := flow.SizeOf(it.Spec)
	share := 1.0
	if p.view.Share != nil {
		share = p.view.Share(it)
	}
	need, found := enough*float64(it.Queued), 0.0
	w := Want{Item: it}
	for _, r := range unasked[:min(len(unasked), MostWanted)] {
		if found >= need && len(w.Servers) >= max(it.Usual, LeastAsked) {
			break
		}
		found += share * float64(min(fits(size, r.free), int64(it.Queued)))
		w.Servers = append(w.Servers, r.ID)
	}
	p.plan.Wants = append(p.plan.Wants, w)
}
