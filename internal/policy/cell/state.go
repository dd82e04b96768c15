package cell

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/policy/fit"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/queue"
)

// server is a backend server with the tasks placed on it and the capacity that they take.
type server struct {
	backend.Server
	// number is the server's index in Planner.serverList.
	number int32
	// committed is the sum of max(declared size, reported usage) over all placed tasks.
	committed capacity.Size
	// reserved is the capacity held for reservations and for the urgent reserve.
	reserved capacity.Size
	tasks    []*placedTask
	rack     *rack
	// countedFree is this server's part of the free totals of its rack, its zone and the cell.
	countedFree capacity.Size
	// inTotals is true while totalCapacity and serverSizes include the server.
	inTotals bool
	element  fit.Element[*server]
	// reserveBlockCount is the number of blocks of the urgent reserve on the server.
	reserveBlockCount int
	// silentSince is the time at which the server last became suspect or gone.
	silentSince time.Duration
	// restoreDecidedAt is the time of the last Restore decision for the server, 0 if there is none.
	restoreDecidedAt time.Duration
}

// available returns the capacity that is neither committed nor reserved. Fields may be negative.
func (s *server) available() capacity.Size { return s.uncommitted().Sub(s.reserved) }

// uncommitted returns the capacity that no placed task takes, reserved capacity included.
// Fields may be negative.
func (s *server) uncommitted() capacity.Size { return s.Capacity.Sub(s.committed) }

// rackKey identifies a rack. Racks in different zones may have the same name.
type rackKey struct{ zone, rack string }

type rack struct {
	rackKey
	element fit.Element[*rack]
	zone    *zone
	servers []*server
	free    capacity.Size
}

type zone struct {
	name              string
	racks             []*rack
	free              capacity.Size
	reserveBlockCount int
	index             *fit.Index[*server]
}

// teamState is a team with its allocated capacity, its waiting work and its share of the cell.
type teamState struct {
	name string
	row  team.Row
	// inTable is true while the table has a row for the team.
	inTable bool
	// allocated is the sum of the counted sizes of the team's placed tasks.
	allocated capacity.Size
	// stopping is the part of allocated that belongs to tasks being stopped.
	stopping capacity.Size
	// waiting is the total declared size of the team's waiting tasks.
	waiting capacity.Size
	// unplaceable is the part of waiting that belongs to tasks larger than any server.
	unplaceable capacity.Size
	// reserved is the capacity that reservations hold for the team's units.
	reserved capacity.Size
	// targetShare is the fraction of the cell that the team should get for its current demand.
	targetShare float64
	// fairShare is the larger of targetShare and the team's minimum share, the fraction that
	// the team would get if it demanded the whole cell.
	fairShare float64
	// usageRatio is allocated and reserved capacity relative to fairShare.
	usageRatio float64
	// queues holds the units that are ready to be placed, by the kind that queueKind returns.
	queues [job.Service + 1]*queue.Queue[task.ID, *unit]
	// preemptibleTasks holds the tasks that may be preempted, the youngest first.
	preemptibleTasks *queue.Queue[task.ID, *placedTask]
	// serviceTasks holds the service tasks that may be stopped, the youngest first.
	serviceTasks *queue.Queue[task.ID, *placedTask]
	// waitingGangCount is the number of gangs in the team's batch queue.
	waitingGangCount int
	// reservingGang is the gang that holds a reservation, nil if there is none.
	reservingGang *unit
	// waitingSizes counts the queued units by task size, urgent units excluded.
	waitingSizes sizeCounts
	// blockedRevision is the value of Planner.freeRevision at which none of the team's units
	// could be placed. The team is skipped until freeRevision changes.
	blockedRevision uint64
}

// placedTask is a task that takes capacity on a server.
type placedTask struct {
	plan.PlacedTask
	jobState *jobState
	team     *teamState
	server   *server
	// countedSize is max(declared size, reported usage). Server and team are charged for it.
	countedSize capacity.Size
	// waitingTask is the queue entry that the placement consumed. It is queued again if the
	// ledger does not confirm the placement.
	waitingTask plan.WaitingTask
	// priorAttempts is the number of earlier attempts of the task.
	priorAttempts uint32
	// unconfirmed is true until the ledger confirms the placement.
	unconfirmed bool
	// usageAt is the time at which the last reported usage was measured.
	usageAt time.Duration
	// throttledAt is the time of the Throttle decision, 0 if the task was not throttled.
	throttledAt time.Duration
	// exceedsDeclared is true while the reported usage is above the declared size.
	exceedsDeclared bool
	// inOveruseList is true while Planner.overuseTasks lists the task.
	inOveruseList bool
	// stoppedForUsage is true if the task was stopped because it used more than its declared size.
	stoppedForUsage bool
	// jobIndex is the task's index in jobState.placed.
	jobIndex int
}

