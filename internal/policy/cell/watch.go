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
	// tolerance is the part by which reported processor time may exceed the
	// declared size; it is measured over short windows.
	tolerance = 0.1
	// shortGrace is the time to fall back to the declared size on a server that is
	// overcommitted by what is used.
	shortGrace = 2 * time.Second
	// again is the time after which a decision without effect is repeated.
	again = 5 * time.Second
)

// exceeds tells whether a task uses more than its declared size.
func exceeds(used, declared capacity.Size) bool {
	return float64(used.CPU) > float64(declared.CPU)*(1+tolerance) || beyond(used, declared)
}

// beyond tells whether a task uses more of what throttling does not give back.
func beyond(used, declared capacity.Size) bool {
	return used.Memory > declared.Memory || used.Accel > declared.Accel || used.Slots > declared.Slots
}

// watch decides on tasks, jobs and servers that do not keep to what is expected.
func (p *Planner) watch() {
	p.watchUse()
	p.watchGangs()
	p.watchServers()
	p.park()
}

// watchUse throttles tasks beyond their declared size, and stops those that stay
// beyond it. The grace is short where the server has no room for the excess, and
// there is none for what throttling does not give back. A task that may run only
// once is throttled and never stopped: to stop it would be to lose it.
func (p *Planner) watchUse() {
	p.over = slices.DeleteFunc(p.over, func(h *holding) bool {
		if p.held[h.ID] != h || !h.exceeds || h.Stopping {
			h.listed = false
			return true
		}
		if p.full() {
			return false
		}
		return p.curb(h)
	})
}

// curb takes the next step against one task and tells whether it was the last.
func (p *Planner) curb(h *holding) bool {
	tight := !h.srv.actual().Valid()
	hard := tight && beyond(h.size, h.Job.Size)
	if h.Job.Once && h.throttled > 0 {
		return true
	}
	if h.throttled == 0 && (!hard || h.Job.Once) {
		h.throttled = max(p.now, 1)
		p.emit(plan.Decision{Action: plan.Throttle, Task: h.ID, Reason: "uses more than it declared"})
		return false
	}
	grace := p.cfg.ThrottleGrace
	if tight {
		grace = shortGrace
	}
	if !hard && (h.usedAt < h.throttled+grace || p.now < h.throttled+grace) {
		return false
	}
	p.stop(h)
	h.curbed = true
	p.emit(plan.Decision{Action: plan.Stop, Task: h.ID, Reason: "uses more than it declared"})
	return true
}

// watchGangs stops what is left of gangs that lost a task.
func (p *Planner) watchGangs() {
	for _, w := range p.broken {
		for _, h := range w.held {
			p.preemptOne(h, "its gang lost a task")
		}
	}
	p.broken = p.broken[:0]
}

// learn takes note of how an attempt ended. What was stopped on purpose says nothing about
// job or server, and what went away with its server only where it had just begun.
func (p *Planner) learn(h *holding, how plan.AttemptEnd) {
	if h.curbed && !how.ServerLost {
		h.work.budget.RecordStop()
	}
	switch {
	case how.ServerLost:
		h.work.budget.RecordServerLoss(h.ID.Index, h.srv.silent-h.PlacedAt)
		return
	case !how.Started || h.Stopping:
		return
	}
	h.work.budget.ResetCrashes(h.ID.Index)
	name := health.JobNameOf(h.Job)
	if !how.Failed {
		p.estimates.Observe(h.Job, how.EndedAt-h.PlacedAt)
		p.guard.RecordSuccess(name, h.srv.num)
		return
	}
	p.guard.RecordFailure(name, h.srv.num, how.EndedAt)
	if h.srv.State != backend.Quarantined {
		h.work.budget.RecordFailure(h.srv.num)
	}
	if p.guard.ShouldQuarantine(h.srv.num, len(p.list)) {
		p.suspects = append(p.suspects, h.srv)
	}
}

// confine notes that the server is in quarantine.
func (p *Planner) confine(s *server, since time.Duration) {
	p.guard.Quarantine(s.num, since)
	if !slices.Contains(p.quarantined, s) {
		p.quarantined = append(p.quarantined, s)
	}
}

// watchServers takes failing servers out of use and brings sound ones back.
func (p *Planner) watchServers() {
	for _, s := range p.suspects {
		if s.State == backend.Ready && p.guard.ShouldQuarantine(s.num, len(p.list)) && !p.lacks(Quarantine) {
			p.quarantine(s)
		}
	}
	p.suspects = p.suspects[:0]
	p.quarantined = slices.DeleteFunc(p.quarantined, func(s *server) bool { return s.State != backend.Quarantined })
	for _, s := range p.quarantined {
		if p.guard.Recovered(s.num) && (s.restored == 0 || p.now >= s.restored+again) {
			s.restored = max(p.now, 1)
			p.emit(plan.Decision{Action: plan.Restore, Server: s.ID, Reason: "its probes succeeded"})
		}
	}
}

// quarantine takes the server out of use and forgives the jobs that failed there:
// a server that fails everything must not use up the budgets of sound jobs.
func (p *Planner) quarantine(s *server) {
	s.State, s.restored = backend.Quarantined, 0
	p.confine(s, p.now)
	p.touch(s)
	for _, w := range p.works {
		w.budget.RemoveFailures(s.num)
	}
	p.emit(plan.Decision{Action: plan.Quarantine, Server: s.ID, Reason: "fails what runs elsewhere"})
}

// park gives up jobs that failed too often.
func (p *Planner) park() {
	for _, w := range p.spent {
		if w.given || !w.budget.Exhausted() || p.works[w.id] != w {
			continue
		}
		w.given = true
		p.shelve(w)
		p.emit(plan.Decision{Action: plan.Park, Job: w.id, Reason: w.budget.Reason()})
	}
	p.spent = p.spent[:0]
}

// shelve takes everything of the job that waits out of the queues.
func (p *Planner) shelve(w *work) {
	for i := range w.spec.Count {
		u := p.waits[task.ID{Job: w.id, Index: i}]
		if u == nil {
			continue
		}
		p.dropClaim(u)
		p.detach(u)
	}
}

// expire drops jobs whose deadline passed before anything of them was placed.
func (p *Planner) expire() {
	for range mostDrops {
		u, ok := p.late.Min()
		if !ok || u.expires() > p.now || p.full() {
			return
		}
		p.late.Remove(u.id)
		w := u.work
		if w.given || w.started || w.waits != int(w.spec.Count) {
			continue
		}
		w.given = true
		p.shelve(w)
		p.emit(plan.Decision{Action: plan.Drop, Job: w.id, Reason: "deadline passed"})
	}
}

// probe gives a task to a server in quarantine whose time has come: one at a
// time, and one that may be repeated.
func (p *Planner) probe() {
	for _, s := range p.quarantined {
		if p.full() {
			return
		}
		if s.State != backend.Quarantined || !p.guard.MayProbe(s.num, p.now) || len(s.tasks) > 0 {
			continue
		}
		if u := p.probeWith(s); u != nil {
			p.start(u, []*server{s})
		}
	}
}

// probeWith returns a waiting task to test the server with.
func (p *Planner) probeWith(s *server) *unit {
	var found *unit
	p.order.Each(func(c *account) bool {
		for _, u := range c.queues[job.Batch].AppendFirst(p.cfg.ScanDepth, nil) {
			spec := u.work.spec
			if !spec.Once && !spec.Whole() && u.claim == nil && u.work.budget.Failures() == 0 && spec.Size.Fits(s.room()) && p.within(c, spec.Size) {
				found = u
				return false
			}
		}
		return true
	})
	return found
}
