package cell

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/health"
	"gypsumreel/internal/policy/plan"
)

const (
	// cpuTolerance is the fraction by which reported CPU usage may exceed the declared size.
	// CPU usage is measured over short windows and fluctuates.
	cpuTolerance = 0.1
	// overcommitGrace replaces Config.ThrottleGrace on a server whose tasks use more than its
	// capacity.
	overcommitGrace = 2 * time.Second
	// restoreRetryInterval is the time after which a Restore decision without effect is repeated.
	restoreRetryInterval = 5 * time.Second
)

// exceedsDeclared reports whether the usage is above the declared size.
func exceedsDeclared(usage, declared capacity.Size) bool {
	return float64(usage.CPU) > float64(declared.CPU)*(1+cpuTolerance) || exceedsUnthrottleable(usage, declared)
}

// exceedsUnthrottleable reports whether the usage is above the declared size in a resource
// that throttling does not reduce.
func exceedsUnthrottleable(usage, declared capacity.Size) bool {
	return usage.Memory > declared.Memory || usage.Accel > declared.Accel || usage.Slots > declared.Slots
}

// handleMisbehavior makes the decisions about tasks above their size, gangs that lost a
// task, failing servers and failing jobs.
func (p *Planner) handleMisbehavior() {
	p.enforceUsage()
	p.stopBrokenGangs()
	p.updateQuarantine()
	p.parkExhaustedJobs()
}

// enforceUsage throttles tasks above their declared size and stops those that stay above it
// for the grace time. On an overcommitted server the grace time is short, and there is none
// for excess in a resource that throttling does not reduce. A task that may run only once
// is throttled but never stopped, because it could not be retried.
func (p *Planner) enforceUsage() {
	p.overuseTasks = slices.DeleteFunc(p.overuseTasks, func(pt *placedTask) bool {
		if p.placed[pt.ID] != pt || !pt.exceedsDeclared || pt.Stopping {
			pt.inOveruseList = false
			return true
		}
		if p.atDecisionLimit() {
			return false
		}
		return p.enforceTaskUsage(pt)
	})
}

// enforceTaskUsage throttles or stops one task if it is due. It returns true if no further
// step follows.
func (p *Planner) enforceTaskUsage(pt *placedTask) bool {
	serverOvercommitted := !pt.server.uncommitted().Valid()
	stopAtOnce := serverOvercommitted && exceedsUnthrottleable(pt.countedSize, pt.Job.Size)
	if pt.Job.AtMostOnce && pt.throttledAt > 0 {
		return true
	}
	if pt.throttledAt == 0 && (!stopAtOnce || pt.Job.AtMostOnce) {
		pt.throttledAt = max(p.now, 1)
		p.emit(plan.Decision{Action: plan.Throttle, Task: pt.ID, Reason: "usage above the declared size"})
		return false
	}
	grace := p.cfg.ThrottleGrace
	if serverOvercommitted {
		grace = overcommitGrace
	}
	if !stopAtOnce && (pt.usageAt < pt.throttledAt+grace || p.now < pt.throttledAt+grace) {
		return false
	}
	p.markStopping(pt)
	pt.stoppedForUsage = true
	p.emit(plan.Decision{Action: plan.Stop, Task: pt.ID, Reason: "usage above the declared size"})
	return true
}

// stopBrokenGangs stops the remaining tasks of gangs that lost a task.
func (p *Planner) stopBrokenGangs() {
	for _, js := range p.brokenGangs {
		for _, pt := range js.placed {
			p.preemptTask(pt, "another task of the gang failed or was lost")
		}
	}
	p.brokenGangs = p.brokenGangs[:0]
}

// recordEnd updates failure budget, run time estimate and server health after an attempt.
// An attempt stopped for its usage counts against the job. Other stopped attempts count
// neither against the job nor against the server. An attempt lost with its server counts
// against the job only if it had just started.
func (p *Planner) recordEnd(pt *placedTask, end plan.AttemptEnd) {
	if pt.stoppedForUsage && !end.ServerLost {
		pt.jobState.failureBudget.RecordStop()
	}
	switch {
	case end.ServerLost:
		pt.jobState.failureBudget.RecordServerLoss(pt.ID.Index, pt.server.silentSince-pt.PlacedAt)
		return
	case !end.Started || pt.Stopping:
		return
	}
	pt.jobState.failureBudget.ResetCrashes(pt.ID.Index)
	name := health.JobNameOf(pt.Job)
	if !end.Failed {
		p.runtimeEstimates.Observe(pt.Job, end.EndedAt-pt.PlacedAt)
		p.healthGuard.RecordSuccess(name, pt.server.number)
		return
	}
	p.healthGuard.RecordFailure(name, pt.server.number, end.EndedAt)
	if pt.server.State != backend.Quarantined {
		pt.jobState.failureBudget.RecordFailure(pt.server.number)
	}
	if p.healthGuard.ShouldQuarantine(pt.server.number, len(p.serverList)) {
		p.suspectServers = append(p.suspectServers, pt.server)
	}
}