// byUsageRatio orders teams by usage relative to their fair share, the lowest first.
func byUsageRatio(a, b *teamState) bool {
	if a.usageRatio != b.usageRatio {
		return a.usageRatio < b.usageRatio
	}
	return a.name < b.name
}

// youngestFirst orders tasks by placement time, the latest first.
func youngestFirst(a, b *placedTask) bool {
	if a.PlacedAt != b.PlacedAt {
		return a.PlacedAt > b.PlacedAt
	}
	return a.ID.Compare(b.ID) > 0
}

// team returns the state of the team and creates it if there is none.
func (p *Planner) team(name string) *teamState {
	if t := p.teams[name]; t != nil {
		return t
	}
	t := &teamState{name: name}
	t.row, t.inTable = p.table.Row(name)
	for k := range t.queues {
		t.queues[k] = queue.New(unitKey, byRank)
	}
	t.preemptibleTasks = queue.New(func(pt *placedTask) task.ID { return pt.ID }, youngestFirst)
	t.serviceTasks = queue.New(func(pt *placedTask) task.ID { return pt.ID }, youngestFirst)
	p.teams[name] = t
	p.teamsByNeed.Add(t)
	return t
}

// server returns the state of the backend server and creates it if there is none.
func (p *Planner) server(id string) *server {
	if s := p.serversByID[id]; s != nil {
		return s
	}
	s := &server{Server: backend.Server{ID: id, State: backend.Gone}, number: int32(len(p.serverList))}
	s.element.Item = s
	p.serversByID[id] = s
	p.serverList = append(p.serverList, s)
	return s
}

// assignRack adds the server to its rack and enlarges the indexes if the server or the rack
// is larger than any before.
func (p *Planner) assignRack(s *server) {
	key := rackKey{s.Zone, s.Rack}
	p.maxServerSize = p.maxServerSize.Max(s.Capacity)
	for _, z := range p.zones {
		z.index.Grow(p.maxServerSize)
	}
	if s.rack != nil && s.rack.rackKey == key {
		return
	}
	if s.rack != nil {
		s.rack.servers = slices.DeleteFunc(s.rack.servers, func(other *server) bool { return other == s })
	}
	r := p.racks[key]
	if r == nil {
		r = &rack{rackKey: key, zone: p.zone(s.Zone)}
		r.element.Item = r
		r.zone.racks = append(r.zone.racks, r)
		p.racks[key] = r
	}
	r.servers = append(r.servers, s)
	s.rack = r
	rackCapacity := capacity.Size{}
	for _, other := range r.servers {
		rackCapacity = rackCapacity.Add(other.Capacity)
	}
	p.rackIndex.Grow(rackCapacity)
}

// zone returns the availability zone and creates it if there is none.
func (p *Planner) zone(name string) *zone {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name, index: fit.NewIndex[*server]()}
	z.index.FirstFit = p.disabled(BestFit)
	z.index.Grow(p.maxServerSize)
	p.zones = append(p.zones, z)
	return z
}

// removeFromTotals subtracts the server from all totals and removes it from its zone's index.
func (p *Planner) removeFromTotals(s *server) {
	p.updateFreeTotals(s, capacity.Size{})
	p.removeFromIndex(s)
	if s.inTotals {
		p.totalCapacity = p.totalCapacity.Sub(s.Capacity)
		p.serverSizes[s.Capacity]--
	}
	s.inTotals = false
}

// addToTotals adds the server to the capacity that shares are computed from. Servers that
// are gone or draining do not count.
func (p *Planner) addToTotals(s *server) {
	if s.State == backend.Gone || s.State == backend.Draining {
		return
	}
	s.inTotals = true
	p.totalCapacity = p.totalCapacity.Add(s.Capacity)
	p.serverSizes[s.Capacity]++
	if p.serverSizes[s.Capacity] == 1 {
		p.retryUnplaceable()
	}
}

// refreshFree updates the indexes and totals after the server's free capacity or state changed.
func (p *Planner) refreshFree(s *server) {
	if s.State != backend.Ready {
		p.updateFreeTotals(s, capacity.Size{})
		p.removeFromIndex(s)
		return
	}
	free := s.available()
	s.rack.zone.index.Update(&s.element, free)
	if !free.Valid() {
		free = capacity.Size{}
	}
	if !free.Fits(s.countedFree) {
		p.freeRevision++
		p.unplaceable.removeFitting(free)
	}
	p.updateFreeTotals(s, free)
}

// removeFromIndex removes the server from its zone's index.
func (p *Planner) removeFromIndex(s *server) {
	if s.rack != nil {
		s.rack.zone.index.Remove(&s.element)
	}
}

// updateFreeTotals sets the server's part of the free totals of rack, zone and cell.
func (p *Planner) updateFreeTotals(s *server, free capacity.Size) {
	if s.rack == nil || s.countedFree == free {
		return
	}
	delta := free.Sub(s.countedFree)
	s.countedFree = free
	s.rack.free = s.rack.free.Add(delta)
	s.rack.zone.free = s.rack.zone.free.Add(delta)
	p.freeCapacity = p.freeCapacity.Add(delta)
	p.rackIndex.Update(&s.rack.element, s.rack.free)
}

