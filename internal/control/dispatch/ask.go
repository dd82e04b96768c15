package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/access"
	"gypsumreel/internal/policy/admission"
	"gypsumreel/internal/policy/steps"
)

// retryDelay is the delay after which a caller may retry when a full cell refused its
// flow. In about this time, as many short flows end as callers submit in a second.
const retryDelay = time.Second

// errNotLeading is returned when this replica does not lead and has not executed the
// request.
var errNotLeading = code.New(code.NoLeader, "this replica does not lead")

// errDeposed is returned when the outcome of a request is unknown because the replica was
// deposed.
var errDeposed = code.New(code.LeaderTimeout, "the leader changed before the request was committed; its outcome is unknown")

// errNotBegun is returned when the control thread did not begin a request before its caller
// gave up. The request is not executed later.
var errNotBegun = code.New(code.NoLeader, "the leader did not begin the request in time")

// runOnLeader runs fn on the control thread if this replica leads, and waits for the reply.
// fn calls reply once, immediately or later. A request without a reply fails with
// deposedErr when the replica is deposed. A request that has not begun when ctx ends is not
// executed: callers may have been told that it did not run, and nobody waits for it.
func runOnLeader[T any](ctx context.Context, d *Dispatcher, deposedErr *code.Error, fn func(reply func(T))) (T, *code.Error) {
	return callLeader(ctx, d, deposedErr, false, fn)
}

// recordOnLeader is runOnLeader for what holds whether or not its sender still waits, such as
// reports and configuration documents. It is executed also after ctx has ended: at a leader
// that is only slow, processes would otherwise count as silent and no document would get through.
func recordOnLeader[T any](ctx context.Context, d *Dispatcher, deposedErr *code.Error, fn func(reply func(T))) (T, *code.Error) {
	return callLeader(ctx, d, deposedErr, true, fn)
}

func callLeader[T any](ctx context.Context, d *Dispatcher, deposedErr *code.Error, beginsLate bool, fn func(reply func(T))) (T, *code.Error) {
	type result struct {
		value T
		err   *code.Error
	}
	var zero T
	// settled is set by the first of the two: the control thread begins the request, or its
	// caller gives up.
	var settled atomic.Bool
	answered := make(chan result, 1)
	queued := d.Host.PostContext(ctx, func() {
		if !beginsLate && ctx.Err() != nil || !settled.CompareAndSwap(false, true) {
			return
		}
		if d.leader == nil || !d.Host.Leads() {
			answered <- result{err: errNotLeading}
			return
		}
		leader := d.leader
		leader.lastRequestID++
		requestID := leader.lastRequestID
		leader.pendingRequests[requestID] = func() { answered <- result{err: deposedErr} }
		fn(func(value T) {
			if _, pending := leader.pendingRequests[requestID]; pending {
				delete(leader.pendingRequests, requestID)
				answered <- result{value: value}
			}
		})
	})
	if !queued {
		return zero, errNotBegun
	}
	select {
	case r := <-answered:
		return r.value, r.err
	case <-ctx.Done():
		if !beginsLate && settled.CompareAndSwap(false, true) {
			return zero, errNotBegun
		}
		return zero, code.New(code.LeaderTimeout, "no decision in time")
	}
}

// Ask answers a caller's request. It is safe for concurrent use.
func (d *Dispatcher) Ask(ctx context.Context, a *inner.FlowAsk) *inner.FlowAnswer {
	receivedAt := d.Now()
	answer, err := runOnLeader(ctx, d, errDeposed, func(reply func(*inner.FlowAnswer)) {
		if a.GetTerm() > d.leader.term {
			// A later leader has already answered this entry. An answer of this replica
			// could be older than that answer.
			reply(refusalAnswer(errNotLeading, 0))
			return
		}
		term := d.leader.term
		d.handleAsk(a, receivedAt, func(r *inner.FlowAnswer) {
			r.Term, r.Clock = term, uint64(d.Now()/time.Millisecond)
			reply(r)
		})
	})
	if err != nil {
		return refusalAnswer(err, 0)
	}
	return answer
}

func refusalAnswer(err *code.Error, retryAfter time.Duration) *inner.FlowAnswer {
	return &inner.FlowAnswer{Code: uint32(err.Code), Detail: err.Detail, Retry: uint64(retryAfter / time.Millisecond)}
}

