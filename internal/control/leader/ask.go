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

// batch handles the items of one Push. Items that come while this replica does
// not lead are dropped: the entry's Pull is redirected and asks the leader.
func (l *Leader) batch(b Batch) {
	if l.lead == nil {
		return
	}
	for _, it := range b.Items {
		to := ReplyTarget{Mailbox: b.Mailbox, Seq: it.GetSeq(), ReceivedAt: b.ReceivedAt}
		if n := it.GetBudget(); n > 0 {
			to.Deadline = b.ReceivedAt + time.Duration(n)*time.Millisecond
		}
		l.item(to, it)
	}
}

// item handles one item. The order of the checks matters: nothing is read or
// changed before the key that came with it is known to be good now.
func (l *Leader) item(to ReplyTarget, it *inner.Item) {
	if !l.current() {
		l.refuse(to, code.New(code.NoLeader, "try again"))
		return
	}
	switch ask := it.GetAsk().(type) {
	case *inner.Item_Announce:
		l.announce(to, ask.Announce)
		return
	case *inner.Item_Sync:
		l.sync(to, ask.Sync)
		return
	case *inner.Item_Leave:
		l.leave(to, ask.Leave)
		return
	}
	k, err := l.authorize(it.GetCredential())
	if err != nil {
		l.refuse(to, err)
		return
	}
	switch ask := it.GetAsk().(type) {
	case *inner.Item_Change:
		l.operator(to, k, func() { l.change(to, k, ask.Change) })
	case *inner.Item_Show:
		l.operator(to, k, func() { l.show(to, ask.Show) })
	default:
		l.caller(to, k, it)
	}
}

// current tells whether a quorum confirmed lately that this replica leads. One
// that is cut off silently must stop to answer before long: it does not hear of
// keys that are withdrawn elsewhere.
func (l *Leader) current() bool {
	return l.lead.proved && l.Now()-l.lead.confirmed <= l.MaxConfirmationAge
}

func (l *Leader) authorize(c *inner.Credential) (key.Key, *code.Error) {
	k, ok := l.st.Key(c.GetId())
	if !ok || !k.Matches(c.GetDigest()) || k.Withdrawn {
		l.limit.Log(l.Log, event.KeyRefused, "key", c.GetId(), "withdrawn", k.Withdrawn)
		return key.Key{}, code.New(code.InvalidKey, "")
	}
	return k, nil
}

func (l *Leader) operator(to ReplyTarget, k key.Key, fn func()) {
	if !k.Operator {
		l.refuse(to, code.New(code.Forbidden, "an operator's key is needed"))
		return
	}
	fn()
}

func (l *Leader) caller(to ReplyTarget, k key.Key, it *inner.Item) {
	if k.Operator {
		l.refuse(to, code.New(code.Forbidden, "a team's key is needed"))
		return
	}
	switch ask := it.GetAsk().(type) {
	case *inner.Item_Submit:
		l.submit(to, k, ask.Submit)
	case *inner.Item_Wait:
		l.wait(to, k, ask.Wait)
	case *inner.Item_Cancel:
		l.cancel(to, k, ask.Cancel)
	case *inner.Item_List:
		l.read(to, func() { l.list(to, k, ask.List) })
	case *inner.Item_Acknowledge:
		l.acknowledge(to, k, ask.Acknowledge)
	default:
		l.refuse(to, code.New(code.Malformed, "empty item"))
	}
}

func (l *Leader) submit(to ReplyTarget, k key.Key, req *v1.SubmitRequest) {
	rep := &v1.SubmitReply{}
	for _, spec := range req.GetJobs() {
		rep.Jobs = append(rep.Jobs, l.accept(k, spec))
	}
	l.lead.dirty = true
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Submit{Submit: rep}})
}

