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

// server is a backend server with what is committed on it.
type server struct {
	backend.Server
	number int32
	// committed is the sum of max(declared, reported) of all tasks held.
	committed capacity.Size
	// reserved is the room promised to claims and to the urgent reserve.
	reserved capacity.Size
	tasks    []*placedTask
	rack     *rack
	// countedFree is the room that rack, zone and cell have been told of.
	countedFree capacity.Size
	inTotals    bool
	element     fit.Element[*server]
	// reserveBlockCount are the pieces of the urgent reserve on the server.
	reserveBlockCount int
	// silentSince is when it was last found silent.
	silentSince time.Duration
	// restoreDecidedAt is when bringing it back was last decided.
	restoreDecidedAt time.Duration
}

// available returns what is neither committed nor reserved; fields may be negative.
func (s *server) available() capacity.Size { return s.uncommitted().Sub(s.reserved) }

// uncommitted returns what is not committed.
func (s *server) uncommitted() capacity.Size { return s.Capacity.Sub(s.committed) }

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

// teamState is a team with what it holds and waits for.
type teamState struct {
	name      string
	row       team.Row
	inTable   bool
	allocated capacity.Size
	// stopping is the part of held that is being stopped.
	stopping capacity.Size
	waiting  capacity.Size
	// unplaceable is the part of wants that no server could hold.
	unplaceable capacity.Size
	// reserved is the room that claims hold for the team.
	reserved capacity.Size
	// targetShare is the part of the cell that is the team's due with what it wants now.
	targetShare float64
	// fairShare is the target, or what the team could have at least if it wanted more.
	fairShare  float64
	usageRatio float64
	queues     [job.Service + 1]*queue.Queue[task.ID, *unit]
	// preemptibleTasks are the tasks that may be preempted, the youngest first.
	preemptibleTasks *queue.Queue[task.ID, *placedTask]
	// serviceTasks are the tasks of services, the youngest first.
	serviceTasks *queue.Queue[task.ID, *placedTask]
	// waitingGangCount counts the gangs that wait.
	waitingGangCount int
	// reservingGang is the gang that room is being kept for.
	reservingGang *unit
	// waitingSizes counts what waits of each size, urgent work aside.
	waitingSizes    sizeCounts
	blockedRevision uint64
}

// placedTask is a task on a server.
type placedTask struct {
	plan.PlacedTask
	jobState *jobState
	team     *teamState
	server   *server
	// countedSize is max(declared, reported).
	countedSize capacity.Size
	// waitingTask is the wait that the placement ended.
	waitingTask plan.WaitingTask
	// priorAttempts is the number of attempts made before.
	priorAttempts uint32
	// unconfirmed is true until the ledger confirms the placement.
	unconfirmed     bool
	usageAt         time.Duration
	throttledAt     time.Duration
	exceedsDeclared bool
	inOveruseList   bool
	// stoppedForUsage is true when it was stopped for using more than declared.
	stoppedForUsage bool
	jobIndex        int
}

func byUsageRatio(a, b *teamState) bool {
	if a.usageRatio != b.usageRatio {
		return a.usageRatio < b.usageRatio
	}
	return a.name < b.name
}

func youngestFirst(a, b *placedTask) bool {
	if a.PlacedAt != b.PlacedAt {
		return a.PlacedAt > b.PlacedAt
	}
	return a.ID.Compare(b.ID) > 0
}

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

// assignRack puts the server into its rack.
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

// removeFromTotals takes the server out of every sum.
func (p *Planner) removeFromTotals(s *server) {
	p.updateFreeTotals(s, capacity.Size{})
	p.removeFromIndex(s)
	if s.inTotals {
		p.totalCapacity = p.totalCapacity.Sub(s.Capacity)
		p.serverSizes[s.Capacity]--
	}
	s.inTotals = false
}

// addToTotals adds the server to the cell that shares are part of.
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

// refreshFree makes the server's room known after a change.
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

// removeFromIndex takes the server out of its zone's index.
func (p *Planner) removeFromIndex(s *server) {
	if s.rack != nil {
		s.rack.zone.index.Remove(&s.element)
	}
}

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

// addTask counts a task on a server.
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

// addToStoppable lists the task among those that may be preempted.
func (pt *placedTask) addToStoppable() {
	if pt.preemptible() {
		pt.team.preemptibleTasks.Add(pt)
	}
	if pt.Job.Kind == job.Service && !pt.Stopping && !pt.Job.Once {
		pt.team.serviceTasks.Add(pt)
	}
}

func (pt *placedTask) removeFromStoppable() {
	pt.team.preemptibleTasks.Remove(pt.ID)
	pt.team.serviceTasks.Remove(pt.ID)
}

// preemptible tells whether the task may be preempted for others.
func (pt *placedTask) preemptible() bool {
	return !pt.Job.Once && !pt.Stopping && (pt.Job.Kind == job.Batch || pt.Job.Kind == job.Gang)
}

// removeTask takes a task off its server.
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

// adjustAllocated changes what the team holds and its place in the order of need.
func (p *Planner) adjustAllocated(t *teamState, delta capacity.Size) {
	p.teamsByNeed.Remove(t.name)
	t.allocated = t.allocated.Add(delta)
	t.usageRatio = p.usageRatio(t)
	p.teamsByNeed.Add(t)
}

// setCountedSize changes the size that a task counts with.
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

// confirmPlacement takes over what the ledger says of a task that is held already.
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

// markStopping notes that an order to stop the task is under way.
func (p *Planner) markStopping(pt *placedTask) {
	if pt.Stopping {
		return
	}
	pt.removeFromStoppable()
	pt.Stopping = true
	pt.team.stopping = pt.team.stopping.Add(pt.countedSize)
}
