package dispatch

import (
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/blame"
	"gypsumreel/internal/policy/pace"
	"gypsumreel/internal/policy/steps"
)

// unlimitedAmount replaces a limit that is not set.
const unlimitedAmount = 1 << 50

// plan makes a plan, commits its placements and asks its questions.
func (d *Dispatcher) plan(now time.Duration) {
	ledger := d.Host.Flows()
	if len(ledger.ReadySteps()) == 0 {
		return
	}
	startedAt := d.Now()
	view := d.makePlanView(now)
	d.leader.planCount++
	d.leader.planView = view // the next plan reuses the slices
	view.Items = steps.SelectItems(view, d.leader.planCount)
	view.BeginItem = func(id flow.StepID) { d.Host.SetSubject(id) }
	result := d.Planner.Make(view)
	d.Host.SetSubject(nil)
	for _, placement := range result.Placements {
		d.recordDemand(placement, now)
		d.commitPlacement(placement, now)
	}
	d.replaceQuestions(result.Questions, now)
	d.setAsideGivenUp(result.GivenUp, now)
	elapsed := d.Now() - startedAt
	d.leader.planPacer.Record(now, elapsed)
	d.flowMetrics.planSeconds.Update(elapsed.Seconds())
}

// makePlanView returns what the planner decides from.
func (d *Dispatcher) makePlanView(now time.Duration) steps.View {
	view := steps.View{RemainingLimit: d.remainingQuota, Permissions: d.permissionsFor, AllowedShare: d.permitShare, Uneven: d.hasUnevenPool(), Yield: d.Host.YieldProcessor}
	view.MaxQuestions = d.maxQuestions(now)
	view.Releases = func(server string) []steps.Release { return d.expectedReleases(server, now) }
	clock := d.Host.LedgerTime()
	var queuedCPU map[string]int64
	view.Items, queuedCPU = d.planItems(clock, now)
	view.Servers = d.planServers(clock, now)
	view.Headroom = func(pool string) steps.Headroom { return d.headroom(pool, poolCapacity(view.Servers, pool), now) }
	roomShort := steps.RoomShort(queuedCPU, view.Servers)
	view.Contended = d.leader.contended && roomShort
	switch {
	case !roomShort || d.Options.Floor <= 0:
	case view.Contended:
		steps.MarkBelowFloor(view.Items, d.floorShortfalls(view.Servers))
	default:
		steps.MarkStarved(view.Items, func(queue string) bool { return d.holdsRunOf(queue, view.Servers) })
	}
	return view
}

// planItems returns the ready steps of a plan. While customers compete, steps that get only what
// others leave take turns. Steps that are set aside take no part. queuedCPU is, by pool, the CPU of the queued tasks of all steps, also
// of those whose turn it is not.
func (d *Dispatcher) planItems(clock, now time.Duration) (items []steps.Item, queuedCPU map[string]int64) {
	items, queuedCPU = d.leader.planView.Items[:0], map[string]int64{}
	use, deferrable := d.customerUse(), 0
	aside := d.setAside.present(now)
	entry := 0
	for _, s := range d.Host.Flows().ReadySteps() {
		entry++
		d.yieldAt(entry)
		if aside[s.StepID] || !d.mayRestart(s.StepID, now) {
			continue
		}
		if advice := d.leader.adviceByStep[s.StepID]; advice != nil && advice.pendingQuestions > 0 && len(advice.permits) == 0 {
			continue // nothing can be placed before the first answer of the adviser
		}
		if item, ok := d.planItem(s, clock); ok {
			queuedCPU[item.Pool] += int64(item.QueuedTasks) * flow.TaskSize(item.Spec).CPU
			if d.leader.planView.Contended && item.Deferrable() {
				deferrable++
				if !steps.IsDue(item, d.leader.planCount, d.leader.deferrableSteps) {
					continue
				}
			}
			item.CustomerUse = use[item.Flow.Customer]
			items = append(items, item)
		}
	}
	d.leader.deferrableSteps = deferrable
	return items, queuedCPU
}

