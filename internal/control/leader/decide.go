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
	// decisions bounds what one call of the planner may decide.
	decisions = 512
	// rounds bounds the calls in one turn, so that items are not kept waiting.
	rounds = 4
)

// decide asks the planner and commits what it says.
func (l *Leader) decide() {
	if !l.lead.dirty || len(l.lead.pending) > maxPending {
		return
	}
	for range rounds {
		ds := l.lead.planner.Decide(l.clock(), decisions)
		for _, d := range ds {
			l.carryOut(d)
		}
		if len(ds) == 0 {
			l.lead.dirty = false
			return
		}
	}
}

// carryOut turns a decision into a command.
func (l *Leader) carryOut(d plan.Decision) {
	l.decided(d)
	var r state.Result
	switch d.Action {
	case plan.Place:
		r = l.place(d)
	case plan.Preempt:
		r = l.halt(d.Task, true)
	case plan.Stop:
		r = l.halt(d.Task, false)
	case plan.Throttle:
		l.throttle(d.Task)
	case plan.Drop:
		r = l.drop(d.Job, code.DeadlinePassed)
	case plan.Park:
		r = l.drop(d.Job, code.GivenUp)
	case plan.Quarantine:
		r = l.mark(d.Server, backend.Quarantined)
	case plan.Restore:
		r = l.mark(d.Server, backend.Ready)
	}
	if r.Code != code.OK {
		// The ledger refused what the planner decided: the promise held, and
		// the planner's picture is wrong: it would decide the same again at
		// every turn.
		l.correct(d)
		l.Log.Info("decision refused", "verb", d.Action, "job", d.Job, "code", uint32(r.Code), "detail", r.Detail)
	}
}

// correct tells the planner again how the ledger holds what a refused decision
// was about. A placement that no Hold confirms it takes back by itself.
func (l *Leader) correct(d plan.Decision) {
	for _, p := range d.Placements {
		if b, ok := l.st.Server(p.Server); ok {
			watch{l}.ServerChanged(b)
		}
	}
	t, ok := l.st.Task(d.Task)
	if !ok || len(d.Placements) > 0 {
		return
	}
	if j, known := l.st.Job(t.ID.Job); known && t.Phase.HoldsCapacity() {
		l.lead.planner.SetPlaced(heldOf(j, t))
	}
}

func (l *Leader) place(d plan.Decision) state.Result {
	p := &record.Place{Job: d.Job}
	for _, s := range d.Placements {
		b, _ := l.st.Server(s.Server)
		p.Spots = append(p.Spots, &record.Spot{Index: s.Index, Server: s.Server, Incarnation: b.Incarnation})
	}
	return l.resolve(&record.Command{What: &record.Command_Place{Place: p}})
}

func (l *Leader) halt(id task.ID, save bool) state.Result {
	return l.resolve(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: id.Job, Indexes: []uint32{id.Index}, Checkpoint: save}}})
}

// recall takes back what a draining server was given and does not hold. Its
// order may have been lost with an answer; given again after the mark it would
// be new work for a server that is leaving. The server notes the stop of what it
// does not know, and says that nothing was started.
func (l *Leader) recall(b state.Server, s *session) {
	if !b.IsDrained() && b.Server.State != backend.Draining {
		return
	}
	var idle []task.ID
	l.st.EachPlacedTask(b.ID, func(t *state.Task) {
		if _, known := s.reports[t.CurrentAttempt()]; t.Phase == state.Placed && t.Incarnation == s.incarnation && !known {
			idle = append(idle, t.ID)
		}
	})
	for _, id := range idle {
		l.resolve(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: id.Job, Indexes: []uint32{id.Index}, Idle: true}}})
	}
}

func (l *Leader) drop(job uint64, c code.Code) state.Result {
	return l.resolve(&record.Command{What: &record.Command_Drop{Drop: &record.Drop{Job: job, Code: uint32(c)}}})
}