// addTask adds a placed task to its server, job and team.
func (p *Planner) addTask(placement plan.PlacedTask, s *server) *placedTask {
	js := p.jobState(placement.ID.Job, placement.Job)
	pt := &placedTask{PlacedTask: placement, jobState: js, team: js.team, server: s, countedSize: placement.Job.Size, jobIndex: len(js.placed)}
	js.placed = append(js.placed, pt)
	p.placed[placement.ID] = pt
	s.tasks = append(s.tasks, pt)
	s.committed = s.committed.Add(pt.countedSize)
	p.refreshFree(s)
	p.adjustAllocated(pt.team, pt.countedSize)
	if pt.Stopping {
		pt.team.stopping = pt.team.stopping.Add(pt.countedSize)
	}
	pt.addToStoppable()
	return pt
}

// addToStoppable adds the task to its team's lists of tasks that may be stopped.
func (pt *placedTask) addToStoppable() {
	if pt.preemptible() {
		pt.team.preemptibleTasks.Add(pt)
	}
	if pt.Job.Kind == job.Service && !pt.Stopping && !pt.Job.AtMostOnce {
		pt.team.serviceTasks.Add(pt)
	}
}

// removeFromStoppable removes the task from its team's lists of tasks that may be stopped.
func (pt *placedTask) removeFromStoppable() {
	pt.team.preemptibleTasks.Remove(pt.ID)
	pt.team.serviceTasks.Remove(pt.ID)
}

// preemptible reports whether the task may be preempted for other work. Only batch and gang
// tasks are, and only if they may run more than once.
func (pt *placedTask) preemptible() bool {
	return !pt.Job.AtMostOnce && !pt.Stopping && (pt.Job.Kind == job.Batch || pt.Job.Kind == job.Gang)
}

// removeTask removes a placed task from its server, job and team.
func (p *Planner) removeTask(pt *placedTask) {
	delete(p.placed, pt.ID)
	pt.removeFromStoppable()
	last := pt.jobState.placed[len(pt.jobState.placed)-1]
	pt.jobState.placed[pt.jobIndex], last.jobIndex = last, pt.jobIndex
	pt.jobState.placed = pt.jobState.placed[:len(pt.jobState.placed)-1]
	i := slices.Index(pt.server.tasks, pt)
	pt.server.tasks = slices.Delete(pt.server.tasks, i, i+1)
	pt.server.committed = pt.server.committed.Sub(pt.countedSize)
	if pt.Stopping {
		pt.team.stopping = pt.team.stopping.Sub(pt.countedSize)
	}
	p.refreshFree(pt.server)
	p.adjustAllocated(pt.team, capacity.Size{}.Sub(pt.countedSize))
	pt.team.blockedRevision = 0
}

// adjustAllocated changes the team's allocated capacity and reorders teamsByNeed.
func (p *Planner) adjustAllocated(t *teamState, delta capacity.Size) {
	p.teamsByNeed.Remove(t.name)
	t.allocated = t.allocated.Add(delta)
	t.usageRatio = p.usageRatio(t)
	p.teamsByNeed.Add(t)
}

// setCountedSize changes the size that server and team are charged for the task.
func (p *Planner) setCountedSize(pt *placedTask, size capacity.Size) {
	if pt.countedSize == size {
		return
	}
	delta := size.Sub(pt.countedSize)
	pt.countedSize = size
	pt.server.committed = pt.server.committed.Add(delta)
	if pt.Stopping {
		pt.team.stopping = pt.team.stopping.Add(delta)
	}
	p.refreshFree(pt.server)
	p.adjustAllocated(pt.team, delta)
	if !pt.team.allocated.Within(pt.team.row.Limit) {
		p.overLimitTeams = append(p.overLimitTeams, pt.team)
	}
}

// confirmPlacement updates a task that the planner already counts as placed with the
// placement recorded in the ledger.
func (p *Planner) confirmPlacement(pt *placedTask, placement plan.PlacedTask) {
	pt.unconfirmed = false
	if pt.server.ID != placement.Server {
		p.removeTask(pt)
		p.addTask(placement, p.server(placement.Server))
		return
	}
	if placement.Stopping && !pt.Stopping {
		p.markStopping(pt)
	}
	if pt.PlacedAt != placement.PlacedAt {
		pt.removeFromStoppable()
		pt.PlacedAt = placement.PlacedAt
		pt.addToStoppable()
	}
}

// markStopping records that an order to stop the task has been issued.
func (p *Planner) markStopping(pt *placedTask) {
	if pt.Stopping {
		return
	}
	pt.removeFromStoppable()
	pt.Stopping = true
	pt.team.stopping = pt.team.stopping.Add(pt.countedSize)
}