// planServers returns the servers that take new tasks.
func (d *Dispatcher) planServers(clock, now time.Duration) []steps.Server {
	servers := d.leader.planView.Servers[:0]
	for i, s := range d.leader.sortedSessions {
		if i%sessionsPerYield == 0 {
			d.Host.YieldProcessor()
		}
		b, ok := d.Host.Flows().Server(s.id)
		if !ok || !d.acceptsTasks(s, b, now) {
			continue
		}
		server := steps.Server{
			Server: b, Speed: d.serverSpeedFor(s, b), InSlowStart: clock < b.SlowStartEndsAt,
			RecentlyStarted: isRecentlyStarted(b, clock), OnProbation: now < s.probationUntil,
			QuietIn:    max(s.lastStartAt+blame.ProbationPeriod-now, 0),
			ShortLease: d.leader.urgentServers[b.Pool].Contains(s.id),
		}
		if d.addEvidence(&server, s, clock) {
			servers = append(servers, server)
		}
	}
	return servers
}

// acceptsTasks reports whether new tasks may be placed on a server.
func (d *Dispatcher) acceptsTasks(s *session, b *flows.Server, now time.Duration) bool {
	return d.Host.Flows().AcceptsWork(b) && b.StartedAtMs == s.incarnation && s.isUsable(now) && !d.leader.nextForMaintenance[s.id]
}

// poolCapacity returns the total capacity of the servers of a pool.
func poolCapacity(servers []steps.Server, pool string) capacity.Size {
	var sum capacity.Size
	for _, s := range servers {
		if s.Pool == pool {
			sum = sum.Add(s.Capacity)
		}
	}
	return sum
}

// remainingQuota returns the capacity that a customer may still use.
func (d *Dispatcher) remainingQuota(customer string) capacity.Size {
	limit, used := d.Host.Flows().CustomerLimit(customer), d.Host.Flows().CustomerUsage(customer)
	remaining := func(limit, used int64) int64 {
		if limit == capacity.Unlimited {
			return unlimitedAmount
		}
		return limit - used
	}
	return capacity.Size{CPU: remaining(limit.CPU, used.CPU), Memory: remaining(limit.Memory, used.Memory), Accel: remaining(limit.Accel, used.Accel)}
}

// planItem returns the planner's description of a ready step.
func (d *Dispatcher) planItem(s *flows.Step, clock time.Duration) (steps.Item, bool) {
	q, ok := d.Host.Flows().QueueOf(s.Flow)
	if !ok {
		return steps.Item{}, false
	}
	times := d.stepTimes(s, q)
	runtime := d.typicalRuntime(s)
	item := steps.Item{
		Step: s, Pool: q.GetPool(), Priority: q.GetPriority(), Urgent: d.isUrgentRank(q.GetPool(), q.GetPriority()),
		ExpectedRuntime: runtime, QuestionSize: steps.QuestionSize(q.GetAdvice(), runtime),
		Begun:   s.Flow.State == v1.FlowState_FLOW_STATE_RUNNING,
		Surplus: d.leader.surplusFlows[s.Flow.ID], FailedOn: d.leader.avoidedServers[s.StepID],
		NeedsPermit: q.GetAdvice() != nil, AdviserAsked: d.leader.adviceByStep[s.StepID] != nil,
	}
	item = item.WithAge(times, clock-startOfTurn(s))
	d.addSpeedDemand(&item)
	d.addAttempts(&item)
	return item, true
}

// expectedReleases returns the capacity that the runs on a server will release, and when,
// estimated from their progress.
func (d *Dispatcher) expectedReleases(server string, now time.Duration) []steps.Release {
	s := d.leader.sessions[server]
	if s == nil {
		return nil
	}
	releases := make([]steps.Release, 0, len(s.runs))
	for _, r := range s.runs {
		if remaining, ok := d.expectedEnd(r, now); ok {
			releases = append(releases, steps.Release{After: remaining, Size: r.allocation.Size})
		}
	}
	return releases
}

