package control_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/fake/relay"
)

// scriptedLeader is a fake leader with configurable behaviour. By default it answers list
// requests.
type scriptedLeader struct {
	mu             sync.Mutex
	replies        []*inner.Reply
	repliesChanged chan struct{}
	pushedSeqs     []uint64
	// refusesItems makes every Push refuse all items because the queue is full.
	refusesItems bool
	// ignoresItems makes the leader accept items without ever answering them.
	ignoresItems bool
	// dropCount is the number of next items that the leader accepts and then loses.
	dropCount int
	// redirect is the name of the leader to redirect to, empty if this replica leads.
	redirect string
}

func (l *scriptedLeader) Push(_ context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.redirect != "" {
		return &inner.PushReply{Redirect: &inner.Redirect{Leader: l.redirect, Address: l.redirect + ":1"}}, nil
	}
	reply := &inner.PushReply{}
	for _, item := range req.GetItems() {
		if l.refusesItems {
			reply.Refused = append(reply.Refused, item.GetSeq())
			continue
		}
		l.pushedSeqs = append(l.pushedSeqs, item.GetSeq())
		if l.dropCount > 0 {
			l.dropCount--
			continue
		}
		if !l.ignoresItems {
			l.addReply(item.GetSeq())
		}
	}
	return reply, nil
}

// addReply stores a reply to the item for the next Pull. The caller holds mu.
func (l *scriptedLeader) addReply(seq uint64) {
	l.replies = append(l.replies, &inner.Reply{Seq: seq, Answer: &inner.Reply_List{List: &v1.ListReply{Status: &v1.Status{}}}})
	close(l.repliesChanged)
	l.repliesChanged = make(chan struct{})
}

func (l *scriptedLeader) Pull(ctx context.Context, req *inner.PullRequest) (*inner.PullReply, error) {
	timeout := time.After(time.Duration(req.GetPatience()) * time.Millisecond)
	for {
		l.mu.Lock()
		if l.redirect != "" {
			l.mu.Unlock()
			return &inner.PullReply{Redirect: &inner.Redirect{Leader: l.redirect, Address: l.redirect + ":1"}}, nil
		}
		reply, repliesChanged := &inner.PullReply{First: req.GetAck() + 1, Revision: 7, Epoch: 1}, l.repliesChanged
		if int(req.GetAck()) < len(l.replies) {
			reply.Replies = l.replies[req.GetAck():]
		}
		l.mu.Unlock()
		if len(reply.GetReplies()) > 0 {
			return reply, nil
		}
		select {
		case <-repliesChanged:
		case <-timeout:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (*scriptedLeader) Dump(context.Context, *v1.DumpRequest) (*v1.DumpReply, error) {
	return &v1.DumpReply{}, nil
}

// testClient is a client whose replicas are scripted leaders with names such as c1 and c2,
// each behind a relay.
type testClient struct {
	client *control.Client
	relays map[string]*relay.Relay
	memory *relay.MemoryNetwork
}

// withClient runs test with a client that is connected to the leaders, on virtual time.
func withClient(t *testing.T, leaders map[string]*scriptedLeader, test func(c *testClient)) {
	withWatchedClient(t, leaders, nil, test)
}

// withWatchedClient is withClient with the connections of the client watched by w, unless
// w is nil.
func withWatchedClient(t *testing.T, leaders map[string]*scriptedLeader, w *closeWatch, test func(c *testClient)) {
	synctest.Test(t, func(_ *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		c := &testClient{memory: &relay.MemoryNetwork{}, relays: map[string]*relay.Relay{}}
		c.client = &control.Client{Cell: "cell", Name: "e1", MaxPending: 4, Dial: c.memory.Dial}
		if w != nil {
			c.client.Dial = w.dialer(c.memory.Dial)
		}
		for name, leader := range leaders {
			leader.repliesChanged = make(chan struct{})
			server := &http.Server{Handler: inner.NewControlServer(leader)}
			listener := c.memory.Listen(name)
			wg.Go(func() { _ = server.Serve(listener) })
			context.AfterFunc(ctx, func() { _ = server.Close() })
			r := &relay.Relay{Listener: c.memory.Listen(name + "x:1"), Dial: c.memory.DialerTo(name)}
			c.relays[name] = r
			wg.Go(func() { _ = r.Run(ctx) })
			c.client.Replicas = append(c.client.Replicas, control.Replica{Name: name, Address: name + "x:1"})
		}
		wg.Go(func() { _ = c.client.Run(ctx) })
		defer wg.Wait()
		defer cancel()
		time.Sleep(100 * time.Millisecond)
		test(c)
	})
}

// listCode sends a list request with a timeout of one second and returns the resulting
// code.
func (c *testClient) listCode() code.Code { return c.listCodeWithin(time.Second) }

func (c *testClient) listCodeWithin(timeout time.Duration) code.Code {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.client.Send(ctx, &inner.Item{Ask: &inner.Item_List{List: &v1.ListRequest{}}})
	var codeErr *code.Error
	if errors.As(err, &codeErr) {
		return codeErr.Code
	}
	return code.OK
}

// Guards against telling a caller "not run" for a job that may run: the leader accepted
// the item and its reply was lost. Only items that were never pushed are reported as
// not run.
func TestNotRunReportedOnlyForItemsNeverPushed(t *testing.T) {
	l := &scriptedLeader{ignoresItems: true}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		got := []code.Code{c.listCode()}
		c.relays["c1"].SetRefuse(true)
		c.relays["c1"].CloseConnections()
		time.Sleep(500 * time.Millisecond)
		got = append(got, c.listCodeWithin(300*time.Millisecond))
		time.Sleep(5 * time.Second)
		startedAt := time.Now()
		got = append(got, c.listCode())
		if elapsed := time.Since(startedAt); elapsed > 0 {
			t.Errorf("the refusal without a leader took %v, want an immediate one", elapsed)
		}
		want := []code.Code{code.LeaderTimeout, code.ControlUnreachable, code.ControlUnreachable}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against telling a caller "not run" for an item whose Push reached the leader
// while the reply to the Push was lost.
func TestLostPushReplyReportsUnknownOutcome(t *testing.T) {
	l := &scriptedLeader{ignoresItems: true}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		c.relays["c1"].SetMode(relay.Downstream, relay.Drop)
		if got := c.listCode(); got != code.LeaderTimeout {
			t.Errorf("got code %d, want LeaderTimeout", got)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.pushedSeqs) == 0 {
			t.Error("no item was pushed, so the test proves nothing")
		}
	})
}

// A leader with a full queue refuses an item without processing it. The caller gets the
// code Overloaded, of the class "not run", and may retry.
func TestItemRefusedByLeaderReportsNotRun(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {refusesItems: true}}, func(c *testClient) {
		if got := c.listCode(); got != code.Overloaded {
			t.Errorf("got code %d, want Overloaded", got)
		}
	})
}

