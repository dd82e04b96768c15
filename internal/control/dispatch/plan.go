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

// plan decides what starts and carries it out.
func (d *Dispatcher) plan(now time.Duration) {
	ledger := d.Host.Flows()
	if len(ledger.ReadySteps()) == 0 {
		return
	}
	begin := d.Now()
	v := steps.View{Items: d.lead.view.Items[:0], Servers: d.lead.view.Servers[:0], RemainingLimit: d.room, Permissions: d.known, AllowedShare: d.granted, Yield: d.Host.YieldProcessor}
	v.Releases = func(server string) []steps.Release { return d.frees(server, now) }
	clock := d.Host.LedgerTime()
	for _, s := range ledger.ReadySteps() {
		if a := d.lead.advice[s.StepID]; a != nil && a.asking > 0 && len(a.permits) == 0 {
			continue // nothing can be decided before the first answer
		}
		if it, ok := d.item(s, clock); ok {
			v.Items = append(v.Items, it)
		}
	}
	for _, s := range d.lead.sorted {
		b, ok := ledger.Server(s.id)
		if ok && ledger.AcceptsWork(b) && b.StartedAtMs == s.born && s.usable(now) && !d.lead.emptied[s.id] {
			v.Servers = append(v.Servers, steps.Server{Server: b, Speed: d.speed(s), Cold: clock < b.WarmUpEndsAt, RecentlyStarted: fresh(b, clock), OnProbation: now < s.probation, ShortLease: d.lead.briefs[b.Pool].Contains(s.id)})
		}
	}
	v.Headroom = func(pool string) steps.Headroom { return d.headroom(pool, total(v.Servers, pool), now) }
	d.lead.plans++
	d.lead.view = v // the next plan uses its room
	v.Items = steps.SelectItems(v, d.lead.plans)
	p := d.lead.planner.Make(v)
	for _, one := range p.Placements {
		d.demands(one, now)
		d.place(one, now)
	}
	d.questions(p.Questions, now)
	took := d.Now() - begin
	d.lead.pacer.Record(now, took)
	d.meter.plan.Update(took.Seconds())
}

// total returns the size of a pool.
func total(servers []steps.Server, pool string) capacity.Size {
	var out capacity.Size
	for _, s := range servers {
		if s.Pool == pool {
			out = out.Add(s.Capacity)
		}
	}
	return out
}

// room returns what a customer may still start.
func (d *Dispatcher) room(customer string) capacity.Size {
	limit, used := d.Host.Flows().CustomerLimit(customer), d.Host.Flows().CustomerUsage(customer)
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
	begun := s.Flow.AcceptedAt
	if s.Flow.Spec.GetTimes() > 0 {
		begun = time.Duration(s.Flow.Spec.GetFirst()+int64(s.Turn)*int64(s.Flow.Spec.GetEvery())) * time.Millisecond
	}
	takes := d.typical(s)
	it := steps.Item{
		Step: s, Pool: q.GetPool(), Priority: q.GetPriority(), Urgent: d.isUrgent(q.GetPool(), q.GetPriority()),
		ExpectedRuntime: takes, QuestionSize: steps.QuestionSize(q.GetAdvice(), takes),
		OverShare: d.lead.surplus[s.Flow.ID], FailedOn: d.lead.shunned[s.StepID],
		NeedsPermit: q.GetAdvice() != nil, AdviserAsked: d.lead.advice[s.StepID] != nil,
	}
	return it.WithAge(t, clock-begun), true
}

// frees returns what a server will have free again, by how far its runs are.
func (d *Dispatcher) frees(server string, now time.Duration) []steps.Release {
	s := d.lead.sessions[server]
	if s == nil {
		return nil
	}
	out := make([]steps.Release, 0, len(s.runs))
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		in := time.Duration(0) // of a flow that has ended: it is being stopped
		switch {
		case ok && step.Spec.GetLasting():
			continue
		case ok && !r.stopping:
			in = max(d.rest(step, r, now), 0)
		}
		out = append(out, steps.Release{After: in, Size: r.held.Size})
	}
	return out
}

// times returns a step's times; they stay the same once the step is ready.
func (d *Dispatcher) times(s *flows.Step, q *v1.Queue) steps.Timing {
	t, ok := d.lead.times[s.StepID]
	if !ok {
		t = steps.TimingOf(s, q)
		d.lead.times[s.StepID] = t
	}
	return t
}

// place commits a placement and sends the starts once it is committed.
func (d *Dispatcher) place(p steps.Placement, now time.Duration) {
	start := &record.FlowStart{}
	var number uint32
	for _, t := range p.Item.Tasks {
		number = max(number, t.LatestRun)
	}
	for _, one := range p.Assignments {
		n := p.Item.Tasks[one.Index].LatestRun
		if p.Item.Spec.GetGang() {
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
		runs = append(runs, d.placed(m, d.urgent(p.Item.Step), now))
	}
	waited := d.Host.LedgerTime() - p.Item.ReadyAt
	q := p.Item.Flow.QueueName
	d.meter.waited(q, waited)
	d.Host.AfterCommit(func() {
		event.Log(d.Log, event.RunsPlaced, "flow", p.Item.Flow.ID, "step", p.Item.StepID.String(), "runs", len(runs), "first", start.Places[0].GetServer(), "queue", q, "waited", waited.String(), "term", d.lead.term)
		for _, r := range runs {
			if s := d.lead.sessions[r.held.Server]; s != nil && s.runs[r.TaskID] == r {
				d.start(s, r)
			}
		}
	})
}

// placed notes a run that was placed just now.
func (d *Dispatcher) placed(m *record.FlowPlace, urgent bool, now time.Duration) *run {
	id := flow.RunOf(m.GetRun())
	b, _ := d.Host.Flows().Server(m.GetServer())
	r := &run{RunID: id, held: b.HeldRuns[id.TaskID], placed: now, urgent: urgent}
	if a := d.lead.advice[id.StepID]; a != nil {
		r.permit = a.permits[m.GetServer()].ticket
	}
	s := d.lead.sessions[b.ID]
	s.runs[id.TaskID] = r
	d.onProbation(s, r, now)
	return r
}