// expectedEnd returns the time until a run is expected to end, and false for a run that lasts
// until it is stopped.
func (d *Dispatcher) expectedEnd(r *run, now time.Duration) (time.Duration, bool) {
	step, ok := d.Host.Flows().Step(r.StepID)
	switch {
	case ok && step.Spec.GetLasting():
		return 0, false
	case ok && !r.stopping:
		return max(d.remainingTime(step, r, now), 0), true
	}
	return 0, true // the flow has ended, or the run is being stopped
}

// startOfTurn returns the time from which the objective of a step's flow counts, on the
// ledger's clock.
func startOfTurn(s *flows.Step) time.Duration {
	if s.Flow.Spec.GetTimes() > 0 {
		return millis.At(s.Flow.Spec.GetFirst(), s.Turn, s.Flow.Spec.GetEvery())
	}
	return s.Flow.AcceptedAt
}

// stepTimes returns a step's deadlines. They do not change once the step is ready.
func (d *Dispatcher) stepTimes(s *flows.Step, q *v1.Queue) steps.Timing {
	times, ok := d.leader.stepTimes[s.StepID]
	if !ok {
		times = steps.TimingOf(s, q)
		d.leader.stepTimes[s.StepID] = times
	}
	return times
}

// commitPlacement commits a placement and then sends the starts.
func (d *Dispatcher) commitPlacement(placement steps.Placement, now time.Duration) {
	start := &record.FlowStart{}
	var highestNumber uint32
	for _, task := range placement.Item.Tasks {
		highestNumber = max(highestNumber, task.LatestRun)
	}
	for _, place := range placement.Assignments {
		lastNumber := placement.Item.Tasks[place.Index].LatestRun
		if placement.Item.Spec.GetGang() {
			lastNumber = highestNumber // all members of a gang have the same run number
		}
		id := flow.RunID{TaskID: place.TaskID, Number: lastNumber + 1}
		start.Places = append(start.Places, &record.FlowPlace{Run: id.Message(), Server: place.Server})
	}
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Start{Start: start}}) {
		return
	}
	var runs []*run
	for _, placed := range start.GetPlaces() {
		runs = append(runs, d.addPlacedRun(placed, d.isUrgentStep(placement.Item.Step), now))
	}
	d.markLastAttempts(placement, runs, now)
	waited := d.Host.LedgerTime() - placement.Item.ReadyAt
	queue := placement.Item.Flow.QueueName
	d.flowMetrics.observeWait(queue, waited)
	contendedFields := d.recordContendedStart(placement.Item)
	d.recordBegin(placement.Item.Flow.ID, now)
	d.Host.AfterCommit(func() {
		event.Log(d.Log.WithValues(contendedFields...), event.RunsPlaced, "flow", placement.Item.Flow.ID, "step", placement.Item.StepID.String(), "runs", len(runs), "first", start.Places[0].GetServer(), "queue", queue, "waited", waited.String(), "term", d.leader.term)
		for _, r := range runs {
			if s := d.leader.sessions[r.allocation.Server]; s != nil && s.runs[r.TaskID] == r {
				d.sendStart(s, r)
			}
		}
	})
}

// addPlacedRun adds a run that was just placed to its session.
func (d *Dispatcher) addPlacedRun(place *record.FlowPlace, urgent bool, now time.Duration) *run {
	id := flow.RunIDFromMessage(place.GetRun())
	b, _ := d.Host.Flows().Server(place.GetServer())
	r := &run{RunID: id, allocation: b.HeldRuns[id.TaskID], placedAt: now, urgent: urgent, pace: knownPace{percent: pace.Full, known: true}}
	if advice := d.leader.adviceByStep[id.StepID]; advice != nil {
		r.permit = advice.permits[place.GetServer()].ticket
	}
	s := d.leader.sessions[b.ID]
	r.measurement = d.measurementOf(r, b)
	if d.isUneven(b.Pool) {
		r.serverSpeed = d.serverSpeedFor(s, b)
	}
	s.runs[id.TaskID] = r
	d.recordStart(s, r, now)
	return r
}
