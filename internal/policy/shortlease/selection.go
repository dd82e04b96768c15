// Package shortlease selects the backend servers of a pool that are set aside for urgent work
// and get short leases. When a server goes silent, its tasks are placed again only after its
// lease has expired. A long lease keeps tasks of several minutes running while there is no
// leader, but an urgent task that takes a second has lost its value by then. A server has a single
// lease with the longest duration that any of its tasks needs, so urgent work is kept on a few
// separate servers.
package shortlease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// capacityFactor is the capacity of the selected servers as a multiple of the demand of
	// urgent work. The adviser allows a step on a part of them only.
	capacityFactor = 2
	// minPartDivisor and maxPartDivisor limit the selection to between a tenth and a third of
	// the pool. The minimum applies without any demand, since urgent work can arrive at any
	// time.
	minPartDivisor, maxPartDivisor = 10, 3
	// demandDecay is the factor by which the stored demand shrinks with each update. A short
	// drop in demand must not change the leases back and forth.
	demandDecay = 0.95
)

// Server is a server that can be selected.
type Server struct {
	ID  string
	CPU int64
	// SpeedClass is the class of the server's speed; a higher one is faster. It is 0 for all
	// servers unless speeds decide where work goes.
	SpeedClass int
}

// Selection holds the selected servers of one pool. The zero value is empty.
type Selection struct {
	demand   float64
	selected map[string]bool
}

// Contains reports whether the server is selected. A nil Selection contains no servers.
func (c *Selection) Contains(id string) bool { return c != nil && c.selected[id] }

// Update selects the servers again. used is the size of the urgent work that is running now.
// Fast servers come first, since urgent work has the least time. Otherwise the order of the
// servers depends only on their IDs, so the selection changes little when servers come and go.
func (c *Selection) Update(servers []Server, used int64) {
	c.demand = max(float64(used), c.demand*demandDecay)
	c.selected = map[string]bool{}
	slices.SortFunc(servers, func(a, b Server) int {
		return cmp.Or(b.SpeedClass-a.SpeedClass, cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	capacity := 0.0
	for i, s := range servers[:len(servers)/maxPartDivisor] {
		if i >= len(servers)/minPartDivisor && capacity >= capacityFactor*c.demand {
			break
		}
		capacity += float64(s.CPU)
		c.selected[s.ID] = true
	}
}
