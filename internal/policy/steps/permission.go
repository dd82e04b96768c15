package steps

import "iter"

// Permissions iterates over the servers about which the adviser was asked for a step. allowed
// holds the answers of the adviser, which never change. hasPermit reports whether a server has
// a permit that is valid for long enough.
func Permissions(allowed map[string]bool, hasPermit func(server string) bool) iter.Seq2[string, Permission] {
	return func(yield func(string, Permission) bool) {
		for server, ok := range allowed {
			p := Denied
			switch {
			case ok && hasPermit(server):
				p = Granted
			case ok:
				p = Stale
			}
			if !yield(server, p) {
				return
			}
		}
	}
}

// itemPermission is the permission of a server for the item with the given number.
type itemPermission struct {
	itemNumber int
	permission Permission
}

// nextItem starts a new item and discards the permissions of the previous one.
func (p *planner) nextItem() { p.itemNumber, p.permissionsLoaded = p.itemNumber+1, false }

// knownServersFor returns the servers with a known permission for the current item. It reads
// the permissions once and only when they are needed: with a long backlog, most items are
// reached when there is no room left, and a large pool has many more servers than there are
// known permissions. It counts as a visit of each of them.
func (p *planner) knownServersFor(item Item) []*serverState {
	if !item.NeedsPermit {
		p.countVisits(len(p.servers))
		return p.servers
	}
	if p.permissionsLoaded {
		p.countVisits(len(p.knownServers))
		return p.knownServers
	}
	p.permissionsLoaded, p.knownServers = true, p.knownServers[:0]
	for server, permission := range p.view.Permissions(item.StepID) {
		if r := p.byID[server]; r != nil {
			r.itemPermission = itemPermission{p.itemNumber, permission}
			p.knownServers = append(p.knownServers, r)
		}
	}
	p.countVisits(len(p.knownServers))
	return p.knownServers
}

// permission returns the permission of a server for the current item. knownServersFor must have
// been called before.
func (p *planner) permission(item Item, r *serverState) Permission {
	switch {
	case !item.NeedsPermit:
		return Granted
	case r.itemNumber == p.itemNumber:
		return r.itemPermission.permission
	}
	return NotAsked
}
