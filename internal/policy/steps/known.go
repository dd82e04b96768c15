package steps

// mark is what is known of one item on one server.
type mark struct {
	turn       int
	permission Permission
}

// look turns to an item: what is known of it on which servers is looked up once,
// and only for the servers that it is known of. A large pool has many more.
func (p *planner) look(it Item) {
	p.turn++
	p.listed = p.listed[:0]
	if !it.Permits {
		p.listed = append(p.listed, p.servers...)
		return
	}
	for server, permission := range p.view.Known(it.StepID) {
		if r := p.byID[server]; r != nil {
			r.mark = mark{p.turn, permission}
			p.listed = append(p.listed, r)
		}
	}
}

// permission returns what is known of the item that was last looked at on a server.
func (p *planner) permission(it Item, r *room) Permission {
	switch {
	case !it.Permits:
		return Granted
	case r.turn == p.turn:
		return r.mark.permission
	}
	return Unasked
}
