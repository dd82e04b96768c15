package cell

import (
	"math"
	"slices"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/health"
	"gypsumreel/internal/policy/plan"
)

// gangIndex is the task index in the ID of a gang's unit.
const gangIndex = math.MaxUint32

// gangHeadStart is subtracted from a gang's acceptance time in its queue rank, so that
// gangs start early. A gang needs a long time to collect its capacity.
const gangHeadStart = time.Hour

// Parameters of the expected run time in the queue rank.
const (
	// runtimeWeight is the delay in rank per unit of expected run time.
	runtimeWeight = 10
	// maxRuntimeRank is the largest delay in rank, so that a long declared run time cannot
	// starve a job.
	maxRuntimeRank = 30 * time.Minute
)

// unitList identifies the planner's list that a unit is in.
type unitList uint8

const (
	inNoList unitList = iota
	inNewUnits
	inDelayedUnits
	inTeamQueue
	inUnplaceableUnits
)

// jobState is a job with waiting or placed tasks.
type jobState struct {
	id            uint64
	spec          *job.Spec
	team          *teamState
	placed        []*placedTask
	waitingCount  int
	gangUnit      *unit
	failureBudget health.Budget
	// everPlaced is true if a task of the job was placed at some time.
	everPlaced bool
	// inIdleList is true while Planner.idleJobs lists the job.
	inIdleList bool
	// givenUp is true after a Park or Drop decision for the job.
	givenUp bool
}

// unit is a task, or all waiting tasks of a gang, that one decision places together.
type unit struct {
	id       task.ID
	jobState *jobState
	tasks    []plan.WaitingTask
	// taskSize is the size of each task.
	taskSize capacity.Size
	// readyAt is the earliest time of the next attempt.
	readyAt time.Duration
	// rank is the sort key in the team's queue.
	rank     time.Duration
	sequence uint64
	list     unitList
	// queuedAt is the time at which the unit entered its team's queue.
	queuedAt    time.Duration
	reservation *reservation
	// triedRevision is the value of Planner.freeRevision at the last search for capacity.
	// The search is not repeated until freeRevision changes.
	triedRevision uint64
}

func unitKey(u *unit) task.ID { return u.id }

// bySequence orders units by the time of their arrival.
func bySequence(a, b *unit) bool { return a.sequence < b.sequence }

// byReadyTime orders units by the earliest time of their next attempt.
func byReadyTime(a, b *unit) bool {
	if a.readyAt != b.readyAt {
		return a.readyAt < b.readyAt
	}
	return a.sequence < b.sequence
}

func (u *unit) deadline() time.Duration {
	return u.tasks[0].AcceptedAt + u.jobState.spec.PlacementTimeout
}

// byDeadline orders units by their deadline.
func byDeadline(a, b *unit) bool {
	if x, y := a.deadline(), b.deadline(); x != y {
		return x < y
	}
	return a.sequence < b.sequence
}

// byRank orders the units of a team's queue.
func byRank(a, b *unit) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

// totalSize returns the sum of the sizes of the unit's tasks.
func (u *unit) totalSize() capacity.Size { return u.taskSize.Times(int64(len(u.tasks))) }

// jobState returns the state of the job and creates it if there is none.
func (p *Planner) jobState(id uint64, spec *job.Spec) *jobState {
	js := p.jobs[id]
	if js == nil {
		js = &jobState{id: id, spec: spec, team: p.team(spec.Team)}
		p.jobs[id] = js
	}
	return js
}

// listIfIdle adds a job without tasks to idleJobs. The next decision deletes the job if no
// retry of its tasks was added before.
func (p *Planner) listIfIdle(js *jobState) {
	if len(js.placed) == 0 && js.waitingCount == 0 && !js.inIdleList {
		js.inIdleList = true
		p.idleJobs = append(p.idleJobs, js)
	}
}

