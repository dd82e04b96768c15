package steps

import "iter"

// Permissions goes over the servers about which the adviser was asked for a step:
// may tells what it said, which never changes, and holds whether a permit is at hand
// that holds long enough.
func Permissions(may map[string]bool, holds func(server string) bool) iter.Seq2[string, Permission] {
	return func(yield func(string, Permission) bool) {
		for server, ok := range may {
			p := Denied
			switch {
			case ok && holds(server):
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

// mark is what is known of one item on one server.
type mark struct {
	turn       int
	permission Permission
}

// next turns to another item.
func (p *planner) next() { p.turn, p.looked = p.turn+1, false }

// listed returns the servers of which something is known for the item turned to.
// That is looked up once, and where it is needed: a plan over a long backlog comes
// to most of its items when no room is left, and a large pool has many more servers
// than anything is known of.
func (p *planner) listed(it Item) []*room {
	if !it.NeedsPermit {
		return p.servers
	}
	if p.looked {
		return p.known
	}
	p.looked, p.known = true, p.known[:0]
	for server, permission := range p.view.Permissions(it.StepID) {
		if r := p.byID[server]; r != nil {
			r.mark = mark{p.turn, permission}
			p.known = append(p.known, r)
		}
	}
	return p.known
}

// permission returns what is known of the item on a server, once it was looked up.
func (p *planner) permission(it Item, r *room) Permission {
	switch {
	case !it.NeedsPermit:
		return Granted
	case r.turn == p.turn:
		return r.mark.permission
	}
	return NotAsked
}
