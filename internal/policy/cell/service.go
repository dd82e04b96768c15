package cell

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/job"
)

// placeServices places the service tasks of teams that are not above their due,
// and those that ran before and lost their server.
func (p *Planner) placeServices() {
	var units []*unit
	p.order.Each(func(c *crew) bool {
		if c.queues[job.Service].Len() == 0 || !c.known {
			return true
		}
		for _, u := range c.queues[job.Service].First(p.cfg.Depth, nil) {
			if u.claim == nil && (u.work.started || c.ratio <= 1) {
				units = append(units, u)
			}
		}
		return true
	})
	for _, u := range units {
		if p.full() {
			return
		}
		if p.within(u.work.crew, u.size()) {
			p.placeService(u)
		}
	}
}

// placeService starts a service's task in the zone, and there in the rack, that
// holds the fewest of its kind.
func (p *Planner) placeService(u *unit) bool {
	need := u.work.spec.Size
	if u.tried == p.grown || p.failed.holds(need) {
		return false
	}
	u.tried = p.grown
	zones, racks := u.work.spread()
	order := slices.Clone(p.zones)
	slices.SortStableFunc(order, func(a, b *zone) int { return cmp.Compare(zones[a], zones[b]) })
	for _, z := range order {
		if !need.Fits(z.free) {
			continue
		}
		n, ok := p.index.Best(need, func(n int32) bool {
			s := p.list[n]
			return s.rack.zone == z && racks[s.rack] == 0 && !u.work.budget.Avoids(n)
		})
		if !ok {
			n, ok = p.index.Best(need, func(n int32) bool { return p.list[n].rack.zone == z && !u.work.budget.Avoids(n) })
		}
		if ok {
			p.start(u, []*server{p.list[n]})
			return true
		}
	}
	return false
}

// spread counts the job's tasks by zone and by rack.
func (w *work) spread() (map[*zone]int, map[*rack]int) {
	zones, racks := map[*zone]int{}, map[*rack]int{}
	for _, h := range w.held {
		if h.srv.rack != nil {
			zones[h.srv.rack.zone]++
			racks[h.srv.rack]++
		}
	}
	return zones, racks
}

// running counts the job's tasks that are not being stopped.
func (w *work) running() int {
	n := 0
	for _, h := range w.held {
		if !h.Stopping {
			n++
		}
	}
	return n
}

// spares tells whether one more of a service's tasks may be stopped on purpose.
// A floor of all tasks counts as one less, or the service could never move.
func (w *work) spares() bool {
	floor := min(int(w.spec.Floor), int(w.spec.Count)-1)
	return w.running()-1 >= floor
}

// move lists the services of a server that is leaving.
func (p *Planner) move(s *server) {
	for _, h := range s.tasks {
		if h.Job.Kind == job.Service {
			p.moving = append(p.moving, h)
		}
	}
}

// replace stops services on servers that are leaving, one task of a job at a
// time: the next only when the one before runs elsewhere.
func (p *Planner) replace() {
	p.moving = slices.DeleteFunc(p.moving, func(h *holding) bool {
		if p.held[h.ID] != h || h.Stopping || h.srv.State != backend.Draining {
			return true
		}
		if p.full() || h.work.waits > 0 || h.work.running() < len(h.work.held) || !h.work.spares() {
			return false
		}
		p.preemptOne(h, "its server is leaving")
		return true
	})
}