func (l *Leader) accept(k key.Key, spec *v1.Spec) *v1.Accepted {
	c := &record.Command{What: &record.Command_Accept{Accept: &record.Accept{Team: k.Team, Key: k.ID, Spec: spec}}}
	var retry time.Duration
	if _, ok := l.st.FindJob(state.RequestID{Team: k.Team, ID: spec.GetId()}); !ok {
		var why code.Code
		if why, retry = l.admit(k.Team, spec); why != code.OK {
			c = &record.Command{What: &record.Command_Refuse{Refuse: &record.Refuse{Team: k.Team, Spec: spec, Code: uint32(why)}}}
		}
	}
	r := l.do(c)
	if r.Code != code.OK {
		l.judged(k.Team, spec.GetId(), r.Code)
		return &v1.Accepted{Id: spec.GetId(), Status: status(&code.Error{Code: r.Code, Detail: r.Detail})}
	}
	l.judged(k.Team, spec.GetId(), r.Job.Code)
	st := status(&code.Error{Code: r.Job.Code})
	st.Retry = uint64(retry / time.Millisecond)
	return &v1.Accepted{Id: spec.GetId(), Status: st, Outcome: r.Job.Outcome}
}

// admit says whether new work is taken, and when to come back if not.
func (l *Leader) admit(owner string, spec *v1.Spec) (code.Code, time.Duration) {
	row, ok := l.st.Table().Row(owner)
	if !ok {
		return code.Forbidden, 0
	}
	if l.full {
		return code.DiskFull, fullRetry
	}
	waits := l.st.Backlog()
	err, retry := admit.Check(command.SpecFromMessage(owner, spec), admit.View{
		Row: row, TeamWaiting: l.st.TeamWaitingJobs(owner), CellWaiting: waits.Jobs, MaxWaiting: l.MaxBacklog, WaitingTeams: waits.Teams,
		ServerSizes: l.st.ServerCapacities(), TotalCapacity: l.st.TotalCapacity(),
	}, rand.Float64())
	if err != nil {
		return err.Code, retry
	}
	return code.OK, 0
}

// waiter is a Wait that is parked until the job ends.
type waiter struct {
	to    ReplyTarget
	key   string
	chunk uint32
	done  bool
}

func (l *Leader) wait(to ReplyTarget, k key.Key, req *v1.WaitRequest) {
	id := state.RequestID{Team: k.Team, ID: req.GetId()}
	j, ok := l.st.FindJob(id)
	if !ok {
		l.read(to, func() { l.missing(to, id) })
		return
	}
	if j.Final() {
		l.answer(to, j, req.GetChunk())
		return
	}
	w := &waiter{to: to, key: k.ID, chunk: req.GetChunk()}
	l.lead.waits[id] = append(l.lead.waits[id], w)
	l.at(l.until(to, req.GetPatience()), func() { l.expireWait(id, w) })
}

// missing answers that a job is not known, after the proof that this is current.
func (l *Leader) missing(to ReplyTarget, id state.RequestID) {
	if j, ok := l.st.FindJob(id); ok {
		l.answer(to, j, 0)
		return
	}
	l.refuse(to, code.New(code.NotFound, "%s", id.ID))
}

// until returns when a long poll ends: after the patience asked for, the bound
// on patience, or the caller's own deadline, whichever is first.
func (l *Leader) until(to ReplyTarget, patience uint64) time.Duration {
	// A server renews its lease once a poll: polls as long as the lease would
	// let it run out between two of them.
	longest := min(l.MaxPollWait, l.LeaseTerms.Length/pollsPerLease)
	d := time.Duration(min(patience, uint64(longest/time.Millisecond))) * time.Millisecond
	end := to.ReceivedAt + d
	if to.Deadline > 0 {
		end = min(end, to.Deadline)
	}
	return end
}

// expireWait answers a wait whose patience has ended with how the job stands.
func (l *Leader) expireWait(id state.RequestID, w *waiter) {
	if w.done {
		return
	}
	w.done = true
	ws := l.lead.waits[id]
	for i, o := range ws {
		if o == w {
			l.lead.waits[id] = append(ws[:i:i], ws[i+1:]...)
			break
		}
	}
	if len(l.lead.waits[id]) == 0 {
		delete(l.lead.waits, id)
	}
	if j, ok := l.st.FindJob(id); ok {
		l.tell(w, j)
		return
	}
	l.refuse(w.to, code.New(code.NotFound, "%s", id.ID))
}

