package cell

import (
	"math"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/fit"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/share"
)

// Bounds of one call of Decide.
const (
	// maxDrops bounds the jobs dropped in one call, so that many deadlines that expire
	// together do not delay placements.
	maxDrops = 64
	// shareUnit is the number of units in which the table counts the whole cell. Guaranteed
	// shares are thousandths.
	shareUnit = 1000.0
)

// Decide returns at most limit decisions, the most urgent first.
func (p *Planner) Decide(now time.Duration, limit int) []plan.Decision {
	p.now, p.maxDecisions, p.decisions = now, limit, nil
	if limit <= 0 {
		return nil
	}
	p.requeueUnconfirmed()
	p.forgetIdleJobs()
	p.queueReadyUnits()
	p.rebalance()
	p.emitPending()
	p.startReserved()
	p.placeUrgent()
	p.handleMisbehavior()
	p.dropExpired()
	p.fillUrgentReserve()
	p.placeDisplacedServices()
	p.enforceLimits()
	p.moveServices()
	p.placeByShare()
	p.reclaimShares()
	p.placeProbes()
	return p.decisions
}

func (p *Planner) atDecisionLimit() bool { return len(p.decisions) >= p.maxDecisions }

// emit adds the decision to the result of this call, or to that of the next call if the
// limit is reached.
func (p *Planner) emit(d plan.Decision) {
	if p.atDecisionLimit() {
		p.pendingDecisions = append(p.pendingDecisions, d)
		return
	}
	p.decisions = append(p.decisions, d)
}

// emitPending emits the decisions that exceeded the limit of the previous call.
func (p *Planner) emitPending() {
	n := min(len(p.pendingDecisions), p.maxDecisions)
	p.decisions = append(p.decisions, p.pendingDecisions[:n]...)
	p.pendingDecisions = append(p.pendingDecisions[:0], p.pendingDecisions[n:]...)
}

// requeueUnconfirmed queues the tasks again that the previous call placed and the ledger did
// not confirm.
func (p *Planner) requeueUnconfirmed() {
	unconfirmed := p.unconfirmedTasks
	p.unconfirmedTasks = p.unconfirmedTasks[:0]
	for _, pt := range unconfirmed {
		if !pt.unconfirmed || p.placed[pt.ID] != pt {
			continue
		}
		p.removeTask(pt)
		p.enqueue(pt.jobState, pt.waitingTask)
	}
}

// rebalance computes the target shares if they are stale or RebalanceInterval has passed.
func (p *Planner) rebalance() {
	if !p.targetsStale && p.now-p.rebalancedAt < p.cfg.RebalanceInterval {
		return
	}
	p.targetsStale, p.rebalancedAt = false, p.now
	p.urgentReserve.Advance(p.now)
	teams := make([]*teamState, 0, p.teamsByNeed.Len())
	shareInputs := make([]share.Team, 0, p.teamsByNeed.Len())
	p.teamsByNeed.Each(func(t *teamState) bool {
		teams = append(teams, t)
		shareInputs = append(shareInputs, p.shareInput(t))
		return true
	})
	minShares := share.MinShares(shareInputs)
	for i, target := range share.Divide(shareInputs) {
		p.setTargetShare(teams[i], target, minShares[i])
	}
}

// shareInput returns the team's input for the computation of target shares.
func (p *Planner) shareInput(t *teamState) share.Team {
	if !t.inTable {
		return share.Team{}
	}
	demand := clampToLimit(t.allocated.Add(t.waiting).Sub(t.unplaceable), t.row.Limit)
	return share.Team{
		Guarantee: float64(t.row.GuaranteedShare) / shareUnit,
		Weight:    float64(max(1, t.row.Weight)),
		Demand:    min(1, demand.DominantShare(p.totalCapacity)),
	}
}

// clampToLimit returns the size with each field reduced to the limit.
func clampToLimit(s, limit capacity.Size) capacity.Size {
	clampField := func(n, l int64) int64 {
		if l == capacity.Unlimited {
			return n
		}
		return min(n, l)
	}
	return capacity.Size{
		CPU: clampField(s.CPU, limit.CPU), Memory: clampField(s.Memory, limit.Memory),
		Accel: clampField(s.Accel, limit.Accel), Slots: clampField(s.Slots, limit.Slots),
	}
}

// setTargetShare sets the team's target share and reorders teamsByNeed if the fair share
// changed by at least 1/256.
func (p *Planner) setTargetShare(t *teamState, targetShare, minShare float64) {
	t.targetShare = targetShare
	fairShare := max(targetShare, minShare)
	if math.Abs(fairShare-t.fairShare) < fairShare/256 {
		return
	}
	p.teamsByNeed.Remove(t.name)
	t.fairShare = fairShare
	t.usageRatio = p.usageRatio(t)
	p.teamsByNeed.Add(t)
}

// usageRatio returns the team's allocated and reserved fraction of the cell, divided by its
// fair share.
func (p *Planner) usageRatio(t *teamState) float64 {
	fraction := t.allocated.Add(t.reserved).DominantShare(p.totalCapacity)
	if fraction <= 0 {
		return 0
	}
	if t.fairShare <= 0 {
		return math.MaxFloat64
	}
	return fraction / t.fairShare
}

