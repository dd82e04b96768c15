// Package simulator runs flows in virtual time, so that a change of policy can be tested with
// hundreds of seeds before it is deployed. It simulates backend servers with different speeds,
// disconnections and leases, an adviser that takes one question at a time from each helper,
// callers that retry, and leader outages. The decisions are made by the production packages
// ledger/flows, policy/steps and policy/helpers. The simulator does not cover the CPU use of
// our own processes or network faults other than delays and silent servers.
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

// Durations used by the simulated cell.
const (
	// commitTime is the duration of a commit, callTime that of a call to a server.
	commitTime = 12 * time.Millisecond
	callTime   = 5 * time.Millisecond
	// detectionTime is the time until the leader detects a silent server.
	detectionTime = 300 * time.Millisecond
	// planInterval is the time between two plans.
	planInterval = 20 * time.Millisecond
	// permitValidity is the time for which a permit is valid.
	permitValidity = 1200 * time.Millisecond
	// settleTime is the time that the simulation continues after the last request arrives.
	settleTime = 20 * time.Second
)

// Mechanism is a part of the policy that can be disabled in a simulation.
type Mechanism uint

// The mechanisms, as bits of a set.
const (
	Headroom Mechanism = 1 << iota
	GangReservation
	LateLast
	SlackOrder
	QuestionSize
	ParallelQuestions
	ImmediateQuestions
	// While customers compete: flows that have begun go first, customers that use least for their
	// weight go first, and a flow counts as overdue before it certainly is late.
	BegunFirst
	CustomerUse
	EarlyOverdue
)

// Mechanisms maps the names of the command line to mechanisms.
var Mechanisms = map[string]Mechanism{
	"headroom": Headroom, "kept-room": GangReservation, "in-time-first": LateLast, "slack": SlackOrder, "width": QuestionSize, "side-by-side": ParallelQuestions, "ask-on": ImmediateQuestions,
	"begun-first": BegunFirst, "customer-use": CustomerUse, "early-overdue": EarlyOverdue,
}

// Policy selects how a simulation makes its decisions.
type Policy struct {
	// Disabled is the set of disabled mechanisms.
	Disabled Mechanism
	// FIFO orders flows by arrival. StrictPriority orders them by priority, then by arrival.
	FIFO, StrictPriority bool
	// Contended selects the order for customers who compete. Floor is the floor of each queue then,
	// as a part of the capacity.
	Contended bool
	Floor     float64
	// Lease is how long a server keeps running tasks without contact to the leader. Zero
	// selects the value of the scenario.
	Lease time.Duration
}

// event is an action that is due at a virtual time. Events with the same time run in the order
// of their sequence numbers.
type event struct {
	time     time.Duration
	sequence int
	action   func()
}

// events is a heap of events ordered by time.
type events []event

// Len is part of heap.Interface.
func (q events) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q events) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].sequence < q[j].sequence
}

// Swap is part of heap.Interface.
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

// Simulation is the state of one simulation.
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
	// hasLeader is true when there is a leader. waitingForLeader holds the actions that wait
	// for the next one.
	hasLeader        bool
	waitingForLeader []func()

	advice    map[flow.StepID]*stepAdvice
	questions []steps.Question
	timings   map[flow.StepID]steps.Timing
	// runtimeRatio is the average ratio of observed to declared run time.
	runtimeRatio float64
	changed      bool
	plannedAt    time.Duration
	planCount    int

	requests map[string]*request
	// DecisionHash is a hash of all placements. Equal seeds give equal hashes.
	DecisionHash      uint64
	questionCount     int
	wastedCoreSeconds float64
	// utilization is the share of CPU in use while steps are waiting. helperSeconds is the
	// total time that helpers spent on questions.
	utilization   Share
	helperSeconds float64
}

// New returns a simulation of a scenario.
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

// Run runs the simulation to its end and returns the results for the callers.
func (m *Simulation) Run() Result {
	m.apply(&record.Flow{What: &record.Flow_Document{Document: m.scenario.document()}})
	m.addServers()
	m.scheduleRequests()
	m.scheduleFaults()
	m.tick()
	end := m.scenario.Duration + settleTime
	for len(m.queue) > 0 && m.queue[0].time <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.time
		e.action()
	}
	return m.result()
}

// schedule runs fn at virtual time t.
func (m *Simulation) schedule(t time.Duration, fn func()) {
	m.lastSequence++
	heap.Push(&m.queue, event{max(t, m.now), m.lastSequence, fn})
}

// scheduleAfter runs fn after a virtual delay.
func (m *Simulation) scheduleAfter(d time.Duration, fn func()) { m.schedule(m.now+d, fn) }

// whenLeader runs fn as soon as there is a leader.
func (m *Simulation) whenLeader(fn func()) {
	if m.hasLeader {
		fn()
		return
	}
	m.waitingForLeader = append(m.waitingForLeader, fn)
}

// apply applies a record to the ledger and reports whether the ledger accepted it.
func (m *Simulation) apply(f *record.Flow) bool {
	m.changed = true
	ok := m.ledger.Apply(m.now, f) == nil
	m.stopUnwantedRuns()
	return ok
}

// stopUnwantedRuns stops the remaining runs of gangs that have lost a member and the runs of
// failed flows.
func (m *Simulation) stopUnwantedRuns() {
	unwanted := m.ledger.RunsToStop()
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

// tick makes a plan if something has changed, records the utilization and schedules the next
// tick.
func (m *Simulation) tick() {
	if m.hasLeader && m.changed {
		m.changed = false
		m.plan()
	}
	if len(m.ledger.ReadySteps()) > 0 && m.now < m.scenario.Duration {
		for _, b := range m.ledger.Servers() {
			if !b.Ended && !b.ShuttingDown {
				m.utilization.add(float64(b.Used.CPU), float64(b.Capacity.CPU))
			}
		}
	}
	if m.now < m.scenario.Duration+settleTime {
		m.scheduleAfter(planInterval, m.tick)
	}
}

// addServers adds the servers and helpers of the scenario.
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
