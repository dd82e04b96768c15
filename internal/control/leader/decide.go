package leader

import (
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/plan"
)

// Limits on the decisions of one turn.
const (
	// maxDecisionsPerCall limits the decisions that one call of the planner
	// returns.
	maxDecisionsPerCall = 512
	// maxPlannerCalls limits the planner calls in one turn, so that items do not
	// wait too long.
	maxPlannerCalls = 4
)

// applyDecisions calls the planner and applies its decisions to the ledger.
func (l *Leader) applyDecisions() {
	if !l.leadership.planNeeded || len(l.leadership.pendingCommands) > maxPendingCommands {
		return
	}
	for range maxPlannerCalls {
		decisions := l.leadership.planner.Decide(l.ledgerTime(), maxDecisionsPerCall)
		for _, d := range decisions {
			l.applyDecision(d)
		}
		if len(decisions) == 0 {
			l.leadership.planNeeded = false
			return
		}
	}
}

// applyDecision turns a planner decision into a command.
func (l *Leader) applyDecision(d plan.Decision) {
	l.recordDecision(d)
	var r state.Result
	switch d.Action {
	case plan.Place:
		r = l.placeTasks(d)
	case plan.Preempt:
		r = l.haltTask(d.Task, true)
	case plan.Stop:
		r = l.haltTask(d.Task, false)
	case plan.Throttle:
		l.throttleTask(d.Task)
	case plan.Drop:
		r = l.dropJob(d.Job, code.DeadlinePassed)
	case plan.Park:
		r = l.dropJob(d.Job, code.GivenUp)
	case plan.Quarantine:
		r = l.markServer(d.Server, backend.Quarantined)
	case plan.Restore:
		r = l.markServer(d.Server, backend.Ready)
	}
	if r.Code != code.OK {
		// The ledger refused the decision, so the planner's view of the ledger is
		// wrong. Without a correction the planner would decide the same at every turn.
		l.resyncPlanner(d)
		l.Log.Info("the ledger refused a planner decision", "verb", d.Action, "job", d.Job, "code", uint32(r.Code), "detail", r.Detail)
	}
}

// resyncPlanner passes the ledger's state of the servers and tasks of a refused
// decision to the planner again. The planner reverts a placement by itself when no
// Hold confirms it.
func (l *Leader) resyncPlanner(d plan.Decision) {
	for _, p := range d.Placements {
		if b, ok := l.ledger.Server(p.Server); ok {
			ledgerWatcher{l}.ServerChanged(b)
		}
	}
	t, ok := l.ledger.Task(d.Task)
	if !ok || len(d.Placements) > 0 {
		return
	}
	if j, known := l.ledger.Job(t.ID.Job); known && t.Phase.HoldsCapacity() {
		l.leadership.planner.SetPlaced(heldTask(j, t))
	}
}

func (l *Leader) placeTasks(d plan.Decision) state.Result {
	placement := &record.Place{Job: d.Job}
	for _, s := range d.Placements {
		b, _ := l.ledger.Server(s.Server)
		placement.Spots = append(placement.Spots, &record.Spot{Index: s.Index, Server: s.Server, Incarnation: b.Incarnation})
	}
	return l.applyIfAccepted(&record.Command{What: &record.Command_Place{Place: placement}})
}

func (l *Leader) haltTask(id task.ID, checkpoint bool) state.Result {
	return l.applyIfAccepted(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: id.Job, Indexes: []uint32{id.Index}, Checkpoint: checkpoint}}})
}

// recallUnstarted halts tasks that were placed on a draining server and that the
// server has not reported. Their start orders may have been lost with a sync reply.
// Sending them again would give new work to a server that is leaving. The server
// records the stop of an attempt that it does not know and reports that nothing was
// started.
func (l *Leader) recallUnstarted(b state.Server, s *session) {
	if !b.IsDrained() && b.Server.State != backend.Draining {
		return
	}
	var unstarted []task.ID
	l.ledger.EachPlacedTask(b.ID, func(t *state.Task) {
		if _, known := s.reportedPhases[t.CurrentAttempt()]; t.Phase == state.Placed && t.Incarnation == s.incarnation && !known {
			unstarted = append(unstarted, t.ID)
		}
	})
	for _, id := range unstarted {
		l.applyIfAccepted(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: id.Job, Indexes: []uint32{id.Index}, Idle: true}}})
	}
}

func (l *Leader) dropJob(job uint64, c code.Code) state.Result {
	return l.applyIfAccepted(&record.Command{What: &record.Command_Drop{Drop: &record.Drop{Job: job, Code: uint32(c)}}})
}