// tell answers a parked wait. Its key may have been withdrawn meanwhile: what
// is asked with a key must not be answered after its end.
func (l *Leader) tell(w *waiter, j *state.Job) {
	if k, ok := l.st.Key(w.key); !ok || k.Withdrawn {
		l.refuse(w.to, code.New(code.InvalidKey, ""))
		return
	}
	l.answer(w.to, j, w.chunk)
}

// answerWaits answers the waits for a job that has ended.
func (l *Leader) answerWaits(j *state.Job) {
	id := j.RequestID()
	for _, w := range l.lead.waits[id] {
		if !w.done {
			w.done = true
			l.tell(w, j)
		}
	}
	delete(l.lead.waits, id)
}

func (l *Leader) answer(to ReplyTarget, j *state.Job, chunk uint32) {
	rep := &v1.WaitReply{Id: j.Spec.ID, Outcome: j.Outcome, Status: status(&code.Error{Code: j.Code})}
	if j.Outcome == v1.Outcome_OUTCOME_DONE {
		rep.Chunk = l.chunk(j, chunk)
		if rep.Chunk == nil {
			l.refuse(to, code.New(code.Malformed, "the answer has no chunk %d", chunk))
			return
		}
	}
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Wait{Wait: rep}})
}

func (l *Leader) cancel(to ReplyTarget, k key.Key, req *v1.CancelRequest) {
	c := &record.Cancel{}
	for _, id := range req.GetIds() {
		if j, ok := l.st.FindJob(state.RequestID{Team: k.Team, ID: id}); ok && !j.Final() {
			c.Jobs = append(c.Jobs, j.Number)
		}
	}
	if len(req.GetLabels()) > 0 {
		for _, j := range l.st.Jobs(k.Team) {
			if !j.Final() && carries(j.Spec.Labels, req.GetLabels()) {
				c.Jobs = append(c.Jobs, j.Number)
			}
		}
	}
	l.waves(k.Team, c)
	if len(c.Jobs) > 0 {
		l.do(&record.Command{What: &record.Command_Cancel{Cancel: c}})
	}
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Cancel{Cancel: &v1.CancelReply{Status: &v1.Status{}, Count: uint32(len(c.Jobs))}}})
}

func carries(have, want map[string]string) bool {
	for k, v := range want {
		if have[k] != v {
			return false
		}
	}
	return true
}

func (l *Leader) list(to ReplyTarget, k key.Key, req *v1.ListRequest) {
	rep := &v1.ListReply{Status: &v1.Status{}}
	if len(req.GetIds()) > 0 {
		for _, id := range req.GetIds() {
			if j, ok := l.st.FindJob(state.RequestID{Team: k.Team, ID: id}); ok {
				rep.Jobs = append(rep.Jobs, summary(j))
			}
		}
	} else {
		var err *code.Error
		if rep.Jobs, err = l.page(k.Team, req.GetAfter(), req.GetLimit()); err != nil {
			rep.Status = status(err)
		}
	}
	l.reply(to, &inner.Reply{Answer: &inner.Reply_List{List: rep}})
}

func summary(j *state.Job) *v1.Summary {
	return &v1.Summary{
		Id: j.Spec.ID, Team: j.Spec.Team, Kind: v1.Kind(j.Spec.Kind), Name: j.Spec.Name, Outcome: j.Outcome,
		Status: status(&code.Error{Code: j.Code}), Tasks: j.Spec.Count, Running: j.HeldTasks, Ended: j.FinalTasks,
	}
}

func (l *Leader) acknowledge(to ReplyTarget, k key.Key, req *v1.AcknowledgeRequest) {
	f := &record.Forget{}
	for _, id := range req.GetIds() {
		if j, ok := l.st.FindJob(state.RequestID{Team: k.Team, ID: id}); ok && j.Final() {
			f.Jobs = append(f.Jobs, j.Number)
		}
	}
	if len(f.Jobs) > 0 {
		l.do(&record.Command{What: &record.Command_Forget{Forget: f}})
	}
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Acknowledge{Acknowledge: &v1.AcknowledgeReply{Status: &v1.Status{}}}})
}
