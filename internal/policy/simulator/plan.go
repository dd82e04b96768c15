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
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/helpers"
	"gypsumreel/internal/policy/steps"
)

// advice is what is known of the adviser's mind about one step.
type advice struct {
	may    map[string]bool
	until  map[string]time.Duration
	asking int
}

// plan decides once.
func (m *Simulation) plan() {
	v := steps.View{RemainingLimit: m.room, Permissions: m.known, AllowedShare: func(steps.Item) float64 { return m.setup.AllowedShare }}
	if m.policy.Disabled&GangReservation == 0 {
		v.Releases = m.frees
	}
	if m.policy.Disabled&Headroom == 0 {
		v.Headroom = m.headroom
	}
	ready := m.ledger.ReadySteps()
	for _, id := range slices.SortedFunc(maps.Keys(ready), func(a, b flow.StepID) int { return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Step, b.Step)) }) {
		v.Items = append(v.Items, m.item(ready[id]))
	}
	for _, id := range m.order {
		s := m.servers[id]
		if b, ok := m.ledger.Server(id); ok && !b.ShuttingDown && !b.Ended && !s.noticed {
			v.Servers = append(v.Servers, steps.Server{Server: b, Speed: s.spec.speed})
		}
	}
	m.plans++
	v.Items = steps.SelectItems(v, m.plans)
	p := steps.Make(v)
	for _, one := range p.Placements {
		m.place(one)
	}
	m.wants = p.Questions
	m.ask()
}

// item describes a ready step, as the policy of the play has it.
func (m *Simulation) item(s *flows.Step) steps.Item {
	q, _ := m.ledger.QueueOf(s.Flow)
	t, ok := m.times[s.StepID]
	if !ok {
		t = steps.TimingOf(s, q)
		m.times[s.StepID] = t
	}
	takes := time.Duration(float64(s.Spec.GetRuntime()) * max(m.usual, 1) * float64(time.Millisecond))
	it := steps.Item{
		Step: s, Pool: pool, Priority: q.GetPriority(), Urgent: q.GetPriority() == 0, ExpectedRuntime: takes,
		QuestionSize: m.width(q.GetAdvice(), takes), NeedsPermit: true, AdviserAsked: m.advice[s.StepID] != nil,
	}
	age := m.now - s.Flow.AcceptedAt
	it = it.WithAge(t, age)
	if m.policy.Disabled&LateLast != 0 {
		it.Late, it.Worthless = false, false
	}
	if m.policy.Disabled&SlackOrder != 0 || m.policy.StrictPriority {
		it.Slack = -age
	}
	if m.policy.FIFO {
		it.Priority, it.Slack = 0, -age
	}
	return it
}

func (m *Simulation) width(a *v1.Advice, takes time.Duration) int {
	if m.policy.Disabled&QuestionSize != 0 {
		return steps.MinServersPerQuestion
	}
	return steps.QuestionSize(a, takes)
}

func (m *Simulation) room(string) capacity.Size {
	return capacity.Size{CPU: 1 << 50, Memory: 1 << 50, Accel: 1 << 50}
}

// headroom leaves a quarter second's worth of urgent starts free.
func (m *Simulation) headroom(string) steps.Headroom {
	k := m.setup.Kinds[0]
	return steps.Headroom{Size: capacity.Size{CPU: int64(k.CPU), Memory: 1}, Tasks: int64(k.Rate * k.MeanTasks / 4)}
}

func (m *Simulation) frees(id string) []steps.Release {
	var out []steps.Release
	for _, r := range m.servers[id].runs {
		takes := time.Duration(float64(r.step.Spec.GetRuntime()) * m.usual * float64(time.Millisecond))
		out = append(out, steps.Release{After: max(r.began+takes-m.now, 0), Size: flow.SizeOf(r.step.Spec)})
	}
	slices.SortFunc(out, func(a, b steps.Release) int {
		return cmp.Or(cmp.Compare(a.After, b.After), cmp.Compare(a.Size.CPU, b.Size.CPU))
	})
	return out
}

func (m *Simulation) place(p steps.Placement) {
	start := &record.FlowStart{}
	for _, one := range p.Assignments {
		id := flow.RunID{TaskID: one.TaskID, Number: p.Item.Tasks[one.Index].LatestRun + 1}
		start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: one.Server})
		m.DecisionHash = m.DecisionHash*31 + xxhash.Sum64String(id.String()+one.Server+m.now.String())
	}
	if !m.apply(&record.Flow{What: &record.Flow_Start{Start: start}}) {
		return
	}
	for _, one := range start.GetPlaces() {
		s, id := m.servers[one.GetServer()], flow.RunOf(one.GetRun())
		m.after(commitTime+callTime, func() { m.begin(s, id, p.Item.Step) })
	}
}

// known tells the planner what is known of a step on servers.
func (m *Simulation) known(id flow.StepID) iter.Seq2[string, steps.Permission] {
	a := m.advice[id]
	if a == nil {
		a = &advice{}
	}
	return steps.Permissions(a.may, func(server string) bool { return m.now < a.until[server] })
}

// ask asks what the plan wants to know, as far as helpers are free.
func (m *Simulation) ask() {
	var left []steps.Question
	for i, w := range m.wants {
		if !m.askAbout(w) {
			left = append(left, w)
		}
		if resting, _ := m.crew.IdleCount(m.now); resting == 0 {
			left = append(left, m.wants[i+1:]...)
			break
		}
	}
	m.wants = left
}

func (m *Simulation) askAbout(w steps.Question) bool {
	a := m.advice[w.Item.StepID]
	if a == nil {
		a = &advice{may: map[string]bool{}, until: map[string]time.Duration{}}
		m.advice[w.Item.StepID] = a
	}
	q, _ := m.ledger.QueueOf(w.Item.Flow)
	if a.asking > 0 || w.Item.QueuedTasks == 0 || w.Item.Flow.Final() {
		return true
	}
	shortest := steps.QuestionDuration(m.ledger.Config().GetQueues()[0].GetAdvice(), steps.MinServersPerQuestion)
	whole := helpers.IsLong(steps.QuestionDuration(q.GetAdvice(), len(w.Servers)), shortest)
	for _, servers := range m.crew.SplitServers(w.Servers, steps.MaxServersPerQuestion, whole && m.policy.Disabled&ParallelQuestions == 0, m.now) {
		takes := steps.QuestionDuration(q.GetAdvice(), len(servers))
		h := m.crew.Acquire(helpers.IsLong(takes, shortest), m.now)
		if h == nil {
			return a.asking > 0
		}
		m.question(a, h, w.Item.StepID, servers, takes)
	}
	return true
}

func (m *Simulation) question(a *advice, h *helpers.Helper, id flow.StepID, servers []string, takes time.Duration) {
	a.asking++
	m.questions++
	m.asking += takes.Seconds()
	m.after(takes+2*callTime, func() {
		m.crew.Release(h, true, m.now)
		a.asking--
		m.dirty = true
		for _, s := range servers {
			// Which servers may run a step never changes.
			chance := float64(xxhash.Sum64String(id.String()+s)) / float64(math.MaxUint64)
			a.may[s] = chance < m.setup.AllowedShare
			a.until[s] = m.now + permitTime
		}
		if m.policy.Disabled&ImmediateQuestions == 0 && m.leads {
			m.ask()
		}
	})
}

func sizeMessage(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel}
}

func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }
