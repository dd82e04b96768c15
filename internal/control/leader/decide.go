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

// Bounds of one turn's decisions.
const (
	// maxDecisionsPerCall bounds what one call of the planner may decide.
	maxDecisionsPerCall = 512
	// maxPlannerCalls bounds the calls in one turn, so that items are not kept waiting.
	maxPlannerCalls = 4
)

// applyDecisions asks the planner and commits what it says.
func (l *Leader) applyDecisions() {
	if !l.leadership.planNeeded || len(l.leadership.pendingCommands) > maxPendingCommands {
		return
	}
	for range maxPlannerCalls {
		ds := l.leadership.planner.Decide(l.ledgerTime(), maxDecisionsPerCall)
		for _, d := range ds {
			l.applyDecision(d)
		}
		if len(ds) == 0 {
			l.leadership.planNeeded = false
			return
		}
	}
}

// applyDecision turns a decision into a command.
func (l *Leader) applyDecision(d plan.Decision) {
	l.recordDecision(d)
	var r state.Result
	switch d.Verb {
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
		r = l.dropJob(d.Job, code.Parked)
	case plan.Quarantine:
		r = l.markServer(d.Server, backend.Quarantined)
	case plan.Restore:
		r = l.markServer(d.Server, backend.Ready)
	}
	if r.Code != code.OK {
		// The ledger refused what the planner decided: the promise held, and
		// the planner's picture is wrong: it would decide the same again at
		// every turn.
		l.resyncPlanner(d)
		l.Log.Info("decision refused", "verb", d.Verb, "job", d.Job, "code", uint32(r.Code), "detail", r.Detail)
	}
}

// resyncPlanner tells the planner again how the ledger holds what a refused decision
// was about. A placement that no Hold confirms it takes back by itself.
func (l *Leader) resyncPlanner(d plan.Decision) {
	for _, p := range d.Places {
		if b, ok := l.ledger.Server(p.Server); ok {
			ledgerWatcher{l}.Server(b)
		}
	}
	t, ok := l.ledger.Task(d.Task)
	if !ok || len(d.Places) > 0 {
		return
	}
	if j, known := l.ledger.Job(t.ID.Job); known && t.Phase.Holds() {
		l.leadership.planner.Hold(heldTask(j, t))
	}
}

func (l *Leader) placeTasks(d plan.Decision) state.Result {
	p := &record.Place{Job: d.Job}
	for _, s := range d.Places {
		b, _ := l.ledger.Server(s.Server)
		p.Spots = append(p.Spots, &record.Spot{Index: s.Index, Server: s.Server, Incarnation: b.Incarnation})
	}
	return l.applyIfAccepted(&record.Command{What: &record.Command_Place{Place: p}})
}

func (l *Leader) haltTask(id task.ID, checkpoint bool) state.Result {
	return l.applyIfAccepted(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: id.Job, Indexes: []uint32{id.Index}, Checkpoint: checkpoint}}})
}

// recallUnstarted takes back what a draining server was given and does not hold. Its
// order may have been lost with an answer; given again after the mark it would
// be new work for a server that is leaving. The server notes the stop of what it
// does not know, and says that nothing was started.
func (l *Leader) recallUnstarted(b state.Server, s *session) {
	if !b.Drains() && b.Server.State != backend.Draining {
		return
	}
	var unstarted []task.ID
	l.ledger.Placed(b.ID, func(t *state.Task) {
		if _, known := s.reportedPhases[t.Current()]; t.Phase == state.Placed && t.Incarnation == s.incarnation && !known {
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

// ledgerWatcher tells planner, sessions and waiters what a command changed.
type ledgerWatcher struct{ leader *Leader }

var _ state.Watch = ledgerWatcher{}

// Table passes a new revision on.
func (w ledgerWatcher) Table(t table.Table) {
	w.leader.leadership.planner.SetTable(t)
	w.leader.leadership.tableIndex = w.leader.leadership.lastIndex + 1 // do counts the command once it is applied
	w.leader.leadership.planNeeded = true
}

// Server passes a changed server on; a drained one shows as draining.
func (w ledgerWatcher) Server(b state.Server) {
	s := b.Server
	if b.Drains() && s.State != backend.Gone {
		s.State = backend.Draining
	}
	w.leader.leadership.planner.SetServer(s)
	w.leader.reportServer(b)
	w.leader.leadership.planNeeded = true
}

// Queue passes a waiting task on.
func (w ledgerWatcher) Queue(j *state.Job, t *state.Task) {
	w.leader.leadership.planner.Queue(plan.Queued{ID: t.ID, Job: j.Spec, Accepted: j.Accepted, Attempts: t.Attempt})
	w.leader.leadership.planNeeded = true
}

// Unqueue passes on that a task waits no more.
func (w ledgerWatcher) Unqueue(id task.ID) { w.leader.leadership.planner.Unqueue(id) }

// Hold passes a placement on and lets its server's session know.
func (w ledgerWatcher) Hold(j *state.Job, t *state.Task) {
	w.leader.leadership.planner.Hold(heldTask(j, t))
	w.leader.recordPlacement(t)
	w.leader.leadership.updatedServers[t.Server] = true
}

// Stopping passes on that a task is to stop and lets its server's session know.
func (w ledgerWatcher) Stopping(j *state.Job, t *state.Task) {
	w.leader.leadership.planner.Hold(heldTask(j, t))
	w.leader.leadership.updatedServers[t.Server] = true
}

func heldTask(j *state.Job, t *state.Task) plan.Held {
	return plan.Held{ID: t.ID, Job: j.Spec, Accepted: j.Accepted, Server: t.Server, Since: t.Since, Stopping: t.Phase == state.Stopping}
}

// Release passes on that an attempt runs no more.
func (w ledgerWatcher) Release(_ *state.Job, t *state.Task, end state.End) {
	w.leader.recordRelease(t, end)
	w.leader.leadership.planner.Release(t.ID, plan.End{At: w.leader.ledger.At(), Ran: end.Ran, Failed: end.Failed, Lost: end.Lost})
	w.leader.leadership.planNeeded = true
}

// Ended wakes who waits for the job's outcome.
func (w ledgerWatcher) Ended(j *state.Job) {
	w.leader.recordJobEnd(j)
	w.leader.answerParkedWaits(j)
}

// checkSilentServers marks servers that went silent and ends sessions whose lease is over.
func (l *Leader) checkSilentServers(now time.Duration) {
	lead := l.leadership
	if !lead.leadershipConfirmed || now-lead.confirmedAt > l.MaxConfirmationAge {
		return // a leader that cannot prove to lead gives up nobody
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
			// Unschedulable before the wait for its lease begins: a server
			// that comes back halfway is not given new work on a lease that
			// is about to be declared over.
			l.markServer(b.ID, backend.Suspect)
		}
		if lead.leases.Over(b.ID, now) {
			l.applyAndQueue(&record.Command{What: &record.Command_Fence{Fence: &record.Fence{Server: b.ID, Incarnation: b.Incarnation}}})
			delete(lead.sessions, b.ID)
			lead.leases.Forget(b.ID)
		}
	}
}
