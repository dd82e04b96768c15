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
	// reserveBlocks are the pieces of the urgent reserve on the server.
	reserveBlocks int
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
	name          string
	racks         []*rack
	free          capacity.Size
	reserveBlocks int
	index         *fit.Index[*server]
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
	// waitingGangs counts the gangs that wait.
	waitingGangs int
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
	jobPos          int
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
	if c := p.teams[name]; c != nil {
		return c
	}
	c := &teamState{name: name}
	c.row, c.inTable = p.table.Row(name)
	for k := range c.queues {
		c.queues[k] = queue.New(unitKey, byRank)
	}
	c.preemptibleTasks = queue.New(func(h *placedTask) task.ID { return h.ID }, youngestFirst)
	c.serviceTasks = queue.New(func(h *placedTask) task.ID { return h.ID }, youngestFirst)
	p.teams[name] = c
	p.teamsByNeed.Add(c)
	return c
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
	name := rackKey{s.Zone, s.Rack}
	p.maxServerSize = p.maxServerSize.Max(s.Capacity)
	for _, z := range p.zones {
		z.index.Grow(p.maxServerSize)
	}
	if s.rack != nil && s.rack.rackKey == name {
		return
	}
	if s.rack != nil {
		s.rack.servers = slices.DeleteFunc(s.rack.servers, func(o *server) bool { return o == s })
	}
	r := p.racks[name]
	if r == nil {
		r = &rack{rackKey: name, zone: p.zone(s.Zone)}
		r.element.Item = r
		r.zone.racks = append(r.zone.racks, r)
		p.racks[name] = r
	}
	r.servers = append(r.servers, s)
	s.rack = r
	rackCapacity := capacity.Size{}
	for _, o := range r.servers {
		rackCapacity = rackCapacity.Add(o.Capacity)
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
func (p *Planner) addTask(h plan.PlacedTask, s *server) *placedTask {
	w := p.jobState(h.ID.Job, h.Job)
	n := &placedTask{PlacedTask: h, jobState: w, team: w.team, server: s, countedSize: h.Job.Size, jobPos: len(w.placed)}
	w.placed = append(w.placed, n)
	p.placed[h.ID] = n
	s.tasks = append(s.tasks, n)
	s.committed = s.committed.Add(n.countedSize)
	p.refreshFree(s)
	p.adjustAllocated(n.team, n.countedSize)
	if n.Stopping {
		n.team.stopping = n.team.stopping.Add(n.countedSize)
	}
	n.addToStoppable()
	return n
}

// addToStoppable lists the task among those that may be preempted.
func (h *placedTask) addToStoppable() {
	if h.preemptible() {
		h.team.preemptibleTasks.Add(h)
	}
	if h.Job.Kind == job.Service && !h.Stopping && !h.Job.Once {
		h.team.serviceTasks.Add(h)
	}
}

func (h *placedTask) removeFromStoppable() {
	h.team.preemptibleTasks.Remove(h.ID)
	h.team.serviceTasks.Remove(h.ID)
}

// preemptible tells whether the task may be preempted for others.
func (h *placedTask) preemptible() bool {
	return !h.Job.Once && !h.Stopping && (h.Job.Kind == job.Batch || h.Job.Kind == job.Gang)
}

// removeTask takes a task off its server.
func (p *Planner) removeTask(h *placedTask) {
	delete(p.placed, h.ID)
	h.removeFromStoppable()
	last := h.jobState.placed[len(h.jobState.placed)-1]
	h.jobState.placed[h.jobPos], last.jobPos = last, h.jobPos
	h.jobState.placed = h.jobState.placed[:len(h.jobState.placed)-1]
	i := slices.Index(h.server.tasks, h)
	h.server.tasks = slices.Delete(h.server.tasks, i, i+1)
	h.server.committed = h.server.committed.Sub(h.countedSize)
	if h.Stopping {
		h.team.stopping = h.team.stopping.Sub(h.countedSize)
	}
	p.refreshFree(h.server)
	p.adjustAllocated(h.team, capacity.Size{}.Sub(h.countedSize))
	h.team.blockedRevision = 0
}

// adjustAllocated changes what the team holds and its place in the order of need.
func (p *Planner) adjustAllocated(c *teamState, delta capacity.Size) {
	p.teamsByNeed.Remove(c.name)
	c.allocated = c.allocated.Add(delta)
	c.usageRatio = p.usageRatio(c)
	p.teamsByNeed.Add(c)
}

// setCountedSize changes the size that a task counts with.
func (p *Planner) setCountedSize(h *placedTask, size capacity.Size) {
	if h.countedSize == size {
		return
	}
	delta := size.Sub(h.countedSize)
	h.countedSize = size
	h.server.committed = h.server.committed.Add(delta)
	if h.Stopping {
		h.team.stopping = h.team.stopping.Add(delta)
	}
	p.refreshFree(h.server)
	p.adjustAllocated(h.team, delta)
	if !h.team.allocated.Within(h.team.row.Limit) {
		p.overLimitTeams = append(p.overLimitTeams, h.team)
	}
}

// confirmPlacement takes over what the ledger says of a task that is held already.
func (p *Planner) confirmPlacement(h *placedTask, reported plan.PlacedTask) {
	h.unconfirmed = false
	if h.server.ID != reported.Server {
		p.removeTask(h)
		p.addTask(reported, p.server(reported.Server))
		return
	}
	if reported.Stopping && !h.Stopping {
		p.markStopping(h)
	}
	if h.PlacedAt != reported.PlacedAt {
		h.removeFromStoppable()
		h.PlacedAt = reported.PlacedAt
		h.addToStoppable()
	}
}

// markStopping notes that an order to stop the task is under way.
func (p *Planner) markStopping(h *placedTask) {
	if h.Stopping {
		return
	}
	h.removeFromStoppable()
	h.Stopping = true
	h.team.stopping = h.team.stopping.Add(h.countedSize)
}
