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
	// enough is how many times as many tasks as wait the servers of a question
	// should have room for, by what is known: some fill up until the answer comes.
	enough = 1.5
	// spare is how many servers more than needed a question for fresh permits
	// names: some will have filled up when the answer comes.
	spare = 4
	// leastWaiting is how many gangs of a pool have room kept for them, and one more
	// for each waitingPart of its servers. Each keeps what it needs idle until the
	// last of it is free, and a large pool has more of them waiting.
	leastWaiting = 4
	waitingPart  = 100
	// restEvery is how many items are placed between two rests.
	restEvery = 4
	// soon is how long before its room is free a gang asks for its permits: about
	// as long as the longest question takes.
	soon = time.Second
	// holds is about how long a permit holds.
	holds = time.Second
)

// planner is the state of making one plan.
type planner struct {
	*Planner
	view View
	// turn counts the items turned to; looked tells that what is known of the latest
	// was looked up.
	turn   int
	looked bool
	// shelves are the servers in the order of their room; nil until that is asked for.
	shelves map[shelf][]*room
	used    map[string]capacity.Size
	plan    Plan
	// waiting counts the gangs for which room is kept, by pool, sizes the servers.
	waiting map[string]int
	sizes   map[string]int
	// ahead counts the steps whose permits are asked for before there is room, by pool.
	ahead map[string]int
	// most is the most that a server of each pool had free when the plan began.
	most map[string]int64
	// heads is each pool's headroom for urgent work, spare for how many tasks of
	// its size there is room beyond it, and ever how many the whole pool holds.
	heads map[string]Headroom
	spare map[string]int64
	ever  map[string]int64
	// probations is for how many more suspected tasks a server of each pool may be kept.
	probations map[string]int
}

// room is what is left on a server in the course of a plan.
type room struct {
	Server
	// at is its place in the order of ids, class that of its speed.
	at    int
	class int
	// began is the room of the processor when the plan began.
	began int64
	free  capacity.Size
	mark
	// frees is what the server will have free again, the soonest first, once it was
	// asked for.
	frees []Release
	freed bool
	// probation tells that it is left to a task that may crash it.
	probation bool
	// kept is what is kept free for gangs that wait, and until when they wait.
	kept  capacity.Size
	until time.Duration
}

// left returns what an item may use now: room that is kept for a gang only if
// the item gives it back before the gang can begin, or lasts.
func (r *room) left(it Item) capacity.Size {
	if it.Spec.GetLasting() || r.until > 0 && it.ExpectedRuntime > 0 && it.ExpectedRuntime <= r.until {
		return r.free
	}
	return r.free.Sub(r.kept)
}

// Planner makes plans, one after the other; what it keeps is room for the next one.
// The zero value is ready.
type Planner struct {
	rooms   []room
	servers []*room
	byID    map[string]*room
	// known is the room for the servers of which something is known for an item.
	known []*room
}

// Make makes one plan.
func Make(v View) Plan { return new(Planner).Make(v) }

// Make makes a plan: items in the order of Compare, each placed as far as there
// is room. What waits for a permit or, as a gang, for more room keeps the room
// that it needs from those after it, which would take it for ever otherwise.
func (m *Planner) Make(v View) Plan {
	if m.byID == nil {
		m.byID = map[string]*room{}
	}
	clear(m.byID)
	m.rooms = slices.Grow(m.rooms[:0], len(v.Servers))[:len(v.Servers)]
	m.servers = m.servers[:0]
	p := &planner{
		Planner: m, view: v, used: map[string]capacity.Size{},
		waiting: map[string]int{}, sizes: map[string]int{}, ahead: map[string]int{}, most: map[string]int64{},
		heads: map[string]Headroom{}, spare: map[string]int64{}, ever: map[string]int64{}, probations: map[string]int{},
	}
	for i, s := range v.Servers {
		free := s.FreeCapacity()
		r := &m.rooms[i]
		*r = room{Server: s, free: free, began: free.CPU, probation: s.OnProbation}
		p.servers = append(p.servers, r)
		p.byID[s.ID] = r
	}
	p.count()
	byID := func(a, b *room) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(p.servers, byID) {
		slices.SortFunc(p.servers, byID)
	}
	for i, r := range p.servers {
		r.at, r.class = i, speedClass(r.Speed)
	}
	items := slices.Clone(v.Items)
	slices.SortStableFunc(items, Compare)
	for i, it := range items {
		if v.Yield != nil && i%restEvery == 0 {
			v.Yield()
		}
		if it.Spec.GetGang() {
			p.gang(it)
		} else {
			p.singles(it)
		}
	}
	return p.plan
}

