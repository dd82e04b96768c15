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

// Item is a step with tasks that may be placed now.
type Item struct {
	*flows.Step
	// Pool is where its queue sends it.
	Pool string
	// Priority is its queue's; 0 comes first.
	Priority uint32
	// Slack is the time that is left for waiting if the flow is to end in time;
	// negative when it will be late.
	Slack time.Duration
	// Hopeless tells that the flow is so late that its end is worth nothing
	// more to its caller.
	Hopeless bool
	// Surplus tells that the customer sent it beyond what it can count on.
	Surplus bool
	// Shunned are servers on which a task of the step failed; they come last.
	Shunned map[string]bool
	// Permits tells that only servers with the adviser's permit may run it, and
	// Asked that the adviser was asked about some of them.
	Permits bool
	Asked   bool
}

// Server is a backend server that takes work now.
type Server struct {
	*flows.Server
	// Speed is how fast it works beside the others; 1 is the usual.
	Speed float64
}

// Permission is what is known of one step on one server.
type Permission uint8

// The permissions.
const (
	// Unasked means that the adviser was not asked yet.
	Unasked Permission = iota
	// Denied means that the step may never run there.
	Denied
	// Stale means that it may, with a permit that has to be asked for anew.
	Stale
	// Granted means that a permit is at hand that holds long enough.
	Granted
)

// View is the picture that a plan is made of.
type View struct {
	Items   []Item
	Servers []Server
	// Room is what a customer may still start.
	Room func(customer string) capacity.Size
	// Permission tells what is known of a step that needs permits.
	Permission func(id flow.StepID, server string) Permission
}

// Place is one task and where it starts.
type Place struct {
	flow.TaskID
	Server string
}

// Placement is what is started at once of one step; a gang's is whole.
type Placement struct {
	Step   *flows.Step
	Places []Place
}

// Want is a question to the adviser, the most useful servers first.
type Want struct {
	Item    Item
	Servers []string
}

// Plan is what is decided.
type Plan struct {
	Placements []Placement
	Wants      []Want
}

// Bounds of a plan.
const (
	// MostAsked bounds the servers of one question. A question takes longer
	// with each, and of thirty at least a few may usually run a step.
	MostAsked = 30
	// spare is how many servers more than needed a question for fresh permits
	// names: some will have filled up when the answer comes.
	spare = 4
	// reserveParts bounds what is kept free for gangs that wait for room: one
	// part of so many of a pool's servers.
	reserveParts = 2
)

// planner is the state of making one plan.
type planner struct {
	view    View
	servers []*room
	used    map[string]capacity.Size
	plan    Plan
	// reserved counts the servers kept for gangs, by pool.
	reserved map[string]int
	sizes    map[string]int
}

// room is what is left on a server in the course of a plan.
type room struct {
	Server
	free capacity.Size
	// kept is what is kept free for gangs that wait.
	kept   capacity.Size
	marked bool
}

// Make makes a plan: items in the order of Compare, each placed as far as there
// is room. What waits for a permit or, as a gang, for more room keeps the room
// that it needs from those after it, which would take it for ever otherwise.
func Make(v View) Plan {
	p := &planner{view: v, used: map[string]capacity.Size{}, reserved: map[string]int{}, sizes: map[string]int{}}
	for _, s := range v.Servers {
		p.servers = append(p.servers, &room{Server: s, free: s.Free()})
		p.sizes[s.Pool]++
	}
	slices.SortFunc(p.servers, func(a, b *room) int { return cmp.Compare(a.ID, b.ID) })
	items := slices.Clone(v.Items)
	slices.SortStableFunc(items, Compare)
	for _, it := range items {
		if it.Spec.GetGang() {
			p.gang(it)
		} else {
			p.singles(it)
		}
	}
	return p.plan
}

