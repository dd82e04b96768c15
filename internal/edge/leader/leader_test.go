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
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/leader"
	"gypsumreel/internal/edge/wire"
)

// fakeReplica is a control replica on the loopback interface that can be the leader,
// another replica or frozen.
type fakeReplica struct {
	inner.Flows
	*httptest.Server
	mu     sync.Mutex
	leads  bool
	term   uint64
	leader string
	// greetDelay is the time that a greeting takes.
	greetDelay time.Duration
	// unfreeze is set while the replica is frozen. The replica answers once the channel is
	// closed.
	unfreeze chan struct{}
	// stands is true if the replica accepts requests and begins none. It says so when the
	// budget of a request is used up.
	stands bool
	// isFull is true if the replica has no memory for requests.
	isFull bool
	// requests and greetings count the calls received so far.
	requests          int
	greetings         int
	greetingsInFlight int
	// greetIntervalMs is the time between greetings that the replica requests.
	greetIntervalMs uint32
	// startedAt is the zero of the replica's clock. asks holds the requests received so far.
	startedAt time.Time
	asks      []*inner.FlowAsk
}

// answerTime is how long the answer of a replica that stands is on its way.
const answerTime = 75 * time.Millisecond

func newReplica(t *testing.T) *fakeReplica {
	r := &fakeReplica{startedAt: time.Now().Add(-time.Hour)}
	r.Server = httptest.NewServer(inner.NewFlowsServer(r))
	t.Cleanup(r.Close)
	return r
}

func (r *fakeReplica) address() string { return strings.TrimPrefix(r.URL, "http://") }

// update calls fn with the lock held.
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

// clock returns the replica's clock in milliseconds.
func (r *fakeReplica) clock() uint64 { return uint64(time.Since(r.startedAt) / time.Millisecond) }

func (r *fakeReplica) Ask(ctx context.Context, a *inner.FlowAsk) (*inner.FlowAnswer, error) {
	r.update(func() { r.requests++; r.asks = append(r.asks, a) })
	r.waitWhileFrozen(ctx)
	stands := false
	if r.update(func() { stands = r.stands }); stands {
		time.Sleep(time.Duration(a.GetBudget())*time.Millisecond + answerTime)
		return &inner.FlowAnswer{Code: uint32(code.NoLeader), Leader: r.address()}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isFull {
		return nil, twirp.ResourceExhausted.Error("no room")
	}
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
	return &inner.Welcome{Term: r.term, Leads: r.leads, Leader: r.leader, Version: 1, Pause: r.greetIntervalMs, Clock: r.clock()}, nil
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

// askUntilTerm repeats a request until a leader of the given term answers.
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
			t.Fatalf("no answer from a leader of term %d within %v, last answer: %v", term, timeout, answer)
		}
	}
}

// The client finds the leader among the seeds, and finds the new leader after a change.
func TestClientFindsLeaderAndFollowsChange(t *testing.T) {
	replicaA, replicaB := newReplica(t), newReplica(t)
	replicaA.update(func() { replicaA.leads, replicaA.term = true, 1 })
	replicaB.update(func() { replicaB.term, replicaB.leader = 1, replicaA.address() })
	c := newClient(t, replicaA, replicaB)
	askUntilTerm(t, c, 1, 5*time.Second)
	if err := c.CheckContact(); err != nil {
		t.Error(err)
	}
	replicaA.update(func() { replicaA.leads, replicaA.leader, replicaA.term = false, replicaB.address(), 2 })
	replicaB.update(func() { replicaB.leads, replicaB.term = true, 2 })
	askUntilTerm(t, c, 2, 5*time.Second)
}

// Guards against a request that waits for a frozen leader until its caller times out,
// although another leader has been elected.
func TestRequestMovesFromFrozenToNewLeader(t *testing.T) {
	replicaA, replicaB := newReplica(t), newReplica(t)
	replicaA.update(func() { replicaA.leads, replicaA.term = true, 1 })
	replicaB.update(func() { replicaB.term, replicaB.leader = 1, replicaA.address() })
	c := newClient(t, replicaA, replicaB)
	askUntilTerm(t, c, 1, 5*time.Second)
	unfreeze := make(chan struct{})
	defer close(unfreeze)
	replicaA.update(func() { replicaA.unfreeze = unfreeze })
	time.AfterFunc(300*time.Millisecond, func() { replicaB.update(func() { replicaB.leads, replicaB.term = true, 2 }) })
	startedAt := time.Now()
	askUntilTerm(t, c, 2, 5*time.Second)
	if elapsed := time.Since(startedAt); elapsed > 1400*time.Millisecond {
		t.Errorf("the request took %v, want at most 1.4 s", elapsed)
	}
}

