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
func (l *Client) Ask(ctx context.Context, a *inner.FlowAsk) *inner.FlowAnswer {
	begin := l.Now()
	rep := l.carry(ctx, a)
	if changes(a) || rep.GetCode() == uint32(code.LeaderTimeout) {
		event.Log(l.Log, event.CallAnswered, "flow", path.Base(a.GetPath()), "verb", a.GetVerb().String(), "code", rep.GetCode(), "detail", rep.GetDetail(), "term", rep.GetTerm(), "retry", rep.GetRetry(), "took", (l.Now() - begin).String())
	}
	return rep
}

// carry asks the leader, and the next one, until one has answered.
func (l *Client) carry(ctx context.Context, a *inner.FlowAsk) *inner.FlowAnswer {
	a.Cell = l.Cell
	sent := false
	give := time.NewTimer(l.patience())
	defer give.Stop()
	ctx, cancel := l.settling(ctx)
	defer cancel()
	for {
		leader, term, changed := l.at()
		if leader != "" {
			a.Term = term
			rep, reached := l.try(ctx, leader, changed, a)
			if rep != nil {
				return rep
			}
			sent = sent || reached && changes(a)
		}
		wait := changed
		if leader != "" {
			wait = nil // the same one is tried again after the pause
		}
		select {
		case <-wait:
			continue
		case <-time.After(retryPause):
			continue
		case <-give.C:
			if sent {
				// Nobody may say "not run" of it now, and a caller that is told
				// nothing is worse off than one that waits for the next leader.
				continue
			}
		case <-ctx.Done():
		}
		return l.unanswered(a, sent)
	}
}

// changes tells whether a request changes anything. Of one that only asks it is
// always true that nothing was done, whoever may have read it.
func changes(a *inner.FlowAsk) bool {
	return a.GetVerb() == inner.FlowVerb_FLOW_VERB_SUBMIT || a.GetVerb() == inner.FlowVerb_FLOW_VERB_CANCEL
}

// patience returns how long a request that was not sent waits for a leader: less
// the longer none is known, and not at all when an election should be over.
func (l *Client) patience() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return findTime
	}
	return max(findTime-(l.Now()-l.gone), 0)
}

// settling bounds the time in which a request that may have been taken is asked
// again: half of its caller's, who then has the other half to ask by itself.
func (l *Client) settling(ctx context.Context) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(end)/2)
}

func (l *Client) unanswered(a *inner.FlowAsk, sent bool) *inner.FlowAnswer {
	c := code.NoLeader
	if sent {
		c = code.LeaderTimeout
	}
	event.Log(l.Log, event.CallUnanswered, "flow", path.Base(a.GetPath()), "verb", a.GetVerb().String(), "code", uint32(c), "leader", l.leaderName())
	return &inner.FlowAnswer{Code: uint32(c), Retry: uint64(comeBack / time.Millisecond)}
}

func (l *Client) leaderName() string {
	leader, _, _ := l.at()
	return leader
}

// try makes one call; nil when it has to be made again. reached tells that the
// leader may have taken the request. A call to a leader that was replaced
// meanwhile is given up: it may stand still for seconds.
func (l *Client) try(ctx context.Context, leader string, changed <-chan struct{}, a *inner.FlowAsk) (rep *inner.FlowAnswer, reached bool) {
	limit := tryTimeout
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end))
	}
	a.Budget = uint64(max(limit, 0) / time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	rep, err := inner.NewFlowsProtobufClient("http://"+leader, l.HTTPClient).Ask(ctx, a)
	if err != nil {
		// A call that ended with its caller's time tells nothing of the leader.
		if wire.NeverSent(err) || limit == tryTimeout && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.lost(leader)
		}
		return nil, !wire.NeverSent(err)
	}
	switch code.Code(rep.GetCode()) {
	case code.NoLeader:
		l.moved(leader, rep.GetLeader())
		return nil, false
	case code.LeaderTimeout:
		return nil, true
	}
	if rep.GetTerm() > 0 {
		l.answered(rep.GetTerm())
	}
	return rep, true
}

// moved notes that a replica does not lead, and whom it takes for the leader.
func (l *Client) moved(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != from {
		return
	}
	if l.leader = to; to == "" {
		l.gone = l.Now()
	}
}

func (l *Client) answered(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.heard = max(l.term, term), l.Now()
}
