package leader

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/state"
)

// stopRetryInterval is the interval at which a stop order is repeated while the
// server still reports the attempt. The sync reply that carried the order may have
// been lost.
const stopRetryInterval = time.Second

// maxOrderBytes limits the inputs and checkpoints in one sync reply; the last order
// may exceed it. Without the limit, a reply to a server that got dozens of tasks in
// one turn would be larger than its connection can carry before the poll ends.
const maxOrderBytes = 4 << 20

// session is the leader's state of a server session that is not in the ledger. A
// new leader rebuilds it from the next sync, which lists all attempts of the
// server.
type session struct {
	incarnation uint64
	// lastSyncAt is when the latest sync or announcement was received, or when the leader
	// created the session.
	lastSyncAt time.Duration
	syncNumber uint64
	// reportedPhases are the attempt phases listed in the latest sync.
	reportedPhases map[task.Attempt]v1.Phase
	answerParts    map[task.Attempt]*answer.Assembler
	// stopSentAt is when a stop order for an attempt was last sent.
	stopSentAt map[task.Attempt]time.Duration
	// throttlePending are the attempts whose throttle order is still to be sent.
	throttlePending map[task.Attempt]bool
	// parkedSync is the sync that waits for orders; nil if there is none.
	parkedSync *ReplyTarget
	// parkedUntil is when the parked sync is answered even if there are no orders.
	parkedUntil time.Duration
}

func (l *Leader) sessionFor(b state.Server) *session {
	s := l.leadership.sessions[b.ID]
	if s == nil || s.incarnation != b.Incarnation {
		s = &session{
			incarnation: b.Incarnation, lastSyncAt: l.Now(),
			reportedPhases: map[task.Attempt]v1.Phase{}, answerParts: map[task.Attempt]*answer.Assembler{},
			stopSentAt: map[task.Attempt]time.Duration{}, throttlePending: map[task.Attempt]bool{},
		}
		l.leadership.sessions[b.ID] = s
	}
	return s
}

func (l *Leader) handleAnnounce(target ReplyTarget, req *v1.AnnounceRequest) {
	r := l.applyAndQueue(&record.Command{What: &record.Command_Announce{Announce: &record.Announce{
		Server: req.GetServer(), Nonce: req.GetNonce(), Capacity: req.GetCapacity(),
		Rack: req.GetRack(), Zone: req.GetZone(), Labels: req.GetLabels(),
	}}})
	status := statusOf(&code.Error{Code: r.Code, Detail: r.Detail})
	if r.Code == code.MembershipChangePending {
		status.Retry = uint64(l.SyncTimeout / time.Millisecond)
	}
	if b, ok := l.ledger.Server(req.GetServer()); ok && r.Code == code.OK {
		l.sessionFor(b).lastSyncAt = target.ReceivedAt
	}
	reply := &v1.AnnounceReply{Status: status, Incarnation: r.Incarnation, Lease: uint64(l.LeaseTerms.Length / time.Millisecond)}
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Announce{Announce: reply}})
}

func (l *Leader) handleLeave(target ReplyTarget, req *v1.LeaveRequest) {
	r := l.markServer(req.GetServer(), backend.Draining)
	if b, _ := l.ledger.Server(req.GetServer()); b.Incarnation != req.GetIncarnation() {
		r = state.Result{Code: code.SessionReplaced}
	}
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Leave{Leave: &v1.LeaveReply{Status: statusOf(&code.Error{Code: r.Code})}}})
}

// handleSync takes a server's complete list of attempts and replies with orders and
// a lease. If there are no orders, the sync is parked until there are some or its
// poll ends.
func (l *Leader) handleSync(target ReplyTarget, req *v1.SyncRequest) {
	b, ok := l.ledger.Server(req.GetServer())
	if !ok || b.Incarnation != req.GetIncarnation() || b.Server.State == backend.Gone {
		l.replySync(target, &v1.SyncReply{Status: statusOf(code.New(code.SessionReplaced, "the session has ended; announce the server again")), Number: req.GetNumber()})
		return
	}
	s := l.sessionFor(b)
	if req.GetNumber() < s.syncNumber {
		return // delayed duplicate of a request that the server no longer waits for
	}
	s.syncNumber, s.lastSyncAt = req.GetNumber(), max(s.lastSyncAt, target.ReceivedAt)
	if b.Server.State == backend.Suspect {
		l.markServer(b.ID, backend.Ready)
	}
	l.applyReports(b, s, req.GetReports())
	s.parkedSync, s.parkedUntil = &target, l.pollDeadline(target, req.GetPatience())
	l.leadership.updatedServers[b.ID] = true
	l.schedule(s.parkedUntil, func() { l.leadership.updatedServers[b.ID] = true })
}

