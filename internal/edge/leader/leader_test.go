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

// replica is a control replica on loopback that may lead, stand still or be gone.
type replica struct {
	*httptest.Server
	mu     sync.Mutex
	leads  bool
	term   uint64
	leader string
	// slow is how long a greeting takes.
	slow time.Duration
	// frozen replicas answer when it is closed.
	frozen chan struct{}
	asked  int
	// greeted counts the greetings, greeting those under way.
	greeted  int
	greeting int
	// pause is what is told of the time between two.
	pause uint32
}

func newReplica(t *testing.T) *replica {
	r := &replica{}
	r.Server = httptest.NewServer(inner.NewFlowsServer(r))
	t.Cleanup(r.Close)
	return r
}

func (r *replica) address() string { return strings.TrimPrefix(r.URL, "http://") }

func (r *replica) set(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

func (r *replica) wait(ctx context.Context) {
	r.mu.Lock()
	frozen := r.frozen
	r.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-ctx.Done():
		}
	}
}

func (r *replica) Ask(ctx context.Context, _ *inner.FlowAsk) (*inner.FlowAnswer, error) {
	r.set(func() { r.asked++ })
	r.wait(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads {
		return &inner.FlowAnswer{Code: uint32(code.NoLeader), Leader: r.leader}, nil
	}
	return &inner.FlowAnswer{Term: r.term, Pending: uint32(r.term)}, nil
}

func (r *replica) Greet(ctx context.Context, _ *inner.Greeting) (*inner.Welcome, error) {
	r.set(func() { r.greeted++; r.greeting++ })
	defer r.set(func() { r.greeting-- })
	r.wait(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	time.Sleep(r.slow)
	return &inner.Welcome{Term: r.term, Leads: r.leads, Leader: r.leader, Version: 1, Pause: r.pause}, nil
}

func newLink(t *testing.T, replicas ...*replica) *leader.Client {
	var seeds []string
	for _, r := range replicas {
		seeds = append(seeds, r.address())
	}
	begin := time.Now()
	l := &leader.Client{
		Greeting: &inner.Greeting{Name: "entry", Address: "127.0.0.1:1"}, Seeds: func() []string { return seeds },
		HTTPClient: wire.NewClient(4, nil, files.Servers), Now: func() time.Duration { return time.Since(begin) + time.Hour }, Log: logr.Discard(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); <-l.Done() })
	go func() { _ = l.Run(ctx) }()
	return l
}

// within asks until the answer is of that term.
func within(t *testing.T, l *leader.Client, term uint32, limit time.Duration) *inner.FlowAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for {
		rep := l.Ask(ctx, &inner.FlowAsk{})
		if rep.GetPending() == term {
			return rep
		}
		if ctx.Err() != nil {
			t.Fatalf("no answer of term %d within %v, last %v", term, limit, rep)
		}
	}
}

func TestLeaderIsFoundAndFollowed(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.set(func() { a.leads, a.term = true, 1 })
	b.set(func() { b.term, b.leader = 1, a.address() })
	l := newLink(t, a, b)
	within(t, l, 1, 5*time.Second)
	if err := l.CheckContact(); err != nil {
		t.Error(err)
	}
	a.set(func() { a.leads, a.leader, a.term = false, b.address(), 2 })
	b.set(func() { b.leads, b.term = true, 2 })
	within(t, l, 2, 5*time.Second)
}

// A leader stands still with a caller's request, and another is elected. The
// request must not wait for the one that sleeps: its caller would give up.
func TestRequestLeavesAFrozenLeader(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.set(func() { a.leads, a.term = true, 1 })
	b.set(func() { b.term, b.leader = 1, a.address() })
	l := newLink(t, a, b)
	within(t, l, 1, 5*time.Second)
	thaw := make(chan struct{})
	defer close(thaw)
	a.set(func() { a.frozen = thaw })
	time.AfterFunc(300*time.Millisecond, func() { b.set(func() { b.leads, b.term = true, 2 }) })
	begin := time.Now()
	within(t, l, 2, 5*time.Second)
	if took := time.Since(begin); took > 1400*time.Millisecond {
		t.Errorf("the request took %v", took)
	}
}

