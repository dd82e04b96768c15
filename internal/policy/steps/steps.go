// Package steps decides which tasks of flows start where. It is pure: a plan
// follows from the picture that it is given and from nothing else.
package steps

import (
	"cmp"
	"slices"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// Bounds of a plan.
const (
	// MaxServersPerQuestion bounds the servers of one question: the adviser takes no more.
	MaxServersPerQuestion = 100
	// MaxServersPerStep bounds the servers that a plan wants to know about for one step;
	// they are asked about in several questions side by side.
	MaxServersPerStep = 160
	// MinServersPerQuestion is how many servers a question names at the least: of thirty a
	// few may usually run a step.
	MinServersPerQuestion = 30
	// capacityFactor is how many times as many tasks as wait the servers of a question
	// should have room for, by what is known: some fill up until the answer comes.
	capacityFactor = 1.5
	// spareServers is how many servers more than needed a question for fresh permits
	// names: some will have filled up when the answer comes.
	spareServers = 4
	// minReservedGangs is how many gangs of a pool have room kept for them, and one more
	// for each waitingPart of its servers. Each keeps what it needs idle until the
	// last of it is free, and a large pool has more of them waiting.
	minReservedGangs       = 4
	serversPerReservedGang = 100
	// itemsPerYield is how many items are placed between two rests.
	itemsPerYield = 4
	// questionLeadTime is how long before its room is free a gang asks for its permits: about
	// as long as the longest question takes.
	questionLeadTime = time.Second
	// permitValidity is about how long a permit holds.
	permitValidity = time.Second
)

// planner is the state of making one plan.
type planner struct {
	*Planner
	view View
	// itemNumber counts the items turned to; looked tells that what is known of the latest
	// was looked up.
	itemNumber        int
	permissionsLoaded bool
	// serversByGroup are the servers in the order of their room; nil until that is asked for.
	serversByGroup map[serverGroup][]*serverState
	customerUsage  map[string]capacity.Size
	plan           Plan
	// reservedGangs counts the gangs for which room is kept, by pool, sizes the servers.
	reservedGangs map[string]int
	poolSizes     map[string]int
	// earlyRequests counts the steps whose permits are asked for before there is room, by pool.
	earlyRequests map[string]int
	// maxFreeCPU is the most that a server of each pool had free when the plan began.
	maxFreeCPU map[string]int64
	// headrooms is each pool's headroom for urgent work, spare for how many tasks of
	// its size there is room beyond it, and ever how many the whole pool holds.
	headrooms        map[string]Headroom
	spareHeadroom    map[string]int64
	headroomCapacity map[string]int64
	// probationSlots is for how many more suspected tasks a server of each pool may be kept.
	probationSlots map[string]int
}

// serverState is what is left on a server in the course of a plan.
type serverState struct {
	Server
	// index is its place in the order of ids, class that of its speed.
	index      int
	speedClass int
	// initialCPU is the room of the processor when the plan began.
	initialCPU int64
	free       capacity.Size
	itemPermission
	// releases is what the server will have free again, the soonest first, once it was
	// asked for.
	releases       []Release
	releasesLoaded bool
	// heldForSuspect tells that it is left to a task that may crash it.
	heldForSuspect bool
	// reserved is what is kept free for gangs that wait, and until when they wait.
	reserved      capacity.Size
	reservedUntil time.Duration
}

// usable returns what an item may use now: room that is kept for a gang only if
// the item gives it back before the gang can begin, or lasts.
func (r *serverState) usable(it Item) capacity.Size {
	if it.Spec.GetLasting() || r.reservedUntil > 0 && it.ExpectedRuntime > 0 && it.ExpectedRuntime <= r.reservedUntil {
		return r.free
	}
	return r.free.Sub(r.reserved)
}

// Planner makes plans, one after the other; what it keeps is room for the next one.
// The zero value is ready.
type Planner struct {
	states  []serverState
	servers []*serverState
	byID    map[string]*serverState
	// knownServers is the room for the servers of which something is known for an item.
	knownServers []*serverState
}

// Make makes one plan.
func Make(v View) Plan { return new(Planner).Make(v) }

// Make makes a plan: items in the order of Compare, each placed as far as there
// is room. What waits for a permit or, as a gang, for more room keeps the room
// that it needs from those after it, which would take it for ever otherwise.
func (m *Planner) Make(v View) Plan {
	if m.byID == nil {
		m.byID = map[string]*serverState{}
	}
	clear(m.byID)
	m.states = slices.Grow(m.states[:0], len(v.Servers))[:len(v.Servers)]
	m.servers = m.servers[:0]
	p := &planner{
		Planner: m, view: v, customerUsage: map[string]capacity.Size{},
		reservedGangs: map[string]int{}, poolSizes: map[string]int{}, earlyRequests: map[string]int{}, maxFreeCPU: map[string]int64{},
		headrooms: map[string]Headroom{}, spareHeadroom: map[string]int64{}, headroomCapacity: map[string]int64{}, probationSlots: map[string]int{},
	}
	for i, s := range v.Servers {
		free := s.Free()
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
	items := slices.Clone(v.Items)
	slices.SortStableFunc(items, Compare)
	for i, it := range items {
		if v.Yield != nil && i%itemsPerYield == 0 {
			v.Yield()
		}
		if it.Spec.GetGang() {
			p.placeGang(it)
		} else {
			p.placeSingles(it)
		}
	}
	return p.plan
}

// initPools works out what is known of each pool when the plan begins.
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

// Compare orders items: what is worth nothing more last, then what was sent
// beyond its customer's share, then what will be late anyway: it would make those
// behind it late as well. Then by priority, then by the least slack.
func Compare(a, b Item) int {
	return cmp.Or(
		compareBool(a.Worthless, b.Worthless),
		compareBool(a.OverShare, b.OverShare),
		compareBool(a.Late, b.Late),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Flow.ID, b.Flow.ID),
		cmp.Compare(a.StepID.Turn, b.StepID.Turn),
		cmp.Compare(a.StepID.Step, b.StepID.Step),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// eligible tells whether a server may hold a task of the item at all.
func eligible(it Item, r *serverState) bool {
	if r.Pool != it.Pool {
		return false
	}
	return HasLabel(it.Spec.GetLabel(), r.Server.Server)
}

// HasLabel tells whether a server has the label that a step asks for, if any.
func HasLabel(label string, b *flows.Server) bool {
	return label == "" || slices.Contains(b.Labels, label)
}

// fittingTasks returns how many tasks of a size fit into a room.
func fittingTasks(size, free capacity.Size) int64 {
	if !size.Fits(capacity.Size{CPU: free.CPU, Memory: free.Memory, Accel: free.Accel, Slots: size.Slots}) {
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
	return n
}

// allowedByLimit returns how many tasks of the item its customer's limit lets start.
func (p *planner) allowedByLimit(it Item) int64 {
	size := flow.SizeOf(it.Spec)
	remaining := p.view.RemainingLimit(it.Flow.Customer).Sub(p.customerUsage[it.Flow.Customer])
	return fittingTasks(size, remaining)
}

func (p *planner) allocate(it Item, r *serverState, n int64) {
	size := flow.SizeOf(it.Spec).Times(n)
	p.spareHeadroom[it.Pool] -= p.headroomCost(it, r, n)
	r.free = r.free.Sub(size)
	p.customerUsage[it.Flow.Customer] = p.customerUsage[it.Flow.Customer].Add(size)
}

// stepPlacement is what was found for a step whose tasks start one by one.
type stepPlacement struct {
	item        Item
	assignments []Assignment
	// staleServers are the servers whose permits have to be asked for first.
	staleServers []string
}

// placeTasks starts tasks on a server, or keeps the room until its permit is there.
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

// placeSingles places the tasks of a step one by one.
func (p *planner) placeSingles(it Item) {
	limit := min(int64(it.Queued), p.allowedByLimit(it))
	if limit <= 0 {
		return
	}
	p.nextItem()
	candidates := p.candidates(it)
	placement := &stepPlacement{item: it}
	normal, suspects := p.queuedBySuspicion(it, int(limit))
	for _, c := range candidates {
		if len(normal) == 0 {
			break
		}
		if n := p.limitByHeadroom(it, c.serverState, min(c.taskCount, int64(len(normal)))); n > 0 {
			p.placeTasks(placement, c, normal[:n])
			normal = normal[n:]
		}
	}
	suspects = p.placeSuspects(placement, candidates, suspects)
	if len(placement.assignments) > 0 {
		p.plan.Placements = append(p.plan.Placements, Placement{it, placement.assignments})
	}
	switch {
	case len(placement.staleServers) > 0:
		p.requestPermits(it, placement.staleServers, candidates)
	case len(normal)+len(suspects) > 0:
		if !p.askAdviser(it) {
			p.requestPermitsEarly(it)
		}
	}
}

// queuedTasks returns a function that gives the waiting tasks of a step in turn.
func queuedTasks(s *flows.Step) func() uint32 {
	i := -1
	return func() uint32 {
		for i++; i < len(s.Tasks) && s.Tasks[i].Phase != flows.Queued; i++ {
			continue
		}
		return uint32(i)
	}
}