// forgetIdleJobs deletes the jobs in idleJobs that still have no tasks.
func (p *Planner) forgetIdleJobs() {
	for _, js := range p.idleJobs {
		js.inIdleList = false
		if len(js.placed) == 0 && js.waitingCount == 0 && p.jobs[js.id] == js {
			delete(p.jobs, js.id)
		}
	}
	p.idleJobs = p.idleJobs[:0]
}

// enqueue adds a waiting task to a unit: the gang's unit if the job is a gang, otherwise a
// new one. After failures of the job, the task waits for the backoff time first.
func (p *Planner) enqueue(js *jobState, waiting plan.WaitingTask) {
	if js.failureBudget.Failures() > 0 {
		waiting.ReadyAt = max(waiting.ReadyAt, p.now+js.failureBudget.Backoff(p.rng))
	}
	js.everPlaced = js.everPlaced || waiting.Attempts > 0
	js.waitingCount++
	js.team.waiting = js.team.waiting.Add(js.spec.Size)
	u := js.gangUnit
	if u == nil {
		p.lastSequence++
		u = &unit{id: waiting.ID, jobState: js, sequence: p.lastSequence, taskSize: js.spec.Size}
		if js.spec.AllOrNothing() {
			u.id.Index = gangIndex
			js.gangUnit = u
		}
	} else {
		p.removeFromList(u)
	}
	u.tasks = append(u.tasks, waiting)
	u.readyAt = max(u.readyAt, waiting.ReadyAt)
	p.waiting[waiting.ID] = u
	p.markNew(u)
}

// markNew adds a unit that is in no list to newUnits, for the next decision.
func (p *Planner) markNew(u *unit) {
	if u.list == inNoList {
		u.list = inNewUnits
		p.newUnits = append(p.newUnits, u)
	}
}

// removeFromList removes the unit from its list. A unit in newUnits stays there.
func (p *Planner) removeFromList(u *unit) {
	switch u.list {
	case inDelayedUnits:
		p.delayedUnits.Remove(u.id)
	case inTeamQueue:
		u.jobState.team.queues[queueKind(u.jobState.spec)].Remove(u.id)
		p.unitsByDeadline.Remove(u.id)
		if u.jobState.spec.Kind == job.Urgent {
			p.urgentWaitingCount--
		} else {
			u.jobState.team.waitingSizes.remove(u.taskSize)
		}
		if u.jobState.spec.AllOrNothing() {
			u.jobState.team.waitingGangCount--
		}
	case inUnplaceableUnits:
		p.unplaceableUnits.Remove(u.id)
		p.unitsByDeadline.Remove(u.id)
		u.jobState.team.unplaceable = u.jobState.team.unplaceable.Sub(u.totalSize())
	case inNewUnits:
		return
	}
	u.list = inNoList
}

// dequeue removes one task from its unit. If the unit becomes empty, it is removed from its
// list and its reservation is dropped.
func (p *Planner) dequeue(u *unit, id task.ID) {
	delete(p.waiting, id)
	u.jobState.waitingCount--
	u.jobState.team.waiting = u.jobState.team.waiting.Sub(u.jobState.spec.Size)
	if len(u.tasks) == 1 {
		p.removeFromList(u)
		p.dropReservation(u)
		u.tasks = u.tasks[:0]
		u.jobState.gangUnit = nil
		return
	}
	if u.list == inUnplaceableUnits {
		u.jobState.team.unplaceable = u.jobState.team.unplaceable.Sub(u.jobState.spec.Size)
	}
	u.tasks = slices.DeleteFunc(u.tasks, func(q plan.WaitingTask) bool { return q.ID == id })
}

// fitsAnyServer reports whether a task of that size fits on some server when the server is
// empty. Units that fit on none wait in unplaceableUnits. They do not count as demand in
// the target shares and are not searched for.
func (p *Planner) fitsAnyServer(size capacity.Size) bool {
	for serverSize, n := range p.serverSizes {
		if n > 0 && size.Fits(serverSize) {
			return true
		}
	}
	return false
}

