// Package model plays flows in virtual time: backend servers with speeds, silences
// and leases, an adviser that takes one question at a time from each process,
// callers who come back, and a leader that is gone for a while. It drives the
// product's own decisions (packages ledger/flows, policy/steps and policy/crew), so
// that a change of policy is seen over hundreds of seeds before a cell runs it. What it does not model, it cannot show: the processors of our own
// processes, and anything of the network but delays and silences.
package simulator

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/helpers"
	"gypsumreel/internal/policy/steps"
)

// Times of the cell.
const (
	// commitTime is how long a commit takes, callTime a call to a server.
	commitTime = 12 * time.Millisecond
	callTime   = 5 * time.Millisecond
	// noticeTime is how long a server is silent before that is noticed.
	noticeTime = 300 * time.Millisecond
	// planEvery is the pause between two plans.
	planEvery = 20 * time.Millisecond
	// permitTime is how long a permit holds.
	permitTime = 1200 * time.Millisecond
	// drainTime is how long flows are waited for after the last arrival.
	drainTime = 20 * time.Second
)

// Mechanism is a mechanism that can be left out of a play.
type Mechanism uint

// The mechanisms.
const (
	Headroom Mechanism = 1 << iota
	GangReservation
	LateLast
	SlackOrder
	QuestionSize
	ParallelQuestions
	ImmediateQuestions
)

// Mechanisms names the mechanisms.
var Mechanisms = map[string]Mechanism{
	"headroom": Headroom, "kept-room": GangReservation, "in-time-first": LateLast, "slack": SlackOrder, "width": QuestionSize, "side-by-side": ParallelQuestions, "ask-on": ImmediateQuestions,
}

// Policy is how a play decides.
type Policy struct {
	// Disabled are the mechanisms left out.
	Disabled Mechanism
	// FIFO takes everything in the order of arrival, Strict by priority alone.
	FIFO, StrictPriority bool
	// Lease is how long a server may run on unheard.
	Lease time.Duration
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Simulation is one play.
type Simulation struct {
	setup  Scenario
	policy Policy
	rng    *rand.Rand
	now    time.Duration
	queue  events
	seq    int

	ledger  *flows.Ledger
	crew    *helpers.Pool
	servers map[string]*server
	order   []string
	// leads tells that somebody leads; back holds what waits for that.
	leads bool
	back  []func()

	advice map[flow.StepID]*advice
	wants  []steps.Question
	times  map[flow.StepID]steps.Timing
	// usual is how long runs take beside what was declared.
	usual   float64
	dirty   bool
	planned time.Duration
	plans   int

	requests map[string]*request
	// DecisionHash is a hash over all placements: the same seed gives the same.
	DecisionHash uint64
	questions    int
	wasted       float64
	// busy is the part of the room in use while something waits, asking the
	// seconds that helpers spent on questions.
	busy   Share
	asking float64
}

// New sets a play up.
func New(s Scenario, p Policy) *Simulation {
	m := &Simulation{
		setup: s, policy: p, rng: rand.New(rand.NewPCG(s.Seed, 11)), ledger: flows.New(), crew: helpers.New(),
		servers: map[string]*server{}, leads: true, advice: map[flow.StepID]*advice{}, times: map[flow.StepID]steps.Timing{},
		usual: 1, requests: map[string]*request{},
	}
	if m.policy.Lease == 0 {
		m.policy.Lease = s.Lease
	}
	return m
}

// Run plays to the end and returns what callers got.
func (m *Simulation) Run() Result {
	m.apply(&record.Flow{What: &record.Flow_Document{Document: m.setup.document()}})
	m.furnish()
	m.arrivals()
	m.troubles()
	m.tick()
	end := m.setup.Duration + drainTime
	for len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.fn()
	}
	return m.result()
}

// at lets fn happen at a time.
func (m *Simulation) at(t time.Duration, fn func()) {
	m.seq++
	heap.Push(&m.queue, event{max(t, m.now), m.seq, fn})
}

func (m *Simulation) after(d time.Duration, fn func()) { m.at(m.now+d, fn) }

// led lets fn happen once somebody leads.
func (m *Simulation) led(fn func()) {
	if m.leads {
		fn()
		return
	}
	m.back = append(m.back, fn)
}

func (m *Simulation) apply(f *record.Flow) bool {
	m.dirty = true
	ok := m.ledger.Apply(m.now, f) == nil
	m.stopUnwanted()
	return ok
}

// stopUnwanted stops the members of gangs that lost one, and what ran for flows
// that have failed.
func (m *Simulation) stopUnwanted() {
	unwanted := m.ledger.RunsToStop()
	for _, id := range slices.SortedFunc(maps.Keys(unwanted), func(a, b flow.TaskID) int {
		return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	}) {
		h := unwanted[id]
		s := m.servers[h.Server]
		if r := s.runs[id]; r != nil {
			m.wasted += m.spent(r)
			delete(s.runs, id)
			m.tell(s, func() { m.end(s, r.RunID, inner.RunEnd_RUN_END_STOPPED) })
		}
	}
}

// tick plans as often as the leader does.
func (m *Simulation) tick() {
	if m.leads && m.dirty {
		m.dirty = false
		m.plan()
	}
	if len(m.ledger.ReadySteps()) > 0 && m.now < m.setup.Duration {
		for _, b := range m.ledger.Servers() {
			if !b.Ended && !b.ShuttingDown {
				m.busy.add(float64(b.Used.CPU), float64(b.Capacity.CPU))
			}
		}
	}
	if m.now < m.setup.Duration+drainTime {
		m.after(planEvery, m.tick)
	}
}

// furnish brings the servers and the helpers.
func (m *Simulation) furnish() {
	for _, s := range m.setup.Servers {
		m.servers[s.id] = &server{spec: s, runs: map[flow.TaskID]*run{}, heard: m.now}
		m.order = append(m.order, s.id)
		m.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{
			Id: s.id, Born: 1, Address: s.id, Pool: pool, Machine: s.id, Labels: []string{s.rack},
			Capacity: &v1.Size{Cpu: s.cores, Memory: 1 << 30},
		}}})
	}
	for i := range m.setup.HelperCount {
		m.crew.RecordGreeting(helperName(i), 1<<60)
	}
}
