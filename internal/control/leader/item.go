package leader

import (
	"math/rand/v2"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/admit"
)

// handleBatch handles the items of one Push. Items that arrive while this replica
// does not lead are dropped: the entry's Pull is redirected, and the entry sends
// the items to the leader.
func (l *Leader) handleBatch(b Batch) {
	if l.leadership == nil {
		return
	}
	for _, it := range b.Items {
		to := ReplyTarget{Mailbox: b.Mailbox, Seq: it.GetSeq(), ReceivedAt: b.ReceivedAt}
		if n := it.GetBudget(); n > 0 {
			to.Deadline = b.ReceivedAt + time.Duration(n)*time.Millisecond
		}
		l.handleItem(to, it)
	}
}

// handleItem handles one item. The key that came with the item is checked before
// anything is read or changed.
func (l *Leader) handleItem(to ReplyTarget, it *inner.Item) {
	if !l.isConfirmedLeader() {
		l.refuse(to, code.New(code.NoLeader, "leadership is not confirmed; try again"))
		return
	}
	switch ask := it.GetAsk().(type) {
	case *inner.Item_Announce:
		l.handleAnnounce(to, ask.Announce)
		return
	case *inner.Item_Sync:
		l.handleSync(to, ask.Sync)
		return
	case *inner.Item_Leave:
		l.handleLeave(to, ask.Leave)
		return
	}
	k, err := l.authorize(it.GetCredential())
	if err != nil {
		l.refuse(to, err)
		return
	}
	switch ask := it.GetAsk().(type) {
	case *inner.Item_Change:
		l.withOperatorKey(to, k, func() { l.applyChange(to, k, ask.Change) })
	case *inner.Item_Show:
		l.withOperatorKey(to, k, func() { l.handleShow(to, ask.Show) })
	default:
		l.handleCallerItem(to, k, it)
	}
}

// isConfirmedLeader reports whether a quorum has recently confirmed that this
// replica leads. A partitioned leader must stop answering within
// MaxConfirmationAge, because it does not learn of keys that another leader
// withdraws.
func (l *Leader) isConfirmedLeader() bool {
	return l.leadership.leadershipConfirmed && l.Now()-l.leadership.confirmedAt <= l.MaxConfirmationAge
}

func (l *Leader) authorize(c *inner.Credential) (key.Key, *code.Error) {
	k, ok := l.ledger.Key(c.GetId())
	if !ok || !k.Matches(c.GetDigest()) || k.Withdrawn {
		l.logLimiter.Log(l.Log, event.KeyRefused, "key", c.GetId(), "withdrawn", k.Withdrawn)
		return key.Key{}, code.New(code.BadKey, "")
	}
	return k, nil
}

func (l *Leader) withOperatorKey(to ReplyTarget, k key.Key, fn func()) {
	if !k.Operator {
		l.refuse(to, code.New(code.Forbidden, "this request needs an operator key"))
		return
	}
	fn()
}

func (l *Leader) handleCallerItem(to ReplyTarget, k key.Key, it *inner.Item) {
	if k.Operator {
		l.refuse(to, code.New(code.Forbidden, "this request needs a team key"))
		return
	}
	switch ask := it.GetAsk().(type) {
	case *inner.Item_Submit:
		l.handleSubmit(to, k, ask.Submit)
	case *inner.Item_Wait:
		l.handleWait(to, k, ask.Wait)
	case *inner.Item_Cancel:
		l.handleCancel(to, k, ask.Cancel)
	case *inner.Item_List:
		l.runWhenConfirmed(to, func() { l.handleList(to, k, ask.List) })
	case *inner.Item_Acknowledge:
		l.handleAcknowledge(to, k, ask.Acknowledge)
	default:
		l.refuse(to, code.New(code.Malformed, "the item holds no request"))
	}
}

func (l *Leader) handleSubmit(to ReplyTarget, k key.Key, req *v1.SubmitRequest) {
	rep := &v1.SubmitReply{}
	for _, spec := range req.GetJobs() {
		rep.Jobs = append(rep.Jobs, l.acceptJob(k, spec))
	}
	l.leadership.planNeeded = true
	l.replyWhenCommitted(to, &inner.Reply{Answer: &inner.Reply_Submit{Submit: rep}})
}