// Guards against following a former leader that resumes and still considers itself the
// leader. Its data is older than the data that callers of this entry have received.
func TestLeaderOfEarlierTermIsIgnored(t *testing.T) {
	replicaA, replicaB := newReplica(t), newReplica(t)
	replicaA.update(func() { replicaA.leads, replicaA.term, replicaA.greetDelay = true, 1, 50*time.Millisecond }) // its welcome arrives last
	replicaB.update(func() { replicaB.leads, replicaB.term = true, 2 })
	c := newClient(t, replicaA, replicaB)
	askUntilTerm(t, c, 2, 5*time.Second)
	// The client greets both replicas several times during this loop.
	for range 100 {
		if answer := c.Ask(t.Context(), &inner.FlowAsk{}); answer.GetTerm() != 2 {
			t.Fatalf("answer from the leader of term %d, want 2", answer.GetTerm())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against refusing requests at an entry that has just started and has not found
// the leader yet. Refused callers would retry only after a second.
func TestRequestAtStartWaitsForLeader(t *testing.T) {
	replica := newReplica(t)
	replica.update(func() { replica.term = 1 })
	time.AfterFunc(400*time.Millisecond, func() { replica.update(func() { replica.leads = true }) })
	c := newClient(t, replica)
	time.Sleep(10 * time.Millisecond)
	if answer := c.Ask(t.Context(), &inner.FlowAsk{}); answer.GetPending() != 1 {
		t.Errorf("got answer %v, want one from the leader of term 1", answer)
	}
}

// Guards against holding a request until the caller's deadline when there is no leader.
// The request was never sent, so the code NoLeader is correct and is returned after the
// leader wait.
func TestNoLeaderIsReportedPromptly(t *testing.T) {
	replica := newReplica(t)
	c := newClient(t, replica)
	startedAt := time.Now()
	answer := c.Ask(t.Context(), &inner.FlowAsk{})
	if code.Code(answer.GetCode()) != code.NoLeader || answer.GetRetry() == 0 || time.Since(startedAt) > 3*time.Second {
		t.Errorf("got answer %v after %v, want NoLeader with a retry hint within 3 s", answer, time.Since(startedAt))
	}
}

// clientOfFrozenLeader returns a client whose leader is the only replica and is frozen.
func clientOfFrozenLeader(t *testing.T) *leader.Client {
	replica := newReplica(t)
	replica.update(func() { replica.leads, replica.term = true, 1 })
	c := newClient(t, replica)
	askUntilTerm(t, c, 1, 5*time.Second)
	unfreeze := make(chan struct{})
	t.Cleanup(func() { close(unfreeze) })
	replica.update(func() { replica.unfreeze = unfreeze })
	return c
}

// Guards against reporting "not run" for a submit that the leader may have stored before
// it froze, while no other leader is elected. The flow can run once the leader resumes.
// A caller told "not run" would submit the work under another id, and it would run twice.
func TestSubmitThatMayHaveArrivedIsNotReportedAsNotRun(t *testing.T) {
	c := clientOfFrozenLeader(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if answer := c.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT}); code.Code(answer.GetCode()) != code.LeaderTimeout {
		t.Errorf("got answer %v, want code LeaderTimeout", answer)
	}
}

// Guards against reporting an unknown outcome for a read when the leader is frozen. A
// read has no effect, so the code is NoLeader and the caller may retry.
func TestReadIsNeverReportedAsUnanswered(t *testing.T) {
	c := clientOfFrozenLeader(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if answer := c.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_STATE}); code.Code(answer.GetCode()) != code.NoLeader || answer.GetRetry() == 0 {
		t.Errorf("got answer %v, want NoLeader with a retry hint", answer)
	}
}

// Guards against a read that is held until the timeout of its attempt, although the leader
// has left a greeting without an answer before.
func TestReadEndsWhenItsLeaderIsLost(t *testing.T) {
	const attemptTimeout = 1500 * time.Millisecond
	c := clientOfFrozenLeader(t)
	startedAt := time.Now()
	answer := c.Ask(t.Context(), &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_STATE})
	if elapsed := time.Since(startedAt); code.Code(answer.GetCode()) != code.NoLeader || answer.GetRetry() == 0 || elapsed >= attemptTimeout {
		t.Errorf("got answer %v after %v, want NoLeader with a retry hint in less than %v", answer, elapsed, attemptTimeout)
	}
}

// Guards against an unknown outcome for a submit of which the leader says that it was not
// executed, because the entry gives the attempt up just before.
func TestLeaderSaysThatARequestWasNotBegun(t *testing.T) {
	replica := newReplica(t)
	replica.update(func() { replica.leads, replica.term = true, 1 })
	c := newClient(t, replica)
	askUntilTerm(t, c, 1, 5*time.Second)
	replica.update(func() { replica.stands = true })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if answer := c.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT}); code.Code(answer.GetCode()) != code.NoLeader || answer.GetRetry() == 0 {
		t.Errorf("got answer %v, want NoLeader with a retry hint", answer)
	}
}

// Guards against an unknown outcome for a submit that the leader had no memory to read.
func TestCallThatTheLeaderDidNotReadIsNotRun(t *testing.T) {
	replica := newReplica(t)
	replica.update(func() { replica.leads, replica.term = true, 1 })
	c := newClient(t, replica)
	askUntilTerm(t, c, 1, 5*time.Second)
	replica.update(func() { replica.isFull = true })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if answer := c.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT}); code.Code(answer.GetCode()) != code.NoLeader || answer.GetRetry() == 0 {
		t.Errorf("got answer %v, want NoLeader with a retry hint", answer)
	}
}

