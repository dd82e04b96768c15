package steps

import "iter"

// Permissions goes over the servers about which the adviser was asked for a step:
// may tells what it said, which never changes, and holds whether a permit is at hand
// that holds long enough.
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

// itemPermission is what is known of one item on one server.
type itemPermission struct {
	itemNumber int
	permission Permission
}

// nextItem turns to another item.
func (p *planner) nextItem() { p.itemNumber, p.permissionsLoaded = p.itemNumber+1, false }

// knownServersFor returns the servers of which something is known for the item turned to.
// That is looked up once, and where it is needed: a plan over a long backlog comes
// to most of its items when no room is left, and a large pool has many more servers
// than anything is known of.
func (p *planner) knownServersFor(it Item) []*serverState {
	if !it.NeedsPermit {
		return p.servers
	}
	if p.permissionsLoaded {
		return p.knownServers
	}
	p.permissionsLoaded, p.knownServers = true, p.knownServers[:0]
	for server, permission := range p.view.Permissions(it.StepID) {
		if r := p.byID[server]; r != nil {
			r.itemPermission = itemPermission{p.itemNumber, permission}
			p.knownServers = append(p.knownServers, r)
		}
	}
	return p.knownServers
}

// permission returns what is known of the item on a server, once it was looked up.
func (p *planner) permission(it Item, r *serverState) Permission {
	switch {
	case !it.NeedsPermit:
		return Granted
	case r.itemNumber == p.itemNumber:
		return r.itemPermission.permission
	}
	return NotAsked
}
