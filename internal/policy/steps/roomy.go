package steps

import (
	"cmp"
	"iter"
	"slices"
)

// roomyChunk is how many servers are put in order at a time: about as many as a
// question names.
const roomyChunk = 64

// shelf is servers of a pool, with or without gathered urgent work.
type shelf struct {
	pool  string
	brief bool
}

// shelve puts the servers in the order of their room at the beginning of the plan.
func (p *planner) shelve() {
	p.shelves = map[shelf][]*room{}
	for _, r := range p.servers {
		s := shelf{r.Pool, r.ShortLease}
		p.shelves[s] = append(p.shelves[s], r)
	}
	for _, all := range p.shelves {
		slices.SortFunc(all, func(a, b *room) int { return cmp.Or(cmp.Compare(b.began, a.began), a.at-b.at) })
	}
}

// roomy goes over the servers of an item's pool, those with most room now first; for
// urgent work those where it is gathered before the others.
func (p *planner) roomy(it Item) iter.Seq[*room] {
	if p.shelves == nil {
		p.shelve()
	}
	brief, usual := p.shelves[shelf{it.Pool, true}], p.shelves[shelf{it.Pool, false}]
	return func(yield func(*room) bool) {
		if it.Urgent {
			_ = p.ordered(yield, brief) && p.ordered(yield, usual)
			return
		}
		p.ordered(yield, brief, usual)
	}
}

// ordered goes over servers by their room now. Room only becomes less in the course
// of a plan, so whoever has more than the next one had at its beginning comes first.
func (p *planner) ordered(yield func(*room) bool, shelves ...[]*room) bool {
	var some []*room
	for {
		most := int64(-1)
		for i, s := range shelves {
			n := min(len(s), roomyChunk)
			some = append(some, s[:n]...)
			shelves[i] = s[n:]
			if len(shelves[i]) > 0 {
				most = max(most, shelves[i][0].began)
			}
		}
		if len(some) == 0 {
			return true
		}
		slices.SortFunc(some, func(a, b *room) int { return cmp.Or(cmp.Compare(b.free.CPU, a.free.CPU), a.at-b.at) })
		n := 0
		for ; n < len(some) && some[n].free.CPU >= most; n++ {
			if !yield(some[n]) {
				return false
			}
		}
		some = some[n:]
	}
}