// handleAsk handles one request. The path and the key are checked against the active
// configuration before the content of the request is used.
func (d *Dispatcher) handleAsk(a *inner.FlowAsk, receivedAt time.Duration, reply func(*inner.FlowAnswer)) {
	ledger := d.Host.Flows()
	config := ledger.Config()
	if config.GetVersion() == 0 {
		reply(refusalAnswer(code.New(code.NoLeader, "no configuration document has been put"), retryDelay))
		return
	}
	// A refusal is based on the active configuration, which may not be committed yet and
	// may be lost with this leader. The refusal is therefore sent after its commit.
	refuse := func(err *code.Error) { d.Host.AfterCommit(func() { reply(refusalAnswer(err, 0)) }) }
	q, id, ok := config.QueueAt(a.GetHost(), a.GetPath())
	if !ok {
		refuse(code.New(code.Forbidden, "no queue at %s%s", a.GetHost(), a.GetPath()))
		return
	}
	customer := ""
	if c, known := config.KeyOwner(a.GetKey()); known {
		customer = c.GetName()
	} else if !q.GetOpen() {
		d.countRefusal("", code.InvalidKey)
		refuse(code.New(code.InvalidKey, ""))
		return
	}
	from := origin{customer: customer, queue: q}
	switch a.GetVerb() {
	case inner.FlowVerb_FLOW_VERB_SUBMIT:
		if a.GetSpec().GetId() != id {
			refuse(code.New(code.Malformed, "flow id %q does not match the id %q in the request path", a.GetSpec().GetId(), id))
			return
		}
		d.submitFlow(a, from, receivedAt, reply)
	case inner.FlowVerb_FLOW_VERB_CANCEL:
		d.cancelFlow(id, from, receivedAt, reply)
	case inner.FlowVerb_FLOW_VERB_STATE:
		d.replyState(id, from, receivedAt, reply)
	case inner.FlowVerb_FLOW_VERB_PENDING:
		d.Host.AfterCommit(func() { reply(&inner.FlowAnswer{Pending: uint32(d.pendingFlows(q.GetName()))}) })
	default:
		reply(refusalAnswer(code.New(code.Malformed, "unknown request verb %d", a.GetVerb()), 0))
	}
}

// origin is where a call comes from.
type origin struct {
	// customer is the customer whose key the call carries; empty if it carries none.
	customer string
	// queue is the queue at the address of the call.
	queue *v1.Queue
}

// mayAccess reports whether the caller may see, repeat and cancel a flow.
func (o origin) mayAccess(f *flows.Flow) bool {
	return access.Call{Customer: o.customer, Open: o.queue.GetOpen(), SameAddress: f.Address == flows.AddressOf(o.queue)}.Allows(f.Customer)
}

// submitFlow accepts or refuses a flow. A repeated submit with the same id is idempotent.
func (d *Dispatcher) submitFlow(a *inner.FlowAsk, from origin, receivedAt time.Duration, reply func(*inner.FlowAnswer)) {
	ledger, q, customer := d.Host.Flows(), from.queue, from.customer
	id := a.GetSpec().GetId()
	if f, ok := ledger.Flow(id); ok {
		if !from.mayAccess(f) {
			reply(refusalAnswer(code.New(code.IDReused, "%s", id), 0))
			return
		}
		d.Host.AfterCommit(func() { reply(stateAnswer(f)) })
		return
	}
	if err, retryAfter := d.checkAdmission(a, q); err != nil {
		d.countRefusal(customer, err.Code)
		event.LogError(d.Log, event.FlowRefused, err, "flow", id, "queue", q.GetName(), "customer", customer, "open", ledger.OpenFlows(), "retry", retryAfter.String())
		reply(refusalAnswer(err, retryAfter))
		return
	}
	submitted := &submission{id: id, customer: customer, queue: q}
	if d.judge(a, submitted); submitted.reason != admission.Accepted {
		d.refuse(submitted, receivedAt, reply)
		return
	}
	d.acceptFlow(a, submitted, reply)
}

// acceptFlow adds a submitted flow to the ledger and replies after the commit.
func (d *Dispatcher) acceptFlow(a *inner.FlowAsk, submitted *submission, reply func(*inner.FlowAnswer)) {
	ledger, id, q, customer := d.Host.Flows(), submitted.id, submitted.queue, submitted.customer
	acceptance := &record.FlowAccept{Queue: q.GetName(), Customer: customer, Spec: a.GetSpec()}
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Accept{Accept: acceptance}}) {
		reply(refusalAnswer(code.New(code.Internal, "%s", id), 0))
		return
	}
	if a.GetSpec().GetTimes() > 0 {
		d.leader.recurringFlows[id] = true
	}
	d.markSurplusFlow(customer, id)
	d.trackAccepted(submitted)
	startedAt := d.Now()
	d.Host.AfterCommit(func() {
		d.flowMetrics.accepted.Inc()
		d.countAcceptance(customer)
		d.flowMetrics.commitSeconds.Update((d.Now() - startedAt).Seconds())
		event.Log(d.Log, event.FlowAccepted, "flow", id, "queue", q.GetName(), "customer", customer, "version", ledger.Config().GetVersion(), "steps", len(a.GetSpec().GetSteps()), "aim", steps.Objective(a.GetSpec(), q).String(), "term", d.leader.term)
		reply(&inner.FlowAnswer{State: v1.FlowState_FLOW_STATE_QUEUED})
	})
}

