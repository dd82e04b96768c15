package holder_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/holder"
)

// server is a backend server that lists what the test sets.
type server struct {
	mu    sync.Mutex
	holds []*inner.ServerCall
	list  *inner.ServerAnswer
	// silent makes holds stay without an answer.
	silent bool
}

func (s *server) Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	s.mu.Lock()
	s.holds = append(s.holds, c)
	list := s.list
	s.mu.Unlock()
	if s.silent && c.GetHold() != nil {
		<-ctx.Done()
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	select {
	case <-time.After(time.Duration(c.GetHold().GetWait()) * time.Millisecond):
	case <-ctx.Done():
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	return list
}

func (s *server) set(list *inner.ServerAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// lastHold returns the latest call and the number of calls.
func (s *server) lastHold() (*inner.ServerCall, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.holds) == 0 {
		return nil, 0
	}
	return s.holds[len(s.holds)-1], len(s.holds)
}

// firstHold returns the first call.
func (s *server) firstHold() *inner.ServerCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds[0]
}

func done(runs ...*inner.RunningRun) *inner.ServerAnswer {
	return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_DONE, Born: 1, Running: runs}
}

// leader is the other end of a link.
type leader struct {
	*testing.T
	holder *holder.Server
	term   uint64
	link   uint64
	clock  uint64
}

func (l *leader) exchange(r *inner.HolderRequest) *inner.HolderReply {
	l.Helper()
	l.clock++
	r.Cell, r.Term, r.Link, r.Clock = "cell", l.term, l.link, l.clock
	reply, err := l.holder.Exchange(l.Context(), r)
	if err != nil {
		l.Fatal(err)
	}
	return reply
}

func watchCall(id uint64) *inner.HolderCall {
	return &inner.HolderCall{Id: id, Watch: true, Call: &inner.ServerCall{
		Server: "s1", Fence: 1, Until: 5000, Budget: 350,
		What: &inner.ServerCall_Hold{Hold: &inner.HoldRuns{Ack: 3, Wait: 100}},
	}}
}

// runLink runs fn with a leader whose link to a holder is open.
func runLink(t *testing.T, fn func(t *testing.T, l *leader, s *server)) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{list: done()}
		h := &holder.Server{Cell: "cell", Backends: s}
		defer func() { h.Close(); time.Sleep(5 * time.Second) }()
		l := &leader{T: t, holder: h, term: 1, link: 1}
		l.exchange(&inner.HolderRequest{Opens: true})
		fn(t, l, s)
	})
}

// Guards against a holder that passes on every answer: the leader's work would grow with the
// number of servers, and not with what changes.
func TestUnchangedListIsToldOnce(t *testing.T) {
	runLink(t, func(t *testing.T, l *leader, s *server) {
		l.exchange(&inner.HolderRequest{Calls: []*inner.HolderCall{watchCall(1)}})
		results := 0
		for range 20 {
			time.Sleep(150 * time.Millisecond)
			results += len(l.exchange(&inner.HolderRequest{}).GetResults())
		}
		if _, holds := s.lastHold(); results != 1 || holds < 20 {
			t.Errorf("%d results of %d holds, want one", results, holds)
		}
		s.set(done(&inner.RunningRun{Run: &inner.Run{Flow: "f"}, Percent: 5}))
		time.Sleep(250 * time.Millisecond)
		if reply := l.exchange(&inner.HolderRequest{}); len(reply.GetResults()) != 1 || !reply.GetResults()[0].GetWatching() {
			t.Errorf("after a change: %v", reply)
		}
	})
}

// Guards against an end that is acknowledged before its commit, or by another incarnation of the
// server: a holder acknowledges once what the leader did, and waits for the leader once a run has
// ended.
func TestWatchEndsWithEndedRuns(t *testing.T) {
	runLink(t, func(t *testing.T, l *leader, s *server) {
		l.exchange(&inner.HolderRequest{Calls: []*inner.HolderCall{watchCall(1)}})
		time.Sleep(150 * time.Millisecond)
		list := done()
		list.Ended = []*inner.EndedRun{{Number: 4, Run: &inner.Run{Flow: "f"}}}
		s.set(list)
		time.Sleep(time.Second)
		_, holds := s.lastHold()
		time.Sleep(time.Second)
		last, holdsLater := s.lastHold()
		if first := s.firstHold(); holdsLater != holds || first.GetHold().GetAck() != 3 || last.GetHold().GetAck() != 0 {
			t.Errorf("%d holds after the end was listed, the first with %v, the last with %v", holdsLater-holds, first.GetHold(), last.GetHold())
		}
		results := l.exchange(&inner.HolderRequest{}).GetResults()
		if last := results[len(results)-1]; last.GetWatching() || len(last.GetAnswer().GetEnded()) != 1 {
			t.Errorf("last result: %v", last)
		}
	})
}

