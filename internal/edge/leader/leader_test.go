package leader_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumreel/internal/base/files"

	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/leader"
	"gypsumreel/internal/edge/wire"
)

// fakeReplica is a control replica on loopback that may lead, stand still or be gone.
type fakeReplica struct {
	*httptest.Server
	mu     sync.Mutex
	leads  bool
	term   uint64
	leader string
	// greetDelay is how long a greeting takes.
	greetDelay time.Duration
	// unfreeze replicas answer when it is closed.
	unfreeze chan struct{}
	requests int
	// greetings counts the greetings, greeting those under way.
	greetings         int
	greetingsInFlight int
	// greetIntervalMs is what is told of the time between two.
	greetIntervalMs uint32
}

func newReplica(t *testing.T) *fakeReplica {
	r := &fakeReplica{}
	r.Server = httptest.NewServer(inner.NewFlowsServer(r))
	t.Cleanup(r.Close)
	return r
}

func (r *fakeReplica) address() string { return strings.TrimPrefix(r.URL, "http://") }

func (r *fakeReplica) update(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

func (r *fakeReplica) waitWhileFrozen(ctx context.Context) {
	r.mu.Lock()
	unfreeze := r.unfreeze
	r.mu.Unlock()
	if unfreeze != nil {
		select {
		case <-unfreeze:
		case <-ctx.Done():
		}
	}
}

func (r *fakeReplica) Ask(ctx context.Context, _ *inner.FlowAsk) (*inner.FlowAnswer, error) {
	r.update(func() { r.requests++ })
	r.waitWhileFrozen(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads {
		return &inner.FlowAnswer{Code: uint32(code.NoLeader), Leader: r.leader}, nil
	}
	return &inner.FlowAnswer{Term: r.term, Pending: uint32(r.term)}, nil
}

func (r *fakeReplica) Greet(ctx context.Context, _ *inner.Greeting) (*inner.Welcome, error) {
	r.update(func() { r.greetings++; r.greetingsInFlight++ })
	defer r.update(func() { r.greetingsInFlight-- })
	r.waitWhileFrozen(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	time.Sleep(r.greetDelay)
	return &inner.Welcome{Term: r.term, Leads: r.leads, Leader: r.leader, Version: 1, Pause: r.greetIntervalMs}, nil
}

func newClient(t *testing.T, replicas ...*fakeReplica) *leader.Client {
	var seeds []string
	for _, r := range replicas {
		seeds = append(seeds, r.address())
	}
	startedAt := time.Now()
	c := &leader.Client{
		Greeting: &inner.Greeting{Name: "entry", Address: "127.0.0.1:1"}, Seeds: func() []string { return seeds },
		HTTPClient: wire.NewClient(4, nil, files.Servers), Now: func() time.Duration { return time.Since(startedAt) + time.Hour }, Log: logr.Discard(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); <-c.Done() })
	go func() { _ = c.Run(ctx) }()
	return c
}

// askUntilTerm asks until the answer is of that term.
func askUntilTerm(t *testing.T, c *leader.Client, term uint32, timeout time.Duration) *inner.FlowAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	for {
		answer := c.Ask(ctx, &inner.FlowAsk{})
		if answer.GetPending() == term {
			return answer
		}
		if ctx.Err() != nil {
			t.Fatalf("no answer of term %d within %v, last %v", term, timeout, answer)
		}
	}
}

func TestClientFindsLeaderAndFollowsChange(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.update(func() { a.leads, a.term = true, 1 })
	b.update(func() { b.term, b.leader = 1, a.address() })
	c := newClient(t, a, b)
	askUntilTerm(t, c, 1, 5*time.Second)
	if err := c.CheckContact(); err != nil {
		t.Error(err)
	}
	a.update(func() { a.leads, a.leader, a.term = false, b.address(), 2 })
	b.update(func() { b.leads, b.term = true, 2 })
	askUntilTerm(t, c, 2, 5*time.Second)
}

// A leader stands still with a caller's request, and another is elected. The
// request must not wait for the one that sleeps: its caller would give up.
func TestRequestMovesFromFrozenToNewLeader(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.update(func() { a.leads, a.term = true, 1 })
	b.update(func() { b.term, b.leader = 1, a.address() })
	c := newClient(t, a, b)
	askUntilTerm(t, c, 1, 5*time.Second)
	unfreeze := make(chan struct{})
	defer close(unfreeze)
	a.update(func() { a.unfreeze = unfreeze })
	time.AfterFunc(300*time.Millisecond, func() { b.update(func() { b.leads, b.term = true, 2 }) })
	startedAt := time.Now()
	askUntilTerm(t, c, 2, 5*time.Second)
	if elapsed := time.Since(startedAt); elapsed > 1400*time.Millisecond {
		t.Errorf("the request took %v", elapsed)
	}
}

// A deposed leader wakes up and still believes to lead. What it says is older
// than what the callers of this entry have seen.
func TestLeaderOfEarlierTermIsIgnored(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.update(func() { a.leads, a.term, a.greetDelay = true, 1, 50*time.Millisecond }) // its word comes last
	b.update(func() { b.leads, b.term = true, 2 })
	c := newClient(t, a, b)
	askUntilTerm(t, c, 2, 5*time.Second)
	// Both are greeted several times meanwhile.
	for range 100 {
		if answer := c.Ask(t.Context(), &inner.FlowAsk{}); answer.GetTerm() != 2 {
			t.Fatalf("answered by term %d", answer.GetTerm())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// An entry has just started and has not found the leader yet. Requests wait for
// that moment: sent away, their callers would come back a second later at best.
func TestRequestAtStartWaitsForLeader(t *testing.T) {
	a := newReplica(t)
	a.update(func() { a.term = 1 })
	time.AfterFunc(400*time.Millisecond, func() { a.update(func() { a.leads = true }) })
	c := newClient(t, a)
	time.Sleep(10 * time.Millisecond)
	if answer := c.Ask(t.Context(), &inner.FlowAsk{}); answer.GetPending() != 1 {
		t.Errorf("answered with %v", answer)
	}
}

// Nobody leads, and the request never left: "not run" is true, and is said at
// once and not at the caller's deadline.
func TestNoLeaderIsReportedPromptly(t *testing.T) {
	a := newReplica(t)
	c := newClient(t, a)
	startedAt := time.Now()
	answer := c.Ask(t.Context(), &inner.FlowAsk{})
	if code.Code(answer.GetCode()) != code.NoLeader || answer.GetRetry() == 0 || time.Since(startedAt) > 3*time.Second {
		t.Errorf("%v after %v", answer, time.Since(startedAt))
	}
}

// clientOfFrozenLeader returns a link whose leader, the only replica, stands still.
func clientOfFrozenLeader(t *testing.T) *leader.Client {
	a := newReplica(t)
	a.update(func() { a.leads, a.term = true, 1 })
	c := newClient(t, a)
	askUntilTerm(t, c, 1, 5*time.Second)
	unfreeze := make(chan struct{})
	t.Cleanup(func() { close(unfreeze) })
	a.update(func() { a.unfreeze = unfreeze })
	return c
}

// A caller hands a flow in, the leader stores it and stands still before it answers,
// and nobody is elected. The flow may run when the leader wakes: told "not run", its
// caller would hand the work in again under another id, and it would be done twice.
func TestSubmitThatMayHaveArrivedIsNotReportedAsNotRun(t *testing.T) {
	c := clientOfFrozenLeader(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if answer := c.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT}); code.Code(answer.GetCode()) != code.Unanswered {
		t.Errorf("answered with %v", answer)
	}
}

// A caller asks for a flow's state while the leader stands still. That it is not
// known whether this was done would keep the caller from asking again: nothing was.
func TestReadIsNeverReportedAsUnanswered(t *testing.T) {
	c := clientOfFrozenLeader(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if answer := c.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_STATE}); code.Code(answer.GetCode()) != code.NoLeader || answer.GetRetry() == 0 {
		t.Errorf("answered with %v", answer)
	}
}

// A new leader is slow for a moment, since everybody comes at once. Processes that
// greet it again before it has answered make it slower with each greeting, until it
// loses the lead.
func TestOneGreetingInFlightPerAddress(t *testing.T) {
	slow := newReplica(t)
	replicas := []*fakeReplica{slow}
	for range 4 {
		other := newReplica(t)
		other.update(func() { other.leader = slow.address() })
		replicas = append(replicas, other)
	}
	unfreeze := make(chan struct{})
	slow.update(func() { slow.leads, slow.term, slow.unfreeze = true, 1, unfreeze })
	c := newClient(t, replicas...)
	maxInFlight := 0
	for range 50 {
		time.Sleep(10 * time.Millisecond)
		slow.update(func() { maxInFlight = max(maxInFlight, slow.greetingsInFlight) })
	}
	close(unfreeze)
	if maxInFlight > 1 {
		t.Errorf("%d greetings of one process at a time", maxInFlight)
	}
	askUntilTerm(t, c, 1, 5*time.Second)
}

// The leader of many processes tells them to greet it less often.
func TestGreetIntervalFollowsLeader(t *testing.T) {
	a := newReplica(t)
	a.update(func() { a.leads, a.term, a.greetIntervalMs = true, 1, 900 })
	c := newClient(t, a)
	askUntilTerm(t, c, 1, 5*time.Second)
	time.Sleep(400 * time.Millisecond)
	a.update(func() { a.greetings = 0 })
	time.Sleep(2 * time.Second)
	a.update(func() {
		if a.greetings > 3 {
			t.Errorf("%d greetings in two seconds", a.greetings)
		}
	})
}

// The leader stands still, and the next one says so itself: nobody waits for the next
// greeting to find it.
func TestAnnouncedLeaderIsUsedImmediately(t *testing.T) {
	old, next := newReplica(t), newReplica(t)
	old.update(func() { old.leads, old.term = true, 1 })
	c := newClient(t, old, next)
	askUntilTerm(t, c, 1, 3*time.Second)
	unfreeze := make(chan struct{})
	defer close(unfreeze)
	old.update(func() { old.unfreeze = unfreeze })
	next.update(func() { next.leads, next.term = true, 2 })
	answered := make(chan *inner.FlowAnswer)
	go func() { answered <- c.Ask(t.Context(), &inner.FlowAsk{}) }()
	time.Sleep(20 * time.Millisecond)
	if g := c.LeaderAnnounced(next.address(), &inner.Welcome{Term: 2, Leads: true, Version: 1}); g.GetAddress() == "" || g.GetClock() == 0 {
		t.Error(g)
	}
	startedAt := time.Now()
	if answer := <-answered; answer.GetTerm() != 2 || time.Since(startedAt) > 200*time.Millisecond {
		t.Errorf("%v after %v", answer, time.Since(startedAt))
	}
	if c.LeaderAnnounced(old.address(), &inner.Welcome{Term: 1, Leads: true}); c.Ask(t.Context(), &inner.FlowAsk{}).GetTerm() != 2 {
		t.Error("the word of an earlier term was taken")
	}
}
