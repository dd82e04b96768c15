// Package leader is a process's way to the leader of the control group: it keeps
// itself known there, finds the next one when the leader changes, and carries
// callers' requests.
package leader

import (
	"context"
	"net/http"
	"path"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/edge/wire"
)

// Times of the way to the leader.
const (
	// greetEvery is how often the process makes itself known, unless a leader told it
	// otherwise; mostPause is the longest that it lets itself be told.
	greetEvery = 300 * time.Millisecond
	mostPause  = time.Second
	// findParts is the part of that time after which a leader is looked for again
	// while none is known, and findAsked how many replicas are asked each time.
	findParts = 3
	findAsked = 2
	// greetTimeout bounds one greeting.
	greetTimeout = 700 * time.Millisecond
	// tryTimeout bounds one try of a request: a commit on slow disks and more.
	tryTimeout = 1500 * time.Millisecond
	// findTime is how long after the loss of a leader, or the start of the
	// process, requests wait for one: an election that goes well is over by then.
	// One that takes longer is better waited for by the caller itself.
	findTime = 1200 * time.Millisecond
	// comeBack is when a caller may return that found no leader.
	comeBack = time.Second
	// retryPause is the pause before a request is tried again.
	retryPause = 50 * time.Millisecond
	// freshTime is the age of the last word of a leader up to which the process
	// counts as in touch: an election within it goes unnoticed.
	freshTime = 4 * time.Second
)

// Link is the way to the leader. The exported fields are set before Run.
type Link struct {
	Cell string
	// Greeting is what this process says of itself; its replica is empty for an entry.
	Greeting *inner.Greeting
	// Seeds are addresses to look for the leader at, first and when all others fail.
	Seeds func() []string
	// Leads tells that the leader is this process itself; nil for never.
	Leads  func() bool
	Client *http.Client
	Now    func() time.Duration
	Log    logr.Logger

	once    sync.Once
	done    chan struct{}
	mu      sync.Mutex
	leader  string
	members []string
	term    uint64
	version uint64
	heard   time.Duration
	// pause is the time between two greetings; greeting are the addresses to which
	// one is under way.
	pause    time.Duration
	greeting map[string]bool
	// gone is since when no leader is known.
	gone time.Duration
	// changed is closed when another leader is known.
	changed chan struct{}
}

func (l *Link) init() {
	l.once.Do(func() {
		l.done, l.changed = make(chan struct{}), make(chan struct{})
		l.pause, l.greeting = greetEvery, map[string]bool{}
		if l.Leads == nil {
			l.Leads = func() bool { return false }
		}
	})
}

// Done is closed when Run has returned.
func (l *Link) Done() <-chan struct{} { l.init(); return l.done }

// Fresh returns nil while the leader was heard of lately and has a
// configuration in force, else why not.
func (l *Link) Fresh() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.heard == 0 || l.Now()-l.heard > freshTime:
		return errors.New("no leader is in contact")
	case l.version == 0:
		return errors.New("no configuration is in force")
	}
	return nil
}

// Dump is the state of a link for a person to read.
type Dump struct {
	Leader  string
	Term    uint64
	Members []string
	Version uint64
	// Heard is how long ago a leader was heard of.
	Heard string
}

// State returns the state of the link for a person to read.
func (l *Link) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Dump{Leader: l.leader, Term: l.term, Members: l.members, Version: l.version, Heard: (l.Now() - l.heard).String()}
}

// Run keeps the process known to the leader until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	l.init()
	defer close(l.done)
	l.mu.Lock()
	l.gone = l.Now()
	l.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	for turn := 0; ctx.Err() == nil; turn++ {
		if !l.Leads() {
			for _, address := range l.targets(turn) {
				wg.Go(func() { l.greet(ctx, address) })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.next()):
		}
	}
	return nil
}

// next returns how long the next greeting waits.
func (l *Link) next() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == "" {
		return l.pause / findParts
	}
	return l.pause
}

// targets returns whom to greet now: the leader, and one of the others, in turn.
// A leader that is cut off or stands still does not tell that it was replaced;
// one of the others does, before calls to the old one have timed out.
func (l *Link) targets(turn int) []string {
	leader, _, _ := l.at()
	all := l.known()
	if len(all) == 0 {
		return nil
	}
	if leader == "" {
		// Each of them knows the leader when there is one. All asked at once by all
		// processes, the next leader's first second would go to greetings.
		out := make([]string, 0, findAsked)
		for i := range min(findAsked, len(all)) {
			out = append(out, all[(turn*findAsked+i)%len(all)])
		}
		return out
	}
	other := all[turn%len(all)]
	if other == leader {
		return []string{leader}
	}
	return []string{leader, other}
}

// greet greets one address, and whoever that one takes for the leader.
func (l *Link) greet(ctx context.Context, address string) {
	w, asked := l.hello(ctx, address)
	if !asked {
		return
	}
	switch next := w.GetLeader(); {
	case w == nil:
		l.lost(address)
	case w.GetLeads():
		l.found(address, w)
	case next == "" || next == address:
		l.lost(address)
	default:
		if w, _ = l.hello(ctx, next); w.GetLeads() {
			l.found(next, w)
		}
	}
}

