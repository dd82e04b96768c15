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

// again is after how long an order to stop is repeated while the server still
// reports the attempt: the answer that carried it may have been lost.
const again = time.Second

// maxOrders bounds the inputs and checkpoints in one answer to a sync, in bytes,
// but for the last order. A server that got dozens of tasks in one turn would
// otherwise be sent more than its connection takes before its patience ends.
const maxOrders = 4 << 20

// session is what the leader knows of a server's session beyond the ledger. It
// is rebuilt from the next sync, which is cumulative.
type session struct {
	incarnation uint64
	// heard is when the latest sync came, or when this replica was elected.
	heard  time.Duration
	number uint64
	// reports are the phases of the latest sync.
	reports map[task.Attempt]v1.Phase
	parts   map[task.Attempt]*answer.Parts
	// sent is when an order to stop was last given.
	sent   map[task.Attempt]time.Duration
	slow   map[task.Attempt]bool
	parked *ReplyTarget
	// until is when the parked sync is answered without orders.
	until time.Duration
}

func (l *Leader) session(b state.Server) *session {
	s := l.lead.servers[b.ID]
	if s == nil || s.incarnation != b.Incarnation {
		s = &session{
			incarnation: b.Incarnation, heard: l.Now(),
			reports: map[task.Attempt]v1.Phase{}, parts: map[task.Attempt]*answer.Parts{},
			sent: map[task.Attempt]time.Duration{}, slow: map[task.Attempt]bool{},
		}
		l.lead.servers[b.ID] = s
	}
	return s
}

func (l *Leader) announce(to ReplyTarget, req *v1.AnnounceRequest) {
	r := l.do(&record.Command{What: &record.Command_Announce{Announce: &record.Announce{
		Server: req.GetServer(), Nonce: req.GetNonce(), Capacity: req.GetCapacity(),
		Rack: req.GetRack(), Zone: req.GetZone(), Labels: req.GetLabels(),
	}}})
	st := status(&code.Error{Code: r.Code, Detail: r.Detail})
	if r.Code == code.MembershipChangePending {
		st.Retry = uint64(l.SyncTimeout / time.Millisecond)
	}
	if b, ok := l.st.Server(req.GetServer()); ok && r.Code == code.OK {
		l.session(b).heard = to.ReceivedAt
	}
	rep := &v1.AnnounceReply{Status: st, Incarnation: r.Incarnation, Lease: uint64(l.LeaseTerms.Length / time.Millisecond)}
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Announce{Announce: rep}})
}

func (l *Leader) leave(to ReplyTarget, req *v1.LeaveRequest) {
	r := l.mark(req.GetServer(), backend.Draining)
	if b, _ := l.st.Server(req.GetServer()); b.Incarnation != req.GetIncarnation() {
		r = state.Result{Code: code.SessionReplaced}
	}
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Leave{Leave: &v1.LeaveReply{Status: status(&code.Error{Code: r.Code})}}})
}

// sync takes a server's cumulative state and answers with orders and a lease,
// at once when there are orders and otherwise when there are or patience ends.
func (l *Leader) sync(to ReplyTarget, req *v1.SyncRequest) {
	b, ok := l.st.Server(req.GetServer())
	if !ok || b.Incarnation != req.GetIncarnation() || b.Server.State == backend.Gone {
		l.syncReply(to, &v1.SyncReply{Status: status(code.New(code.SessionReplaced, "announce again")), Number: req.GetNumber()})
		return
	}
	s := l.session(b)
	if req.GetNumber() < s.number {
		return // a late copy of a request that the server has abandoned
	}
	s.number, s.heard = req.GetNumber(), max(s.heard, to.ReceivedAt)
	if b.Server.State == backend.Suspect {
		l.mark(b.ID, backend.Ready)
	}
	l.reports(b, s, req.GetReports())
	s.parked, s.until = &to, l.until(to, req.GetPatience())
	l.lead.updated[b.ID] = true
	l.at(s.until, func() { l.lead.updated[b.ID] = true })
}

// reports takes the ends of attempts into the ledger and notes the rest.
func (l *Leader) reports(b state.Server, s *session, rs []*v1.Report) {
	clear(s.reports)
	for _, r := range rs {
		a := attemptOf(r.GetAttempt())
		s.reports[a] = r.GetPhase()
		l.strangers(b, r)
		t, ok := l.st.Task(a.ID)
		if !ok || t.Attempt != a.Number || t.Server != b.ID || !t.Phase.HoldsCapacity() {
			continue
		}
		if l.ended(s, a, r) {
			delete(s.parts, a)
			delete(s.sent, a)
			delete(s.slow, a)
		}
		if r.GetUsed() != nil {
			at := l.clock() - time.Duration(r.GetAge())*time.Millisecond
			l.lead.planner.SetUsage(a.ID, command.SizeFromMessage(r.GetUsed()), at)
		}
	}
}

func attemptOf(a *v1.Attempt) task.Attempt {
	return task.Attempt{ID: task.ID{Job: a.GetJob(), Index: a.GetTask()}, Number: a.GetNumber()}
}

// ended commits an attempt's end once its whole answer is there.
func (l *Leader) ended(s *session, a task.Attempt, r *v1.Report) bool {
	e := &record.End{Job: a.Job, Index: a.Index, Attempt: a.Number, Started: r.GetStarted()}
	switch r.GetPhase() {
	case v1.Phase_PHASE_ENDED:
		data, ok := l.whole(s, a, r.GetChunks())
		if !ok {
			return false
		}
		e.Ended, e.Started, e.Exit, e.Answer = true, true, r.GetExit(), l.fitting(a.Job, data)
	case v1.Phase_PHASE_STOPPED:
	case v1.Phase_PHASE_SAVED:
		e.Started, e.Checkpoint = true, r.GetCheckpoint()
	default:
		return false
	}
	l.do(&record.Command{What: &record.Command_End{End: e}})
	return true
}