// retryUnplaceable moves all unplaceable units to newUnits. It is called when the first
// server of a capacity is added.
func (p *Planner) retryUnplaceable() {
	for {
		u, ok := p.unplaceableUnits.Min()
		if !ok {
			return
		}
		p.removeFromList(u)
		p.markNew(u)
	}
}

// dequeuePlaced removes a waiting task that the ledger reports as placed.
func (p *Planner) dequeuePlaced(id task.ID) {
	if u := p.waiting[id]; u != nil {
		p.dequeue(u, id)
		u.jobState.everPlaced = true
	}
}

// queueReadyUnits assigns new units and delayed units that became ready to their lists.
func (p *Planner) queueReadyUnits() {
	newUnits := p.newUnits
	p.newUnits = p.newUnits[:0]
	for _, u := range newUnits {
		u.list = inNoList
		if len(u.tasks) > 0 {
			p.assignList(u)
		}
	}
	for {
		u, ok := p.delayedUnits.Min()
		if !ok || u.readyAt > p.now {
			return
		}
		p.removeFromList(u)
		p.assignList(u)
	}
}

// assignList adds the unit to the list that matches its state. A gang with placed tasks is
// in no list, because a gang starts all its tasks together or none.
func (p *Planner) assignList(u *unit) {
	if u.jobState.givenUp {
		return
	}
	if u.jobState.spec.AllOrNothing() && len(u.jobState.placed) > 0 {
		return
	}
	if u.readyAt > p.now {
		u.list = inDelayedUnits
		p.delayedUnits.Add(u)
		return
	}
	// Unplaceable units are included, so that a job that waits for a larger server is
	// dropped at its deadline like any other.
	if u.jobState.spec.PlacementTimeout > 0 && !u.jobState.everPlaced {
		p.unitsByDeadline.Add(u)
	}
	if !p.fitsAnyServer(u.jobState.spec.Size) {
		u.list = inUnplaceableUnits
		p.unplaceableUnits.Add(u)
		u.jobState.team.unplaceable = u.jobState.team.unplaceable.Add(u.totalSize())
		return
	}
	u.list = inTeamQueue
	u.rank = p.queueRank(u)
	u.queuedAt = p.now
	u.triedRevision = 0
	t := u.jobState.team
	t.queues[queueKind(u.jobState.spec)].Add(u)
	p.countQueued(t, u)
}

// countQueued updates the counters and work lists for a unit that entered its team's queue.
func (p *Planner) countQueued(t *teamState, u *unit) {
	if u.jobState.spec.Kind == job.Urgent {
		p.urgentWaitingCount++
		if !u.jobState.everPlaced {
			p.urgentReserve.RecordArrival(p.now, u.jobState.spec.Size)
		}
		return
	}
	if u.jobState.spec.Kind == job.Service && u.jobState.everPlaced {
		p.displacedServices = append(p.displacedServices, u)
	}
	if u.jobState.spec.AllOrNothing() {
		t.waitingGangCount++
	}
	t.blockedRevision = 0
	t.waitingSizes.add(u.taskSize)
}

// queueRank returns the unit's sort key in its team's queue. Urgent and service units are
// ordered by age. Batch is ordered by age plus runtimeWeight times the expected run time,
// at most maxRuntimeRank. A later job can therefore overtake a unit only if it was accepted
// within that time after it. Gangs get gangHeadStart.
func (p *Planner) queueRank(u *unit) time.Duration {
	rank := u.tasks[0].AcceptedAt
	switch k := u.jobState.spec.Kind; {
	case k == job.Urgent || k == job.Service:
		return rank
	case k == job.Gang && !p.disabled(GangPriority):
		rank -= gangHeadStart
	}
	if p.disabled(ShortestFirst) {
		return rank
	}
	return rank + min(runtimeWeight*p.runtimeEstimates.ExpectedRuntime(u.jobState.spec), maxRuntimeRank)
}
