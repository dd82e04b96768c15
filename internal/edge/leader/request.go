package leader

import (
	"context"
	"path"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/edge/wire"
)

// Ask forwards a request to the leader and returns the answer. It may send the request
// more than once, because requests are idempotent: flows have ids, and a repeated cancel
// or query has no further effect. Without an answer from a leader, the code is NoLeader
// if the request provably had no effect, and LeaderTimeout if this is unknown.
func (c *Client) Ask(ctx context.Context, request *inner.FlowAsk) *inner.FlowAnswer {
	startedAt := c.Now()
	c.stampRequest(request, startedAt)
	answer := c.askUntilAnswered(ctx, request)
	if isWrite(request) || answer.GetCode() == uint32(code.LeaderTimeout) {
		event.Log(c.Log, event.CallAnswered, "flow", path.Base(request.GetPath()), "verb", request.GetVerb().String(), "code", answer.GetCode(), "detail", answer.GetDetail(), "term", answer.GetTerm(), "retry", answer.GetRetry(), "took", (c.Now() - startedAt).String())
	}
	return answer
}

// askUntilAnswered sends the request to the current leader, and after a leader change to
// the next one, until one answers or the time for retries is over.
func (c *Client) askUntilAnswered(ctx context.Context, request *inner.FlowAsk) *inner.FlowAnswer {
	request.Cell = c.Cell
	mayHaveArrived := false
	leaderWaitTimer := time.NewTimer(c.remainingLeaderWait())
	defer leaderWaitTimer.Stop()
	ctx, cancel := c.withRetryDeadline(ctx)
	defer cancel()
	for {
		leader := c.currentLeader()
		if leader.address != "" {
			request.Term = leader.term
			answer, attemptArrived := c.attempt(ctx, leader, request)
			if answer != nil {
				return answer
			}
			mayHaveArrived = mayHaveArrived || attemptArrived && isWrite(request)
		}
		retrySignal := leader.changed
		if leader.address != "" {
			retrySignal = nil // the same leader is tried again after retryInterval
		}
		select {
		case <-retrySignal:
			continue
		case <-time.After(retryInterval):
			continue
		case <-leaderWaitTimer.C:
			if mayHaveArrived {
				// The request may have taken effect, so "not run" would be wrong.
				// The next leader can give a definite answer, which is better for
				// the caller than the code LeaderTimeout.
				continue
			}
		case <-ctx.Done():
		}
		return c.unansweredReply(request, mayHaveArrived)
	}
}

// isWrite reports whether a request changes state. A read has no effect, even if a leader
// received it.
func isWrite(request *inner.FlowAsk) bool {
	return request.GetVerb() == inner.FlowVerb_FLOW_VERB_SUBMIT || request.GetVerb() == inner.FlowVerb_FLOW_VERB_CANCEL
}

// remainingLeaderWait returns how long a request that has not arrived at a leader waits
// for one. The wait is leaderWait minus the time since the last leader was lost.
func (c *Client) remainingLeaderWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return leaderWait
	}
	return max(leaderWait-(c.Now()-c.leaderLostAt), 0)
}

// withRetryDeadline limits the time in which a request is sent again to half of the
// caller's remaining time. The caller can use the other half for its own retry.
func (c *Client) withRetryDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// unansweredReply returns the answer to a request that no leader answered.
func (c *Client) unansweredReply(request *inner.FlowAsk, mayHaveArrived bool) *inner.FlowAnswer {
	resultCode := code.NoLeader
	if mayHaveArrived {
		resultCode = code.LeaderTimeout
	}
	event.Log(c.Log, event.CallUnanswered, "flow", path.Base(request.GetPath()), "verb", request.GetVerb().String(), "code", uint32(resultCode), "leader", c.currentLeader().address)
	return &inner.FlowAnswer{Code: uint32(resultCode), Retry: uint64(retryHint / time.Millisecond)}
}

// attempt makes one call to the leader. It returns a nil answer if the request must be
// sent again. mayHaveArrived reports whether the leader may have processed the request.
// The call is cancelled when another leader is recorded, because a replaced leader may
// not answer for seconds. A read is cancelled as soon as the leader is lost: it has no
// effect, while the leader may still say of a write that it was not executed.
func (c *Client) attempt(ctx context.Context, leader leaderView, request *inner.FlowAsk) (answer *inner.FlowAnswer, mayHaveArrived bool) {
	timeout := attemptTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	request.Budget = uint64(max(timeout, 0).Seconds() * budgetShare * 1000)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lost := leader.lost
	if isWrite(request) {
		lost = nil
	}
	go func() {
		select {
		case <-leader.changed:
			cancel()
		case <-lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	answer, err := inner.NewFlowsProtobufClient("http://"+leader.address, c.HTTPClient).Ask(ctx, request)
	if err != nil {
		// A call that ended at the caller's deadline does not show that the leader is
		// lost.
		if wire.NeverSent(err) || timeout == attemptTimeout && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.recordLeaderLost(leader.address)
		}
		return nil, !wire.NeverSent(err) && !wire.RefusedUnread(err)
	}
	switch code.Code(answer.GetCode()) {
	case code.NoLeader:
		c.recordRedirect(leader.address, answer.GetLeader())
		return nil, false
	case code.LeaderTimeout:
		return nil, true
	}
	if answer.GetTerm() > 0 {
		c.recordAnswer(answer)
	}
	return answer, true
}

// recordRedirect records that the replica at from is not the leader and that it named the
// replica at to as the leader. An empty to means that it knows no leader.
func (c *Client) recordRedirect(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != from {
		return
	}
	if c.leader = to; to == "" {
		c.forgetLeader()
	}
}

// recordAnswer records contact with the leader that answered.
func (c *Client) recordAnswer(answer *inner.FlowAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term, c.lastContact = max(c.term, answer.GetTerm()), c.Now()
	c.leaderClock.record(answer.GetTerm(), answer.GetClock(), c.lastContact)
}
