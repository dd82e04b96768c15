package steps

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// sortBatchSize is the number of servers that are sorted at a time. It is close to the number
// of servers in a question.
const sortBatchSize = 64

// serverGroup identifies the servers of a pool that have, or do not have, a short lease. If
// speeds are uneven, it holds the servers of one speed class.
type serverGroup struct {
	pool       string
	shortLease bool
	speedClass int
}

// groupServers groups the servers and sorts each group by the CPU that was free when the plan
// began.
func (p *planner) groupServers() {
	p.serversByGroup = map[serverGroup][]*serverState{}
	for _, r := range p.servers {
		group := serverGroup{pool: r.Pool, shortLease: r.ShortLease}
		if p.view.Uneven {
			group.speedClass = r.speedClass
		}
		p.serversByGroup[group] = append(p.serversByGroup[group], r)
	}
	for _, servers := range p.serversByGroup {
		slices.SortFunc(servers, func(a, b *serverState) int { return cmp.Or(cmp.Compare(b.initialCPU, a.initialCPU), a.index-b.index) })
	}
}

// byFreeRoom iterates over the servers of the pool of an item, those with the most free CPU
// first. For urgent items, all servers with a short lease come before the others.
func (p *planner) byFreeRoom(item Item) iter.Seq[*serverState] {
	if p.serversByGroup == nil {
		p.groupServers()
	}
	if p.view.Uneven {
		return p.bySpeed(item)
	}
	shortLease, others := p.serversByGroup[serverGroup{pool: item.Pool, shortLease: true}], p.serversByGroup[serverGroup{pool: item.Pool}]
	return func(yield func(*serverState) bool) {
		if item.Urgent {
			_ = p.yieldByFreeRoom(yield, shortLease) && p.yieldByFreeRoom(yield, others)
			return
		}
		p.yieldByFreeRoom(yield, shortLease, others)
	}
}

// yieldByFreeRoom iterates over the servers of some groups, those with the most free CPU first.
// Free CPU only shrinks during a plan, so a server of the batch can be yielded as soon as it
// has at least the initial CPU of the next server outside the batch. Once none is outside, the
// whole batch is yielded: servers with less than no free CPU too.
func (p *planner) yieldByFreeRoom(yield func(*serverState) bool, groups ...[]*serverState) bool {
	var batch []*serverState
	for {
		nextInitialCPU := int64(math.MinInt64)
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
		p.countVisits(1 + len(batch)/sortBatchSize)
		n := 0
		for ; n < len(batch) && batch[n].free.CPU >= nextInitialCPU; n++ {
			if !yield(batch[n]) {
				return false
			}
		}
		batch = batch[n:]
	}
}