// count works out what is known of each pool when the plan begins.
func (p *planner) count() {
	pools := map[string][]*room{}
	for i := 0; i < len(p.servers); {
		pool, first := p.servers[i].Pool, i
		for i < len(p.servers) && p.servers[i].Pool == pool {
			i++
		}
		pools[pool] = append(pools[pool], p.servers[first:i]...)
	}
	for pool, rooms := range pools {
		p.sizes[pool] = len(rooms)
		p.probations[pool] = probationsOf(rooms)
		for _, r := range rooms {
			p.most[pool] = max(p.most[pool], r.free.CPU)
		}
		p.head(pool, rooms)
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

// suits tells whether a server may hold a task of the item at all.
func suits(it Item, r *room) bool {
	if r.Pool != it.Pool {
		return false
	}
	return HasLabel(it.Spec.GetLabel(), r.Server.Server)
}

// HasLabel tells whether a server has the label that a step asks for, if any.
func HasLabel(label string, b *flows.Server) bool {
	return label == "" || slices.Contains(b.Labels, label)
}

// fits returns how many tasks of a size fit into a room.
func fits(size, free capacity.Size) int64 {
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

// allowed returns how many tasks of the item its customer's limit lets start.
func (p *planner) allowed(it Item) int64 {
	size := flow.SizeOf(it.Spec)
	left := p.view.RemainingLimit(it.Flow.Customer).Sub(p.used[it.Flow.Customer])
	return fits(size, left)
}

func (p *planner) take(it Item, r *room, n int64) {
	size := flow.SizeOf(it.Spec).Times(n)
	p.spare[it.Pool] -= p.cost(it, r, n)
	r.free = r.free.Sub(size)
	p.used[it.Flow.Customer] = p.used[it.Flow.Customer].Add(size)
}

// filling is what was found for a step whose tasks start one by one.
type filling struct {
	item   Item
	places []Assignment
	// stale are the servers whose permits have to be asked for first.
	stale []string
}

// put starts tasks on a server, or keeps the room until its permit is there.
func (p *planner) put(f *filling, o option, tasks []uint32) {
	p.take(f.item, o.room, int64(len(tasks)))
	if o.permission != Granted {
		f.stale = append(f.stale, o.ID)
		return
	}
	for _, i := range tasks {
		f.places = append(f.places, Assignment{flow.TaskID{StepID: f.item.StepID, Index: i}, o.ID})
	}
}

// singles places the tasks of a step one by one.
func (p *planner) singles(it Item) {
	left := min(int64(it.QueuedTasks), p.allowed(it))
	if left <= 0 {
		return
	}
	p.next()
	options := p.options(it)
	f := &filling{item: it}
	sound, suspected := p.waits(it, int(left))
	for _, o := range options {
		if len(sound) == 0 {
			break
		}
		if n := p.within(it, o.room, min(o.count, int64(len(sound)))); n > 0 {
			p.put(f, o, sound[:n])
			sound = sound[n:]
		}
	}
	suspected = p.tryApart(f, options, suspected)
	if len(f.places) > 0 {
		p.plan.Placements = append(p.plan.Placements, Placement{it, f.places})
	}
	switch {
	case len(f.stale) > 0:
		p.want(it, f.stale, options)
	case len(sound)+len(suspected) > 0:
		if !p.ask(it) {
			p.foresee(it)
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
