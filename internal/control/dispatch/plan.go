package dispatch

import (
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/steps"
)

// unbounded stands for a limit that binds nothing.
const unbounded = 1 << 50

// lateFactor is how many objectives a flow may take before its end is worth
// nothing more to its caller.
const lateFactor = 3

// plan decides what starts and carries it out.
func (d *Dispatcher) plan(now time.Duration) {
	ledger := d.Host.Flows()
	if len(ledger.Ready()) == 0 {
		return
	}
	begin := d.Now()
	v := steps.View{Room: d.room, Permission: d.permission}
	for id, s := range d.lead.sessions {
		b, ok := ledger.Server(id)
		if ok && !b.Leaving && !b.Over && b.Born == s.born && s.usable(now) && !d.lead.emptied[id] {
			v.Servers = append(v.Servers, steps.Server{Server: b, Speed: d.speed(b)})
		}
	}
	clock := d.Host.Clock()
	for _, s := range ledger.Ready() {
		if it, ok := d.item(s, clock); ok {
			v.Items = append(v.Items, it)
		}
	}
	d.lead.plans++
	v.Items = steps.Pick(v, d.lead.plans)
	p := steps.Make(v)
	for _, one := range p.Placements {
		d.place(one, now)
	}
	d.questions(p.Wants, now)
	took := d.Now() - begin
	d.lead.pacer.Made(now, took)
	d.meter.plan.Update(took.Seconds())
}

// room returns what a customer may still start.
func (d *Dispatcher) room(customer string) capacity.Size {
	limit, used := d.Host.Flows().Limit(customer), d.Host.Flows().Used(customer)
	left := func(limit, used int64) int64 {
		if limit == capacity.Unlimited {
			return unbounded
		}
		return limit - used
	}
	return capacity.Size{CPU: left(limit.CPU, used.CPU), Memory: left(limit.Memory, used.Memory), Accel: left(limit.Accel, used.Accel)}
}

// item describes a ready step to the planner.
func (d *Dispatcher) item(s *flows.Step, clock time.Duration) (steps.Item, bool) {
	q, ok := d.Host.Flows().QueueOf(s.Flow)
	if !ok {
		return steps.Item{}, false
	}
	t := d.times(s, q)
	begun := s.Flow.Accepted
	if s.Flow.Spec.GetTimes() > 0 {
		begun = time.Duration(s.Flow.Spec.GetFirst()+int64(s.Turn)*int64(s.Flow.Spec.GetEvery())) * time.Millisecond
	}
	age := clock - begun
	return steps.Item{
		Step: s, Pool: q.GetPool(), Priority: q.GetPriority(), Slack: t.objective - age - t.left,
		Hopeless: !s.Spec.GetLasting() && age+t.left > lateFactor*t.objective, Surplus: d.lead.surplus[s.Flow.ID], Permits: q.GetAdvice() != nil, Shunned: d.lead.shunned[s.StepID], Asked: d.lead.advice[s.StepID] != nil,
	}, true
}

// times is what a step's slack follows from.
type times struct {
	// objective is how long its flow may take, left what is left of the flow's
	// longest chain from this step on.
	objective time.Duration
	left      time.Duration
}

// times returns a step's times; they stay the same once the step is ready.
func (d *Dispatcher) times(s *flows.Step, q *v1.Queue) times {
	if t, ok := d.lead.times[s.StepID]; ok {
		return t
	}
	whole, left := chain(s.Flow.Spec, nil), chain(s.Flow.Spec, s.Flow.Turns[s.Turn])
	t := times{
		objective: time.Duration((q.GetFactor()*float64(whole) + float64(q.GetTarget())) * float64(time.Millisecond)),
		left:      time.Duration(left) * time.Millisecond,
	}
	d.lead.times[s.StepID] = t
	return t
}

// chain returns the declared run time in milliseconds of a flow's longest chain
// of steps; of what is left of it when a turn is given.
func chain(spec *v1.FlowSpec, turn *flows.Turn) uint64 {
	ends := make([]uint64, len(spec.GetSteps()))
	longest := uint64(0)
	for i, s := range spec.GetSteps() {
		if turn == nil || turn.Steps[i].Done < len(turn.Steps[i].Tasks) {
			ends[i] = s.GetRuntime()
		}
		begin := uint64(0)
		for _, before := range s.GetAfter() {
			begin = max(begin, ends[before])
		}
		ends[i] += begin
		longest = max(longest, ends[i])
	}
	return longest
}

// place commits a placement and sends the starts once it is committed.
func (d *Dispatcher) place(p steps.Placement, now time.Duration) {
	start := &record.FlowStart{}
	var number uint32
	for _, t := range p.Step.Tasks {
		number = max(number, t.Number)
	}
	for _, one := range p.Places {
		n := p.Step.Tasks[one.Index].Number
		if p.Step.Spec.GetGang() {
			n = number // the members of a gang share a number
		}
		id := flow.RunID{TaskID: one.TaskID, Number: n + 1}
		start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: one.Server})
	}
	if !d.decide(&record.Flow{What: &record.Flow_Start{Start: start}}) {
		return
	}
	var runs []*run
	for _, m := range start.GetPlaces() {
		runs = append(runs, d.placed(m, now))
	}
	waited := d.Host.Clock() - p.Step.Since
	q := p.Step.Flow.Queue
	d.meter.waited(q, waited)
	d.Host.After(func() {
		event.Log(d.Log, event.RunsPlaced, "flow", p.Step.Flow.ID, "step", p.Step.StepID.String(), "runs", len(runs), "first", start.Places[0].GetServer(), "queue", q, "waited", waited.String(), "term", d.lead.term)
		for _, r := range runs {
			if s := d.lead.sessions[r.held.Server]; s != nil && s.runs[r.TaskID] == r {
				d.start(s, r)
			}
		}
	})
}

// placed notes a run that was placed just now.
func (d *Dispatcher) placed(m *record.FlowPlace, now time.Duration) *run {
	id := flow.RunOf(m.GetRun())
	b, _ := d.Host.Flows().Server(m.GetServer())
	r := &run{RunID: id, held: b.Held[id.TaskID], placed: now}
	if a := d.lead.advice[id.StepID]; a != nil {
		r.permit = a.permits[m.GetServer()].ticket
	}
	d.lead.sessions[b.ID].runs[id.TaskID] = r
	return r
}