func (l *Leader) mark(server string, s backend.State) state.Result {
	b, _ := l.st.Server(server)
	return l.resolve(&record.Command{What: &record.Command_Mark{Mark: &record.Mark{Server: server, Incarnation: b.Incarnation, State: uint32(s)}}})
}

// watch tells planner, sessions and waiters what a command changed.
type watch struct{ l *Leader }

var _ state.Observer = watch{}

// TableChanged passes a new revision on.
func (w watch) TableChanged(t table.Table) {
	w.l.lead.planner.SetTable(t)
	w.l.lead.tabled = w.l.lead.last + 1 // do counts the command once it is applied
	w.l.lead.dirty = true
}

// ServerChanged passes a changed server on; a drained one shows as draining.
func (w watch) ServerChanged(b state.Server) {
	s := b.Server
	if b.IsDrained() && s.State != backend.Gone {
		s.State = backend.Draining
	}
	w.l.lead.planner.SetServer(s)
	w.l.serverSeen(b)
	w.l.lead.dirty = true
}

// TaskQueued passes a waiting task on.
func (w watch) TaskQueued(j *state.Job, t *state.Task) {
	w.l.lead.planner.AddWaiting(plan.WaitingTask{ID: t.ID, Job: j.Spec, AcceptedAt: j.AcceptedAt, Attempts: t.Attempt})
	w.l.lead.dirty = true
}

// TaskUnqueued passes on that a task waits no more.
func (w watch) TaskUnqueued(id task.ID) { w.l.lead.planner.RemoveWaiting(id) }

// TaskPlaced passes a placement on and lets its server's session know.
func (w watch) TaskPlaced(j *state.Job, t *state.Task) {
	w.l.lead.planner.SetPlaced(heldOf(j, t))
	w.l.placed(t)
	w.l.lead.updated[t.Server] = true
}

// TaskStopping passes on that a task is to stop and lets its server's session know.
func (w watch) TaskStopping(j *state.Job, t *state.Task) {
	w.l.lead.planner.SetPlaced(heldOf(j, t))
	w.l.lead.updated[t.Server] = true
}

func heldOf(j *state.Job, t *state.Task) plan.PlacedTask {
	return plan.PlacedTask{ID: t.ID, Job: j.Spec, AcceptedAt: j.AcceptedAt, Server: t.Server, PlacedAt: t.PhaseSince, Stopping: t.Phase == state.Stopping}
}

// TaskReleased passes on that an attempt runs no more.
func (w watch) TaskReleased(_ *state.Job, t *state.Task, how state.AttemptEnd) {
	w.l.released(t, how)
	w.l.lead.planner.EndAttempt(t.ID, plan.AttemptEnd{EndedAt: w.l.st.Now(), Started: how.Started, Failed: how.Failed, ServerLost: how.Lost})
	w.l.lead.dirty = true
}

// JobEnded wakes who waits for the job's outcome.
func (w watch) JobEnded(j *state.Job) {
	w.l.endedSeen(j)
	w.l.answerWaits(j)
}

// watchServers marks servers that went silent and ends sessions whose lease is over.
func (l *Leader) watchServers(now time.Duration) {
	ld := l.lead
	if !ld.proved || now-ld.confirmed > l.MaxConfirmationAge {
		return // a leader that cannot prove to lead gives up nobody
	}
	for id, s := range ld.servers {
		if now-s.heard <= l.SyncTimeout {
			continue
		}
		b, ok := l.st.Server(id)
		if !ok || b.Server.State == backend.Gone || b.Incarnation != s.incarnation {
			delete(ld.servers, id)
			continue
		}
		if b.Server.State == backend.Ready || b.Server.State == backend.Quarantined {
			// Unschedulable before the wait for its lease begins: a server
			// that comes back halfway is not given new work on a lease that
			// is about to be declared over.
			l.mark(b.ID, backend.Suspect)
		}
		if ld.book.Over(b.ID, now) {
			l.do(&record.Command{What: &record.Command_Fence{Fence: &record.Fence{Server: b.ID, Incarnation: b.Incarnation}}})
			delete(ld.servers, b.ID)
			ld.book.Forget(b.ID)
		}
	}
}
