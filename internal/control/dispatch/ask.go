package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/steps"
)

// comeBack is when a caller may return to a cell that is full: about the time
// in which a second's worth of short flows ends.
const comeBack = time.Second

// errNotLeading tells that nothing was done here.
var errNotLeading = code.New(code.NoLeader, "this replica does not lead")

// errDeposed tells that it is not known here what becomes of a request.
var errDeposed = code.New(code.LeaderTimeout, "the leader changed meanwhile")

// ask runs fn on the control thread while this replica leads. fn calls reply
// once, then or later. A request that is still open when the replica is deposed
// is answered with lost.
func ask[T any](ctx context.Context, d *Dispatcher, lost *code.Error, fn func(reply func(T))) (T, *code.Error) {
	type result struct {
		value T
		err   *code.Error
	}
	var zero T
	answered := make(chan result, 1)
	ok := d.Host.Post(func() {
		if d.lead == nil || !d.Host.Leads() {
			answered <- result{err: errNotLeading}
			return
		}
		ld := d.lead
		ld.serial++
		serial := ld.serial
		ld.asked[serial] = func() { answered <- result{err: lost} }
		fn(func(v T) {
			if _, open := ld.asked[serial]; open {
				delete(ld.asked, serial)
				answered <- result{value: v}
			}
		})
	})
	if !ok {
		return zero, errNotLeading
	}
	select {
	case r := <-answered:
		return r.value, r.err
	case <-ctx.Done():
		return zero, code.New(code.LeaderTimeout, "no decision in time")
	}
}

// Ask answers a caller's request; it may be called on any goroutine.
func (d *Dispatcher) Ask(ctx context.Context, a *inner.FlowAsk) *inner.FlowAnswer {
	received := d.Now()
	rep, err := ask(ctx, d, errDeposed, func(reply func(*inner.FlowAnswer)) {
		if a.GetTerm() > d.lead.term {
			// A later leader has answered this entry already: what is said
			// here could be older than what its callers have seen.
			reply(refusal(errNotLeading, 0))
			return
		}
		term := d.lead.term
		d.answer(a, received, func(r *inner.FlowAnswer) {
			r.Term = term
			reply(r)
		})
	})
	if err != nil {
		return refusal(err, 0)
	}
	return rep
}

func refusal(err *code.Error, retry time.Duration) *inner.FlowAnswer {
	return &inner.FlowAnswer{Code: uint32(err.Code), Detail: err.Detail, Retry: uint64(retry / time.Millisecond)}
}

// answer handles one request. Place and key are checked against the document
// that is in force now, before anything of the request is looked at.
func (d *Dispatcher) answer(a *inner.FlowAsk, received time.Duration, reply func(*inner.FlowAnswer)) {
	ledger := d.Host.Flows()
	config := ledger.Config()
	if config.GetVersion() == 0 {
		reply(refusal(code.New(code.NoLeader, "no configuration yet"), comeBack))
		return
	}
	// A refusal tells of the document; it must not tell of one that is not
	// committed yet, and may never be.
	refuse := func(err *code.Error) { d.Host.AfterCommit(func() { reply(refusal(err, 0)) }) }
	q, id, ok := config.At(a.GetHost(), a.GetPath())
	if !ok {
		refuse(code.New(code.Forbidden, "no queue at %s%s", a.GetHost(), a.GetPath()))
		return
	}
	owner := ""
	if c, known := config.Owner(a.GetKey()); known {
		owner = c.GetName()
	} else if !q.GetOpen() {
		d.meter.refused(code.InvalidKey)
		refuse(code.New(code.InvalidKey, ""))
		return
	}
	switch a.GetVerb() {
	case inner.FlowVerb_FLOW_VERB_SUBMIT:
		if a.GetSpec().GetId() != id {
			refuse(code.New(code.Malformed, "the flow is named %q, its place %q", a.GetSpec().GetId(), id))
			return
		}
		d.submit(a, q, owner, reply)
	case inner.FlowVerb_FLOW_VERB_CANCEL:
		d.cancel(id, owner, received, reply)
	case inner.FlowVerb_FLOW_VERB_STATE:
		d.state(id, owner, received, reply)
	case inner.FlowVerb_FLOW_VERB_PENDING:
		d.Host.AfterCommit(func() { reply(&inner.FlowAnswer{Pending: uint32(d.Host.Flows().PendingFlows(q.GetName()))}) })
	default:
		reply(refusal(code.New(code.Malformed, "no such call"), 0))
	}
}

