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

// unlimitedAmount stands for a limit that binds nothing.
const unlimitedAmount = 1 << 50

// plan decides what starts and carries it out.
func (d *Dispatcher) plan(now time.Duration) {
	ledger := d.Host.Flows()
	if len(ledger.Ready()) == 0 {
		return
	}
	begin := d.Now()
	v := steps.View{Items: d.leader.planView.Items[:0], Servers: d.leader.planView.Servers[:0], Room: d.remainingQuota, Known: d.permissionsFor, Share: d.permitShare, Rest: d.Host.YieldThread}
	v.Frees = func(server string) []steps.Release { return d.expectedReleases(server, now) }
	clock := d.Host.LedgerTime()
	for _, s := range ledger.Ready() {
		if a := d.leader.adviceByStep[s.StepID]; a != nil && a.pendingQuestions > 0 && len(a.permits) == 0 {
			continue // nothing can be decided before the first answer
		}
		if it, ok := d.planItem(s, clock); ok {
			v.Items = append(v.Items, it)
		}
	}
	for _, s := range d.leader.sortedSessions {
		b, ok := ledger.Server(s.id)
		if ok && ledger.Takes(b) && b.Born == s.incarnation && s.isUsable(now) && !d.leader.drainingForUpkeep[s.id] {
			v.Servers = append(v.Servers, steps.Server{Server: b, Speed: d.relativeSpeed(s), Cold: clock < b.Warm, Fresh: isFresh(b, clock), Probation: now < s.probationUntil, Brief: d.leader.urgentServers[b.Pool].Has(s.id)})
		}
	}
	v.Headroom = func(pool string) steps.Headroom { return d.headroom(pool, poolCapacity(v.Servers, pool), now) }
	d.leader.planCount++
	d.leader.planView = v // the next plan uses its room
	v.Items = steps.Pick(v, d.leader.planCount)
	p := d.leader.planner.Make(v)
	for _, one := range p.Placements {
		d.recordDemand(one, now)
		d.commitPlacement(one, now)
	}
	d.replaceQuestions(p.Wants, now)
	took := d.Now() - begin
	d.leader.planPacer.Made(now, took)
	d.flowMetrics.planSeconds.Update(took.Seconds())
}

// poolCapacity returns the size of a pool.
func poolCapacity(servers []steps.Server, pool string) capacity.Size {
	var out capacity.Size
	for _, s := range servers {
		if s.Pool == pool {
			out = out.Add(s.Capacity)
		}
	}
	return out
}

// remainingQuota returns what a customer may still start.
func (d *Dispatcher) remainingQuota(customer string) capacity.Size {
	limit, used := d.Host.Flows().Limit(customer), d.Host.Flows().Used(customer)
	left := func(limit, used int64) int64 {
		if limit == capacity.Unlimited {
			return unlimitedAmount
		}
		return limit - used
	}
	return capacity.Size{CPU: left(limit.CPU, used.CPU), Memory: left(limit.Memory, used.Memory), Accel: left(limit.Accel, used.Accel)}
}

// planItem describes a ready step to the planner.
func (d *Dispatcher) planItem(s *flows.Step, clock time.Duration) (steps.Item, bool) {
	q, ok := d.Host.Flows().QueueOf(s.Flow)
	if !ok {
		return steps.Item{}, false
	}
	t := d.stepTimes(s, q)
	begun := s.Flow.Accepted
	if s.Flow.Spec.GetTimes() > 0 {
		begun = time.Duration(s.Flow.Spec.GetFirst()+int64(s.Turn)*int64(s.Flow.Spec.GetEvery())) * time.Millisecond
	}
	takes := d.typicalRuntime(s)
	it := steps.Item{
		Step: s, Pool: q.GetPool(), Priority: q.GetPriority(), Urgent: d.isUrgentRank(q.GetPool(), q.GetPriority()),
		Takes: takes, Usual: steps.Width(q.GetAdvice(), takes),
		Surplus: d.leader.surplusFlows[s.Flow.ID], Shunned: d.leader.avoidedServers[s.StepID],
		Permits: q.GetAdvice() != nil, Asked: d.leader.adviceByStep[s.StepID] != nil,
	}
	return it.Judged(t, clock-begun), true
}

// expectedReleases returns what a server will have free again, by how far its runs are.
func (d *Dispatcher) expectedReleases(server string, now time.Duration) []steps.Release {
	s := d.leader.sessions[server]
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
			in = max(d.remainingTime(step, r, now), 0)
		}
		out = append(out, steps.Release{In: in, Size: r.allocation.Size})
	}
	return out
}

// stepTimes returns a step's times; they stay the same once the step is ready.
func (d *Dispatcher) stepTimes(s *flows.Step, q *v1.Queue) steps.Times {
	t, ok := d.leader.stepTimes[s.StepID]
	if !ok {
		t = steps.TimesOf(s, q)
		d.leader.stepTimes[s.StepID] = t
	}
	return t
}

// commitPlacement commits a placement and sends the starts once it is committed.
func (d *Dispatcher) commitPlacement(p steps.Placement, now time.Duration) {
	start := &record.FlowStart{}
	var number uint32
	for _, t := range p.Item.Tasks {
		number = max(number, t.Number)
	}
	for _, one := range p.Places {
		n := p.Item.Tasks[one.Index].Number
		if p.Item.Spec.GetGang() {
			n = number // the members of a gang share a number
		}
		id := flow.RunID{TaskID: one.TaskID, Number: n + 1}
		start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: one.Server})
	}
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Start{Start: start}}) {
		return
	}
	var runs []*run
	for _, m := range start.GetPlaces() {
		runs = append(runs, d.addPlacedRun(m, d.isUrgentStep(p.Item.Step), now))
	}
	waited := d.Host.LedgerTime() - p.Item.Since
	q := p.Item.Flow.Queue
	d.flowMetrics.observeWait(q, waited)
	d.Host.AfterCommit(func() {
		event.Log(d.Log, event.RunsPlaced, "flow", p.Item.Flow.ID, "step", p.Item.StepID.String(), "runs", len(runs), "first", start.Places[0].GetServer(), "queue", q, "waited", waited.String(), "term", d.leader.term)
		for _, r := range runs {
			if s := d.leader.sessions[r.allocation.Server]; s != nil && s.runs[r.TaskID] == r {
				d.sendStart(s, r)
			}
		}
	})
}

// addPlacedRun notes a run that was placed just now.
func (d *Dispatcher) addPlacedRun(m *record.FlowPlace, urgent bool, now time.Duration) *run {
	id := flow.RunOf(m.GetRun())
	b, _ := d.Host.Flows().Server(m.GetServer())
	r := &run{RunID: id, allocation: b.Held[id.TaskID], placedAt: now, urgent: urgent}
	if a := d.leader.adviceByStep[id.StepID]; a != nil {
		r.permit = a.permits[m.GetServer()].ticket
	}
	s := d.leader.sessions[b.ID]
	s.runs[id.TaskID] = r
	d.startProbation(s, r, now)
	return r
}
