// Package steps decides which tasks of flows start on which servers. It has no side effects: a
// plan depends on its View alone.
package steps

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/base/bools"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// Limits of a plan.
const (
	// MaxServersPerQuestion limits the servers of one question. The adviser accepts no more.
	MaxServersPerQuestion = 100
	// MaxServersPerStep limits the servers that one plan asks about for one step. They are
	// split into several parallel questions.
	MaxServersPerStep = 160
	// MinServersPerQuestion is the minimum number of servers in a question. Usually the adviser
	// allows a step on a few of thirty servers.
	MinServersPerQuestion = 30
	// capacityFactor is the room that the servers of a question should have, as a multiple of
	// the queued tasks. Some of these servers fill up before the answer arrives.
	capacityFactor = 1.5
	// spareServers is the number of additional servers in a request for new permits. Some
	// servers fill up before the answer arrives.
	spareServers = 4
	// minReservedGangs is the number of gangs of a pool that can have reservations at a time. A
	// pool can have one more for every serversPerReservedGang servers, since more gangs wait in
	// a large pool. Reserved room is idle until the last server of the gang is free. The same
	// limit applies to the steps that request permits before there is room.
	minReservedGangs       = 4
	serversPerReservedGang = 100
	// itemsPerYield is the number of items that are placed between two calls of Yield.
	itemsPerYield = 4
	// questionLeadTime is how long before its room is free a gang requests its permits. The
	// longest question takes about as long.
	questionLeadTime = time.Second
	// permitValidity is the approximate time for which a permit is valid.
	permitValidity = time.Second
)

// planner is the state of one plan.
type planner struct {
	*Planner
	view View
	// itemNumber counts the items handled so far. permissionsLoaded is true when the
	// permissions of the current item were read.
	itemNumber        int
	permissionsLoaded bool
	// visits counts the visits of servers for the current item, which is given up above
	// maxVisits.
	visits, maxVisits int
	// serversByGroup holds the servers sorted by initial free CPU. It is nil until first
	// needed.
	serversByGroup map[serverGroup][]*serverState
	// customerUsage is the size that this plan has allocated, by customer.
	customerUsage map[string]capacity.Size
	plan          Plan
	// reservedGangs counts the gangs with a reservation, and poolSizes the servers, by pool.
	reservedGangs map[string]int
	poolSizes     map[string]int
	// earlyRequests counts the steps that requested permits before there was room, by pool.
	earlyRequests map[string]int
	// maxFreeCPU is the largest free CPU of any server of a pool when the plan began.
	maxFreeCPU map[string]int64
	// headrooms is the headroom of each pool for urgent work. spareHeadroom is the number of
	// additional tasks of that size that fit into the free room, headroomCapacity the number
	// that fit into the whole pool.
	headrooms        map[string]Headroom
	spareHeadroom    map[string]int64
	headroomCapacity map[string]int64
	// probationSlots is the number of servers of each pool that can still be held for suspect
	// tasks.
	probationSlots map[string]int
	// racksAssigned holds the pools whose servers have their rack set.
	racksAssigned map[string]bool
}

// serverState is the state of a server during a plan.
type serverState struct {
	Server
	// index is the position in the order of server IDs. speedClass is the class of the speed of
	// the server.
	index      int
	speedClass int
	// rack is the rack of the server. It is empty until a gang of the pool needs it.
	rack string
	// initialCPU is the CPU that was free when the plan began.
	initialCPU int64
	free       capacity.Size
	// used is true when the plan has placed tasks on the server. Free CPU does not tell it: some
	// tasks need none.
	used bool
	itemPermission
	// releases is the room that the server is expected to release, earliest first. It is valid
	// if releasesLoaded is true.
	releases       []Release
	releasesLoaded bool
	// heldForSuspect is true when the server is kept for a task that may crash it.
	heldForSuspect bool
	// reserved is the room reserved for waiting gangs, and reservedUntil the time after which
	// they can start.
	reserved      capacity.Size
	reservedUntil time.Duration
}

// usable returns the room that an item can use now. It includes room reserved for a gang only
// if the item is lasting or ends before the gang can start.
func (r *serverState) usable(item Item) capacity.Size {
	if item.Spec.GetLasting() || r.reservedUntil > 0 && item.ExpectedRuntime > 0 && item.ExpectedRuntime <= r.reservedUntil {
		return r.free
	}
	return r.free.Sub(r.reserved)
}