// submit accepts a flow once it is in the ledger. The same id again is the same
// flow.
func (d *Dispatcher) submit(a *inner.FlowAsk, q *v1.Queue, owner string, reply func(*inner.FlowAnswer)) {
	ledger := d.Host.Flows()
	id := a.GetSpec().GetId()
	if f, ok := ledger.Flow(id); ok {
		if f.Customer != owner {
			reply(refusal(code.New(code.IDReused, "%s", id), 0))
			return
		}
		d.Host.AfterCommit(func() { reply(stateOf(f)) })
		return
	}
	if err, retry := d.admit(a, q); err != nil {
		d.meter.refused(err.Code)
		event.LogError(d.Log, event.FlowRefused, err, "flow", id, "queue", q.GetName(), "customer", owner, "open", ledger.OpenFlows(), "retry", retry.String())
		reply(refusal(err, retry))
		return
	}
	accept := &record.FlowAccept{Queue: q.GetName(), Customer: owner, Spec: a.GetSpec()}
	if !d.decide(&record.Flow{What: &record.Flow_Accept{Accept: accept}}) {
		reply(refusal(code.New(code.Internal, "%s", id), 0))
		return
	}
	if a.GetSpec().GetTimes() > 0 {
		d.lead.timed[id] = true
	}
	d.share(owner, id)
	begin := d.Now()
	d.Host.AfterCommit(func() {
		d.meter.accepted.Inc()
		d.meter.commit.Update((d.Now() - begin).Seconds())
		event.Log(d.Log, event.FlowAccepted, "flow", id, "queue", q.GetName(), "customer", owner, "version", ledger.Config().GetVersion(), "steps", len(a.GetSpec().GetSteps()), "aim", steps.Objective(a.GetSpec(), q).String(), "term", d.lead.term)
		reply(&inner.FlowAnswer{State: v1.FlowState_FLOW_STATE_QUEUED})
	})
}

// admit tells why a flow is not taken, or nil, and when to come back.
func (d *Dispatcher) admit(a *inner.FlowAsk, q *v1.Queue) (*code.Error, time.Duration) {
	if err := flow.Check(a.GetSpec()); err != nil {
		return err, 0
	}
	if d.Host.DiskFull() {
		return code.New(code.DiskFull, ""), comeBack
	}
	if d.Host.Flows().OpenFlows() >= d.MaxOpenFlows {
		return code.New(code.Overloaded, "%d flows wait or run", d.MaxOpenFlows), comeBack
	}
	if d.closed(q.GetPool()) {
		return code.New(code.Overloaded, "every zone of pool %s is drained", q.GetPool()), comeBack
	}
	return nil, 0
}

func stateOf(f *flows.Flow) *inner.FlowAnswer { return &inner.FlowAnswer{State: f.State} }

// state tells how a flow stands once that is committed. That a flow is not
// known is told only with a proof that this replica leads now: a leader that was
// deposed unnoticed would deny flows that another has accepted.
func (d *Dispatcher) state(id, owner string, received time.Duration, reply func(*inner.FlowAnswer)) {
	d.find(id, owner, received, reply, func(f *flows.Flow) {
		said := stateOf(f)
		d.Host.AfterCommit(func() { reply(said) })
	})
}

// find calls fn with a flow of the customer, or refuses.
func (d *Dispatcher) find(id, owner string, received time.Duration, reply func(*inner.FlowAnswer), fn func(*flows.Flow)) {
	if f, ok := d.Host.Flows().Flow(id); ok && f.Customer == owner {
		fn(f)
		return
	}
	d.Host.AfterLeadershipProof(received, func() {
		if f, ok := d.Host.Flows().Flow(id); ok && f.Customer == owner {
			fn(f)
			return
		}
		reply(refusal(code.New(code.NotFound, "%s", id), 0))
	})
}

// cancel ends a flow; it is told once it is committed, and binds every start
// that is decided after.
func (d *Dispatcher) cancel(id, owner string, received time.Duration, reply func(*inner.FlowAnswer)) {
	d.find(id, owner, received, reply, func(f *flows.Flow) {
		if !f.Final() {
			event.Log(d.Log, event.FlowCancelled, "flow", id, "held", f.HeldRuns, "term", d.lead.term)
			d.decide(&record.Flow{What: &record.Flow_Cancel{Cancel: &record.FlowCancel{Id: id}}})
		}
		d.Host.AfterCommit(func() { reply(stateOf(f)) })
	})
}

// Put puts a configuration document in force. One that is not newer than that
// in force is acknowledged without effect; an unsound one is refused.
func (d *Dispatcher) Put(ctx context.Context, doc *v1.Document) *code.Error {
	if err := flow.CheckDocument(doc); err != nil {
		event.LogError(d.Log, event.DocumentRefused, err, "version", doc.GetVersion())
		return err
	}
	received := d.Now()
	_, err := ask(ctx, d, errDeposed, func(reply func(struct{})) {
		held := d.Host.Flows().Config().GetVersion()
		if doc.GetVersion() > held {
			d.decide(&record.Flow{What: &record.Flow_Document{Document: doc}})
		}
		event.Log(d.Log, event.DocumentTaken, "version", doc.GetVersion(), "held", held, "bytes", len(doc.GetText()), "term", d.lead.term)
		d.Host.AfterCommit(func() { d.Host.AfterLeadershipProof(received, func() { reply(struct{}{}) }) })
	})
	return err
}

// Read returns the document in force as it was sent, proved to be the newest.
func (d *Dispatcher) Read(ctx context.Context) ([]byte, *code.Error) {
	received := d.Now()
	text, err := ask(ctx, d, errNotLeading, func(reply func([]byte)) {
		d.Host.AfterLeadershipProof(received, func() {
			d.Host.AfterCommit(func() { reply(d.Host.Flows().Config().GetText()) })
		})
	})
	if err == nil && text == nil {
		return nil, code.New(code.NoLeader, "no configuration yet")
	}
	return text, err
}