// Guards against an unbounded queue at an entry whose leader does not answer. Beyond
// MaxPending the entry refuses requests immediately.
func TestFullQueueRefusesImmediately(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {ignoresItems: true}}, func(c *testClient) {
		var wg sync.WaitGroup
		for range c.client.MaxPending {
			wg.Go(func() { c.listCode() })
		}
		synctest.Wait()
		startedAt := time.Now()
		got := c.listCode()
		if elapsed := time.Since(startedAt); got != code.Overloaded || elapsed > 0 {
			t.Errorf("got code %d after %v, want Overloaded immediately", got, elapsed)
		}
		wg.Wait()
	})
}

// Guards against delivering a reply to the wrong request when the reply arrives after
// its requester has timed out.
func TestLateReplyIsNotDeliveredToAnotherRequest(t *testing.T) {
	l := &scriptedLeader{ignoresItems: true}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		c.listCodeWithin(100 * time.Millisecond)
		l.mu.Lock()
		l.addReply(l.pushedSeqs[0])
		l.mu.Unlock()
		if got := c.listCodeWithin(200 * time.Millisecond); got != code.LeaderTimeout {
			t.Errorf("got code %d, want LeaderTimeout: a late reply was delivered to another request", got)
		}
	})
}

// Guards against long delays when a middlebox silently drops all open connections while
// new ones work. The first call may cost one timeout. The other idle connections are
// closed with it and cost no further timeouts.
func TestSilentlyDroppedConnectionsAreReplaced(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {}}, func(c *testClient) {
		for range 5 {
			c.relays["c1"].SetDelay(relay.Downstream, 20*time.Millisecond)
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() { c.listCode() })
				time.Sleep(3 * time.Millisecond)
			}
			wg.Wait()
			if open := c.relays["c1"].OpenConnections(); open < 4 {
				t.Fatalf("%d connections are open, want at least 4, otherwise the test proves nothing", open)
			}
			c.relays["c1"].BlackholeOpen(relay.Upstream, relay.Downstream)
			startedAt := time.Now()
			if got := c.listCodeWithin(5 * time.Second); got != code.OK || time.Since(startedAt) > control.DefaultCallTimeout+100*time.Millisecond {
				t.Errorf("got code %d after %v, want OK within one call timeout", got, time.Since(startedAt))
			}
		}
	})
}

