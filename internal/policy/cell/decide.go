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
	// maxDrops bounds the jobs dropped in one call, so that a wave of passed
	// deadlines does not hold up placements.
	maxDrops = 64
	// shareUnit is the unit of guaranteed shares.
	shareUnit = 1000.0
)

// Decide returns at most limit decisions, the most pressing first.
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

func (p *Planner) emit(d plan.Decision) {
	if p.atDecisionLimit() {
		p.pendingDecisions = append(p.pendingDecisions, d)
		return
	}
	p.decisions = append(p.decisions, d)
}

// emitPending emits what the last call had no room for.
func (p *Planner) emitPending() {
	n := min(len(p.pendingDecisions), p.maxDecisions)
	p.decisions = append(p.decisions, p.pendingDecisions[:n]...)
	p.pendingDecisions = append(p.pendingDecisions[:0], p.pendingDecisions[n:]...)
}

// requeueUnconfirmed queues again what the last call placed and the ledger did not confirm.
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

// rebalance computes the targets anew when they may have moved.
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

func (p *Planner) shareInput(t *teamState) share.Team {
	if !t.inTable {
		return share.Team{}
	}
	demand := clampToLimit(t.allocated.Add(t.waiting).Sub(t.unplaceable), t.row.Limit)
	return share.Team{
		Guarantee: float64(t.row.Share) / shareUnit,
		Weight:    float64(max(1, t.row.Weight)),
		Demand:    min(1, demand.Dominant(p.totalCapacity)),
	}
}

// clampToLimit bounds a size by a limit.
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

// setTargetShare gives the team its target and its place in the order of need.
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

// usageRatio is what the team holds, in units of what is fair.
func (p *Planner) usageRatio(t *teamState) float64 {
	fraction := t.allocated.Add(t.reserved).Dominant(p.totalCapacity)
	if fraction <= 0 {
		return 0
	}
	if t.fairShare <= 0 {
		return math.MaxFloat64
	}
	return fraction / t.fairShare
}

// withinLimit tells whether the team may hold that much more beside what it holds and
// what room is kept for.
func (p *Planner) withinLimit(t *teamState, more capacity.Size) bool {
	return t.inTable && t.allocated.Add(t.reserved).Add(more).Within(t.row.Limit)
}

// limitAllows tells whether the limit of its team lets the unit start. Urgent work
// does not wait for what room is kept for.
func (p *Planner) limitAllows(u *unit) bool {
	more := u.totalSize()
	if t := u.jobState.team; u.jobState.spec.Kind == job.Urgent {
		return t.inTable && t.allocated.Add(more).Within(t.row.Limit)
	}
	return p.withinLimit(u.jobState.team, more.Sub(u.reservedSize()))
}

// eligible tells whether the unit may take a turn of its team. A gang may as long
// as one more of its tasks is within the limit, or the team's smaller work would
// use up the limit each time that a part of it becomes free.
func (p *Planner) eligible(u *unit) bool {
	if !u.jobState.spec.Whole() {
		return u.reservation == nil && p.limitAllows(u)
	}
	return u.totalSize().Within(u.jobState.team.row.Limit) && p.withinLimit(u.jobState.team, u.taskSize)
}

// startUnit places the unit's tasks on the servers, one each.
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

// findServer returns the best server for one task of the unit.
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

// serverFilter returns what tells servers on which the unit's job failed from others,
// or nil if it failed on none.
func (u *unit) serverFilter() func(*server) bool {
	if u.jobState.failureBudget.Failures() == 0 {
		return nil
	}
	return func(s *server) bool { return !u.jobState.failureBudget.FailedOn(s.number) }
}

// bestServer returns the best server of all zones.
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

// placeByShare places batch and gangs, the team furthest below its due first.
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

// nextTeam returns the neediest team of which something might fit.
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

// placeFirstFitting places the first unit of the team that fits.
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

// placeUnit starts the unit if it fits now.
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
