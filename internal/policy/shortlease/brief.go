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
	// roomTimes is how many times the room that urgent work takes the chosen servers
	// have: the adviser lets a step run on a part of them only.
	roomTimes = 2
	// leastParts and mostParts bound them to one in so many of a pool. Urgent work may
	// come when none was seen yet.
	leastParts, mostParts = 10, 3
	// fade is the part that is left of a need after each look: a lull must not
	// move the leases to and fro.
	fade = 0.95
)

// Server is one that may be chosen.
type Server struct {
	ID  string
	CPU int64
}

// Selection is the servers of one pool on which urgent work is gathered. The zero value
// has none.
type Selection struct {
	need   float64
	chosen map[string]bool
}

// Contains tells whether urgent work is gathered on a server; on none where no choice is.
func (c *Selection) Contains(id string) bool { return c != nil && c.chosen[id] }

// Update chooses anew, by the room in use by urgent work now. The order of the
// servers is always the same, whatever the others are, so that few change.
func (c *Selection) Update(servers []Server, used int64) {
	c.need = max(float64(used), c.need*fade)
	c.chosen = map[string]bool{}
	slices.SortFunc(servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	room := 0.0
	for i, s := range servers[:len(servers)/mostParts] {
		if i >= len(servers)/leastParts && room >= roomTimes*c.need {
			break
		}
		room += float64(s.CPU)
		c.chosen[s.ID] = true
	}
}
