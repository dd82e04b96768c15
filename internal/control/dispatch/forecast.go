package dispatch

import (
	"iter"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/forecast"
	"gypsumreel/internal/policy/steps"
)

// Longest ages of the forecast. A flow within its rate is refused only because of a wait of
// many seconds, which a forecast of a second ago shows too.
const (
	surplusForecastAge    = forecast.Resolution
	guaranteedForecastAge = time.Second
	// forecastPauseFactor is the shortest age of the forecast, as a multiple of the time that
	// it took. In a large cell it takes long, and the control thread has other work.
	forecastPauseFactor = 20
)

// maxCheckedRefusals limits the refusals whose forecast is compared later with the room that
// there is. It bounds the memory for them and the work of a check.
const maxCheckedRefusals = 1000

// customerInPool identifies a customer's work in a pool.
type customerInPool struct{ pool, customer string }

// forecastState holds the forecast, made at madeAt within the time took, and what is compared
// with it later.
type forecastState struct {
	madeAt, took time.Duration
	// pools holds the room of each pool, limits the room within the limit of each customer
	// that has one.
	pools, limits map[string]*forecast.Room
	// adviser is the room for questions to the adviser, one unit for each helper.
	adviser *forecast.Room
	// latestBegins holds, by id, the latest times at which accepted surplus flows should begin.
	latestBegins map[string]time.Duration
	// refusals holds flows that were refused because of their forecast, until their slack has
	// passed.
	refusals []*submission
}

// refreshForecast makes a new forecast if the last one is too old.
func (d *Dispatcher) refreshForecast(maxAge, now time.Duration) {
	state := &d.leader.admission.forecastState
	if state.pools != nil && now-state.madeAt < max(maxAge, forecastPauseFactor*state.took) {
		return
	}
	startedAt := d.Now()
	state.madeAt, state.pools, state.limits = now, map[string]*forecast.Room{}, map[string]*forecast.Room{}
	d.forecastLimits()
	d.forecastServers(now)
	d.forecastAdviser(now)
	d.forecastBacklog()
	state.took = d.Now() - startedAt
}

// forecastLimits adds the room that the limits of customers leave.
func (d *Dispatcher) forecastLimits() {
	for _, customer := range d.Host.Flows().Config().GetCustomers() {
		if remaining := d.remainingQuota(customer.GetName()).CPU; remaining < unlimitedAmount {
			room := &forecast.Room{}
			room.AddFree(remaining)
			d.leader.admission.forecastState.limits[customer.GetName()] = room
		}
	}
}

// forecastServers adds the room that is free on the servers, and the room that their runs
// release. A server that has not answered yet after a change of the leader counts, because
// nothing may be refused for want of knowledge.
func (d *Dispatcher) forecastServers(now time.Duration) {
	ledger, state := d.Host.Flows(), &d.leader.admission.forecastState
	for i, s := range d.leader.sortedSessions {
		if i%sessionsPerYield == 0 {
			d.Host.YieldProcessor()
		}
		b, ok := ledger.Server(s.id)
		if !ok || !ledger.AcceptsWork(b) || s.unresponsive || s.endProof != "" || d.leader.nextForMaintenance[s.id] {
			continue
		}
		pool := state.pools[b.Pool]
		if pool == nil {
			pool = &forecast.Room{}
			state.pools[b.Pool] = pool
		}
		pool.AddFree(b.FreeCapacity().CPU)
		for _, r := range s.runs {
			after, ends := d.expectedEnd(r, now)
			if !ends {
				continue
			}
			pool.AddRelease(after, r.allocation.Size.CPU)
			if limit := state.limits[r.allocation.Customer]; limit != nil {
				limit.AddRelease(after, r.allocation.Size.CPU)
			}
		}
	}
}

// forecastAdviser adds the helpers that ask the adviser. Busy ones count as free, since most
// questions are short.
func (d *Dispatcher) forecastAdviser(now time.Duration) {
	d.leader.admission.forecastState.adviser = &forecast.Room{}
	_, available := d.helperPool.IdleCount(now)
	for range available {
		d.leader.admission.forecastState.adviser.AddFree(1)
	}
}