func (l *Leader) acceptJob(k key.Key, spec *v1.Spec) *v1.Accepted {
	c := &record.Command{What: &record.Command_Accept{Accept: &record.Accept{Team: k.Team, Key: k.ID, Spec: spec}}}
	var retry time.Duration
	if _, ok := l.ledger.Find(state.RequestID{Team: k.Team, ID: spec.GetId()}); !ok {
		var refusal code.Code
		if refusal, retry = l.checkAdmission(k.Team, spec); refusal != code.OK {
			c = &record.Command{What: &record.Command_Refuse{Refuse: &record.Refuse{Team: k.Team, Spec: spec, Code: uint32(refusal)}}}
		}
	}
	r := l.applyAndQueue(c)
	if r.Code != code.OK {
		l.recordAdmission(k.Team, spec.GetId(), r.Code)
		return &v1.Accepted{Id: spec.GetId(), Status: statusOf(&code.Error{Code: r.Code, Detail: r.Detail})}
	}
	l.recordAdmission(k.Team, spec.GetId(), r.Job.Code)
	st := statusOf(&code.Error{Code: r.Job.Code})
	st.Retry = uint64(retry / time.Millisecond)
	return &v1.Accepted{Id: spec.GetId(), Status: st, Outcome: r.Job.Outcome}
}

// checkAdmission reports whether a new job is admitted and, if not, when the caller
// may retry.
func (l *Leader) checkAdmission(teamName string, spec *v1.Spec) (code.Code, time.Duration) {
	row, ok := l.ledger.Table().Row(teamName)
	if !ok {
		return code.Forbidden, 0
	}
	if l.diskFull {
		return code.DiskFull, diskFullRetryDelay
	}
	backlog := l.ledger.Backlog()
	err, retry := admit.Check(command.Spec(teamName, spec), admit.View{
		Row: row, Waiting: l.ledger.Waiting(teamName), Cell: backlog.Jobs, Bound: l.MaxBacklog, Teams: backlog.Teams,
		Largest: l.ledger.Kinds(), Total: l.ledger.Total(),
	}, rand.Float64())
	if err != nil {
		return err.Code, retry
	}
	return code.OK, 0
}

// parkedWait is a Wait request that is held until its job ends or its deadline
// passes.
type parkedWait struct {
	target   ReplyTarget
	keyID    string
	chunk    uint32
	answered bool
}

func (l *Leader) handleWait(to ReplyTarget, k key.Key, req *v1.WaitRequest) {
	id := state.RequestID{Team: k.Team, ID: req.GetId()}
	j, ok := l.ledger.Find(id)
	if !ok {
		l.runWhenConfirmed(to, func() { l.answerUnknownJob(to, id) })
		return
	}
	if j.Final() {
		l.answerWait(to, j, req.GetChunk())
		return
	}
	w := &parkedWait{target: to, keyID: k.ID, chunk: req.GetChunk()}
	l.leadership.parkedWaits[id] = append(l.leadership.parkedWaits[id], w)
	l.schedule(l.pollDeadline(to, req.GetPatience()), func() { l.expireWait(id, w) })
}

// answerUnknownJob answers a Wait for an unknown job. It runs once the leadership
// is confirmed and looks the job up again.
func (l *Leader) answerUnknownJob(to ReplyTarget, id state.RequestID) {
	if j, ok := l.ledger.Find(id); ok {
		l.answerWait(to, j, 0)
		return
	}
	l.refuse(to, code.New(code.Unknown, "%s", id.ID))
}

// pollDeadline returns when a long poll ends. That is the earliest of the requested
// wait, the limit on poll waits, and the caller's deadline.
func (l *Leader) pollDeadline(to ReplyTarget, patience uint64) time.Duration {
	// A server renews its lease once per poll. If a poll lasted as long as the lease,
	// the lease would expire between two polls.
	maxWait := min(l.MaxPollWait, l.LeaseTerms.Length/minPollsPerLease)
	wait := time.Duration(min(patience, uint64(maxWait/time.Millisecond))) * time.Millisecond
	deadline := to.ReceivedAt + wait
	if to.Deadline > 0 {
		deadline = min(deadline, to.Deadline)
	}
	return deadline
}

// expireWait answers a parked wait whose deadline has passed with the job's current
// state.
func (l *Leader) expireWait(id state.RequestID, w *parkedWait) {
	if w.answered {
		return
	}
	w.answered = true
	waits := l.leadership.parkedWaits[id]
	for i, other := range waits {
		if other == w {
			l.leadership.parkedWaits[id] = append(waits[:i:i], waits[i+1:]...)
			break
		}
	}
	if len(l.leadership.parkedWaits[id]) == 0 {
		delete(l.leadership.parkedWaits, id)
	}
	if j, ok := l.ledger.Find(id); ok {
		l.answerParkedWait(w, j)
		return
	}
	l.refuse(w.target, code.New(code.Unknown, "%s", id.ID))
}

