package model

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
	"gypsumreel/internal/policy/crew"
	"gypsumreel/internal/policy/steps"
)

// advice is what is known of the adviser's mind about one step.
type advice struct {
	may    map[string]bool
	until  map[string]time.Duration
	asking int
}

// plan decides once.
func (m *Model) plan() {
	v := steps.View{Room: m.room, Known: m.known, Share: func(steps.Item) float64 { return m.setup.Share }}
	if m.policy.Without&KeptRoom == 0 {
		v.Frees = m.frees
	}
	if m.policy.Without&Headroom == 0 {
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
	v.Items = steps.Pick(v, m.plans)
	p := steps.Make(v)
	for _, one := range p.Placements {
		m.place(one)
	}
	m.wants = p.Wants
	m.ask()
}

// item describes a ready step, as the policy of the play has it.
func (m *Model) item(s *flows.Step) steps.Item {
	q, _ := m.ledger.QueueOf(s.Flow)
	t, ok := m.times[s.StepID]
	if !ok {
		t = steps.TimesOf(s, q)
		m.times[s.StepID] = t
	}
	takes := time.Duration(float64(s.Spec.GetRuntime()) * max(m.usual, 1) * float64(time.Millisecond))
	it := steps.Item{
		Step: s, Pool: pool, Priority: q.GetPriority(), Urgent: q.GetPriority() == 0, Takes: takes,
		Usual: m.width(q.GetAdvice(), takes), Permits: true, Asked: m.advice[s.StepID] != nil,
	}
	age := m.now - s.Flow.AcceptedAt
	it = it.Judged(t, age)
	if m.policy.Without&InTime != 0 {
		it.Late, it.Hopeless = false, false
	}
	if m.policy.Without&Slack != 0 || m.policy.Strict {
		it.Slack = -age
	}
	if m.policy.Fifo {
		it.Priority, it.Slack = 0, -age
	}
	return it
}

func (m *Model) width(a *v1.Advice, takes time.Duration) int {
	if m.policy.Without&Width != 0 {
		return steps.LeastAsked
	}
	return steps.Width(a, takes)
}

func (m *Model) room(string) capacity.Size {
	return capacity.Size{CPU: 1 << 50, Memory: 1 << 50, Accel: 1 << 50}
}

// headroom leaves a quarter second's worth of urgent starts free.
func (m *Model) headroom(string) steps.Headroom {
	k := m.setup.Kinds[0]
	return steps.Headroom{Size: capacity.Size{CPU: int64(k.CPU), Memory: 1}, Tasks: int64(k.Rate * k.Tasks / 4)}
}

func (m *Model) frees(id string) []steps.Release {
	var out []steps.Release
	for _, r := range m.servers[id].runs {
		takes := time.Duration(float64(r.step.Spec.GetRuntime()) * m.usual * float64(time.Millisecond))
		out = append(out, steps.Release{In: max(r.began+takes-m.now, 0), Size: flow.SizeOf(r.step.Spec)})
	}
	slices.SortFunc(out, func(a, b steps.Release) int {
		return cmp.Or(cmp.Compare(a.In, b.In), cmp.Compare(a.Size.CPU, b.Size.CPU))
	})
	return out
}

func (m *Model) place(p steps.Placement) {
	start := &record.FlowStart{}
	for _, one := range p.Places {
		id := flow.RunID{TaskID: one.TaskID, Number: p.Item.Tasks[one.Index].LatestRun + 1}
		start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: one.Server})
		m.Decisions = m.Decisions*31 + xxhash.Sum64String(id.String()+one.Server+m.now.String())
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
func (m *Model) known(id flow.StepID) iter.Seq2[string, steps.Permission] {
	a := m.advice[id]
	if a == nil {
		a = &advice{}
	}
	return steps.Permissions(a.may, func(server string) bool { return m.now < a.until[server] })
}

// ask asks what the plan wants to know, as far as helpers are free.
func (m *Model) ask() {
	var left []steps.Want
	for i, w := range m.wants {
		if !m.askAbout(w) {
			left = append(left, w)
		}
		if resting, _ := m.crew.Resting(m.now); resting == 0 {
			left = append(left, m.wants[i+1:]...)
			break
		}
	}
	m.wants = left
}

func (m *Model) askAbout(w steps.Want) bool {
	a := m.advice[w.Item.StepID]
	if a == nil {
		a = &advice{may: map[string]bool{}, until: map[string]time.Duration{}}
		m.advice[w.Item.StepID] = a
	}
	q, _ := m.ledger.QueueOf(w.Item.Flow)
	if a.asking > 0 || w.Item.QueuedTasks == 0 || w.Item.Flow.Final() {
		return true
	}
	shortest := steps.Cost(m.ledger.Config().GetQueues()[0].GetAdvice(), steps.LeastAsked)
	whole := crew.Long(steps.Cost(q.GetAdvice(), len(w.Servers)), shortest)
	for _, servers := range m.crew.Split(w.Servers, steps.MostAsked, whole && m.policy.Without&SideBySide == 0, m.now) {
		takes := steps.Cost(q.GetAdvice(), len(servers))
		h := m.crew.Take(crew.Long(takes, shortest), m.now)
		if h == nil {
			return a.asking > 0
		}
		m.question(a, h, w.Item.StepID, servers, takes)
	}
	return true
}

func (m *Model) question(a *advice, h *crew.Helper, id flow.StepID, servers []string, takes time.Duration) {
	a.asking++
	m.questions++
	m.asking += takes.Seconds()
	m.after(takes+2*callTime, func() {
		m.crew.Free(h, true, m.now)
		a.asking--
		m.dirty = true
		for _, s := range servers {
			// Which servers may run a step never changes.
			chance := float64(xxhash.Sum64String(id.String()+s)) / float64(math.MaxUint64)
			a.may[s] = chance < m.setup.Share
			a.until[s] = m.now + permitTime
		}
		if m.policy.Without&AskOn == 0 && m.leads {
			m.ask()
		}
	})
}

func sizeMessage(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel}
}

func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }
