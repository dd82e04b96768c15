package cell

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/preempt"
)

// Bounds of reservations and of the search for preemption victims.
const (
	// reservationTimeout is how long the reservation of a single task waits for its victims
	// to stop.
	reservationTimeout = 15 * time.Second
	// minGangRuntime is how long a gang runs before it may be preempted for other teams.
	// Collecting its capacity took long, and preemption may lose the work of all its tasks.
	minGangRuntime = 30 * time.Second
	// maxVictimTeams and maxVictimTasks bound the search for victims to that number of teams
	// and of tasks per team.
	maxVictimTeams = 6
	maxVictimTasks = 12
)

// reservation is capacity that is held for a unit until the tasks that still use it have
// stopped.
type reservation struct {
	unit      *unit
	parts     []reservedPart
	createdAt time.Duration
	// lastPreemptionAt is when tasks were last preempted for the reservation.
	lastPreemptionAt time.Duration
}

// reservedPart is the capacity reserved on one server for one task.
type reservedPart struct {
	server *server
	size   capacity.Size
}

// reserve reserves capacity on the server for one task of the unit.
func (p *Planner) reserve(u *unit, s *server) {
	if u.reservation == nil {
		u.reservation = &reservation{unit: u, createdAt: p.now}
		p.reservations = append(p.reservations, u.reservation)
		if u.jobState.spec.AllOrNothing() {
			p.gangReservationCount++
			u.jobState.team.reservingGang = u
		}
	}
	part := reservedPart{server: s, size: u.jobState.spec.Size}
	u.reservation.parts = append(u.reservation.parts, part)
	p.adjustServerReserved(s, part.size)
	p.adjustTeamReserved(u.jobState.team, part.size)
}

// reservedSize returns the capacity reserved for the unit.
func (u *unit) reservedSize() capacity.Size {
	if u.reservation == nil {
		return capacity.Size{}
	}
	return u.taskSize.Times(int64(len(u.reservation.parts)))
}

// releasePart gives back the capacity of one part of the unit's reservation.
func (p *Planner) releasePart(u *unit, part reservedPart) {
	p.adjustServerReserved(part.server, capacity.Size{}.Sub(part.size))
	p.adjustTeamReserved(u.jobState.team, capacity.Size{}.Sub(part.size))
}

func (p *Planner) adjustServerReserved(s *server, delta capacity.Size) {
	s.reserved = s.reserved.Add(delta)
	p.refreshFree(s)
}

// adjustTeamReserved changes the team's reserved capacity and reorders teamsByNeed, where
// reserved capacity counts like allocated capacity.
func (p *Planner) adjustTeamReserved(t *teamState, delta capacity.Size) {
	p.teamsByNeed.Remove(t.name)
	t.reserved = t.reserved.Add(delta)
	t.usageRatio = p.usageRatio(t)
	p.teamsByNeed.Add(t)
}

func (p *Planner) dropReservation(u *unit) {
	r := u.reservation
	if r == nil {
		return
	}
	u.reservation, u.triedRevision = nil, 0
	p.reservations = slices.DeleteFunc(p.reservations, func(other *reservation) bool { return other == r })
	for _, part := range r.parts {
		p.releasePart(u, part)
	}
	if u.jobState.spec.AllOrNothing() {
		p.gangReservationCount--
		u.jobState.team.reservingGang = nil
	}
}

// startReserved starts the units whose reserved capacity has become free, urgent units first.
func (p *Planner) startReserved() {
	for _, urgent := range []bool{true, false} {
		for _, r := range slices.Clone(p.reservations) {
			if p.atDecisionLimit() {
				return
			}
			if (r.unit.jobState.spec.Kind == job.Urgent) == urgent {
				p.tryReservation(r)
			}
		}
	}
}

// tryReservation starts the unit if all its capacity is reserved and free. Otherwise it
// preempts for a gang, and drops the reservation of a single task after reservationTimeout.
// It also drops a reservation that no longer matches its unit.
func (p *Planner) tryReservation(r *reservation) {
	u := r.unit
	p.dropUnusableParts(r)
	if len(r.parts) == 0 || len(r.parts) > len(u.tasks) || u.list != inTeamQueue {
		p.dropReservation(u)
		return
	}
	if len(r.parts) == len(u.tasks) && r.capacityIsFree() && p.limitAllows(u) {
		servers := make([]*server, 0, len(r.parts))
		for _, part := range r.parts {
			servers = append(servers, part.server)
		}
		p.startUnit(u, servers)
		return
	}
	switch {
	case u.jobState.spec.AllOrNothing():
		p.preemptForReservation(r)
	case p.now-r.createdAt > reservationTimeout:
		p.dropReservation(u)
	}
}

// dropUnusableParts releases the parts on servers that are not ready.
func (p *Planner) dropUnusableParts(r *reservation) {
	r.parts = slices.DeleteFunc(r.parts, func(part reservedPart) bool {
		if part.server.State == backend.Ready {
			return false
		}
		p.releasePart(r.unit, part)
		return true
	})
}

// capacityIsFree reports whether no placed task still takes any of the reserved capacity.
func (r *reservation) capacityIsFree() bool {
	reservedByServer := map[*server]capacity.Size{}
	for _, part := range r.parts {
		reservedByServer[part.server] = reservedByServer[part.server].Add(part.size)
		if !reservedByServer[part.server].Fits(part.server.uncommitted()) {
			return false
		}
	}
	return true
}