func (l *Leader) markServer(server string, s backend.State) state.Result {
	b, _ := l.ledger.Server(server)
	return l.applyIfAccepted(&record.Command{What: &record.Command_Mark{Mark: &record.Mark{Server: server, Incarnation: b.Incarnation, State: uint32(s)}}})
}

// ledgerWatcher passes the changes that a command makes in the ledger to the
// planner, the sessions and the parked waits.
type ledgerWatcher struct{ leader *Leader }

var _ state.Observer = ledgerWatcher{}

// TableChanged passes a new table revision to the planner.
func (w ledgerWatcher) TableChanged(t table.Table) {
	w.leader.leadership.planner.SetTable(t)
	w.leader.leadership.tableIndex = w.leader.leadership.lastIndex + 1 // lastIndex is incremented after the command is applied
	w.leader.leadership.planNeeded = true
}

// ServerChanged passes a changed server to the planner. A server that is drained by an
// operator or with its zone is passed on as draining.
func (w ledgerWatcher) ServerChanged(b state.Server) {
	s := b.Server
	if b.IsDrained() && s.State != backend.Gone {
		s.State = backend.Draining
	}
	w.leader.leadership.planner.SetServer(s)
	w.leader.reportServer(b)
	w.leader.leadership.planNeeded = true
}

// WaitingAdded passes a waiting task to the planner.
func (w ledgerWatcher) WaitingAdded(j *state.Job, t *state.Task) {
	w.leader.leadership.planner.AddWaiting(plan.WaitingTask{ID: t.ID, Job: j.Spec, AcceptedAt: j.AcceptedAt, Attempts: t.Attempt})
	w.leader.leadership.planNeeded = true
}

// WaitingRemoved tells the planner that a task is no longer waiting.
func (w ledgerWatcher) WaitingRemoved(id task.ID) { w.leader.leadership.planner.RemoveWaiting(id) }

// TaskPlaced passes a placement to the planner and marks the session of its server as
// updated.
func (w ledgerWatcher) TaskPlaced(j *state.Job, t *state.Task) {
	w.leader.leadership.planner.SetPlaced(heldTask(j, t))
	w.leader.recordPlacement(t)
	w.leader.leadership.updatedServers[t.Server] = true
}

// TaskStopping tells the planner that a task is being stopped and marks the session of
// its server as updated.
func (w ledgerWatcher) TaskStopping(j *state.Job, t *state.Task) {
	w.leader.leadership.planner.SetPlaced(heldTask(j, t))
	w.leader.leadership.updatedServers[t.Server] = true
}

func heldTask(j *state.Job, t *state.Task) plan.PlacedTask {
	return plan.PlacedTask{ID: t.ID, Job: j.Spec, AcceptedAt: j.AcceptedAt, Server: t.Server, PlacedAt: t.PhaseSince, Stopping: t.Phase == state.Stopping}
}

// AttemptEnded tells the planner that an attempt no longer runs.
func (w ledgerWatcher) AttemptEnded(_ *state.Job, t *state.Task, end state.AttemptEnd) {
	w.leader.recordRelease(t, end)
	w.leader.leadership.planner.EndAttempt(t.ID, plan.AttemptEnd{EndedAt: w.leader.ledger.Now(), Started: end.Started, Failed: end.Failed, ServerLost: end.Lost})
	w.leader.leadership.planNeeded = true
}

// JobEnded answers the parked waits for a job that has ended.
func (w ledgerWatcher) JobEnded(j *state.Job) {
	w.leader.recordJobEnd(j)
	w.leader.answerParkedWaits(j)
}

// checkSilentServers marks servers whose sync is overdue as suspect, and fences
// servers whose lease has expired.
func (l *Leader) checkSilentServers(now time.Duration) {
	lead := l.leadership
	if !lead.leadershipConfirmed || now-lead.confirmedAt > l.MaxConfirmationAge {
		return // without a recent confirmation another replica may already lead
	}
	for id, s := range lead.sessions {
		if now-s.lastSyncAt <= l.SyncTimeout {
			continue
		}
		b, ok := l.ledger.Server(id)
		if !ok || b.Server.State == backend.Gone || b.Incarnation != s.incarnation {
			delete(lead.sessions, id)
			continue
		}
		if b.Server.State == backend.Ready || b.Server.State == backend.Quarantined {
			// The server gets no new work from now on, before the wait for its
			// lease begins. A server that returns during that wait must not be given
			// new work under a lease that is about to expire.
			l.markServer(b.ID, backend.Suspect)
		}
		if lead.leases.Expired(b.ID, now) {
			l.applyAndQueue(&record.Command{What: &record.Command_Fence{Fence: &record.Fence{Server: b.ID, Incarnation: b.Incarnation}}})
			delete(lead.sessions, b.ID)
			lead.leases.Forget(b.ID)
		}
	}
}