// withinLimit reports whether the team's limit allows more on top of its allocated and
// reserved capacity.
func (p *Planner) withinLimit(t *teamState, more capacity.Size) bool {
	return t.inTable && t.allocated.Add(t.reserved).Add(more).Within(t.row.Limit)
}

// limitAllows reports whether the team's limit allows the unit to start. Capacity reserved
// for other units of the team does not count against urgent units.
func (p *Planner) limitAllows(u *unit) bool {
	more := u.totalSize()
	if t := u.jobState.team; u.jobState.spec.Kind == job.Urgent {
		return t.inTable && t.allocated.Add(more).Within(t.row.Limit)
	}
	return p.withinLimit(u.jobState.team, more.Sub(u.reservedSize()))
}

// eligible reports whether the unit may be placed, or may reserve capacity, when its team is
// served. A gang needs room for only one more task within the team's limit. Otherwise the
// team's smaller tasks would use up each part of the limit that becomes free.
func (p *Planner) eligible(u *unit) bool {
	if !u.jobState.spec.AllOrNothing() {
		return u.reservation == nil && p.limitAllows(u)
	}
	return u.totalSize().Within(u.jobState.team.row.Limit) && p.withinLimit(u.jobState.team, u.taskSize)
}

// startUnit places the unit's tasks, each on the server of the same index.
func (p *Planner) startUnit(u *unit, servers []*server) {
	p.dropReservation(u)
	tasks := append([]plan.WaitingTask(nil), u.tasks...)
	placements := make([]plan.Placement, len(tasks))
	u.jobState.everPlaced = true
	for i, q := range tasks {
		p.dequeue(u, q.ID)
		pt := p.addTask(plan.PlacedTask{ID: q.ID, Job: q.Job, AcceptedAt: q.AcceptedAt, Server: servers[i].ID, PlacedAt: p.now}, servers[i])
		pt.unconfirmed, pt.waitingTask, pt.priorAttempts = true, q, q.Attempts
		p.unconfirmedTasks = append(p.unconfirmedTasks, pt)
		placements[i] = plan.Placement{Index: q.ID.Index, Server: servers[i].ID}
	}
	p.emit(plan.Decision{Action: plan.Place, Job: u.jobState.id, Placements: placements})
}

// findServer returns the best server for one task of the unit, or nil if it fits on none.
func (p *Planner) findServer(u *unit, need capacity.Size) *server {
	if p.unplaceable.covers(need) {
		return nil
	}
	accepts := u.serverFilter()
	s := p.bestServer(need, accepts)
	if s == nil && accepts == nil {
		p.unplaceable.add(need)
	}
	return s
}

// serverFilter returns a filter that rejects the servers on which the unit's job failed, or
// nil if the job has not failed.
func (u *unit) serverFilter() func(*server) bool {
	if u.jobState.failureBudget.Failures() == 0 {
		return nil
	}
	return func(s *server) bool { return !u.jobState.failureBudget.FailedOn(s.number) }
}

// bestServer returns the best server of all zones, or nil if need fits on none.
func (p *Planner) bestServer(need capacity.Size, accepts func(*server) bool) *server {
	var best *server
	bound := fit.WorstScore
	for _, z := range p.zones {
		if !need.Fits(z.free) {
			continue
		}
		if s, score, ok := z.index.Best(need, bound, accepts); ok {
			best, bound = s, score
		}
	}
	return best
}

// placeByShare places services, batch and gangs of the team with the lowest usage ratio
// first, until nothing more fits.
func (p *Planner) placeByShare() {
	for !p.atDecisionLimit() {
		t := p.nextTeam()
		if t == nil {
			return
		}
		if !p.placeFirstFitting(t) {
			t.blockedRevision = p.freeRevision
		}
	}
}

// nextTeam returns the team with the lowest usage ratio that has a unit that may fit.
func (p *Planner) nextTeam() *teamState {
	var found *teamState
	p.teamsByNeed.Each(func(t *teamState) bool {
		if t.blockedRevision == p.freeRevision || !t.inTable || !t.waitingSizes.anyPlaceable(&p.unplaceable) {
			return true
		}
		found = t
		return false
	})
	return found
}

// placeFirstFitting places the first of the team's units that fits. It examines ScanDepth
// units of each queue and reports whether it placed one.
func (p *Planner) placeFirstFitting(t *teamState) bool {
	p.unitBuffer = t.queues[job.Service].AppendFirst(p.cfg.ScanDepth, p.unitBuffer[:0])
	p.unitBuffer = t.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, p.unitBuffer)
	for _, u := range p.unitBuffer {
		if !p.eligible(u) {
			continue
		}
		if p.placeUnit(u) {
			return true
		}
	}
	return false
}

// placeUnit starts the unit if it fits. A gang that does not fit reserves capacity instead.
func (p *Planner) placeUnit(u *unit) bool {
	switch u.jobState.spec.Kind {
	case job.Gang:
		return p.placeGang(u) || p.reserveForGang(u)
	case job.Service:
		return p.placeService(u)
	}
	s := p.findServer(u, u.jobState.spec.Size)
	if s == nil {
		return false
	}
	p.startUnit(u, []*server{s})
	return true
}
