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

// Bounds of claims and of the search for victims.
const (
	// reservationTimeout is how long a claim of one task waits for its victims.
	reservationTimeout = 15 * time.Second
	// minGangRuntime is the time that a gang may run before it is preempted for others:
	// gathering its room was dear, and it may lose the work of all its tasks.
	minGangRuntime = 30 * time.Second
	// maxVictimTeams and mostTasks bound the victims that are weighed.
	maxVictimTeams = 6
	maxVictimTasks = 12
)

// reservation is room that is kept for a unit until what is in it has left.
type reservation struct {
	unit      *unit
	parts     []reservedPart
	createdAt time.Duration
	// preemptedAt is when tasks were last preempted for it.
	preemptedAt time.Duration
}

// reservedPart is the room kept for one task.
type reservedPart struct {
	server *server
	size   capacity.Size
}

// reserve keeps room for one task of the unit on the server.
func (p *Planner) reserve(u *unit, s *server) {
	if u.reservation == nil {
		u.reservation = &reservation{unit: u, createdAt: p.now}
		p.reservations = append(p.reservations, u.reservation)
		if u.jobState.spec.Whole() {
			p.gangReservations++
			u.jobState.team.reservingGang = u
		}
	}
	t := reservedPart{server: s, size: u.jobState.spec.Size}
	u.reservation.parts = append(u.reservation.parts, t)
	p.adjustServerReserved(s, t.size)
	p.adjustTeamReserved(u.jobState.team, t.size)
}

// reservedSize is the size of the room kept for the unit.
func (u *unit) reservedSize() capacity.Size {
	if u.reservation == nil {
		return capacity.Size{}
	}
	return u.taskSize.Times(int64(len(u.reservation.parts)))
}

func (p *Planner) releasePart(u *unit, t reservedPart) {
	p.adjustServerReserved(t.server, capacity.Size{}.Sub(t.size))
	p.adjustTeamReserved(u.jobState.team, capacity.Size{}.Sub(t.size))
}

func (p *Planner) adjustServerReserved(s *server, delta capacity.Size) {
	s.reserved = s.reserved.Add(delta)
	p.refreshFree(s)
}

// adjustTeamReserved changes the room that is on its way to the team; it counts as held in
// the order of need.
func (p *Planner) adjustTeamReserved(c *teamState, delta capacity.Size) {
	p.teamsByNeed.Remove(c.name)
	c.reserved = c.reserved.Add(delta)
	c.usageRatio = p.usageRatio(c)
	p.teamsByNeed.Add(c)
}

func (p *Planner) dropReservation(u *unit) {
	c := u.reservation
	if c == nil {
		return
	}
	u.reservation, u.triedRevision = nil, 0
	p.reservations = slices.DeleteFunc(p.reservations, func(o *reservation) bool { return o == c })
	for _, t := range c.parts {
		p.releasePart(u, t)
	}
	if u.jobState.spec.Whole() {
		p.gangReservations--
		u.jobState.team.reservingGang = nil
	}
}

// startReserved starts the units whose room has become free, urgent ones first.
func (p *Planner) startReserved() {
	for _, urgent := range []bool{true, false} {
		for _, c := range slices.Clone(p.reservations) {
			if p.atDecisionLimit() {
				return
			}
			if (c.unit.jobState.spec.Kind == job.Urgent) == urgent {
				p.tryReservation(c)
			}
		}
	}
}

func (p *Planner) tryReservation(c *reservation) {
	u := c.unit
	p.dropUnusableParts(c)
	if len(c.parts) == 0 || len(c.parts) > len(u.tasks) || u.list != inTeamQueue {
		p.dropReservation(u)
		return
	}
	if len(c.parts) == len(u.tasks) && c.roomIsFree() && p.limitAllows(u) {
		servers := make([]*server, 0, len(c.parts))
		for _, t := range c.parts {
			servers = append(servers, t.server)
		}
		p.startUnit(u, servers)
		return
	}
	switch {
	case u.jobState.spec.Whole():
		p.preemptForReservation(c)
	case p.now-c.createdAt > reservationTimeout:
		p.dropReservation(u)
	}
}

// dropUnusableParts gives up the parts on servers that take nothing new.
func (p *Planner) dropUnusableParts(c *reservation) {
	c.parts = slices.DeleteFunc(c.parts, func(t reservedPart) bool {
		if t.server.State == backend.Ready {
			return false
		}
		p.releasePart(c.unit, t)
		return true
	})
}

