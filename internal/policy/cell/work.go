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

// gangIndex is the index under which a gang waits as one unit.
const gangIndex = math.MaxUint32

// gangHeadStart is how much older than a gang batch of its team must be to go first.
// Gangs take long to gather their room, and longer the later they begin.
const gangHeadStart = time.Hour

// Bounds of what the expected run time counts against age in the order.
const (
	// runtimeWeight is the time in the queue that a second of it stands for.
	runtimeWeight = 10
	// maxRuntimeRank bounds it, whatever is declared.
	maxRuntimeRank = 30 * time.Minute
)

// unitList says which list a unit is in.
type unitList uint8

const (
	inNoList unitList = iota
	inNewUnits
	inDelayedUnits
	inTeamQueue
	inUnplaceableUnits
)

// jobState is a job of which something waits or runs.
type jobState struct {
	id            uint64
	spec          *job.Spec
	team          *teamState
	placed        []*placedTask
	waitingCount  int
	gangUnit      *unit
	failureBudget health.Budget
	// everPlaced tells that something of the job was placed before.
	everPlaced bool
	inIdleList bool
	givenUp    bool
}

// unit is what is placed in one decision: a task, or all waiting tasks of a gang.
type unit struct {
	id       task.ID
	jobState *jobState
	tasks    []plan.WaitingTask
	// taskSize is the size of each task.
	taskSize capacity.Size
	readyAt  time.Duration
	// rank is the place in the team's queue.
	rank     time.Duration
	sequence uint64
	list     unitList
	// queuedAt is when it became ready.
	queuedAt    time.Duration
	reservation *reservation
	// triedRevision is the count of changes at the last search in vain.
	triedRevision uint64
}

func unitKey(u *unit) task.ID { return u.id }

func bySequence(a, b *unit) bool { return a.sequence < b.sequence }

func byReadyTime(a, b *unit) bool {
	if a.readyAt != b.readyAt {
		return a.readyAt < b.readyAt
	}
	return a.sequence < b.sequence
}

func (u *unit) deadline() time.Duration { return u.tasks[0].AcceptedAt + u.jobState.spec.Deadline }

func byDeadline(a, b *unit) bool {
	if x, y := a.deadline(), b.deadline(); x != y {
		return x < y
	}
	return a.sequence < b.sequence
}

func byRank(a, b *unit) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

// totalSize is the size of the unit's tasks together.
func (u *unit) totalSize() capacity.Size { return u.taskSize.Times(int64(len(u.tasks))) }

func (p *Planner) jobState(id uint64, spec *job.Spec) *jobState {
	js := p.jobs[id]
	if js == nil {
		js = &jobState{id: id, spec: spec, team: p.team(spec.Team)}
		p.jobs[id] = js
	}
	return js
}

// listIfIdle lists a job that may be over; it is forgotten at the next decision, when
// its retries would have been told of.
func (p *Planner) listIfIdle(js *jobState) {
	if len(js.placed) == 0 && js.waitingCount == 0 && !js.inIdleList {
		js.inIdleList = true
		p.idleJobs = append(p.idleJobs, js)
	}
}

func (p *Planner) forgetIdleJobs() {
	for _, js := range p.idleJobs {
		js.inIdleList = false
		if len(js.placed) == 0 && js.waitingCount == 0 && p.jobs[js.id] == js {
			delete(p.jobs, js.id)
		}
	}
	p.idleJobs = p.idleJobs[:0]
}

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
		if js.spec.Whole() {
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

// markNew has the next decision look at the unit.
func (p *Planner) markNew(u *unit) {
	if u.list == inNoList {
		u.list = inNewUnits
		p.newUnits = append(p.newUnits, u)
	}
}

// removeFromList takes the unit out of its list; what is in fresh stays there.
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
		if u.jobState.spec.Whole() {
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

// dequeue takes one task out of its unit, and an empty unit out of everything.
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

// fitsAnyServer tells whether any server known could hold a task of that size alone.
// What none could hold waits aside: it counts for no share and costs no search.
func (p *Planner) fitsAnyServer(size capacity.Size) bool {
	for serverSize, n := range p.serverSizes {
		if n > 0 && size.Fits(serverSize) {
			return true
		}
	}
	return false
}

// retryUnplaceable looks again at what waits aside when a new kind of server has come.
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

// dequeuePlaced removes a waiting task that turned out to be placed.
func (p *Planner) dequeuePlaced(id task.ID) {
	if u := p.waiting[id]; u != nil {
		p.dequeue(u, id)
		u.jobState.everPlaced = true
	}
}

// queueReadyUnits puts what is ready into its team's queue.
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

// assignList puts the unit into the list that it belongs to now. A gang of which
// something still runs is in none: it starts whole or not at all.
func (p *Planner) assignList(u *unit) {
	if u.jobState.givenUp {
		return
	}
	if u.jobState.spec.Whole() && len(u.jobState.placed) > 0 {
		return
	}
	if u.readyAt > p.now {
		u.list = inDelayedUnits
		p.delayedUnits.Add(u)
		return
	}
	// Also what no server could hold: the caller of a job that waits for servers
	// to come is told at its deadline like any other.
	if u.jobState.spec.Deadline > 0 && !u.jobState.everPlaced {
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

// countQueued takes note of a new unit in its team's queue.
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
	if u.jobState.spec.Whole() {
		t.waitingGangCount++
	}
	t.blockedRevision = 0
	t.waitingSizes.add(u.taskSize)
}

// queueRank orders a team's work by age and expected run time: short work goes first,
// but nothing is overtaken by what came later than orderWeight times its own
// expected run time, or than orderMost. Gangs go before.
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