// hello greets one address, unless a greeting to it is under way. Asked again and
// again while it is slow, a replica would become slower with each. Nil is no answer.
func (l *Link) hello(ctx context.Context, address string) (w *inner.Welcome, asked bool) {
	if !l.begin(address) {
		return nil, false
	}
	defer l.end(address)
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	w, err := inner.NewFlowsProtobufClient("http://"+address, l.Client).Greet(ctx, l.self())
	if err != nil {
		return nil, true
	}
	return w, true
}

// self returns what this process says of itself now.
func (l *Link) self() *inner.Greeting {
	g := proto.CloneOf(l.Greeting)
	g.Clock = time.Now().UnixNano()
	return g
}

// Announced takes the word of a leader that has just begun, which comes long before
// the next greeting would find it.
func (l *Link) Announced(address string, w *inner.Welcome) *inner.Greeting {
	l.init()
	l.found(address, w)
	return l.self()
}

// begin notes a greeting to an address; false when one is under way.
func (l *Link) begin(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.greeting[address] {
		return false
	}
	l.greeting[address] = true
	return true
}

func (l *Link) end(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.greeting, address)
}

// known lists the addresses where the leader may be.
func (l *Link) known() []string {
	l.mu.Lock()
	all := append(slices.Clone(l.members), l.Seeds()...)
	l.mu.Unlock()
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return l.Greeting.GetReplica() != "" && a == l.Greeting.GetAddress() })
}

// found takes the word of a leader; that of an earlier term is not listened to.
func (l *Link) found(address string, w *inner.Welcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.GetTerm() < l.term {
		return
	}
	if l.leader != address {
		event.Log(l.Log, event.LeaderChanged, "from", l.leader, "to", address, "term", w.GetTerm())
		l.leader = address
		close(l.changed)
		l.changed = make(chan struct{})
	}
	l.term, l.members, l.heard = w.GetTerm(), w.GetMembers(), l.Now()
	l.version = max(l.version, w.GetVersion())
	if told := time.Duration(w.GetPause()) * time.Millisecond; told > 0 {
		l.pause = min(max(told, greetEvery), mostPause)
	}
}

// lost notes that a leader does not answer any more.
func (l *Link) lost(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address != "" && l.leader == address {
		event.Log(l.Log, event.LeaderAway, "replica", address, "term", l.term)
		l.leader, l.gone = "", l.Now()
	}
}

// at returns the leader, and what is closed when another one is known.
func (l *Link) at() (leader string, term uint64, changed <-chan struct{}) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader, l.term, l.changed
}

// Ask carries a request to the leader. Every request may be made again: flows
// have ids, and cancelling or asking twice changes nothing. The answer has code
// NoLeader when nothing can have been done, and Unanswered when that is not known.
func (l *Link) Ask(ctx context.Context, a *inner.FlowAsk) *inner.FlowAnswer {
	begin := l.Now()
	rep := l.carry(ctx, a)
	if changes(a) || rep.GetCode() == uint32(code.Unanswered) {
		event.Log(l.Log, event.CallAnswered, "flow", path.Base(a.GetPath()), "verb", a.GetVerb().String(), "code", rep.GetCode(), "detail", rep.GetDetail(), "term", rep.GetTerm(), "retry", rep.GetRetry(), "took", (l.Now() - begin).String())
	}
	return rep
}

// carry asks the leader, and the next one, until one has answered.
func (l *Link) carry(ctx context.Context, a *inner.FlowAsk) *inner.FlowAnswer {
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
func (l *Link) patience() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return findTime
	}
	return max(findTime-(l.Now()-l.gone), 0)
}

// settling bounds the time in which a request that may have been taken is asked
// again: half of its caller's, who then has the other half to ask by itself.
func (l *Link) settling(ctx context.Context) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(end)/2)
}

func (l *Link) unanswered(a *inner.FlowAsk, sent bool) *inner.FlowAnswer {
	c := code.NoLeader
	if sent {
		c = code.Unanswered
	}
	event.Log(l.Log, event.CallUnanswered, "flow", path.Base(a.GetPath()), "verb", a.GetVerb().String(), "code", uint32(c), "leader", l.leaderName())
	return &inner.FlowAnswer{Code: uint32(c), Retry: uint64(comeBack / time.Millisecond)}
}

func (l *Link) leaderName() string {
	leader, _, _ := l.at()
	return leader
}

// try makes one call; nil when it has to be made again. reached tells that the
// leader may have taken the request. A call to a leader that was replaced
// meanwhile is given up: it may stand still for seconds.
func (l *Link) try(ctx context.Context, leader string, changed <-chan struct{}, a *inner.FlowAsk) (rep *inner.FlowAnswer, reached bool) {
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
	rep, err := inner.NewFlowsProtobufClient("http://"+leader, l.Client).Ask(ctx, a)
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
	case code.Unanswered:
		return nil, true
	}
	if rep.GetTerm() > 0 {
		l.answered(rep.GetTerm())
	}
	return rep, true
}

// moved notes that a replica does not lead, and whom it takes for the leader.
func (l *Link) moved(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != from {
		return
	}
	if l.leader = to; to == "" {
		l.gone = l.Now()
	}
}

func (l *Link) answered(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.heard = max(l.term, term), l.Now()
}
