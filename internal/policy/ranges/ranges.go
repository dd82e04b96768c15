// Package ranges decides which holder has which backend server. It has no side effects. Every
// leader comes to the same result from the same holders, so that most servers stay where their
// connections are when the lead changes.
package ranges

import "github.com/cespare/xxhash/v2"

// Holder is a process that can hold backend servers.
type Holder interface {
	comparable
	// Name identifies the holder.
	Name() string
	// Zone returns the availability zone of the holder.
	Zone() string
}

// Prefer returns the holder of a server: one in its availability zone if there is any, since
// the calls between a holder and its servers are the most. Holders for which skip returns true
// are left out; a nil skip leaves out none. It returns false if no holder is left.
func Prefer[H Holder](server, zone string, holders []H, skip func(H) bool) (H, bool) {
	var best H
	found, bestInZone, bestWeight := false, false, uint64(0)
	for _, h := range holders {
		if skip != nil && skip(h) {
			continue
		}
		inZone := h.Zone() == zone
		if found && bestInZone && !inZone {
			continue
		}
		weight := xxhash.Sum64String(server + " " + h.Name())
		if !found || inZone && !bestInZone || weight > bestWeight {
			best, found, bestInZone, bestWeight = h, true, inZone, weight
		}
	}
	return best, found
}

// IsUsed reports whether servers are held by other processes. A leader calls up to direct
// servers itself. Once it does not, it begins again only when a quarter of them has gone, so
// that a few servers more or less do not move all of them.
func IsUsed(usedNow bool, servers, direct int) bool {
	const directDivisor = 4
	if usedNow {
		return servers > direct-direct/directDivisor
	}
	return servers > direct
}
