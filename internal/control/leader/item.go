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
	if !l.serving() {
		return
	}
	for _, item := range b.Items {
		target := ReplyTarget{Mailbox: b.Mailbox, Seq: item.GetSeq(), ReceivedAt: b.ReceivedAt}
		if n := item.GetBudget(); n > 0 {
			target.Deadline = b.ReceivedAt + time.Duration(n)*time.Millisecond
		}
		l.handleItem(target, item)
	}
}

// handleItem handles one item. The key that came with the item is checked before
// anything is read or changed.
func (l *Leader) handleItem(target ReplyTarget, item *inner.Item) {
	if !l.isConfirmedLeader() {
		l.refuse(target, code.New(code.NoLeader, "leadership is not confirmed; try again"))
		return
	}
	switch request := item.GetAsk().(type) {
	case *inner.Item_Announce:
		l.handleAnnounce(target, request.Announce)
		return
	case *inner.Item_Sync:
		l.handleSync(target, request.Sync)
		return
	case *inner.Item_Leave:
		l.handleShutdownNotice(target, request.Leave)
		return
	}
	k, err := l.authorize(item.GetCredential())
	if err != nil {
		l.refuse(target, err)
		return
	}
	switch request := item.GetAsk().(type) {
	case *inner.Item_Change:
		l.withOperatorKey(target, k, func() { l.applyChange(target, k, request.Change) })
	case *inner.Item_Show:
		l.withOperatorKey(target, k, func() { l.handleShow(target, request.Show) })
	default:
		l.handleCallerItem(target, k, item)
	}
}

// isConfirmedLeader reports whether a quorum has recently confirmed that this
// replica leads, and it has not given up the lead. A partitioned leader must stop answering within
// MaxConfirmationAge, because it does not learn of keys that another leader
// withdraws.
func (l *Leader) isConfirmedLeader() bool {
	if l.hasGivenUp(l.leadership.term) {
		return false
	}
	return l.leadership.leadershipConfirmed && l.Now()-l.leadership.confirmedAt <= l.MaxConfirmationAge
}

func (l *Leader) authorize(c *inner.Credential) (key.Key, *code.Error) {
	k, ok := l.ledger.Key(c.GetId())
	if !ok || !k.Matches(c.GetDigest()) || k.Withdrawn {
		l.logLimiter.Log(l.Log, event.KeyRefused, "key", c.GetId(), "withdrawn", k.Withdrawn)
		return key.Key{}, code.New(code.InvalidKey, "")
	}
	return k, nil
}

func (l *Leader) withOperatorKey(target ReplyTarget, k key.Key, fn func()) {
	if !k.Operator {
		l.refuse(target, code.New(code.Forbidden, "this request needs an operator key"))
		return
	}
	fn()
}

func (l *Leader) handleCallerItem(target ReplyTarget, k key.Key, item *inner.Item) {
	if k.Operator {
		l.refuse(target, code.New(code.Forbidden, "this request needs a team key"))
		return
	}
	switch request := item.GetAsk().(type) {
	case *inner.Item_Submit:
		l.handleSubmit(target, k, request.Submit)
	case *inner.Item_Wait:
		l.handleWait(target, k, request.Wait)
	case *inner.Item_Cancel:
		l.handleCancel(target, k, request.Cancel)
	case *inner.Item_List:
		l.runWhenConfirmed(target, func() { l.handleList(target, k, request.List) })
	case *inner.Item_Acknowledge:
		l.handleAcknowledge(target, k, request.Acknowledge)
	default:
		l.refuse(target, code.New(code.Malformed, "the item holds no request"))
	}
}

func (l *Leader) handleSubmit(target ReplyTarget, k key.Key, req *v1.SubmitRequest) {
	reply := &v1.SubmitReply{}
	for _, spec := range req.GetJobs() {
		reply.Jobs = append(reply.Jobs, l.acceptJob(k, spec))
	}
	l.leadership.planNeeded = true
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Submit{Submit: reply}})
}