// A deposed leader wakes up and still believes to lead. What it says is older
// than what the callers of this entry have seen.
func TestWordOfAnEarlierTermIsNotTaken(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.set(func() { a.leads, a.term, a.slow = true, 1, 50*time.Millisecond }) // its word comes last
	b.set(func() { b.leads, b.term = true, 2 })
	l := newLink(t, a, b)
	within(t, l, 2, 5*time.Second)
	// Both are greeted several times meanwhile.
	for range 100 {
		if rep := l.Ask(t.Context(), &inner.FlowAsk{}); rep.GetTerm() != 2 {
			t.Fatalf("answered by term %d", rep.GetTerm())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// An entry has just started and has not found the leader yet. Requests wait for
// that moment: sent away, their callers would come back a second later at best.
func TestStartingEntryLooksForTheLeaderFirst(t *testing.T) {
	a := newReplica(t)
	a.set(func() { a.term = 1 })
	time.AfterFunc(400*time.Millisecond, func() { a.set(func() { a.leads = true }) })
	l := newLink(t, a)
	time.Sleep(10 * time.Millisecond)
	if rep := l.Ask(t.Context(), &inner.FlowAsk{}); rep.GetPending() != 1 {
		t.Errorf("answered with %v", rep)
	}
}

// Nobody leads, and the request never left: "not run" is true, and is said at
// once and not at the caller's deadline.
func TestNoLeaderIsToldAtOnce(t *testing.T) {
	a := newReplica(t)
	l := newLink(t, a)
	begin := time.Now()
	rep := l.Ask(t.Context(), &inner.FlowAsk{})
	if code.Code(rep.GetCode()) != code.NoLeader || rep.GetRetry() == 0 || time.Since(begin) > 3*time.Second {
		t.Errorf("%v after %v", rep, time.Since(begin))
	}
}

// linkToFrozen returns a link whose leader, the only replica, stands still.
func linkToFrozen(t *testing.T) *leader.Client {
	a := newReplica(t)
	a.set(func() { a.leads, a.term = true, 1 })
	l := newLink(t, a)
	within(t, l, 1, 5*time.Second)
	thaw := make(chan struct{})
	t.Cleanup(func() { close(thaw) })
	a.set(func() { a.frozen = thaw })
	return l
}

// A caller hands a flow in, the leader stores it and stands still before it answers,
// and nobody is elected. The flow may run when the leader wakes: told "not run", its
// caller would hand the work in again under another id, and it would be done twice.
func TestWhatMayHaveBeenTakenIsNotSaidNotToHaveRun(t *testing.T) {
	l := linkToFrozen(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if rep := l.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT}); code.Code(rep.GetCode()) != code.LeaderTimeout {
		t.Errorf("answered with %v", rep)
	}
}

// A caller asks for a flow's state while the leader stands still. That it is not
// known whether this was done would keep the caller from asking again: nothing was.
func TestReadIsNeverLeftInDoubt(t *testing.T) {
	l := linkToFrozen(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if rep := l.Ask(ctx, &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_STATE}); code.Code(rep.GetCode()) != code.NoLeader || rep.GetRetry() == 0 {
		t.Errorf("answered with %v", rep)
	}
}

// A new leader is slow for a moment, since everybody comes at once. Processes that
// greet it again before it has answered make it slower with each greeting, until it
// loses the lead.
func TestGreetingsDoNotPileUp(t *testing.T) {
	slow := newReplica(t)
	all := []*replica{slow}
	for range 4 {
		other := newReplica(t)
		other.set(func() { other.leader = slow.address() })
		all = append(all, other)
	}
	thaw := make(chan struct{})
	slow.set(func() { slow.leads, slow.term, slow.frozen = true, 1, thaw })
	l := newLink(t, all...)
	worst := 0
	for range 50 {
		time.Sleep(10 * time.Millisecond)
		slow.set(func() { worst = max(worst, slow.greeting) })
	}
	close(thaw)
	if worst > 1 {
		t.Errorf("%d greetings of one process at a time", worst)
	}
	within(t, l, 1, 5*time.Second)
}

// The leader of many processes tells them to greet it less often.
func TestGreetingsFollowTheLeadersPause(t *testing.T) {
	a := newReplica(t)
	a.set(func() { a.leads, a.term, a.pause = true, 1, 900 })
	l := newLink(t, a)
	within(t, l, 1, 5*time.Second)
	time.Sleep(400 * time.Millisecond)
	a.set(func() { a.greeted = 0 })
	time.Sleep(2 * time.Second)
	a.set(func() {
		if a.greeted > 3 {
			t.Errorf("%d greetings in two seconds", a.greeted)
		}
	})
}

// The leader stands still, and the next one says so itself: nobody waits for the next
// greeting to find it.
func TestAnnouncedLeaderIsAskedAtOnce(t *testing.T) {
	old, next := newReplica(t), newReplica(t)
	old.set(func() { old.leads, old.term = true, 1 })
	l := newLink(t, old, next)
	within(t, l, 1, 3*time.Second)
	frozen := make(chan struct{})
	defer close(frozen)
	old.set(func() { old.frozen = frozen })
	next.set(func() { next.leads, next.term = true, 2 })
	answered := make(chan *inner.FlowAnswer)
	go func() { answered <- l.Ask(t.Context(), &inner.FlowAsk{}) }()
	time.Sleep(20 * time.Millisecond)
	if g := l.LeaderAnnounced(next.address(), &inner.Welcome{Term: 2, Leads: true, Version: 1}); g.GetAddress() == "" || g.GetClock() == 0 {
		t.Error(g)
	}
	begin := time.Now()
	if rep := <-answered; rep.GetTerm() != 2 || time.Since(begin) > 200*time.Millisecond {
		t.Errorf("%v after %v", rep, time.Since(begin))
	}
	if l.LeaderAnnounced(old.address(), &inner.Welcome{Term: 1, Leads: true}); l.Ask(t.Context(), &inner.FlowAsk{}).GetTerm() != 2 {
		t.Error("the word of an earlier term was taken")
	}
}
