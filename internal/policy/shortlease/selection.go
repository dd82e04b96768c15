// Package brief chooses the backend servers on which urgent work is gathered. When a server
// goes silent, what it runs is placed again only once its lease is over. A long
// lease keeps work of minutes alive while nobody leads; urgent work of a second is
// worth nothing by then. A server has one lease for all that it runs, as long as the
// longest that any of it needs, so urgent work is kept apart on a few servers.
package shortlease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// capacityFactor is how many times the room that urgent work takes the chosen servers
	// have: the adviser lets a step run on a part of them only.
	capacityFactor = 2
	// minPartDivisor and mostParts bound them to one in so many of a pool. Urgent work may
	// come when none was seen yet.
	minPartDivisor, maxPartDivisor = 10, 3
	// demandDecay is the part that is left of a need after each look: a lull must not
	// move the leases to and fro.
	demandDecay = 0.95
)

// Server is one that may be chosen.
type Server struct {
	ID    string
	Cores int64
}

// Selection is the servers of one pool on which urgent work is gathered. The zero value
// has none.
type Selection struct {
	demand   float64
	selected map[string]bool
}

// Contains tells whether urgent work is gathered on a server; on none where no choice is.
func (c *Selection) Contains(id string) bool { return c != nil && c.selected[id] }

// Update chooses anew, by the room in use by urgent work now. The order of the
// servers is always the same, whatever the others are, so that few change.
func (c *Selection) Update(servers []Server, used int64) {
	c.demand = max(float64(used), c.demand*demandDecay)
	c.selected = map[string]bool{}
	slices.SortFunc(servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	capacity := 0.0
	for i, s := range servers[:len(servers)/maxPartDivisor] {
		if i >= len(servers)/minPartDivisor && capacity >= capacityFactor*c.demand {
			break
		}
		capacity += float64(s.Cores)
		c.selected[s.ID] = true
	}
}
