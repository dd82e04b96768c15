package simulator

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/fairness"
	"gypsumreel/internal/policy/helpers"
	"gypsumreel/internal/policy/steps"
)

// stepAdvice holds the answers of the adviser for one step: the allowed servers and the time
// until which each permit is valid.
type stepAdvice struct {
	allowed          map[string]bool
	permitUntil      map[string]time.Duration
	pendingQuestions int
}

// plan makes one plan, starts its placements and sends its questions.
func (m *Simulation) plan() {
	v := steps.View{RemainingLimit: m.remainingLimit, Permissions: m.permissions, AllowedShare: func(steps.Item) float64 { return m.scenario.AllowedShare }}
	if m.policy.Disabled&GangReservation == 0 {
		v.Releases = m.releases
	}
	if m.policy.Disabled&Headroom == 0 {
		v.Headroom = m.headroom
	}
	use, queued := m.customerUse(), map[string]int64{}
	ready := m.ledger.ReadySteps()
	for _, id := range slices.SortedFunc(maps.Keys(ready), func(a, b flow.StepID) int { return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Step, b.Step)) }) {
		item := m.item(ready[id])
		item.CustomerUse = use[item.Flow.Customer]
		queued[pool] += int64(item.QueuedTasks) * flow.TaskSize(item.Spec).CPU
		v.Items = append(v.Items, item)
	}
	for _, id := range m.serverIDs {
		s := m.servers[id]
		if b, ok := m.ledger.Server(id); ok && !b.ShuttingDown && !b.Ended && !s.silenceDetected {
			v.Servers = append(v.Servers, steps.Server{Server: b, Speed: s.spec.speed})
		}
	}
	if v.Contended = m.policy.Contended && steps.RoomShort(queued, v.Servers); v.Contended {
		steps.MarkBelowFloor(v.Items, m.shortfalls())
	}
	m.planCount++
	v.Items = steps.SelectItems(v, m.planCount)
	p := steps.Make(v)
	for _, placement := range p.Placements {
		m.startTasks(placement)
	}
	m.questions = p.Questions
	m.askPending()
}

// item returns the planner input for a ready step under the simulated policy.
func (m *Simulation) item(s *flows.Step) steps.Item {
	queue, _ := m.ledger.QueueOf(s.Flow)
	timing, ok := m.timings[s.StepID]
	if !ok {
		timing = steps.TimingOf(s, queue)
		m.timings[s.StepID] = timing
	}
	runtime := millis.Scale(float64(s.Spec.GetRuntime()) * max(m.runtimeRatio, 1))
	item := steps.Item{
		Step: s, Pool: pool, Priority: queue.GetPriority(), Urgent: queue.GetPriority() == 0, ExpectedRuntime: runtime,
		QuestionSize: m.questionSize(queue.GetAdvice(), runtime), NeedsPermit: true, AdviserAsked: m.advice[s.StepID] != nil,
	}
	age := m.now - s.Flow.AcceptedAt
	item.Begun = s.Flow.State == v1.FlowState_FLOW_STATE_RUNNING && m.policy.Disabled&BegunFirst == 0
	item = item.WithAge(timing, age)
	if m.policy.Disabled&EarlyOverdue != 0 {
		item.Overdue = item.Late
	}
	if m.policy.Disabled&LateLast != 0 {
		item.Late, item.Worthless = false, false
	}
	if m.policy.Disabled&SlackOrder != 0 || m.policy.StrictPriority {
		item.Slack = -age
	}
	if m.policy.FIFO {
		item.Priority, item.Slack = 0, -age
	}
	return item
}

// customerUse returns the CPU that each customer uses, divided by its weight, relative to the
// average of all customers.
func (m *Simulation) customerUse() map[string]float64 {
	if m.policy.Disabled&CustomerUse != 0 {
		return nil
	}
	accounts := map[string]fairness.Account{}
	for i, weight := range m.scenario.CustomerWeights {
		accounts[customerName(i)] = fairness.Account{Used: m.ledger.CustomerUsage(customerName(i)).CPU, Rate: weight}
	}
	return fairness.Use(accounts)
}

// shortfalls returns the CPU that each queue lacks to its floor.
func (m *Simulation) shortfalls() map[string]int64 {
	if m.policy.Floor <= 0 {
		return nil
	}
	total, used := int64(0), map[string]int64{}
	for _, b := range m.ledger.Servers() {
		if !b.Ended && !b.ShuttingDown {
			total += b.Capacity.CPU
		}
		for _, held := range b.HeldRuns {
			if f, ok := m.ledger.Flow(held.Flow); ok {
				used[f.QueueName] += held.Size.CPU
			}
		}
	}
	out := map[string]int64{}
	for _, k := range m.scenario.Kinds {
		out[k.Name] = fairness.Shortfall(used[k.Name], total, m.policy.Floor)
	}
	return out
}

// questionSize returns the number of servers in a question about a step.
func (m *Simulation) questionSize(a *v1.Advice, runtime time.Duration) int {
	if m.policy.Disabled&QuestionSize != 0 {
		return steps.MinServersPerQuestion
	}
	return steps.QuestionSize(a, runtime)
}

