package steps

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/flow"
)

// requestPermits asks for new permits on servers that are allowed to run the item. If there are
// too many servers, the first ones are used.
func (p *planner) requestPermits(item Item, servers []string, candidates []candidate) {
	spares := spareServers
	for _, c := range candidates {
		if spares == 0 || len(servers) >= MaxServersPerStep {
			break
		}
		if !slices.Contains(servers, c.ID) {
			servers = append(servers, c.ID)
			spares--
		}
	}
	servers = append(servers, p.soonAvailable(item, servers)...)
	p.plan.Questions = append(p.plan.Questions, Question{item, servers[:min(len(servers), MaxServersPerStep)]})
}

// requestPermitsEarly asks for new permits on servers that will soon have room for the next
// steps, so that the room is not idle while the adviser answers.
func (p *planner) requestPermitsEarly(item Item) {
	if !item.NeedsPermit || p.questionsFull() || p.earlyRequests[item.Pool] >= minReservedGangs+p.poolSizes[item.Pool]/serversPerReservedGang {
		return
	}
	p.earlyRequests[item.Pool]++
	if servers := p.soonAvailable(item, nil); len(servers) > 0 {
		p.plan.Questions = append(p.plan.Questions, Question{item, servers[:min(len(servers), MaxServersPerStep)]})
	}
}

// questionsFull reports whether a further question could not be sent before the next plan.
func (p *planner) questionsFull() bool {
	return p.view.Contended && p.view.MaxQuestions > 0 && len(p.plan.Questions) >= p.view.MaxQuestions
}

// soonAvailable returns servers that are allowed to run the item, need a new permit and should
// have room for a task while a permit requested now is valid. It leaves out the servers in
// exclude and returns the earliest servers first, at most one for each queued task. If the
// tasks of a step start one by one as room becomes free, this saves one question for each task,
// during which the room would be idle.
func (p *planner) soonAvailable(item Item, exclude []string) []string {
	limit := item.QueuedTasks - len(exclude)
	if p.view.Releases == nil || limit <= 0 {
		return nil
	}
	var slots []slot
	for _, r := range p.knownServersFor(item) {
		if eligible(item, r) && p.permission(item, r) == Stale && !slices.Contains(exclude, r.ID) {
			if after, ok := p.availableAfter(item, r); ok {
				slots = append(slots, slot{after, r, 1})
			}
		}
	}
	slices.SortFunc(slots, compareSlots)
	var out []string
	for _, s := range slots[:min(len(slots), limit)] {
		out = append(out, s.ID)
	}
	return out
}

// availableAfter returns the time after which a server should have room for a task of the item.
// It returns false if a permit requested now expires earlier.
func (p *planner) availableAfter(item Item, r *serverState) (time.Duration, bool) {
	size, free := flow.TaskSize(item.Spec), r.free.Sub(r.reserved)
	for _, release := range p.releases(r) {
		if release.After > questionLeadTime+permitValidity {
			return 0, false
		}
		free = free.Add(release.Size)
		if fittingTasks(size, free) > 0 {
			return release.After, true
		}
	}
	return 0, false
}

// askAdviser asks about servers whose permission is unknown, those with the most free room
// first. It names as many servers as should hold all queued tasks, given the share of servers
// that the adviser allows. Small questions in sequence would delay the start of a gang by one
// round trip each. It returns false if there are no such servers.
func (p *planner) askAdviser(item Item) bool {
	if !item.NeedsPermit || p.poolFull(item) || p.questionsFull() {
		return false
	}
	servers := p.serversToAsk(item)
	if len(servers) == 0 {
		return false
	}
	p.plan.Questions = append(p.plan.Questions, Question{Item: item, Servers: servers})
	return true
}

// serversToAsk returns the servers about which askAdviser asks.
func (p *planner) serversToAsk(item Item) (servers []string) {
	p.knownServersFor(item)
	size := flow.TaskSize(item.Spec)
	allowedShare := 1.0
	if p.view.AllowedShare != nil {
		allowedShare = p.view.AllowedShare(item)
	}
	neededTasks, expectedTasks := capacityFactor*float64(item.QueuedTasks), 0.0
	minServers := max(item.QuestionSize, MinServersPerQuestion)
	var withoutRoom []string
	for r := range p.byFreeRoom(item) {
		if len(servers) >= MaxServersPerStep || expectedTasks >= neededTasks && len(servers) >= minServers {
			break
		}
		if p.view.Contended && r.free.CPU < size.CPU && (item.AdviserAsked || len(servers) >= minServers) {
			if p.view.Uneven || item.Urgent && r.ShortLease {
				continue // servers of another speed, or without a short lease, follow
			}
			break // the remaining servers have no more free CPU than this one
		}
		if p.permission(item, r) != NotAsked || !eligible(item, r) {
			continue
		}
		if (item.AdviserAsked || p.view.Uneven) && fittingTasks(size, r.usable(item)) == 0 {
			withoutRoom = append(withoutRoom, r.ID)
			continue
		}
		expectedTasks += allowedShare * float64(min(fittingTasks(size, r.free), int64(item.QueuedTasks)))
		servers = append(servers, r.ID)
	}
	if len(servers) == 0 {
		return nil
	}
	// Add servers without free room until the question has its minimum size.
	return append(servers, withoutRoom[:min(len(withoutRoom), max(minServers-len(servers), 0))]...)
}
