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
	num int32
	// committed is the sum of max(declared, reported) of all tasks held.
	committed capacity.Size
	// reserved is the room promised to claims and to the urgent reserve.
	reserved capacity.Size
	tasks    []*holding
	rack     *rack
	// shown is the room that rack, zone and cell have been told of.
	shown   capacity.Size
	counted bool
	spot    fit.Element[*server]
	// rooms are the pieces of the urgent reserve on the server.
	rooms int
	// silent is when it was last found silent.
	silent time.Duration
	// restored is when bringing it back was last decided.
	restored time.Duration
}

// room returns what is neither committed nor reserved; fields may be negative.
func (s *server) room() capacity.Size { return s.actual().Sub(s.reserved) }

// actual returns what is not committed.
func (s *server) actual() capacity.Size { return s.Capacity.Sub(s.committed) }

type rackName struct{ zone, rack string }

type rack struct {
	rackName
	spot    fit.Element[*rack]
	zone    *zone
	servers []*server
	free    capacity.Size
}

type zone struct {
	name  string
	racks []*rack
	free  capacity.Size
	rooms int
	index *fit.Index[*server]
}

// account is a team with what it holds and waits for.
type account struct {
	name  string
	row   team.Row
	known bool
	held  capacity.Size
	// leaving is the part of held that is being stopped.
	leaving capacity.Size
	wants   capacity.Size
	// hopeless is the part of wants that no server could hold.
	hopeless capacity.Size
	// coming is the room that claims hold for the team.
	coming capacity.Size
	// target is the part of the cell that is the team's due with what it wants now.
	target float64
	// fair is the target, or what the team could have at least if it wanted more.
	fair   float64
	ratio  float64
	queues [job.Service + 1]*queue.Queue[task.ID, *unit]
	// victims are the tasks that may be preempted, the youngest first.
	victims *queue.Queue[task.ID, *holding]
	// steady are the tasks of services, the youngest first.
	steady *queue.Queue[task.ID, *holding]
	// gangs counts the gangs that wait.
	gangs int
	// gathers is the gang that room is being kept for.
	gathers *unit
	// sizes counts what waits of each size, urgent work aside.
	sizes   tally
	blocked uint64
}

// holding is a task on a server.
type holding struct {
	plan.PlacedTask
	work    *work
	account *account
	srv     *server
	// size is max(declared, reported).
	size capacity.Size
	// queued is the wait that the placement ended.
	queued plan.WaitingTask
	// attempts is the number of attempts made before.
	attempts uint32
	// assumed is true until the ledger confirms the placement.
	assumed   bool
	usedAt    time.Duration
	throttled time.Duration
	exceeds   bool
	listed    bool
	// curbed is true when it was stopped for using more than declared.
	curbed bool
	pos    int
}

func neediest(a, b *account) bool {
	if a.ratio != b.ratio {
		return a.ratio < b.ratio
	}
	return a.name < b.name
}

func youngest(a, b *holding) bool {
	if a.PlacedAt != b.PlacedAt {
		return a.PlacedAt > b.PlacedAt
	}
	return a.ID.Compare(b.ID) > 0
}

func (p *Planner) account(name string) *account {
	if c := p.teams[name]; c != nil {
		return c
	}
	c := &account{name: name}
	c.row, c.known = p.table.Row(name)
	for k := range c.queues {
		c.queues[k] = queue.New(unitKey, before)
	}
	c.victims = queue.New(func(h *holding) task.ID { return h.ID }, youngest)
	c.steady = queue.New(func(h *holding) task.ID { return h.ID }, youngest)
	p.teams[name] = c
	p.order.Add(c)
	return c
}

func (p *Planner) server(id string) *server {
	if s := p.servers[id]; s != nil {
		return s
	}
	s := &server{Server: backend.Server{ID: id, State: backend.Gone}, num: int32(len(p.list))}
	s.spot.Item = s
	p.servers[id] = s
	p.list = append(p.list, s)
	return s
}

// settle puts the server into its rack.
func (p *Planner) settle(s *server) {
	name := rackName{s.Zone, s.Rack}
	p.most = p.most.Max(s.Capacity)
	for _, z := range p.zones {
		z.index.Grow(p.most)
	}
	if s.rack != nil && s.rack.rackName == name {
		return
	}
	if s.rack != nil {
		s.rack.servers = slices.DeleteFunc(s.rack.servers, func(o *server) bool { return o == s })
	}
	r := p.racks[name]
	if r == nil {
		r = &rack{rackName: name, zone: p.zone(s.Zone)}
		r.spot.Item = r
		r.zone.racks = append(r.zone.racks, r)
		p.racks[name] = r
	}
	r.servers = append(r.servers, s)
	s.rack = r
	whole := capacity.Size{}
	for _, o := range r.servers {
		whole = whole.Add(o.Capacity)
	}
	p.rackIndex.Grow(whole)
}

func (p *Planner) zone(name string) *zone {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name, index: fit.NewIndex[*server]()}
	z.index.FirstFit = p.lacks(BestFit)
	z.index.Grow(p.most)
	p.zones = append(p.zones, z)
	return z
}

