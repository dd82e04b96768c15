package steps

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/flow"
)

// want asks for fresh permits of servers that are known to be allowed, the first
// ones first where there are too many.
func (p *planner) want(it Item, servers []string, options []option) {
	extra := spare
	for _, o := range options {
		if extra == 0 || len(servers) >= MaxServersPerStep {
			break
		}
		if !slices.Contains(servers, o.ID) {
			servers = append(servers, o.ID)
			extra--
		}
	}
	servers = append(servers, p.upcoming(it, servers)...)
	p.plan.Questions = append(p.plan.Questions, Question{it, servers[:min(len(servers), MaxServersPerStep)]})
}

// foresee asks for fresh permits of servers that are about to have room for the
// next steps in turn, so that no room lies idle while the adviser is asked.
func (p *planner) foresee(it Item) {
	if !it.NeedsPermit || p.ahead[it.Pool] >= leastWaiting+p.sizes[it.Pool]/waitingPart {
		return
	}
	p.ahead[it.Pool]++
	if servers := p.upcoming(it, nil); len(servers) > 0 {
		p.plan.Questions = append(p.plan.Questions, Question{it, servers[:min(len(servers), MaxServersPerStep)]})
	}
}

// upcoming returns servers beside those given that may run the item, whose permits
// are over, and that should have room for a task of it while a permit asked for now
// holds: the soonest first, as many as tasks wait. A step whose tasks start one by
// one, as room comes, would need a question for each otherwise, and its room would
// lie idle while that is asked.
func (p *planner) upcoming(it Item, given []string) []string {
	most := it.QueuedTasks - len(given)
	if p.view.Releases == nil || most <= 0 {
		return nil
	}
	var slots []slot
	for _, r := range p.listed(it) {
		if suits(it, r) && p.permission(it, r) == Stale && !slices.Contains(given, r.ID) {
			if in, ok := p.soonest(it, r); ok {
				slots = append(slots, slot{in, r})
			}
		}
	}
	slices.SortFunc(slots, sooner)
	var out []string
	for _, s := range slots[:min(len(slots), most)] {
		out = append(out, s.ID)
	}
	return out
}

// soonest returns when a server should have room for a task of the item, if that is
// while a permit asked for now holds.
func (p *planner) soonest(it Item, r *room) (time.Duration, bool) {
	size, free := flow.SizeOf(it.Spec), r.free.Sub(r.kept)
	for _, f := range p.frees(r) {
		if f.After > soon+holds {
			return 0, false
		}
		free = free.Add(f.Size)
		if fits(size, free) > 0 {
			return f.After, true
		}
	}
	return 0, false
}

// ask asks about servers that nobody asked about yet, those with most room first:
// as many as should have room for all that waits, by the part of them that may
// run it. A gang whose servers are found one small question after the other
// begins as much later. It tells whether there are such servers.
func (p *planner) ask(it Item) bool {
	if !it.NeedsPermit || p.full(it) {
		return false
	}
	p.listed(it)
	size := flow.SizeOf(it.Spec)
	share := 1.0
	if p.view.AllowedShare != nil {
		share = p.view.AllowedShare(it)
	}
	need, found := enough*float64(it.QueuedTasks), 0.0
	width := max(it.QuestionSize, MinServersPerQuestion)
	w := Question{Item: it}
	var later []string
	for r := range p.roomy(it) {
		if len(w.Servers) >= MaxServersPerStep || found >= need && len(w.Servers) >= width {
			break
		}
		if p.permission(it, r) != NotAsked || !suits(it, r) {
			continue
		}
		if it.AdviserAsked && fits(size, r.left(it)) == 0 {
			later = append(later, r.ID)
			continue
		}
		found += share * float64(min(fits(size, r.free), int64(it.QueuedTasks)))
		w.Servers = append(w.Servers, r.ID)
	}
	if len(w.Servers) == 0 {
		return false
	}
	// Servers that have no room yet fill the question up.
	w.Servers = append(w.Servers, later[:min(len(later), max(width-len(w.Servers), 0))]...)
	p.plan.Questions = append(p.plan.Questions, w)
	return true
}