// remainingLimit returns a limit that is never reached.
func (m *Simulation) remainingLimit(string) capacity.Size {
	return capacity.Size{CPU: 1 << 50, Memory: 1 << 50, Accel: 1 << 50}
}

// headroom returns room for the urgent tasks that arrive in a quarter of a second.
func (m *Simulation) headroom(string) steps.Headroom {
	k := m.scenario.Kinds[0]
	return steps.Headroom{Size: capacity.Size{CPU: int64(k.CPU), Memory: 1}, Tasks: int64(k.Rate * k.MeanTasks / 4)}
}

// releases returns the expected ends of the runs on a server, earliest first.
func (m *Simulation) releases(id string) []steps.Release {
	var out []steps.Release
	for _, r := range m.servers[id].runs {
		runtime := millis.Scale(float64(r.step.Spec.GetRuntime()) * m.runtimeRatio)
		out = append(out, steps.Release{After: max(r.startedAt+runtime-m.now, 0), Size: flow.TaskSize(r.step.Spec)})
	}
	slices.SortFunc(out, func(a, b steps.Release) int {
		return cmp.Or(cmp.Compare(a.After, b.After), cmp.Compare(a.Size.CPU, b.Size.CPU))
	})
	return out
}

// startTasks applies a placement to the ledger and starts its runs.
func (m *Simulation) startTasks(p steps.Placement) {
	start := &record.FlowStart{}
	for _, assignment := range p.Assignments {
		id := flow.RunID{TaskID: assignment.TaskID, Number: p.Item.Tasks[assignment.Index].LatestRun + 1}
		start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: assignment.Server})
		m.DecisionHash = m.DecisionHash*31 + xxhash.Sum64String(id.String()+assignment.Server+m.now.String())
	}
	if !m.apply(&record.Flow{What: &record.Flow_Start{Start: start}}) {
		return
	}
	for _, assignment := range start.GetPlaces() {
		s, id := m.servers[assignment.GetServer()], flow.RunIDFromMessage(assignment.GetRun())
		m.scheduleAfter(commitTime+callTime, func() { m.startRun(s, id, p.Item.Step) })
	}
}

// permissions iterates over the servers with a known permission for a step.
func (m *Simulation) permissions(id flow.StepID) iter.Seq2[string, steps.Permission] {
	a := m.advice[id]
	if a == nil {
		a = &stepAdvice{}
	}
	return steps.Permissions(a.allowed, func(server string) bool { return m.now < a.permitUntil[server] })
}

// askPending sends the pending questions while helpers are idle.
func (m *Simulation) askPending() {
	var unsent []steps.Question
	for i, question := range m.questions {
		if !m.askQuestion(question) {
			unsent = append(unsent, question)
		}
		if idle, _ := m.helpers.IdleCount(m.now); idle == 0 {
			unsent = append(unsent, m.questions[i+1:]...)
			break
		}
	}
	m.questions = unsent
}

// askQuestion sends a question in one or more parts. It returns false if the question has to be
// sent later because no helper is idle.
func (m *Simulation) askQuestion(question steps.Question) bool {
	a := m.advice[question.Item.StepID]
	if a == nil {
		a = &stepAdvice{allowed: map[string]bool{}, permitUntil: map[string]time.Duration{}}
		m.advice[question.Item.StepID] = a
	}
	queue, _ := m.ledger.QueueOf(question.Item.Flow)
	if a.pendingQuestions > 0 || question.Item.QueuedTasks == 0 || question.Item.Flow.Final() {
		return true
	}
	shortest := steps.QuestionDuration(m.ledger.Config().GetQueues()[0].GetAdvice(), steps.MinServersPerQuestion)
	long := helpers.IsLong(steps.QuestionDuration(queue.GetAdvice(), len(question.Servers)), shortest)
	for _, servers := range m.helpers.SplitServers(question.Servers, steps.MaxServersPerQuestion, long && m.policy.Disabled&ParallelQuestions == 0, m.now) {
		duration := steps.QuestionDuration(queue.GetAdvice(), len(servers))
		h := m.helpers.Acquire(helpers.IsLong(duration, shortest), m.now)
		if h == nil {
			return a.pendingQuestions > 0
		}
		m.sendQuestion(a, h, question.Item.StepID, servers, duration)
	}
	return true
}

// sendQuestion sends one question through a helper and schedules its answer.
func (m *Simulation) sendQuestion(a *stepAdvice, h *helpers.Helper, id flow.StepID, servers []string, duration time.Duration) {
	a.pendingQuestions++
	m.questionCount++
	m.helperSeconds += duration.Seconds()
	m.scheduleAfter(duration+2*callTime, func() {
		m.helpers.Release(h, true, m.now)
		a.pendingQuestions--
		m.changed = true
		for _, s := range servers {
			// The draw depends only on the step and the server, so the answer never changes.
			draw := float64(xxhash.Sum64String(id.String()+s)) / float64(math.MaxUint64)
			a.allowed[s] = draw < m.scenario.AllowedShare
			a.permitUntil[s] = m.now + permitValidity
		}
		if m.policy.Disabled&ImmediateQuestions == 0 && m.hasLeader {
			m.askPending()
		}
	})
}

func sizeMessage(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel}
}

func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }
