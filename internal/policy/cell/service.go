package cell

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/job"
)

// placeDisplacedServices places again the service tasks that lost their server, ahead of
// all new work; other service tasks take their team's turns.
func (p *Planner) placeDisplacedServices() {
	if len(p.displacedServices) == 0 {
		return
	}
	p.displacedServices = slices.DeleteFunc(p.displacedServices, func(u *unit) bool {
		if u.list != inTeamQueue || len(u.tasks) == 0 {
			return true
		}
		if u.reservation != nil {
			return false
		}
		if p.atDecisionLimit() || !p.limitAllows(u) {
			return false
		}
		if p.placeService(u) {
			return true
		}
		p.preemptForUnit(u)
		return false
	})
}

// placeService starts a service's task in the zone, and there in the rack, that
// holds the fewest of its kind.
func (p *Planner) placeService(u *unit) bool {
	need := u.jobState.spec.Size
	if u.triedRevision == p.freeRevision || p.unplaceable.covers(need) {
		return false
	}
	u.triedRevision = p.freeRevision
	zones, racks := u.jobState.countByZoneAndRack()
	order := slices.Clone(p.zones)
	slices.SortStableFunc(order, func(a, b *zone) int { return cmp.Compare(zones[a], zones[b]) })
	for _, z := range order {
		if !need.Fits(z.free) {
			continue
		}
		s := p.bestInUnusedRack(u, z, racks)
		if s == nil {
			s = p.bestInZone(z, need, u.serverFilter())
		}
		if s != nil {
			p.startUnit(u, []*server{s})
			return true
		}
	}
	if u.serverFilter() == nil {
		p.unplaceable.add(need)
	}
	return false
}

// bestInUnusedRack returns the best server of the zone in a rack that holds none of the job.
func (p *Planner) bestInUnusedRack(u *unit, z *zone, racks map[*rack]int) *server {
	used := 0
	for r := range racks {
		if r.zone == z {
			used++
		}
	}
	if used == 0 || used == len(z.racks) {
		return nil
	}
	return p.bestInZone(z, u.jobState.spec.Size, func(s *server) bool {
		return racks[s.rack] == 0 && !u.jobState.failureBudget.Avoids(s.number)
	})
}

// countByZoneAndRack counts the job's tasks by zone and by rack.
func (w *jobState) countByZoneAndRack() (map[*zone]int, map[*rack]int) {
	zones, racks := map[*zone]int{}, map[*rack]int{}
	for _, h := range w.placed {
		if h.server.rack != nil {
			zones[h.server.rack.zone]++
			racks[h.server.rack]++
		}
	}
	return zones, racks
}

// runningTasks counts the job's tasks that are not being stopped.
func (w *jobState) runningTasks() int {
	n := 0
	for _, h := range w.placed {
		if !h.Stopping {
			n++
		}
	}
	return n
}

// mayStopOne tells whether one more of a service's tasks may be stopped on purpose.
// A floor of all tasks counts as one less, or the service could never move.
func (w *jobState) mayStopOne() bool {
	floor := min(int(w.spec.Floor), int(w.spec.Count)-1)
	return w.runningTasks()-1 >= floor
}

// listServicesToMove lists the services of a server that is leaving; tasks that may run only
// once stay until they end.
func (p *Planner) listServicesToMove(s *server) {
	for _, h := range s.tasks {
		if h.Job.Kind == job.Service && !h.Job.Once {
			p.servicesToMove = append(p.servicesToMove, h)
		}
	}
}

// moveServices stops services on servers that are leaving, one task of a job at a
// time: the next only when the one before runs elsewhere.
func (p *Planner) moveServices() {
	p.servicesToMove = slices.DeleteFunc(p.servicesToMove, func(h *placedTask) bool {
		if p.placed[h.ID] != h || h.Stopping || h.server.State != backend.Draining {
			return true
		}
		if p.atDecisionLimit() || h.jobState.waitingTasks > 0 || h.jobState.runningTasks() < len(h.jobState.placed) || !h.jobState.mayStopOne() {
			return false
		}
		p.preemptTask(h, "its server is leaving")
		return true
	})
}