// forecastBacklog adds the work that waits. A step that the adviser was not asked about waits
// for a helper, and for room only after the answer.
func (d *Dispatcher) forecastBacklog() {
	state, clock := &d.leader.admission.forecastState, d.Host.LedgerTime()
	backlogs := map[customerInPool]*forecast.Backlog{}
	entry := 0
	for _, s := range d.Host.Flows().ReadySteps() {
		entry++
		d.yieldAt(entry)
		item, ok := d.planItem(s, clock)
		if !ok || item.Worthless {
			continue
		}
		class := forecast.Class{Surplus: item.Surplus, Late: item.Overdue, Priority: item.Priority}
		if advice := d.leader.adviceByStep[s.StepID]; item.NeedsPermit && (advice == nil || len(advice.permits) == 0) {
			if q, known := d.Host.Flows().QueueOf(s.Flow); known && advice == nil {
				state.adviser.AddWaiting(class, questionWork(q.GetAdvice(), item.QuestionSize))
			}
			continue
		}
		key := customerInPool{item.Pool, s.Flow.Customer}
		if backlogs[key] == nil {
			backlogs[key] = &forecast.Backlog{}
		}
		backlogs[key].Add(class, forecast.Work{TaskCPU: flow.TaskSize(s.Spec).CPU, Tasks: int64(s.QueuedTasks), Runtime: item.ExpectedRuntime})
	}
	for key, backlog := range backlogs {
		if limit := state.limits[key.customer]; limit != nil {
			limit.AddBacklog(*backlog)
		}
		if pool := state.pools[key.pool]; pool != nil {
			pool.AddBacklog(backlog.Within(d.remainingQuota(key.customer).CPU))
		}
	}
}

// questionWork returns the work of a question about a number of servers.
func questionWork(advice *v1.Advice, servers int) forecast.Work {
	return forecast.Work{TaskCPU: 1, Tasks: 1, Runtime: steps.QuestionDuration(advice, servers)}
}

// forecastBegin returns the time after which a flow should begin.
func (d *Dispatcher) forecastBegin(f *submission) (begin time.Duration) {
	for room, work := range d.roomsFor(f) {
		begin = max(begin, room.Begin(f.class(), work))
	}
	return begin
}

// roomsFor iterates over the rooms that a flow needs, and what it needs of each.
func (d *Dispatcher) roomsFor(f *submission) iter.Seq2[*forecast.Room, forecast.Work] {
	state := &d.leader.admission.forecastState
	return func(yield func(*forecast.Room, forecast.Work) bool) {
		if pool := state.pools[f.queue.GetPool()]; pool != nil && !yield(pool, f.work) {
			return
		}
		if limit := state.limits[f.customer]; limit != nil && !yield(limit, f.work) {
			return
		}
		if advice := f.queue.GetAdvice(); advice != nil && state.adviser != nil {
			yield(state.adviser, questionWork(advice, steps.QuestionSize(advice, f.work.Runtime)))
		}
	}
}

// trackAccepted adds an accepted flow to the forecast, so that the flows after it do not count
// on the same room.
func (d *Dispatcher) trackAccepted(f *submission) {
	if !f.judged {
		return
	}
	for room, work := range d.roomsFor(f) {
		room.AddWaiting(f.class(), work)
	}
	if state := &d.leader.admission.forecastState; f.flow.Surplus {
		if state.latestBegins == nil {
			state.latestBegins = map[string]time.Duration{}
		}
		state.latestBegins[f.id] = d.Now() + max(f.flow.Slack, forecast.Resolution)
	}
}

// recordBegin compares the begin of a flow with its forecast.
func (d *Dispatcher) recordBegin(id string, now time.Duration) {
	state := &d.leader.admission.forecastState
	latest, tracked := state.latestBegins[id]
	if !tracked {
		return
	}
	delete(state.latestBegins, id)
	outcome := "in time"
	if now > latest {
		outcome = "late"
	}
	d.flowMetrics.countForecast("accepted", outcome)
}

// checkForecasts compares earlier forecasts with the room that there is now. A refused flow for which there is room when
// its slack has passed would probably have begun in time.
func (d *Dispatcher) checkForecasts(now time.Duration) {
	state := &d.leader.admission.forecastState
	for id := range state.latestBegins {
		if f, ok := d.Host.Flows().Flow(id); !ok || f.Final() {
			delete(state.latestBegins, id) // cancelled before it began
		}
	}
	waiting := state.refusals[:0]
	for _, f := range state.refusals {
		if now-f.refusedAt < f.flow.Slack {
			waiting = append(waiting, f)
			continue
		}
		d.refreshForecast(surplusForecastAge, now)
		outcome := "no room"
		if d.forecastBegin(f) == 0 {
			outcome = "room"
		}
		d.flowMetrics.countForecast("refused", outcome)
	}
	state.refusals = waiting
}

// countForecast counts a forecast by the decision about its flow and by what came of it.
func (m *flowMetrics) countForecast(decision, outcome string) {
	m.incrementCounter("forecasts_total", meter.Label{Name: "decision", Value: decision}, meter.Label{Name: "came", Value: outcome})
}