// applyReports records ended attempts in the ledger and the phases of the others in
// the session.
func (l *Leader) applyReports(b state.Server, s *session, reports []*v1.Report) {
	clear(s.reportedPhases)
	for _, r := range reports {
		a := attemptFromMessage(r.GetAttempt())
		s.reportedPhases[a] = r.GetPhase()
		l.logDuplicateAttempt(b, r)
		t, ok := l.ledger.Task(a.ID)
		if !ok || t.Attempt != a.Number || t.Server != b.ID || !t.Phase.HoldsCapacity() {
			continue
		}
		if l.recordAttemptEnd(s, a, r) {
			delete(s.answerParts, a)
			delete(s.stopSentAt, a)
			delete(s.throttlePending, a)
		}
		if r.GetUsed() != nil {
			at := l.ledgerTime() - time.Duration(r.GetAge())*time.Millisecond
			l.leadership.planner.SetUsage(a.ID, command.SizeFromMessage(r.GetUsed()), at)
		}
	}
}

func attemptFromMessage(a *v1.Attempt) task.Attempt {
	return task.Attempt{ID: task.ID{Job: a.GetJob(), Index: a.GetTask()}, Number: a.GetNumber()}
}

// recordAttemptEnd records an attempt's end in the ledger. It returns false when
// the attempt has not ended or its answer is incomplete.
func (l *Leader) recordAttemptEnd(s *session, a task.Attempt, r *v1.Report) bool {
	end := &record.End{Job: a.Job, Index: a.Index, Attempt: a.Number, Started: r.GetStarted()}
	switch r.GetPhase() {
	case v1.Phase_PHASE_ENDED:
		data, ok := l.assembleAnswer(s, a, r.GetChunks())
		if !ok {
			return false
		}
		end.Ended, end.Started, end.Exit, end.Answer = true, true, r.GetExit(), l.withinAnswerLimit(a.Job, data)
	case v1.Phase_PHASE_STOPPED:
	case v1.Phase_PHASE_SAVED:
		end.Started, end.Checkpoint = true, r.GetCheckpoint()
	default:
		return false
	}
	l.applyAndQueue(&record.Command{What: &record.Command_End{End: end}})
	return true
}

// assembleAnswer joins the chunks of an answer. It returns false while chunks are
// missing. Chunks that do not belong to the same answer are discarded, and the
// server sends all of them again.
func (l *Leader) assembleAnswer(s *session, a task.Attempt, chunks []*v1.Chunk) ([]byte, bool) {
	parts := s.answerParts[a]
	if parts == nil {
		parts = &answer.Assembler{}
		s.answerParts[a] = parts
	}
	for _, c := range chunks {
		if err := parts.Add(c); err != nil {
			l.logLimiter.Log(l.Log, event.DigestMismatch, "job", a.Job, "task", a.Index, "error", err.Error())
			delete(s.answerParts, a)
			return nil, false
		}
	}
	data, ok, err := parts.Assemble()
	if err != nil {
		l.logLimiter.Log(l.Log, event.DigestMismatch, "job", a.Job, "task", a.Index, "error", err.Error())
		delete(s.answerParts, a)
		return nil, false
	}
	return data, ok
}

// answerSyncs answers the parked syncs that have orders or whose poll has ended.
func (l *Leader) answerSyncs() {
	lead := l.leadership
	if len(lead.updatedServers) == 0 {
		return
	}
	now := l.Now()
	for id := range lead.updatedServers {
		delete(lead.updatedServers, id)
		b, ok := l.ledger.Server(id)
		s := lead.sessions[id]
		if !ok || s == nil || s.parkedSync == nil || s.incarnation != b.Incarnation {
			continue
		}
		l.recallUnstarted(b, s)
		orders := l.buildOrders(b, s, now)
		if len(orders) == 0 && now < s.parkedUntil {
			continue
		}
		target := *s.parkedSync
		s.parkedSync = nil
		leaseLength := lead.leases.Renew(id, lead.confirmedAt, target.ReceivedAt)
		l.replySync(target, &v1.SyncReply{
			Status: &v1.Status{}, Number: s.syncNumber, Orders: orders, Lease: uint64(leaseLength / time.Millisecond),
		})
	}
}

