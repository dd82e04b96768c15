package cell

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/job"
)

// placeDisplacedServices places service tasks again whose job ran before, ahead of all new
// work except urgent tasks. Tasks of new services are placed by placeByShare.
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

// placeService starts a service task in the zone with the fewest tasks of the service, on a
// rack without any if there is one.
func (p *Planner) placeService(u *unit) bool {
	need := u.jobState.spec.Size
	if u.triedRevision == p.freeRevision || p.unplaceable.covers(need) {
		return false
	}
	u.triedRevision = p.freeRevision
	tasksByZone, tasksByRack := u.jobState.countByZoneAndRack()
	zonesByCount := slices.Clone(p.zones)
	slices.SortStableFunc(zonesByCount, func(a, b *zone) int { return cmp.Compare(tasksByZone[a], tasksByZone[b]) })
	for _, z := range zonesByCount {
		if !need.Fits(z.free) {
			continue
		}
		s := p.bestInUnusedRack(u, z, tasksByRack)
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

// bestInUnusedRack returns the best server of the zone in a rack without tasks of the job,
// or nil. It also returns nil if the job uses none of the zone's racks, or all of them.
func (p *Planner) bestInUnusedRack(u *unit, z *zone, tasksByRack map[*rack]int) *server {
	usedRacks := 0
	for r := range tasksByRack {
		if r.zone == z {
			usedRacks++
		}
	}
	if usedRacks == 0 || usedRacks == len(z.racks) {
		return nil
	}
	return p.bestInZone(z, u.jobState.spec.Size, func(s *server) bool {
		return tasksByRack[s.rack] == 0 && !u.jobState.failureBudget.FailedOn(s.number)
	})
}

// countByZoneAndRack counts the job's placed tasks by zone and by rack.
func (js *jobState) countByZoneAndRack() (map[*zone]int, map[*rack]int) {
	tasksByZone, tasksByRack := map[*zone]int{}, map[*rack]int{}
	for _, pt := range js.placed {
		if pt.server.rack != nil {
			tasksByZone[pt.server.rack.zone]++
			tasksByRack[pt.server.rack]++
		}
	}
	return tasksByZone, tasksByRack
}

// runningCount returns the number of the job's placed tasks that are not being stopped.
func (js *jobState) runningCount() int {
	n := 0
	for _, pt := range js.placed {
		if !pt.Stopping {
			n++
		}
	}
	return n
}

// mayStopOne reports whether one more task of the service may be stopped without falling
// below its floor. A floor equal to the number of tasks is reduced by one, because otherwise
// the service could not move off a draining server.
func (js *jobState) mayStopOne() bool {
	floor := min(int(js.spec.MinRunningTasks), int(js.spec.Count)-1)
	return js.runningCount()-1 >= floor
}

// listServicesToMove adds the service tasks of a draining server to servicesToMove. Tasks
// that may run only once stay until they end.
func (p *Planner) listServicesToMove(s *server) {
	for _, pt := range s.tasks {
		if pt.Job.Kind == job.Service && !pt.Job.AtMostOnce {
			p.servicesToMove = append(p.servicesToMove, pt)
		}
	}
}

// moveServices stops service tasks on draining servers, one task of a job at a time. The
// next task is stopped only when the previous one has been placed on another server.
func (p *Planner) moveServices() {
	p.servicesToMove = slices.DeleteFunc(p.servicesToMove, func(pt *placedTask) bool {
		if p.placed[pt.ID] != pt || pt.Stopping || pt.server.State != backend.Draining {
			return true
		}
		if p.atDecisionLimit() || pt.jobState.waitingCount > 0 || pt.jobState.runningCount() < len(pt.jobState.placed) || !pt.jobState.mayStopOne() {
			return false
		}
		p.preemptTask(pt, "server is draining")
		return true
	})
}
