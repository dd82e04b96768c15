package steps

import (
	"cmp"
	"iter"
	"slices"
)

// sortBatchSize is how many servers are put in order at a time: about as many as a
// question names.
const sortBatchSize = 64

// serverGroup is servers of a pool, with or without gathered urgent work.
type serverGroup struct {
	pool       string
	shortLease bool
}

// groupServers puts the servers in the order of their room at the beginning of the plan.
func (p *planner) groupServers() {
	p.serversByGroup = map[serverGroup][]*serverState{}
	for _, r := range p.servers {
		group := serverGroup{r.Pool, r.ShortLease}
		p.serversByGroup[group] = append(p.serversByGroup[group], r)
	}
	for _, servers := range p.serversByGroup {
		slices.SortFunc(servers, func(a, b *serverState) int { return cmp.Or(cmp.Compare(b.initialCPU, a.initialCPU), a.index-b.index) })
	}
}

// byFreeRoom goes over the servers of an item's pool, those with most room now first; for
// urgent work those where it is gathered before the others.
func (p *planner) byFreeRoom(it Item) iter.Seq[*serverState] {
	if p.serversByGroup == nil {
		p.groupServers()
	}
	shortLease, others := p.serversByGroup[serverGroup{it.Pool, true}], p.serversByGroup[serverGroup{it.Pool, false}]
	return func(yield func(*serverState) bool) {
		if it.Urgent {
			_ = p.yieldByFreeRoom(yield, shortLease) && p.yieldByFreeRoom(yield, others)
			return
		}
		p.yieldByFreeRoom(yield, shortLease, others)
	}
}

// yieldByFreeRoom goes over servers by their room now. Room only becomes less in the course
// of a plan, so whoever has more than the next one had at its beginning comes first.
func (p *planner) yieldByFreeRoom(yield func(*serverState) bool, groups ...[]*serverState) bool {
	var batch []*serverState
	for {
		nextInitialCPU := int64(-1)
		for i, s := range groups {
			n := min(len(s), sortBatchSize)
			batch = append(batch, s[:n]...)
			groups[i] = s[n:]
			if len(groups[i]) > 0 {
				nextInitialCPU = max(nextInitialCPU, groups[i][0].initialCPU)
			}
		}
		if len(batch) == 0 {
			return true
		}
		slices.SortFunc(batch, func(a, b *serverState) int { return cmp.Or(cmp.Compare(b.free.CPU, a.free.CPU), a.index-b.index) })
		n := 0
		for ; n < len(batch) && batch[n].free.CPU >= nextInitialCPU; n++ {
			if !yield(batch[n]) {
				return false
			}
		}
		batch = batch[n:]
	}
}