// Planner makes plans one after the other and reuses its buffers. The zero value is ready to
// use.
type Planner struct {
	states  []serverState
	servers []*serverState
	byID    map[string]*serverState
	// knownServers is the buffer for the servers whose permission is known for an item.
	knownServers []*serverState
}

// Make makes a single plan with a new Planner.
func Make(v View) Plan { return new(Planner).Make(v) }

// Make makes a plan. It places the items in the order of the view, as far as there is room. An
// item that waits for a permit, or a gang that waits for room, keeps the room that it needs.
// Otherwise later items could take that room again and again, and the item would never start.
// An item whose work goes beyond all bounds is given up; after several the plan ends.
func (m *Planner) Make(v View) Plan {
	p := m.begin(v)
	items := slices.Clone(v.Items)
	slices.SortStableFunc(items, v.order())
	for i, item := range items {
		if v.Yield != nil && i%itemsPerYield == 0 {
			v.Yield()
		}
		if v.BeginItem != nil {
			v.BeginItem(item.StepID)
		}
		p.placeWithinBudget(item)
		if len(p.plan.GivenUp) == maxGivenUp {
			break
		}
	}
	return p.plan
}

// begin returns the state of a plan in which nothing is placed yet.
func (m *Planner) begin(v View) *planner {
	if m.byID == nil {
		m.byID = map[string]*serverState{}
	}
	clear(m.byID)
	m.states = slices.Grow(m.states[:0], len(v.Servers))[:len(v.Servers)]
	m.servers = m.servers[:0]
	p := &planner{
		Planner: m, view: v, maxVisits: visitsPerServer * (len(v.Servers) + 1), customerUsage: map[string]capacity.Size{},
		reservedGangs: map[string]int{}, poolSizes: map[string]int{}, earlyRequests: map[string]int{}, maxFreeCPU: map[string]int64{},
		headrooms: map[string]Headroom{}, spareHeadroom: map[string]int64{}, headroomCapacity: map[string]int64{}, probationSlots: map[string]int{}, racksAssigned: map[string]bool{},
	}
	for i, s := range v.Servers {
		free := s.FreeCapacity()
		r := &m.states[i]
		*r = serverState{Server: s, free: free, initialCPU: free.CPU, heldForSuspect: s.OnProbation}
		p.servers = append(p.servers, r)
		p.byID[s.ID] = r
	}
	p.initPools()
	byID := func(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(p.servers, byID) {
		slices.SortFunc(p.servers, byID)
	}
	for i, r := range p.servers {
		r.index, r.speedClass = i, speedClass(r.Speed)
	}
	if v.Uneven {
		p.groupSpeeds()
	}
	return p
}

// initPools computes the initial state of each pool.
func (p *planner) initPools() {
	pools := map[string][]*serverState{}
	for i := 0; i < len(p.servers); {
		pool, first := p.servers[i].Pool, i
		for i < len(p.servers) && p.servers[i].Pool == pool {
			i++
		}
		pools[pool] = append(pools[pool], p.servers[first:i]...)
	}
	for pool, servers := range pools {
		p.poolSizes[pool] = len(servers)
		p.probationSlots[pool] = countProbationSlots(servers)
		for _, r := range servers {
			p.maxFreeCPU[pool] = max(p.maxFreeCPU[pool], r.free.CPU)
		}
		p.initHeadroom(pool, servers)
	}
}

// Compare orders items. Late items come after items that can end in time, since they would make
// those late as well. Items over the share of their customer come after all others, and
// worthless items come last. The remaining order is by priority, then by slack, least first.
func Compare(a, b Item) int {
	return cmp.Or(
		bools.Compare(a.Worthless, b.Worthless),
		bools.Compare(a.Surplus, b.Surplus),
		bools.Compare(b.Starved, a.Starved),
		bools.Compare(a.Late, b.Late),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Flow.ID, b.Flow.ID),
		cmp.Compare(a.StepID.Turn, b.StepID.Turn),
		cmp.Compare(a.StepID.Step, b.StepID.Step),
	)
}