// answerParkedWait answers a parked wait. The key of the wait may have been
// withdrawn since it was parked; a withdrawn key gets no answer.
func (l *Leader) answerParkedWait(w *parkedWait, j *state.Job) {
	if k, ok := l.ledger.Key(w.keyID); !ok || k.Withdrawn {
		l.refuse(w.target, code.New(code.BadKey, ""))
		return
	}
	l.answerWait(w.target, j, w.chunk)
}

// answerParkedWaits answers all waits for a job that has ended.
func (l *Leader) answerParkedWaits(j *state.Job) {
	id := j.Request()
	for _, w := range l.leadership.parkedWaits[id] {
		if !w.answered {
			w.answered = true
			l.answerParkedWait(w, j)
		}
	}
	delete(l.leadership.parkedWaits, id)
}

func (l *Leader) answerWait(to ReplyTarget, j *state.Job, chunk uint32) {
	rep := &v1.WaitReply{Id: j.Spec.ID, Outcome: j.Outcome, Status: statusOf(&code.Error{Code: j.Code})}
	if j.Outcome == v1.Outcome_OUTCOME_DONE {
		rep.Chunk = l.answerChunk(j, chunk)
		if rep.Chunk == nil {
			l.refuse(to, code.New(code.Malformed, "the job's answer has no chunk %d", chunk))
			return
		}
	}
	l.replyWhenCommitted(to, &inner.Reply{Answer: &inner.Reply_Wait{Wait: rep}})
}

func (l *Leader) handleCancel(to ReplyTarget, k key.Key, req *v1.CancelRequest) {
	c := &record.Cancel{}
	for _, id := range req.GetIds() {
		if j, ok := l.ledger.Find(state.RequestID{Team: k.Team, ID: id}); ok && !j.Final() {
			c.Jobs = append(c.Jobs, j.Number)
		}
	}
	if len(req.GetLabels()) > 0 {
		for _, j := range l.ledger.Jobs(k.Team) {
			if !j.Final() && hasLabels(j.Spec.Labels, req.GetLabels()) {
				c.Jobs = append(c.Jobs, j.Number)
			}
		}
	}
	l.logCancelWave(k.Team, c)
	if len(c.Jobs) > 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Cancel{Cancel: c}})
	}
	l.replyWhenCommitted(to, &inner.Reply{Answer: &inner.Reply_Cancel{Cancel: &v1.CancelReply{Status: &v1.Status{}, Count: uint32(len(c.Jobs))}}})
}

func hasLabels(have, want map[string]string) bool {
	for k, v := range want {
		if have[k] != v {
			return false
		}
	}
	return true
}

func (l *Leader) handleList(to ReplyTarget, k key.Key, req *v1.ListRequest) {
	rep := &v1.ListReply{Status: &v1.Status{}}
	if len(req.GetIds()) > 0 {
		for _, id := range req.GetIds() {
			if j, ok := l.ledger.Find(state.RequestID{Team: k.Team, ID: id}); ok {
				rep.Jobs = append(rep.Jobs, jobSummary(j))
			}
		}
	} else {
		var err *code.Error
		if rep.Jobs, err = l.listJobs(k.Team, req.GetAfter(), req.GetLimit()); err != nil {
			rep.Status = statusOf(err)
		}
	}
	l.replyWhenCommitted(to, &inner.Reply{Answer: &inner.Reply_List{List: rep}})
}

func jobSummary(j *state.Job) *v1.Summary {
	return &v1.Summary{
		Id: j.Spec.ID, Team: j.Spec.Team, Kind: v1.Kind(j.Spec.Kind), Name: j.Spec.Name, Outcome: j.Outcome,
		Status: statusOf(&code.Error{Code: j.Code}), Tasks: j.Spec.Count, Running: j.Held, Ended: j.Finals,
	}
}

func (l *Leader) handleAcknowledge(to ReplyTarget, k key.Key, req *v1.AcknowledgeRequest) {
	f := &record.Forget{}
	for _, id := range req.GetIds() {
		if j, ok := l.ledger.Find(state.RequestID{Team: k.Team, ID: id}); ok && j.Final() {
			f.Jobs = append(f.Jobs, j.Number)
		}
	}
	if len(f.Jobs) > 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Forget{Forget: f}})
	}
	l.replyWhenCommitted(to, &inner.Reply{Answer: &inner.Reply_Acknowledge{Acknowledge: &v1.AcknowledgeReply{Status: &v1.Status{}}}})
}