// Guards against a list that counts as made after an order that was answered later, and against
// a lease that a holder lengthens.
func TestHolderRepeatsWhatTheLeaderSaid(t *testing.T) {
	runLink(t, func(t *testing.T, l *leader, s *server) {
		l.exchange(&inner.HolderRequest{Calls: []*inner.HolderCall{watchCall(1)}})
		arrived := l.clock
		time.Sleep(20 * time.Millisecond)
		first := l.exchange(&inner.HolderRequest{Wait: 90}).GetResults()
		if len(first) != 1 || first[0].GetAsOf() != arrived {
			t.Errorf("first results %v, want one as of %d", first, arrived)
		}
		time.Sleep(time.Second)
		if last, _ := s.lastHold(); last.GetUntil() != 5000 {
			t.Errorf("the lease ends at %d without a renewal", last.GetUntil())
		}
		l.exchange(&inner.HolderRequest{Renewals: []*inner.WatchRenewal{{Id: 1, Until: 7000, Wait: 50}}})
		l.exchange(&inner.HolderRequest{Renewals: []*inner.WatchRenewal{{Id: 1, Until: 6000, Wait: 50}}})
		time.Sleep(time.Second)
		if last, _ := s.lastHold(); last.GetUntil() != 7000 || last.GetHold().GetWait() != 50 {
			t.Errorf("hold after a renewal: %v", last)
		}
	})
}

// Guards against a start that waits behind the lists of servers that do not answer: a rack or a
// tenth of the servers is lost.
func TestSilentServersDoNotDelayOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{list: done(), silent: true}
		h := &holder.Server{Cell: "cell", Backends: s}
		defer func() { h.Close(); time.Sleep(5 * time.Second) }()
		l := &leader{T: t, holder: h, term: 1, link: 1}
		r := &inner.HolderRequest{Opens: true}
		for id := uint64(1); id <= 400; id++ {
			r.Calls = append(r.Calls, &inner.HolderCall{Id: id, Call: &inner.ServerCall{Budget: 1000, What: &inner.ServerCall_Hold{Hold: &inner.HoldRuns{}}}})
		}
		l.exchange(r)
		synctest.Wait() // the calls to silent servers have begun
		results := l.exchange(&inner.HolderRequest{Calls: []*inner.HolderCall{{Id: 500, Call: &inner.ServerCall{Budget: 1000, What: &inner.ServerCall_Start{Start: &inner.StartRun{}}}}}}).GetResults()
		time.Sleep(20 * time.Millisecond)
		results = append(results, l.exchange(&inner.HolderRequest{}).GetResults()...) // the first reply may have it already
		if len(results) != 1 || results[0].GetId() != 500 {
			t.Errorf("results after 20 ms: %v", results)
		}
		time.Sleep(time.Second)
		if _, calls := s.lastHold(); calls != 401 {
			t.Errorf("%d of 401 calls were made after a second", calls)
		}
	})
}

// Guards against a watch that never tells what the leader waits for.
func TestFlushEndsAWatch(t *testing.T) {
	runLink(t, func(t *testing.T, l *leader, s *server) {
		l.exchange(&inner.HolderRequest{Calls: []*inner.HolderCall{watchCall(1)}})
		time.Sleep(150 * time.Millisecond)
		l.exchange(&inner.HolderRequest{Flushes: []uint64{1}})
		time.Sleep(300 * time.Millisecond)
		_, holds := s.lastHold()
		time.Sleep(time.Second)
		results := l.exchange(&inner.HolderRequest{}).GetResults()
		if _, later := s.lastHold(); later != holds || len(results) == 0 || results[len(results)-1].GetWatching() {
			t.Errorf("%d holds after a flush, results %v", later-holds, results)
		}
	})
}

// Guards against a holder that serves two leaders, or two links of one: what an earlier one
// asked for ends.
func TestLaterLinkEndsTheEarlier(t *testing.T) {
	runLink(t, func(t *testing.T, l *leader, s *server) {
		l.exchange(&inner.HolderRequest{Calls: []*inner.HolderCall{watchCall(1)}})
		time.Sleep(300 * time.Millisecond)
		next := &leader{T: t, holder: l.holder, term: 2, link: 1}
		if reply := next.exchange(&inner.HolderRequest{}); reply.GetCode() != uint32(code.SessionReplaced) {
			t.Errorf("a link that was not opened got %v", reply)
		}
		next.exchange(&inner.HolderRequest{Opens: true})
		if reply := l.exchange(&inner.HolderRequest{}); reply.GetCode() != uint32(code.NoLeader) || reply.GetTerm() != 2 {
			t.Errorf("the earlier leader got %v", reply)
		}
		time.Sleep(500 * time.Millisecond)
		_, holds := s.lastHold()
		time.Sleep(time.Second)
		if _, later := s.lastHold(); later != holds {
			t.Error("a watch of the earlier leader goes on")
		}
	})
}

// Guards against a holder that goes on for a leader that is silent.
func TestSilentLeaderEndsTheLink(t *testing.T) {
	runLink(t, func(t *testing.T, l *leader, s *server) {
		l.exchange(&inner.HolderRequest{Calls: []*inner.HolderCall{watchCall(1)}})
		time.Sleep(4 * time.Second)
		_, holds := s.lastHold()
		time.Sleep(time.Second)
		if _, later := s.lastHold(); later != holds || l.holder.Servers() != 0 {
			t.Errorf("%d holds without a leader", later-holds)
		}
		if reply := l.exchange(&inner.HolderRequest{}); reply.GetCode() != uint32(code.SessionReplaced) {
			t.Errorf("the leader that comes back got %v", reply)
		}
	})
}