// uncount takes the server out of every sum.
func (p *Planner) uncount(s *server) {
	p.show(s, capacity.Size{})
	p.hide(s)
	if s.counted {
		p.total = p.total.Sub(s.Capacity)
		p.sizes[s.Capacity]--
	}
	s.counted = false
}

// count adds the server to the cell that shares are part of.
func (p *Planner) count(s *server) {
	if s.State == backend.Gone || s.State == backend.Draining {
		return
	}
	s.counted = true
	p.total = p.total.Add(s.Capacity)
	p.sizes[s.Capacity]++
	if p.sizes[s.Capacity] == 1 {
		p.hope()
	}
}

// touch makes the server's room known after a change.
func (p *Planner) touch(s *server) {
	if s.State != backend.Ready {
		p.show(s, capacity.Size{})
		p.hide(s)
		return
	}
	free := s.room()
	s.rack.zone.index.Update(&s.spot, free)
	if !free.Valid() {
		free = capacity.Size{}
	}
	if !free.Fits(s.shown) {
		p.grown++
		p.failed.shrink(free)
	}
	p.show(s, free)
}

// hide takes the server out of its zone's index.
func (p *Planner) hide(s *server) {
	if s.rack != nil {
		s.rack.zone.index.Remove(&s.spot)
	}
}

func (p *Planner) show(s *server, free capacity.Size) {
	if s.rack == nil || s.shown == free {
		return
	}
	more := free.Sub(s.shown)
	s.shown = free
	s.rack.free = s.rack.free.Add(more)
	s.rack.zone.free = s.rack.zone.free.Add(more)
	p.free = p.free.Add(more)
	p.rackIndex.Update(&s.rack.spot, s.rack.free)
}

// put counts a task on a server.
func (p *Planner) put(h plan.PlacedTask, s *server) *holding {
	w := p.work(h.ID.Job, h.Job)
	n := &holding{PlacedTask: h, work: w, account: w.account, srv: s, size: h.Job.Size, pos: len(w.held)}
	w.held = append(w.held, n)
	p.held[h.ID] = n
	s.tasks = append(s.tasks, n)
	s.committed = s.committed.Add(n.size)
	p.touch(s)
	p.weigh(n.account, n.size)
	if n.Stopping {
		n.account.leaving = n.account.leaving.Add(n.size)
	}
	n.offer()
	return n
}

// offer lists the task among those that may be preempted.
func (h *holding) offer() {
	if h.victim() {
		h.account.victims.Add(h)
	}
	if h.Job.Kind == job.Service && !h.Stopping && !h.Job.Once {
		h.account.steady.Add(h)
	}
}

func (h *holding) withdraw() {
	h.account.victims.Remove(h.ID)
	h.account.steady.Remove(h.ID)
}

// victim tells whether the task may be preempted for others.
func (h *holding) victim() bool {
	return !h.Job.Once && !h.Stopping && (h.Job.Kind == job.Batch || h.Job.Kind == job.Gang)
}

// remove takes a task off its server.
func (p *Planner) remove(h *holding) {
	delete(p.held, h.ID)
	h.withdraw()
	last := h.work.held[len(h.work.held)-1]
	h.work.held[h.pos], last.pos = last, h.pos
	h.work.held = h.work.held[:len(h.work.held)-1]
	at := slices.Index(h.srv.tasks, h)
	h.srv.tasks = slices.Delete(h.srv.tasks, at, at+1)
	h.srv.committed = h.srv.committed.Sub(h.size)
	if h.Stopping {
		h.account.leaving = h.account.leaving.Sub(h.size)
	}
	p.touch(h.srv)
	p.weigh(h.account, capacity.Size{}.Sub(h.size))
	h.account.blocked = 0
}

// weigh changes what the team holds and its place in the order of need.
func (p *Planner) weigh(c *account, more capacity.Size) {
	p.order.Remove(c.name)
	c.held = c.held.Add(more)
	c.ratio = p.ratio(c)
	p.order.Add(c)
}

// recount changes the size that a task counts with.
func (p *Planner) recount(h *holding, size capacity.Size) {
	if h.size == size {
		return
	}
	more := size.Sub(h.size)
	h.size = size
	h.srv.committed = h.srv.committed.Add(more)
	if h.Stopping {
		h.account.leaving = h.account.leaving.Add(more)
	}
	p.touch(h.srv)
	p.weigh(h.account, more)
	if !h.account.held.Within(h.account.row.Limit) {
		p.excess = append(p.excess, h.account)
	}
}

// confirm takes over what the ledger says of a task that is held already.
func (p *Planner) confirm(h *holding, told plan.PlacedTask) {
	h.assumed = false
	if h.srv.ID != told.Server {
		p.remove(h)
		p.put(told, p.server(told.Server))
		return
	}
	if told.Stopping && !h.Stopping {
		p.stop(h)
	}
	if h.PlacedAt != told.PlacedAt {
		h.withdraw()
		h.PlacedAt = told.PlacedAt
		h.offer()
	}
}

// stop notes that an order to stop the task is under way.
func (p *Planner) stop(h *holding) {
	if h.Stopping {
		return
	}
	h.withdraw()
	h.Stopping = true
	h.account.leaving = h.account.leaving.Add(h.size)
}