// checkAdmission returns why a flow is refused and the time after which the caller may
// retry, or nil if the flow is admitted.
func (d *Dispatcher) checkAdmission(a *inner.FlowAsk, q *v1.Queue) (*code.Error, time.Duration) {
	if err := flow.CheckSpec(a.GetSpec()); err != nil {
		return err, 0
	}
	if d.Host.DiskFull() {
		return code.New(code.DiskFull, ""), retryDelay
	}
	if d.Host.Flows().OpenFlows() >= d.MaxOpenFlows {
		return code.New(code.Overloaded, "the limit of %d open flows is reached", d.MaxOpenFlows), retryDelay
	}
	if !d.hasMemoryFor(flow.SpecBytes(a.GetSpec()) + flow.TurnBytes(a.GetSpec())) {
		return code.New(code.Overloaded, "the open flows take the memory that they may"), retryDelay
	}
	if d.allZonesDrained(q.GetPool()) {
		return code.New(code.Overloaded, "every zone of pool %s is drained", q.GetPool()), retryDelay
	}
	return nil, 0
}

// hasMemoryFor reports whether flows may take n more bytes.
func (d *Dispatcher) hasMemoryFor(n int64) bool {
	return d.MaxOpenBytes == 0 || d.Host.Flows().OpenBytes()+n <= d.MaxOpenBytes
}

func stateAnswer(f *flows.Flow) *inner.FlowAnswer { return &inner.FlowAnswer{State: f.State} }

// replyState replies with the state of a flow after that state is committed. The reply that
// a flow is unknown requires a proof of leadership: a deposed leader would not know the
// flows that its successor accepted.
func (d *Dispatcher) replyState(id string, from origin, receivedAt time.Duration, reply func(*inner.FlowAnswer)) {
	d.withFlow(id, from, receivedAt, reply, func(f *flows.Flow) {
		answer := stateAnswer(f)
		d.Host.AfterCommit(func() { reply(answer) })
	})
}

// withFlow calls fn with the flow if it exists and the caller may access it, and refuses the
// request otherwise.
func (d *Dispatcher) withFlow(id string, from origin, receivedAt time.Duration, reply func(*inner.FlowAnswer), fn func(*flows.Flow)) {
	if f, ok := d.Host.Flows().Flow(id); ok && from.mayAccess(f) {
		fn(f)
		return
	}
	d.Host.AfterLeadershipProof(receivedAt, func() {
		if f, ok := d.Host.Flows().Flow(id); ok && from.mayAccess(f) {
			fn(f)
			return
		}
		reply(refusalAnswer(code.New(code.NotFound, "%s", id), 0))
	})
}

// cancelFlow cancels a flow and replies after the commit. No task of the flow is started
// after the cancellation is applied.
func (d *Dispatcher) cancelFlow(id string, from origin, receivedAt time.Duration, reply func(*inner.FlowAnswer)) {
	d.withFlow(id, from, receivedAt, reply, func(f *flows.Flow) {
		if !f.Final() {
			event.Log(d.Log, event.FlowCancelled, "flow", id, "held", f.HeldRuns, "term", d.leader.term)
			d.applyOrLog(&record.Flow{What: &record.Flow_Cancel{Cancel: &record.FlowCancel{Id: id}}})
		}
		d.Host.AfterCommit(func() { reply(stateAnswer(f)) })
	})
}

// PutDocument activates a configuration document. A document that is not newer than the active one
// is acknowledged without effect. An invalid document is refused.
func (d *Dispatcher) PutDocument(ctx context.Context, doc *v1.Document) *code.Error {
	if err := flow.CheckDocument(doc); err != nil {
		event.LogError(d.Log, event.DocumentRefused, err, "version", doc.GetVersion())
		return err
	}
	receivedAt := d.Now()
	_, err := recordOnLeader(ctx, d, errDeposed, func(reply func(struct{})) {
		currentVersion := d.Host.Flows().Config().GetVersion()
		if doc.GetVersion() > currentVersion {
			d.applyOrLog(&record.Flow{What: &record.Flow_Document{Document: doc}})
		}
		event.Log(d.Log, event.DocumentTaken, "version", doc.GetVersion(), "held", currentVersion, "bytes", len(doc.GetText()), "term", d.leader.term)
		d.Host.AfterCommit(func() { d.Host.AfterLeadershipProof(receivedAt, func() { reply(struct{}{}) }) })
	})
	return err
}

// ReadDocument returns the text of the active configuration document as it was sent. A proof of
// leadership ensures that it is the newest one.
func (d *Dispatcher) ReadDocument(ctx context.Context) ([]byte, *code.Error) {
	receivedAt := d.Now()
	text, err := runOnLeader(ctx, d, errNotLeading, func(reply func([]byte)) {
		d.Host.AfterLeadershipProof(receivedAt, func() {
			d.Host.AfterCommit(func() { reply(d.Host.Flows().Config().GetText()) })
		})
	})
	if err == nil && text == nil {
		return nil, code.New(code.NoLeader, "no configuration document has been put")
	}
	return text, err
}