// victimFilter reports whether a task may be preempted for a unit.
type victimFilter func(h *placedTask) bool

// aboveShareFilter accepts a task if its team remains at or above its fair share, less
// slack, after the task, or its whole gang, has stopped. Gangs that started less than
// minGangRuntime ago are not accepted.
func (p *Planner) aboveShareFilter(slack float64) victimFilter {
	return func(pt *placedTask) bool {
		size := pt.countedSize
		if pt.Job.AllOrNothing() {
			if p.now < pt.PlacedAt+minGangRuntime {
				return false
			}
			size = size.Times(int64(len(pt.jobState.placed)))
		}
		remaining := pt.team.allocated.Sub(pt.team.stopping).Sub(size)
		return remaining.DominantShare(p.totalCapacity) >= pt.team.fairShare-slack
	}
}

// findVictims returns the server on which need can be freed with the least lost work, and
// the tasks to stop there. It searches the unit's own team if includeOwn is set, then the
// teams with the highest usage relative to their share.
func (p *Planner) findVictims(u *unit, need capacity.Size, includeOwn bool, filter victimFilter) (*server, []*placedTask) {
	v := victimSearch{planner: p, unit: u, need: need, filter: filter, evaluated: map[*server]bool{}}
	if includeOwn {
		v.searchTeam(u.jobState.team)
	}
	n := 0
	p.teamsByNeed.EachReverse(func(t *teamState) bool {
		if t != u.jobState.team && t.preemptibleTasks.Len() > 0 {
			v.searchTeam(t)
			n++
		}
		return n < maxVictimTeams && t.usageRatio > 0
	})
	return v.bestServer, v.victims
}

// victimSearch is the state of one search for victims.
type victimSearch struct {
	planner    *Planner
	unit       *unit
	need       capacity.Size
	filter     victimFilter
	evaluated  map[*server]bool
	bestServer *server
	victims    []*placedTask
	lostWork   float64
}

// searchTeam evaluates the servers on which the team's youngest tasks run.
func (v *victimSearch) searchTeam(t *teamState) {
	n := 0
	t.preemptibleTasks.Each(func(pt *placedTask) bool {
		if n++; v.filter(pt) && !v.evaluated[pt.server] && pt.server.State == backend.Ready && !v.unit.jobState.failureBudget.FailedOn(pt.server.number) {
			v.evaluated[pt.server] = true
			v.evaluateServer(pt.server)
		}
		return n < maxVictimTasks
	})
}

// evaluateServer keeps the server as the best if it loses less work than the best so far.
func (v *victimSearch) evaluateServer(s *server) {
	victims, lostWork, ok := v.planner.chooseVictims(s, v.need, s.available(), v.filter)
	if ok && (v.bestServer == nil || lostWork < v.lostWork) {
		v.bestServer, v.victims, v.lostWork = s, victims, lostWork
	}
}

// chooseVictims returns the tasks to stop on the server so that need fits, given that free
// is available already, and the work lost by stopping them. The last result is false if
// stopping every accepted task is not enough.
func (p *Planner) chooseVictims(s *server, need, free capacity.Size, filter victimFilter) ([]*placedTask, float64, bool) {
	var candidates []preempt.Victim[*placedTask]
	for _, pt := range s.tasks {
		if pt.preemptible() && filter(pt) {
			candidates = append(candidates, preempt.Victim[*placedTask]{Item: pt, Freed: pt.countedSize, LostWork: p.lostWork(pt)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b preempt.Victim[*placedTask]) int {
		switch {
		case a.LostWork < b.LostWork:
			return -1
		case a.LostWork > b.LostWork:
			return 1
		}
		return 0
	})
	chosen, lostWork, ok := preempt.Choose(need, free, candidates)
	victims := make([]*placedTask, 0, len(chosen))
	for _, v := range chosen {
		victims = append(victims, v.Item)
	}
	return victims, lostWork, ok
}

// lostWork returns the work lost by stopping the task, or its whole gang. Earlier attempts
// of the task increase the result, so that the same young task is not preempted repeatedly.
func (p *Planner) lostWork(pt *placedTask) float64 {
	taskWork := preempt.LostWork(pt.countedSize.DominantShare(p.totalCapacity), pt.PlacedAt, p.now)
	if !pt.Job.AllOrNothing() {
		return taskWork * float64(1+pt.priorAttempts)
	}
	return taskWork * float64(len(pt.jobState.placed)) * float64(1+pt.priorAttempts)
}

// preempt stops the task, or all tasks of its gang if it belongs to one.
func (p *Planner) preempt(pt *placedTask, reason string) {
	if !pt.Job.AllOrNothing() {
		p.preemptTask(pt, reason)
		return
	}
	for _, member := range pt.jobState.placed {
		p.preemptTask(member, reason)
	}
}

func (p *Planner) preemptTask(pt *placedTask, reason string) {
	if pt.Stopping {
		return
	}
	p.markStopping(pt)
	p.emit(plan.Decision{Action: plan.Preempt, Task: pt.ID, Reason: reason})
}
