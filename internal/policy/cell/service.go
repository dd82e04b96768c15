package cell

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/job"
)

// placeServices places again the service tasks that lost their server, ahead of
// all new work; other service tasks take their team's turns.
func (p *Planner) placeServices() {
	if len(p.displaced) == 0 {
		return
	}
	p.displaced = slices.DeleteFunc(p.displaced, func(u *unit) bool {
		if u.where != inQueue || len(u.tasks) == 0 {
			return true
		}
		if u.claim != nil {
			return false
		}
		if p.full() || !p.allowed(u) {
			return false
		}
		if p.placeService(u) {
			return true
		}
		p.clear(u)
		return false
	})
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
		s := p.apart(u, z, racks)
		if s == nil {
			s = p.bestIn(z, need, u.accepts())
		}
		if s != nil {
			p.start(u, []*server{s})
			return true
		}
	}
	if u.accepts() == nil {
		p.failed.add(need)
	}
	return false
}

// apart returns the best server of the zone in a rack that holds none of the job.
func (p *Planner) apart(u *unit, z *zone, racks map[*rack]int) *server {
	used := 0
	for r := range racks {
		if r.zone == z {
			used++
		}
	}
	if used == 0 || used == len(z.racks) {
		return nil
	}
	return p.bestIn(z, u.work.spec.Size, func(s *server) bool {
		return racks[s.rack] == 0 && !u.work.budget.FailedOn(s.num)
	})
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

// move lists the services of a server that is leaving; tasks that may run only
// once stay until they end.
func (p *Planner) move(s *server) {
	for _, h := range s.tasks {
		if h.Job.Kind == job.Service && !h.Job.Once {
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