// Guards against a Pull that is repeated over another dropped connection, because it was
// cancelled before the idle connections were closed. Its timeout would pass once more.
func TestIdleConnectionsAreClosedBeforeThePullIsRepeated(t *testing.T) {
	w := &closeWatch{}
	withWatchedClient(t, map[string]*scriptedLeader{"c1": {}}, w, func(c *testClient) {
		c.relays["c1"].SetDelay(relay.Downstream, 20*time.Millisecond)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { c.listCode() })
			time.Sleep(3 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(50 * time.Millisecond)
		c.relays["c1"].BlackholeOpen(relay.Upstream, relay.Downstream)
		w.active.Store(true)
		if got := c.listCodeWithin(5 * time.Second); got != code.OK {
			t.Errorf("got code %d, want OK", got)
		}
		w.active.Store(false)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.idleClosed == 0 || w.pullsCancelled == 0 {
			t.Errorf("%d idle connections closed, %d Pulls cancelled, so the test proves nothing", w.idleClosed, w.pullsCancelled)
		}
		if w.idleClosedAfterPull > 0 {
			t.Errorf("%d idle connections were closed after the Pull was cancelled, want 0", w.idleClosedAfterPull)
		}
	})
}

// closeWatch counts in which order a client closes its connections while active.
type closeWatch struct {
	active              atomic.Bool
	mu                  sync.Mutex
	idleClosed          int
	idleClosedAfterPull int
	pullsCancelled      int
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func (w *closeWatch) dialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, watch: w}, nil
	}
}

// watchedConn is a connection with one call at a time. It is idle if the last call has
// got a response.
type watchedConn struct {
	net.Conn
	watch *closeWatch
	idle  atomic.Bool
	pulls atomic.Bool
}

func (c *watchedConn) Write(b []byte) (int, error) {
	c.idle.Store(false)
	if line, _, ok := bytes.Cut(b, []byte("\r\n")); ok && bytes.HasPrefix(line, []byte("POST ")) {
		c.pulls.Store(bytes.Contains(line, []byte("/Pull ")))
	}
	return c.Conn.Write(b)
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.idle.Store(true)
	}
	return n, err
}

// Close delays the close of an idle connection, so that a Pull that is already cancelled
// is counted first.
func (c *watchedConn) Close() error {
	if !c.watch.active.Load() {
		return c.Conn.Close()
	}
	idle := c.idle.Load()
	if idle {
		time.Sleep(time.Millisecond)
	}
	c.watch.count(idle, c.pulls.Load())
	return c.Conn.Close()
}

func (w *closeWatch) count(idle, pulls bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case idle && w.pullsCancelled > 0:
		w.idleClosedAfterPull++
	case idle:
		w.idleClosed++
	case pulls:
		w.pullsCancelled++
	}
}

// Guards against a request that times out because the leader accepted its item and lost
// it. The entry sends the item again before the caller's deadline.
func TestItemsLostByLeaderAreResent(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {dropCount: 1}}, func(c *testClient) {
		if got := c.listCodeWithin(3 * time.Second); got != code.OK {
			t.Errorf("got code %d, want OK", got)
		}
	})
}

// Guards against two replies to one request when the network delivers the bytes of a
// connection twice. The leader receives each item twice and the requester gets one reply.
func TestDuplicatedConnectionDeliversOneReply(t *testing.T) {
	l := &scriptedLeader{}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		c.relays["c1"].SetDuplicate(true)
		c.relays["c1"].CloseConnections()
		time.Sleep(time.Second)
		for range 3 {
			if got := c.listCode(); got != code.OK {
				t.Errorf("got code %d, want OK", got)
			}
		}
		synctest.Wait()
		l.mu.Lock()
		defer l.mu.Unlock()
		// The leader serves the two connections independently, so the second copy of
		// an item may arrive after the first copy of a later item. Each item arrives
		// twice, and the first copies arrive in the order of the requests.
		var firstCopies []uint64
		copyCounts := map[uint64]int{}
		for _, seq := range l.pushedSeqs {
			if copyCounts[seq]++; copyCounts[seq] == 1 {
				firstCopies = append(firstCopies, seq)
			}
		}
		if diff := cmp.Diff([]uint64{1, 2, 3}, firstCopies); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[uint64]int{1: 2, 2: 2, 3: 2}, copyCounts); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against losing pending requests when the leader changes. The client sends their