// roomIsFree tells whether all the room kept is free now.
func (c *reservation) roomIsFree() bool {
	neededByServer := map[*server]capacity.Size{}
	for _, t := range c.parts {
		neededByServer[t.server] = neededByServer[t.server].Add(t.size)
		if !neededByServer[t.server].Fits(t.server.uncommitted()) {
			return false
		}
	}
	return true
}

// victimFilter tells whether a task may be stopped for a claim.
type victimFilter func(h *placedTask) bool

// aboveShareFilter allows the tasks of teams that hold more than their due.
func (p *Planner) aboveShareFilter(slack float64) victimFilter {
	return func(h *placedTask) bool {
		size := h.countedSize
		if h.Job.Whole() {
			if p.now < h.PlacedAt+minGangRuntime {
				return false
			}
			size = size.Times(int64(len(h.jobState.placed)))
		}
		remaining := h.team.allocated.Sub(h.team.stopping).Sub(size)
		return remaining.Dominant(p.totalCapacity) >= h.team.fairShare-slack
	}
}

// findVictims returns the server on which the least work is lost to make room for
// need, and what to stop there.
func (p *Planner) findVictims(u *unit, need capacity.Size, includeOwn bool, filter victimFilter) (*server, []*placedTask) {
	v := victimSearch{planner: p, unit: u, need: need, filter: filter, evaluated: map[*server]bool{}}
	if includeOwn {
		v.searchTeam(u.jobState.team)
	}
	n := 0
	p.teamsByNeed.EachReverse(func(c *teamState) bool {
		if c != u.jobState.team && c.preemptibleTasks.Len() > 0 {
			v.searchTeam(c)
			n++
		}
		return n < maxVictimTeams && c.usageRatio > 0
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

// searchTeam weighs the servers on which the team's youngest tasks run.
func (v *victimSearch) searchTeam(c *teamState) {
	n := 0
	c.preemptibleTasks.Each(func(h *placedTask) bool {
		if n++; v.filter(h) && !v.evaluated[h.server] && h.server.State == backend.Ready && !v.unit.jobState.failureBudget.Avoids(h.server.number) {
			v.evaluated[h.server] = true
			v.evaluateServer(h.server)
		}
		return n < maxVictimTasks
	})
}

func (v *victimSearch) evaluateServer(s *server) {
	stop, lost, ok := v.planner.chooseVictims(s, v.need, s.available(), v.filter)
	if ok && (v.bestServer == nil || lost < v.lostWork) {
		v.bestServer, v.victims, v.lostWork = s, stop, lost
	}
}

// chooseVictims returns what to stop on the server so that need fits.
func (p *Planner) chooseVictims(s *server, need, free capacity.Size, filter victimFilter) ([]*placedTask, float64, bool) {
	var candidates []preempt.Victim[*placedTask]
	for _, h := range s.tasks {
		if h.preemptible() && filter(h) {
			candidates = append(candidates, preempt.Victim[*placedTask]{Item: h, Freed: h.countedSize, LostWork: p.lostWork(h)})
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
	chosen, lost, ok := preempt.Choose(need, free, candidates)
	stop := make([]*placedTask, 0, len(chosen))
	for _, v := range chosen {
		stop = append(stop, v.Item)
	}
	return stop, lost, ok
}

// lostWork is the work thrown away by stopping the task; a gang stops as a whole.
// Each time that a job was preempted before makes it dearer, so that the same
// youngest job is not stopped again and again.
func (p *Planner) lostWork(h *placedTask) float64 {
	one := preempt.LostWork(h.countedSize.Dominant(p.totalCapacity), h.PlacedAt, p.now)
	if !h.Job.Whole() {
		return one * float64(1+h.priorAttempts)
	}
	return one * float64(len(h.jobState.placed)) * float64(1+h.priorAttempts)
}

// preempt stops the task, and with it the gang that it belongs to.
func (p *Planner) preempt(h *placedTask, reason string) {
	if !h.Job.Whole() {
		p.preemptTask(h, reason)
		return
	}
	for _, o := range h.jobState.placed {
		p.preemptTask(o, reason)
	}
}

func (p *Planner) preemptTask(h *placedTask, reason string) {
	if h.Stopping {
		return
	}
	p.markStopping(h)
	p.emit(plan.Decision{Action: plan.Preempt, Task: h.ID, Reason: reason})
}