func (l *Leader) replySync(target ReplyTarget, r *v1.SyncReply) {
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Sync{Sync: r}})
}

// buildOrders lists the orders for a server by comparing the ledger with the
// server's latest sync. A lost order shows as a difference in the next sync and is
// sent again.
func (l *Leader) buildOrders(b state.Server, s *session, now time.Duration) []*v1.Order {
	var out []*v1.Order
	size := 0
	l.ledger.EachPlacedTask(b.ID, func(t *state.Task) {
		if t.Incarnation != s.incarnation {
			return
		}
		if size >= maxOrderBytes {
			return // the next sync replies carry the remaining orders
		}
		if o := l.orderForTask(s, t, now); o != nil {
			out = append(out, o)
			size += len(o.GetInput()) + len(o.GetCheckpoint())
		}
	})
	for a, phase := range s.reportedPhases {
		if o := l.orderForUnknownAttempt(b, s, a, phase, now); o != nil {
			out = append(out, o)
		}
	}
	return out
}

func (l *Leader) orderForTask(s *session, t *state.Task, now time.Duration) *v1.Order {
	a := t.CurrentAttempt()
	_, known := s.reportedPhases[a]
	message := attemptMessage(a)
	switch {
	case t.Phase == state.Stopping && s.shouldSendStop(a, now):
		// A server that does not know the attempt has no state to checkpoint. The
		// start order was lost or never sent. The stop order is still needed: the server
		// records it and reports that nothing was started.
		if t.SaveCheckpoint && known {
			return &v1.Order{Verb: v1.Verb_VERB_CHECKPOINT, Attempt: message}
		}
		return &v1.Order{Verb: v1.Verb_VERB_STOP, Attempt: message}
	case t.Phase == state.Placed && !known:
		j, _ := l.ledger.Job(t.ID.Job)
		return &v1.Order{
			Verb: v1.Verb_VERB_START, Attempt: message, Size: command.SizeMessage(j.Spec.Size),
			Input: j.Spec.Input, Name: j.Spec.Name, Checkpoint: t.Checkpoint,
		}
	case s.throttlePending[a]:
		delete(s.throttlePending, a)
		return &v1.Order{Verb: v1.Verb_VERB_THROTTLE, Attempt: message}
	}
	return nil
}

// orderForUnknownAttempt returns an order for an attempt that the server reports
// although the ledger does not place it there. It returns nil if no order is due.
func (l *Leader) orderForUnknownAttempt(b state.Server, s *session, a task.Attempt, phase v1.Phase, now time.Duration) *v1.Order {
	if t, ok := l.ledger.Task(a.ID); ok && t.Attempt == a.Number && t.Server == b.ID && t.Phase.HoldsCapacity() {
		return nil
	}
	switch phase {
	case v1.Phase_PHASE_ENDED, v1.Phase_PHASE_STOPPED, v1.Phase_PHASE_SAVED:
		return &v1.Order{Verb: v1.Verb_VERB_FORGET, Attempt: attemptMessage(a)}
	}
	if !s.shouldSendStop(a, now) {
		return nil
	}
	return &v1.Order{Verb: v1.Verb_VERB_STOP, Attempt: attemptMessage(a)}
}

// shouldSendStop reports whether a stop order is to be sent or repeated now, and
// records the time.
func (s *session) shouldSendStop(a task.Attempt, now time.Duration) bool {
	if at, ok := s.stopSentAt[a]; ok && now-at < stopRetryInterval {
		return false
	}
	s.stopSentAt[a] = now
	return true
}

func attemptMessage(a task.Attempt) *v1.Attempt {
	return &v1.Attempt{Job: a.Job, Task: a.Index, Number: a.Number}
}

// throttleTask adds an order to the task's server that limits the task to its
// requested size.
func (l *Leader) throttleTask(id task.ID) {
	t, ok := l.ledger.Task(id)
	if !ok || !t.Phase.HoldsCapacity() {
		return
	}
	if s := l.leadership.sessions[t.Server]; s != nil {
		s.throttlePending[t.CurrentAttempt()] = true
		l.leadership.updatedServers[t.Server] = true
	}
}