// items to the new leader without any action by the callers.
func TestPendingItemsAreResentToNewLeader(t *testing.T) {
	oldLeader, newLeader := &scriptedLeader{ignoresItems: true}, &scriptedLeader{redirect: "c1"}
	withClient(t, map[string]*scriptedLeader{"c1": oldLeader, "c2": newLeader}, func(c *testClient) {
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if got := c.listCodeWithin(5 * time.Second); got != code.OK {
					t.Errorf("got code %d, want OK", got)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		newLeader.setRedirect("")
		oldLeader.setRedirect("c2")
		startedAt := time.Now()
		wg.Wait()
		if elapsed := time.Since(startedAt); elapsed > 200*time.Millisecond {
			t.Errorf("the replies came %v after the leader change, want at most 200 ms", elapsed)
		}
		if leader, _ := c.client.Leader(); leader.Name != "c2" {
			t.Errorf("the leader is %v, want c2", leader)
		}
	})
}

func (l *scriptedLeader) setRedirect(redirect string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.redirect = redirect
	close(l.repliesChanged)
	l.repliesChanged = make(chan struct{})
}

// Guards against accepting a withdrawn key at an entry that silently lost contact with
// the leader. Pending requests fail within two seconds, because the entry cannot know
// which changes it has missed.
func TestIsolatedEntryRefusesWithinMaxContactAge(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {ignoresItems: true}}, func(c *testClient) {
		time.Sleep(time.Second)
		if c.client.TableRevision() != 7 || !c.client.InContact() {
			t.Errorf("got table revision %d, in contact %v, want 7 and true", c.client.TableRevision(), c.client.InContact())
		}
		c.relays["c1"].SetMode(relay.Upstream, relay.Drop)
		c.relays["c1"].SetMode(relay.Downstream, relay.Drop)
		startedAt := time.Now()
		got := c.listCodeWithin(time.Minute)
		if elapsed := time.Since(startedAt); got != code.LeaderTimeout || elapsed > control.DefaultMaxContactAge+100*time.Millisecond {
			t.Errorf("got code %d after %v, want LeaderTimeout within the maximum contact age", got, elapsed)
		}
		if c.client.InContact() {
			t.Error("the client still reports contact with the leader")
		}
	})
}

// Guards against callers that wait until their deadline while a leader whose control thread
// stands has given up the lead and no other one is elected: pending requests end at the maximum
// contact age, and later ones are refused at once.
func TestRequestsEndAfterTheLeaderGaveUp(t *testing.T) {
	leader := &scriptedLeader{ignoresItems: true}
	withClient(t, map[string]*scriptedLeader{"c1": leader}, func(c *testClient) {
		time.AfterFunc(100*time.Millisecond, func() { leader.setRedirect("nobody") })
		startedAt := time.Now()
		const maxWait = control.DefaultMaxContactAge + 200*time.Millisecond
		if got := c.listCodeWithin(time.Minute); got != code.LeaderTimeout || time.Since(startedAt) > maxWait {
			t.Errorf("got code %d after %v, want LeaderTimeout within %v", got, time.Since(startedAt), maxWait)
		}
		time.Sleep(control.DefaultLeaderWait)
		startedAt = time.Now()
		if got := c.listCodeWithin(time.Minute); got != code.ControlUnreachable || time.Since(startedAt) > 0 {
			t.Errorf("got code %d after %v, want ControlUnreachable at once", got, time.Since(startedAt))
		}
	})
}

// Guards against trusting old data for too long when replies are slow. The contact age
// counts from the start of the call. Otherwise a withdrawn key would work longer than
// the limit by the time that a reply takes.
func TestContactAgeCountsFromStartOfCall(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {ignoresItems: true}}, func(c *testClient) {
		const replyDelay = 300 * time.Millisecond
		c.relays["c1"].SetDelay(relay.Downstream, replyDelay)
		time.Sleep(3 * time.Second)
		c.relays["c1"].SetMode(relay.Upstream, relay.Drop)
		c.relays["c1"].SetMode(relay.Downstream, relay.Drop)
		startedAt := time.Now()
		c.listCodeWithin(time.Minute)
		if elapsed := time.Since(startedAt); elapsed > control.DefaultMaxContactAge-replyDelay+100*time.Millisecond {
			t.Errorf("the request failed %v after the connection was cut, later than the maximum contact age minus the reply delay allows", elapsed)
		}
	})
}
