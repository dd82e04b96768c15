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
	// detectionTime is how long a server is silent before that is noticed.
	detectionTime = 300 * time.Millisecond
	// planInterval is the pause between two plans.
	planInterval = 20 * time.Millisecond
	// permitValidity is how long a permit holds.
	permitValidity = 1200 * time.Millisecond
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
	time     time.Duration
	sequence int
	action   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].sequence < q[j].sequence
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
	scenario     Scenario
	policy       Policy
	rng          *rand.Rand
	now          time.Duration
	queue        events
	lastSequence int

	ledger    *flows.Ledger
	helpers   *helpers.Pool
	servers   map[string]*server
	serverIDs []string
	// hasLeader tells that somebody leads; back holds what waits for that.
	hasLeader        bool
	waitingForLeader []func()

	advice    map[flow.StepID]*stepAdvice
	questions []steps.Question
	timings   map[flow.StepID]steps.Timing
	// runtimeRatio is how long runs take beside what was declared.
	runtimeRatio float64
	changed      bool
	plannedAt    time.Duration
	planCount    int

	requests map[string]*request
	// DecisionHash is a hash over all placements: the same seed gives the same.
	DecisionHash      uint64
	questionCount     int
	wastedCoreSeconds float64
	// utilization is the part of the room in use while something waits, asking the
	// seconds that helpers spent on questions.
	utilization   Share
	helperSeconds float64
}

// New sets a play up.
func New(s Scenario, p Policy) *Simulation {
	m := &Simulation{
		scenario: s, policy: p, rng: rand.New(rand.NewPCG(s.Seed, 11)), ledger: flows.New(), helpers: helpers.New(),
		servers: map[string]*server{}, hasLeader: true, advice: map[flow.StepID]*stepAdvice{}, timings: map[flow.StepID]steps.Timing{},
		runtimeRatio: 1, requests: map[string]*request{},
	}
	if m.policy.Lease == 0 {
		m.policy.Lease = s.Lease
	}
	return m
}

// Run plays to the end and returns what callers got.
func (m *Simulation) Run() Result {
	m.apply(&record.Flow{What: &record.Flow_Document{Document: m.scenario.document()}})
	m.addServers()
	m.scheduleRequests()
	m.scheduleFaults()
	m.tick()
	end := m.scenario.Duration + drainTime
	for len(m.queue) > 0 && m.queue[0].time <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.time
		e.action()
	}
	return m.result()
}

// schedule lets fn happen at a time.
func (m *Simulation) schedule(t time.Duration, fn func()) {
	m.lastSequence++
	heap.Push(&m.queue, event{max(t, m.now), m.lastSequence, fn})
}

func (m *Simulation) scheduleAfter(d time.Duration, fn func()) { m.schedule(m.now+d, fn) }

// whenLeader lets fn happen once somebody leads.
func (m *Simulation) whenLeader(fn func()) {
	if m.hasLeader {
		fn()
		return
	}
	m.waitingForLeader = append(m.waitingForLeader, fn)
}

func (m *Simulation) apply(f *record.Flow) bool {
	m.changed = true
	ok := m.ledger.Apply(m.now, f) == nil
	m.stopUnwantedRuns()
	return ok
}

// stopUnwantedRuns stops the members of gangs that lost one, and what ran for flows
// that have failed.
func (m *Simulation) stopUnwantedRuns() {
	unwanted := m.ledger.Unwanted()
	for _, id := range slices.SortedFunc(maps.Keys(unwanted), func(a, b flow.TaskID) int {
		return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	}) {
		h := unwanted[id]
		s := m.servers[h.Server]
		if r := s.runs[id]; r != nil {
			m.wastedCoreSeconds += m.coreSeconds(r)
			delete(s.runs, id)
			m.report(s, func() { m.recordEnd(s, r.RunID, inner.RunEnd_RUN_END_STOPPED) })
		}
	}
}

// tick plans as often as the leader does.
func (m *Simulation) tick() {
	if m.hasLeader && m.changed {
		m.changed = false
		m.plan()
	}
	if len(m.ledger.Ready()) > 0 && m.now < m.scenario.Duration {
		for _, b := range m.ledger.Servers() {
			if !b.Over && !b.Leaving {
				m.utilization.add(float64(b.Used.CPU), float64(b.Capacity.CPU))
			}
		}
	}
	if m.now < m.scenario.Duration+drainTime {
		m.scheduleAfter(planInterval, m.tick)
	}
}

// addServers brings the servers and the helpers.
func (m *Simulation) addServers() {
	for _, s := range m.scenario.Servers {
		m.servers[s.id] = &server{spec: s, runs: map[flow.TaskID]*run{}, lastHeard: m.now}
		m.serverIDs = append(m.serverIDs, s.id)
		m.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{
			Id: s.id, Born: 1, Address: s.id, Pool: pool, Machine: s.id, Labels: []string{s.rack},
			Capacity: &v1.Size{Cpu: s.milliCores, Memory: 1 << 30},
		}}})
	}
	for i := range m.scenario.HelperCount {
		m.helpers.RecordGreeting(helperName(i), 1<<60)
	}
}
