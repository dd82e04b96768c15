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

// Ask carries a request to the leader. Every request may be made again: flows
// have ids, and cancelling or asking twice changes nothing. The answer has code
// NoLeader when nothing can have been done, and Unanswered when that is not known.
func (c *Client) Ask(ctx context.Context, request *inner.FlowAsk) *inner.FlowAnswer {
	startedAt := c.Now()
	answer := c.askUntilAnswered(ctx, request)
	if isWrite(request) || answer.GetCode() == uint32(code.Unanswered) {
		event.Log(c.Log, event.CallAnswered, "flow", path.Base(request.GetPath()), "verb", request.GetVerb().String(), "code", answer.GetCode(), "detail", answer.GetDetail(), "term", answer.GetTerm(), "retry", answer.GetRetry(), "took", (c.Now() - startedAt).String())
	}
	return answer
}

// askUntilAnswered asks the leader, and the next one, until one has answered.
func (c *Client) askUntilAnswered(ctx context.Context, request *inner.FlowAsk) *inner.FlowAnswer {
	request.Cell = c.Cell
	mayHaveArrived := false
	leaderWaitTimer := time.NewTimer(c.remainingLeaderWait())
	defer leaderWaitTimer.Stop()
	ctx, cancel := c.withRetryDeadline(ctx)
	defer cancel()
	for {
		leader, term, leaderChanged := c.currentLeader()
		if leader != "" {
			request.Term = term
			answer, attemptArrived := c.attempt(ctx, leader, leaderChanged, request)
			if answer != nil {
				return answer
			}
			mayHaveArrived = mayHaveArrived || attemptArrived && isWrite(request)
		}
		retrySignal := leaderChanged
		if leader != "" {
			retrySignal = nil // the same one is tried again after the pause
		}
		select {
		case <-retrySignal:
			continue
		case <-time.After(retryInterval):
			continue
		case <-leaderWaitTimer.C:
			if mayHaveArrived {
				// Nobody may say "not run" of it now, and a caller that is told
				// nothing is worse off than one that waits for the next leader.
				continue
			}
		case <-ctx.Done():
		}
		return c.unansweredReply(request, mayHaveArrived)
	}
}

// isWrite tells whether a request changes anything. Of one that only asks it is
// always true that nothing was done, whoever may have read it.
func isWrite(request *inner.FlowAsk) bool {
	return request.GetVerb() == inner.FlowVerb_FLOW_VERB_SUBMIT || request.GetVerb() == inner.FlowVerb_FLOW_VERB_CANCEL
}

// remainingLeaderWait returns how long a request that was not sent waits for a leader: less
// the longer none is known, and not at all when an election should be over.
func (c *Client) remainingLeaderWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return leaderWait
	}
	return max(leaderWait-(c.Now()-c.leaderLostAt), 0)
}

// withRetryDeadline bounds the time in which a request that may have been taken is asked
// again: half of its caller's, who then has the other half to ask by itself.
func (c *Client) withRetryDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

func (c *Client) unansweredReply(request *inner.FlowAsk, mayHaveArrived bool) *inner.FlowAnswer {
	resultCode := code.NoLeader
	if mayHaveArrived {
		resultCode = code.Unanswered
	}
	event.Log(c.Log, event.CallUnanswered, "flow", path.Base(request.GetPath()), "verb", request.GetVerb().String(), "code", uint32(resultCode), "leader", c.leaderName())
	return &inner.FlowAnswer{Code: uint32(resultCode), Retry: uint64(retryHint / time.Millisecond)}
}

func (c *Client) leaderName() string {
	leader, _, _ := c.currentLeader()
	return leader
}

// attempt makes one call; nil when it has to be made again. reached tells that the
// leader may have taken the request. A call to a leader that was replaced
// meanwhile is given up: it may stand still for seconds.
func (c *Client) attempt(ctx context.Context, leader string, leaderChanged <-chan struct{}, request *inner.FlowAsk) (answer *inner.FlowAnswer, mayHaveArrived bool) {
	timeout := attemptTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	request.Budget = uint64(max(timeout, 0) / time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		select {
		case <-leaderChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	answer, err := inner.NewFlowsProtobufClient("http://"+leader, c.HTTPClient).Ask(ctx, request)
	if err != nil {
		// A call that ended with its caller's time tells nothing of the leader.
		if wire.NeverSent(err) || timeout == attemptTimeout && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.recordLeaderLost(leader)
		}
		return nil, !wire.NeverSent(err)
	}
	switch code.Code(answer.GetCode()) {
	case code.NoLeader:
		c.recordRedirect(leader, answer.GetLeader())
		return nil, false
	case code.Unanswered:
		return nil, true
	}
	if answer.GetTerm() > 0 {
		c.recordAnswer(answer.GetTerm())
	}
	return answer, true
}

// recordRedirect notes that a replica does not lead, and whom it takes for the leader.
func (c *Client) recordRedirect(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != from {
		return
	}
	if c.leader = to; to == "" {
		c.leaderLostAt = c.Now()
	}
}

func (c *Client) recordAnswer(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term, c.lastContact = max(c.term, term), c.Now()
}