// eligible reports whether the server is in the pool of the item and has the label that it
// requires.
func eligible(item Item, r *serverState) bool {
	if r.Pool != item.Pool {
		return false
	}
	return HasLabel(item.Spec.GetLabel(), r.Server.Server)
}

// HasLabel reports whether a server has the label that a step requires. An empty label matches
// every server.
func HasLabel(label string, b *flows.Server) bool {
	return label == "" || slices.Contains(b.Labels, label)
}

// fittingTasks returns how many tasks of a size fit into the free room: none if any resource is
// below zero, also one that the tasks do not need.
func fittingTasks(size, free capacity.Size) int64 {
	if !size.Fits(free) {
		return 0
	}
	n := int64(1 << 30)
	if size.CPU > 0 {
		n = free.CPU / size.CPU
	}
	if size.Memory > 0 {
		n = min(n, free.Memory/size.Memory)
	}
	if size.Accel > 0 {
		n = min(n, free.Accel/size.Accel)
	}
	if size.Slots > 0 {
		n = min(n, free.Slots/size.Slots)
	}
	return n
}

// allowedByLimit returns the number of tasks of the item that the limit of its customer allows.
func (p *planner) allowedByLimit(item Item) int64 {
	size := flow.TaskSize(item.Spec)
	remaining := p.view.RemainingLimit(item.Flow.Customer).Sub(p.customerUsage[item.Flow.Customer])
	return fittingTasks(size, remaining)
}

// allocate takes the room of n tasks of an item on a server.
func (p *planner) allocate(item Item, r *serverState, n int64) {
	p.countVisits(1)
	size := flow.TaskSize(item.Spec).Times(n)
	p.spareHeadroom[item.Pool] -= p.headroomCost(item, r, n)
	r.free, r.used = r.free.Sub(size), true
	p.customerUsage[item.Flow.Customer] = p.customerUsage[item.Flow.Customer].Add(size)
}

// stepPlacement collects the assignments of a step whose tasks start independently.
type stepPlacement struct {
	item        Item
	assignments []Assignment
	// staleServers are servers with room whose permits must be renewed first.
	staleServers []string
}

// placeTasks starts tasks on a server. If the server needs a new permit, placeTasks only
// allocates their room, so that it is free when the permit arrives.
func (p *planner) placeTasks(placement *stepPlacement, c candidate, tasks []uint32) {
	p.allocate(placement.item, c.serverState, int64(len(tasks)))
	if c.permission != Granted {
		placement.staleServers = append(placement.staleServers, c.ID)
		return
	}
	for _, i := range tasks {
		placement.assignments = append(placement.assignments, Assignment{flow.TaskID{StepID: placement.item.StepID, Index: i}, c.ID})
	}
}

// placeSingles places the tasks of a step independently of each other.
func (p *planner) placeSingles(item Item) {
	limit := min(int64(item.QueuedTasks), p.allowedByLimit(item))
	if limit <= 0 {
		return
	}
	p.nextItem()
	candidates := p.candidates(item)
	placement := &stepPlacement{item: item}
	normal, suspects := p.queuedBySuspicion(item, int(limit))
	lastAttempts, normal := splitLastAttempts(item, normal)
	lastAttempts = p.placeLastAttempts(placement, candidates, lastAttempts)
	for _, c := range candidates {
		if len(normal) == 0 {
			break
		}
		if n := p.limitByHeadroom(item, c.serverState, min(c.taskCount, int64(len(normal)))); n > 0 {
			p.placeTasks(placement, c, normal[:n])
			normal = normal[n:]
		}
	}
	suspects = p.placeSuspects(placement, candidates, suspects)
	if len(placement.assignments) > 0 {
		p.plan.Placements = append(p.plan.Placements, Placement{item, placement.assignments})
	}
	switch {
	case len(placement.staleServers) > 0:
		p.requestPermits(item, placement.staleServers, candidates)
	case len(lastAttempts)+len(normal)+len(suspects) > 0:
		if !p.askAdviser(item) {
			p.requestPermitsEarly(item)
		}
	}
}

// queuedTasks returns a function that returns the index of the next queued task of a step on
// each call.
func queuedTasks(s *flows.Step) func() uint32 {
	i := -1
	return func() uint32 {
		for i++; i < len(s.Tasks) && s.Tasks[i].Phase != flows.Queued; i++ {
			continue
		}
		return uint32(i)
	}
}