// Guards against overloading a new leader. It is slow at first because all processes
// greet it at the same time. Further greetings from processes that have no answer yet
// would slow it down until it loses its leadership.
func TestOneGreetingInFlightPerAddress(t *testing.T) {
	slowLeader := newReplica(t)
	replicas := []*fakeReplica{slowLeader}
	for range 4 {
		follower := newReplica(t)
		follower.update(func() { follower.leader = slowLeader.address() })
		replicas = append(replicas, follower)
	}
	unfreeze := make(chan struct{})
	slowLeader.update(func() { slowLeader.leads, slowLeader.term, slowLeader.unfreeze = true, 1, unfreeze })
	c := newClient(t, replicas...)
	maxInFlight := 0
	for range 50 {
		time.Sleep(10 * time.Millisecond)
		slowLeader.update(func() { maxInFlight = max(maxInFlight, slowLeader.greetingsInFlight) })
	}
	close(unfreeze)
	if maxInFlight > 1 {
		t.Errorf("%d greetings of one process were in flight at the same time, want at most 1", maxInFlight)
	}
	askUntilTerm(t, c, 1, 5*time.Second)
}

// Guards against ignoring the longer greeting interval that a leader of many processes
// requests.
func TestGreetIntervalFollowsLeader(t *testing.T) {
	replica := newReplica(t)
	replica.update(func() { replica.leads, replica.term, replica.greetIntervalMs = true, 1, 900 })
	c := newClient(t, replica)
	askUntilTerm(t, c, 1, 5*time.Second)
	time.Sleep(400 * time.Millisecond)
	replica.update(func() { replica.greetings = 0 })
	time.Sleep(2 * time.Second)
	replica.update(func() {
		if replica.greetings > 3 {
			t.Errorf("%d greetings in two seconds, want at most 3", replica.greetings)
		}
	})
}

// Guards against waiting for the next greeting round when the leader froze and a new
// leader has announced itself.
func TestAnnouncedLeaderIsUsedImmediately(t *testing.T) {
	oldLeader, newLeader := newReplica(t), newReplica(t)
	oldLeader.update(func() { oldLeader.leads, oldLeader.term = true, 1 })
	c := newClient(t, oldLeader, newLeader)
	askUntilTerm(t, c, 1, 3*time.Second)
	unfreeze := make(chan struct{})
	defer close(unfreeze)
	oldLeader.update(func() { oldLeader.unfreeze = unfreeze })
	newLeader.update(func() { newLeader.leads, newLeader.term = true, 2 })
	answers := make(chan *inner.FlowAnswer)
	go func() { answers <- c.Ask(t.Context(), &inner.FlowAsk{}) }()
	time.Sleep(20 * time.Millisecond)
	if greeting := c.LeaderAnnounced(newLeader.address(), &inner.Welcome{Term: 2, Leads: true, Version: 1}); greeting.GetAddress() == "" || greeting.GetClock() == 0 {
		t.Errorf("got greeting %v, want one with an address and a clock", greeting)
	}
	startedAt := time.Now()
	if answer := <-answers; answer.GetTerm() != 2 || time.Since(startedAt) > 200*time.Millisecond {
		t.Errorf("got answer %v after %v, want one of term 2 within 200 ms", answer, time.Since(startedAt))
	}
	if c.LeaderAnnounced(oldLeader.address(), &inner.Welcome{Term: 1, Leads: true}); c.Ask(t.Context(), &inner.FlowAsk{}).GetTerm() != 2 {
		t.Error("the client followed an announced leader of an earlier term")
	}
}

// Guards against a later attempt that looks like a new request of the caller. The leader would
// accept it after it has refused another request for the same flow.
func TestEachAttemptTellsWhenTheRequestBegan(t *testing.T) {
	replica := newReplica(t)
	replica.update(func() { replica.leads, replica.term = true, 1 })
	c := newClient(t, replica)
	askUntilTerm(t, c, 1, 5*time.Second)
	replica.update(func() { replica.leads, replica.asks = false, nil })
	time.AfterFunc(300*time.Millisecond, func() { replica.update(func() { replica.leads = true }) })
	time.Sleep(50 * time.Millisecond)
	begun := replica.clock()
	askUntilTerm(t, c, 1, 5*time.Second)
	replica.update(func() {
		if len(replica.asks) < 2 {
			t.Fatalf("%d attempts, want several", len(replica.asks))
		}
		for _, a := range replica.asks {
			if a.GetBegunTerm() != 1 || a.GetBegun() > begun+10 || a.GetBegun()+200 < begun {
				t.Errorf("the attempt says that the request began at %d in term %d, want at most %d and little less", a.GetBegun(), a.GetBegunTerm(), begun)
			}
		}
	})
}