func (l *Leader) acceptJob(k key.Key, spec *v1.Spec) *v1.Accepted {
	c := &record.Command{What: &record.Command_Accept{Accept: &record.Accept{Team: k.Team, Key: k.ID, Spec: spec}}}
	var retry time.Duration
	if _, ok := l.ledger.FindJob(state.RequestID{Team: k.Team, ID: spec.GetId()}); !ok {
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
	status := statusOf(&code.Error{Code: r.Job.Code})
	status.Retry = uint64(retry / time.Millisecond)
	return &v1.Accepted{Id: spec.GetId(), Status: status, Outcome: r.Job.Outcome}
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
	err, retry := admit.Check(command.SpecFromMessage(teamName, spec), admit.View{
		Row: row, TeamWaiting: l.ledger.TeamWaitingJobs(teamName), CellWaiting: backlog.Jobs, MaxWaiting: l.MaxBacklog, WaitingTeams: backlog.Teams,
		ServerSizes: l.ledger.ServerCapacities(), TotalCapacity: l.ledger.TotalCapacity(),
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

func (l *Leader) handleWait(target ReplyTarget, k key.Key, req *v1.WaitRequest) {
	id := state.RequestID{Team: k.Team, ID: req.GetId()}
	j, ok := l.ledger.FindJob(id)
	if !ok {
		l.runWhenConfirmed(target, func() { l.answerUnknownJob(target, id) })
		return
	}
	if j.Final() {
		l.answerWait(target, j, req.GetChunk())
		return
	}
	w := &parkedWait{target: target, keyID: k.ID, chunk: req.GetChunk()}
	l.leadership.parkedWaits[id] = append(l.leadership.parkedWaits[id], w)
	l.schedule(l.pollDeadline(target, req.GetPatience()), func() { l.expireWait(id, w) })
}

// answerUnknownJob answers a Wait for an unknown job. It runs once the leadership
// is confirmed and looks the job up again.
func (l *Leader) answerUnknownJob(target ReplyTarget, id state.RequestID) {
	if j, ok := l.ledger.FindJob(id); ok {
		l.answerWait(target, j, 0)
		return
	}
	l.refuse(target, code.New(code.NotFound, "%s", id.ID))
}

// pollDeadline returns when a long poll ends. That is the earliest of the requested
// wait, the limit on poll waits, and the caller's deadline.
func (l *Leader) pollDeadline(target ReplyTarget, requestedWaitMs uint64) time.Duration {
	// A server renews its lease once per poll. If a poll lasted as long as the lease,
	// the lease would expire between two polls.
	maxWait := min(l.MaxPollWait, l.LeaseTerms.Length/minPollsPerLease)
	wait := time.Duration(min(requestedWaitMs, uint64(maxWait/time.Millisecond))) * time.Millisecond
	deadline := target.ReceivedAt + wait
	if target.Deadline > 0 {
		deadline = min(deadline, target.Deadline)
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
	if j, ok := l.ledger.FindJob(id); ok {
		l.answerParkedWait(w, j)
		return
	}
	l.refuse(w.target, code.New(code.NotFound, "%s", id.ID))
}

// answerParkedWait answers a parked wait. The key of the wait may have been
// withdrawn since it was parked; a withdrawn key gets no answer.
func (l *Leader) answerParkedWait(w *parkedWait, j *state.Job) {
	if k, ok := l.ledger.Key(w.keyID); !ok || k.Withdrawn {
		l.refuse(w.target, code.New(code.InvalidKey, ""))
		return
	}
	l.answerWait(w.target, j, w.chunk)
}

// answerParkedWaits answers all waits for a job that has ended.
func (l *Leader) answerParkedWaits(j *state.Job) {
	id := j.RequestID()
	for _, w := range l.leadership.parkedWaits[id] {
		if !w.answered {
			w.answered = true
			l.answerParkedWait(w, j)
		}
	}
	delete(l.leadership.parkedWaits, id)
}

func (l *Leader) answerWait(target ReplyTarget, j *state.Job, chunk uint32) {
	reply := &v1.WaitReply{Id: j.Spec.ID, Outcome: j.Outcome, Status: statusOf(&code.Error{Code: j.Code})}
	if j.Outcome == v1.Outcome_OUTCOME_DONE {
		reply.Chunk = l.answerChunk(j, chunk)
		if reply.Chunk == nil {
			l.refuse(target, code.New(code.Malformed, "the job's answer has no chunk %d", chunk))
			return
		}
	}
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Wait{Wait: reply}})
}

func (l *Leader) handleCancel(target ReplyTarget, k key.Key, req *v1.CancelRequest) {
	cancel := &record.Cancel{}
	for _, id := range req.GetIds() {
		if j, ok := l.ledger.FindJob(state.RequestID{Team: k.Team, ID: id}); ok && !j.Final() {
			cancel.Jobs = append(cancel.Jobs, j.Number)
		}
	}
	if len(req.GetLabels()) > 0 {
		for _, j := range l.ledger.Jobs(k.Team) {
			if !j.Final() && hasLabels(j.Spec.Labels, req.GetLabels()) {
				cancel.Jobs = append(cancel.Jobs, j.Number)
			}
		}
	}
	l.logCancelWave(k.Team, cancel)
	if len(cancel.Jobs) > 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Cancel{Cancel: cancel}})
	}
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Cancel{Cancel: &v1.CancelReply{Status: &v1.Status{}, Count: uint32(len(cancel.Jobs))}}})
}

func hasLabels(have, want map[string]string) bool {
	for k, v := range want {
		if have[k] != v {
			return false
		}
	}
	return true
}

func (l *Leader) handleList(target ReplyTarget, k key.Key, req *v1.ListRequest) {
	reply := &v1.ListReply{Status: &v1.Status{}}
	if len(req.GetIds()) > 0 {
		for _, id := range req.GetIds() {
			if j, ok := l.ledger.FindJob(state.RequestID{Team: k.Team, ID: id}); ok {
				reply.Jobs = append(reply.Jobs, jobSummary(j))
			}
		}
	} else {
		var err *code.Error
		if reply.Jobs, err = l.listJobs(k.Team, req.GetAfter(), req.GetLimit()); err != nil {
			reply.Status = statusOf(err)
		}
	}
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_List{List: reply}})
}

func jobSummary(j *state.Job) *v1.Summary {
	return &v1.Summary{
		Id: j.Spec.ID, Team: j.Spec.Team, Kind: v1.Kind(j.Spec.Kind), Name: j.Spec.Name, Outcome: j.Outcome,
		Status: statusOf(&code.Error{Code: j.Code}), Tasks: j.Spec.Count, Running: j.HeldTasks, Ended: j.FinalTasks,
	}
}

func (l *Leader) handleAcknowledge(target ReplyTarget, k key.Key, req *v1.AcknowledgeRequest) {
	forgetCommand := &record.Forget{}
	for _, id := range req.GetIds() {
		if j, ok := l.ledger.FindJob(state.RequestID{Team: k.Team, ID: id}); ok && j.Final() {
			forgetCommand.Jobs = append(forgetCommand.Jobs, j.Number)
		}
	}
	if len(forgetCommand.Jobs) > 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Forget{Forget: forgetCommand}})
	}
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Acknowledge{Acknowledge: &v1.AcknowledgeReply{Status: &v1.Status{}}}})
}