// Compare orders items: what is worth nothing more last, then what was sent
// beyond its customer's share, then by priority, then by the least slack.
func Compare(a, b Item) int {
	return cmp.Or(
		compareBool(a.Hopeless, b.Hopeless),
		compareBool(a.Surplus, b.Surplus),
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

// permission returns what is known of an item on a server.
func (p *planner) permission(it Item, server string) Permission {
	if !it.Permits {
		return Granted
	}
	return p.view.Permission(it.StepID, server)
}

// suits tells whether a server may hold a task of the item at all.
func suits(it Item, r *room) bool {
	if r.Pool != it.Pool {
		return false
	}
	label := it.Spec.GetLabel()
	return label == "" || slices.Contains(r.Labels, label)
}

// option is a server on which a task could start.
type option struct {
	*room
	permission Permission
	// count is how many tasks of the step it may still take.
	count int64
	near  bool
}

// options returns the servers that may hold a task of the item now, the best
// first: those on which none of it failed, near the data, then fast, then those
// that are left fullest, so that large holes stay for large tasks. unasked are
// the servers that the adviser was not asked about yet.
func (p *planner) options(it Item) (out []option, unasked []*room) {
	size := flow.SizeOf(it.Spec)
	here := map[string]int64{}
	for _, t := range it.Tasks {
		if t.Phase == flows.Placed {
			here[t.Server]++
		}
	}
	for _, r := range p.servers {
		if !suits(it, r) {
			continue
		}
		n := fits(size, r.free.Sub(r.kept))
		if n == 0 && (it.Asked || !it.Permits) {
			continue // the usual case where much waits, and the quickest to tell
		}
		perm := p.permission(it, r.ID)
		if perm == Denied {
			continue
		}
		if most := it.Spec.GetApart(); most > 0 {
			n = min(n, int64(most)-here[r.ID])
		}
		if perm == Unasked {
			unasked = append(unasked, r)
			continue
		}
		if n > 0 {
			out = append(out, option{room: r, permission: perm, count: n, near: isNear(it, r)})
		}
	}
	slices.SortStableFunc(out, func(a, b option) int {
		return cmp.Or(compareBool(it.Shunned[a.ID], it.Shunned[b.ID]), compareBool(!a.near, !b.near), cmp.Compare(speedClass(b.Speed), speedClass(a.Speed)), cmp.Compare(a.free.CPU, b.free.CPU))
	})
	return out, unasked
}

// speedClass groups servers whose speed differs by less than can be told apart
// from a few runs, so that packing decides among them.
func speedClass(speed float64) int {
	const grain = 4 // quarters of the usual speed
	return int(speed*grain + 0.5)
}

func isNear(it Item, r *room) bool {
	rack := it.Spec.GetRack()
	return rack == "" || slices.Contains(r.Labels, rack)
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
	left := p.view.Room(it.Flow.Customer).Sub(p.used[it.Flow.Customer])
	return fits(size, left)
}

func (p *planner) take(it Item, r *room, n int64) {
	size := flow.SizeOf(it.Spec).Times(n)
	r.free = r.free.Sub(size)
	p.used[it.Flow.Customer] = p.used[it.Flow.Customer].Add(size)
}

// singles places the tasks of a step one by one.
func (p *planner) singles(it Item) {
	left := min(int64(it.Queued), p.allowed(it))
	if left <= 0 {
		return
	}
	options, unasked := p.options(it)
	var places []Place
	var stale []string
	next := queuedTasks(it.Step)
	for _, o := range options {
		n := min(o.count, left)
		if n == 0 {
			break
		}
		p.take(it, o.room, n)
		left -= n
		if o.permission != Granted {
			stale = append(stale, o.ID)
			continue
		}
		for range n {
			places = append(places, Place{flow.TaskID{StepID: it.StepID, Index: next()}, o.ID})
		}
	}
	if len(places) > 0 {
		p.plan.Placements = append(p.plan.Placements, Placement{it.Step, places})
	}
	switch {
	case len(stale) > 0:
		p.want(it, stale, options)
	case left > 0:
		p.ask(it, unasked)
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

// want asks for fresh permits of servers that are known to be allowed.
func (p *planner) want(it Item, servers []string, options []option) {
	extra := spare
	for _, o := range options {
		if extra == 0 || len(servers) >= MostAsked {
			break
		}
		if !slices.Contains(servers, o.ID) {
			servers = append(servers, o.ID)
			extra--
		}
	}
	p.plan.Wants = append(p.plan.Wants, Want{it, servers[:min(len(servers), MostAsked)]})
}

// ask asks about servers that nobody asked about yet, those with most room first.
func (p *planner) ask(it Item, unasked []*room) {
	if len(unasked) == 0 {
		return
	}
	slices.SortStableFunc(unasked, func(a, b *room) int { return cmp.Compare(b.free.CPU, a.free.CPU) })
	w := Want{Item: it}
	for _, r := range unasked[:min(len(unasked), MostAsked)] {
		w.Servers = append(w.Servers, r.ID)
	}
	p.plan.Wants = append(p.plan.Wants, w)
}