// whole puts the chunks of an answer together; false while some are missing.
// Chunks that do not belong together are dropped, and the server sends all again.
func (l *Leader) whole(s *session, a task.Attempt, chunks []*v1.Chunk) ([]byte, bool) {
	p := s.parts[a]
	if p == nil {
		p = &answer.Parts{}
		s.parts[a] = p
	}
	for _, c := range chunks {
		if err := p.Add(c); err != nil {
			l.limit.Log(l.Log, event.DigestMismatch, "job", a.Job, "task", a.Index, "error", err.Error())
			delete(s.parts, a)
			return nil, false
		}
	}
	data, ok, err := p.Whole()
	if err != nil {
		l.limit.Log(l.Log, event.DigestMismatch, "job", a.Job, "task", a.Index, "error", err.Error())
		delete(s.parts, a)
		return nil, false
	}
	return data, ok
}

// serveServers answers parked syncs that have orders or whose patience ended.
func (l *Leader) serveServers() {
	ld := l.lead
	if len(ld.updated) == 0 {
		return
	}
	now := l.Now()
	for id := range ld.updated {
		delete(ld.updated, id)
		b, ok := l.st.Server(id)
		s := ld.servers[id]
		if !ok || s == nil || s.parked == nil || s.incarnation != b.Incarnation {
			continue
		}
		l.recall(b, s)
		orders := l.orders(b, s, now)
		if len(orders) == 0 && now < s.until {
			continue
		}
		to := *s.parked
		s.parked = nil
		grant := ld.book.Renew(id, ld.confirmed, to.ReceivedAt)
		l.syncReply(to, &v1.SyncReply{
			Status: &v1.Status{}, Number: s.number, Orders: orders, Lease: uint64(grant / time.Millisecond),
		})
	}
}

func (l *Leader) syncReply(to ReplyTarget, r *v1.SyncReply) {
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Sync{Sync: r}})
}

// orders lists what the server is to do, from the ledger against its latest
// reports. An order that was lost shows as a difference again and is repeated.
func (l *Leader) orders(b state.Server, s *session, now time.Duration) []*v1.Order {
	var out []*v1.Order
	size := 0
	l.st.EachPlacedTask(b.ID, func(t *state.Task) {
		if t.Incarnation != s.incarnation {
			return
		}
		if size >= maxOrders {
			return // the rest goes with the answers to the next syncs
		}
		if o := l.order(s, t, now); o != nil {
			out = append(out, o)
			size += len(o.GetInput()) + len(o.GetCheckpoint())
		}
	})
	for a, phase := range s.reports {
		if o := l.stray(b, s, a, phase, now); o != nil {
			out = append(out, o)
		}
	}
	return out
}

func (l *Leader) order(s *session, t *state.Task, now time.Duration) *v1.Order {
	a := t.CurrentAttempt()
	_, known := s.reports[a]
	m := attemptMessage(a)
	switch {
	case t.Phase == state.Stopping && s.due(a, now):
		// A server that does not know the attempt has nothing to save: the
		// start may be lost on its way, or was never sent. It must note the
		// stop all the same, and says that nothing was started.
		if t.SaveCheckpoint && known {
			return &v1.Order{Verb: v1.Verb_VERB_CHECKPOINT, Attempt: m}
		}
		return &v1.Order{Verb: v1.Verb_VERB_STOP, Attempt: m}
	case t.Phase == state.Placed && !known:
		j, _ := l.st.Job(t.ID.Job)
		return &v1.Order{
			Verb: v1.Verb_VERB_START, Attempt: m, Size: command.SizeMessage(j.Spec.Size),
			Input: j.Spec.Input, Name: j.Spec.Name, Checkpoint: t.Checkpoint,
		}
	case s.slow[a]:
		delete(s.slow, a)
		return &v1.Order{Verb: v1.Verb_VERB_THROTTLE, Attempt: m}
	}
	return nil
}

// stray handles an attempt that the server reports and the ledger does not hold there.
func (l *Leader) stray(b state.Server, s *session, a task.Attempt, phase v1.Phase, now time.Duration) *v1.Order {
	if t, ok := l.st.Task(a.ID); ok && t.Attempt == a.Number && t.Server == b.ID && t.Phase.HoldsCapacity() {
		return nil
	}
	switch phase {
	case v1.Phase_PHASE_ENDED, v1.Phase_PHASE_STOPPED, v1.Phase_PHASE_SAVED:
		return &v1.Order{Verb: v1.Verb_VERB_FORGET, Attempt: attemptMessage(a)}
	}
	if !s.due(a, now) {
		return nil
	}
	return &v1.Order{Verb: v1.Verb_VERB_STOP, Attempt: attemptMessage(a)}
}

// due tells whether an order to stop is to be given (again), and notes it.
func (s *session) due(a task.Attempt, now time.Duration) bool {
	if at, ok := s.sent[a]; ok && now-at < again {
		return false
	}
	s.sent[a] = now
	return true
}

func attemptMessage(a task.Attempt) *v1.Attempt {
	return &v1.Attempt{Job: a.Job, Task: a.Index, Number: a.Number}
}

// throttle lets the server's session know that a task is to be held to its size.
func (l *Leader) throttle(id task.ID) {
	t, ok := l.st.Task(id)
	if !ok || !t.Phase.HoldsCapacity() {
		return
	}
	if s := l.lead.servers[t.Server]; s != nil {
		s.slow[t.CurrentAttempt()] = true
		l.lead.updated[t.Server] = true
	}
}