// markQuarantined records that the server is in quarantine.
func (p *Planner) markQuarantined(s *server, since time.Duration) {
	p.healthGuard.Quarantine(s.number, since)
	if !slices.Contains(p.quarantinedServers, s) {
		p.quarantinedServers = append(p.quarantinedServers, s)
	}
}

// updateQuarantine quarantines failing servers and restores those whose probes succeeded.
func (p *Planner) updateQuarantine() {
	for _, s := range p.suspectServers {
		if s.State == backend.Ready && p.healthGuard.ShouldQuarantine(s.number, len(p.serverList)) && !p.disabled(Quarantine) {
			p.quarantineServer(s)
		}
	}
	p.suspectServers = p.suspectServers[:0]
	p.quarantinedServers = slices.DeleteFunc(p.quarantinedServers, func(s *server) bool { return s.State != backend.Quarantined })
	for _, s := range p.quarantinedServers {
		if p.healthGuard.Recovered(s.number) && (s.restoreDecidedAt == 0 || p.now >= s.restoreDecidedAt+restoreRetryInterval) {
			s.restoreDecidedAt = max(p.now, 1)
			p.emit(plan.Decision{Action: plan.Restore, Server: s.ID, Reason: "probes succeeded"})
		}
	}
}

// quarantineServer quarantines the server and removes the failures on it from the failure
// budgets of all jobs. Otherwise a faulty server would exhaust the budgets of healthy jobs.
func (p *Planner) quarantineServer(s *server) {
	s.State, s.restoreDecidedAt = backend.Quarantined, 0
	p.markQuarantined(s, p.now)
	p.refreshFree(s)
	for _, js := range p.jobs {
		js.failureBudget.RemoveFailures(s.number)
	}
	p.emit(plan.Decision{Action: plan.Quarantine, Server: s.ID, Reason: "tasks fail here that succeed on other servers"})
}

// parkExhaustedJobs parks the jobs that have used up their failure budget.
func (p *Planner) parkExhaustedJobs() {
	for _, js := range p.exhaustedJobs {
		if js.givenUp || !js.failureBudget.Exhausted() || p.jobs[js.id] != js {
			continue
		}
		js.givenUp = true
		p.removeFromQueues(js)
		p.emit(plan.Decision{Action: plan.Park, Job: js.id, Reason: js.failureBudget.Reason()})
	}
	p.exhaustedJobs = p.exhaustedJobs[:0]
}

// removeFromQueues removes the job's waiting units from their lists and drops their
// reservations.
func (p *Planner) removeFromQueues(js *jobState) {
	for i := range js.spec.Count {
		u := p.waiting[task.ID{Job: js.id, Index: i}]
		if u == nil {
			continue
		}
		p.dropReservation(u)
		p.removeFromList(u)
	}
}

// dropExpired drops jobs whose deadline passed before any of their tasks was placed.
func (p *Planner) dropExpired() {
	for range maxDrops {
		u, ok := p.unitsByDeadline.Min()
		if !ok || u.deadline() > p.now || p.atDecisionLimit() {
			return
		}
		p.unitsByDeadline.Remove(u.id)
		js := u.jobState
		if js.givenUp || js.everPlaced || js.waitingCount != int(js.spec.Count) {
			continue
		}
		js.givenUp = true
		p.removeFromQueues(js)
		p.emit(plan.Decision{Action: plan.Drop, Job: js.id, Reason: "deadline passed"})
	}
}

// placeProbes places a task as a probe on each quarantined server that is due for one. A
// server gets one probe at a time. Only tasks that may be repeated serve as probes.
func (p *Planner) placeProbes() {
	for _, s := range p.quarantinedServers {
		if p.atDecisionLimit() {
			return
		}
		if s.State != backend.Quarantined || !p.healthGuard.MayProbe(s.number, p.now) || len(s.tasks) > 0 {
			continue
		}
		if u := p.selectProbe(s); u != nil {
			p.startUnit(u, []*server{s})
		}
	}
}

// selectProbe returns a waiting batch unit that can run as a probe on the server, or nil.
func (p *Planner) selectProbe(s *server) *unit {
	var found *unit
	p.teamsByNeed.Each(func(t *teamState) bool {
		for _, u := range t.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, nil) {
			spec := u.jobState.spec
			if !spec.AtMostOnce && !spec.AllOrNothing() && u.reservation == nil && u.jobState.failureBudget.Failures() == 0 && spec.Size.Fits(s.available()) && p.withinLimit(t, spec.Size) {
				found = u
				return false
			}
		}
		return true
	})
	return found
}
