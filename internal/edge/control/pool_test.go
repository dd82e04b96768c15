package control_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
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

// scriptedLeader is a leader that does what a test says; it answers lists by default.
type scriptedLeader struct {
	mu             sync.Mutex
	replies        []*inner.Reply
	repliesChanged chan struct{}
	pushedSeqs     []uint64
	// refusesItems makes every Push say that there is no room.
	refusesItems bool
	// ignoresItems takes items and never answers them.
	ignoresItems bool
	// dropCount is how many items are taken and then lost.
	dropCount int
	// redirect names another leader.
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

// addReply puts a reply into the box. The caller holds mu.
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

// testClient runs a pool against scripts called c1, c2, ..., each behind a relay.
type testClient struct {
	client *control.Client
	relays map[string]*relay.Relay
	memory *relay.Memory
}

func withClient(t *testing.T, leaders map[string]*scriptedLeader, test func(c *testClient)) {
	synctest.Test(t, func(_ *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		c := &testClient{memory: &relay.Memory{}, relays: map[string]*relay.Relay{}}
		c.client = &control.Client{Cell: "cell", Name: "e1", MaxPending: 4, Dial: c.memory.Dial}
		for name, s := range leaders {
			s.repliesChanged = make(chan struct{})
			server := &http.Server{Handler: inner.NewControlServer(s)}
			l := c.memory.Listen(name)
			wg.Go(func() { _ = server.Serve(l) })
			context.AfterFunc(ctx, func() { _ = server.Close() })
			r := &relay.Relay{Listener: c.memory.Listen(name + "x:1"), Dial: c.memory.To(name)}
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

// listCode asks for a list within a second and returns the code of the refusal.
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

// A caller is told "not run" although its job runs. The leader took the item
// and its answer never came; only what no Push carried may be called not run.
func TestNotRunReportedOnlyForItemsNeverPushed(t *testing.T) {
	l := &scriptedLeader{ignoresItems: true}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		got := []code.Code{c.listCode()}
		c.relays["c1"].Refuse(true)
		c.relays["c1"].Cut()
		time.Sleep(500 * time.Millisecond)
		got = append(got, c.listCodeWithin(300*time.Millisecond))
		time.Sleep(5 * time.Second)
		startedAt := time.Now()
		got = append(got, c.listCode())
		if elapsed := time.Since(startedAt); elapsed > 0 {
			t.Errorf("the refusal without a leader took %v", elapsed)
		}
		want := []code.Code{code.Unanswered, code.Unreachable, code.Unreachable}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// A caller is told "not run" of what left by a Push whose answer was lost: the
// bytes went up and nothing came back.
func TestLostPushReplyReportsUnknownOutcome(t *testing.T) {
	l := &scriptedLeader{ignoresItems: true}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		c.relays["c1"].Set(relay.Down, relay.Lose)
		if got := c.listCode(); got != code.Unanswered {
			t.Errorf("code %d", got)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.pushedSeqs) == 0 {
			t.Error("the item never arrived: the test shows nothing")
		}
	})
}

// The leader has no room. It says that it did not look at the item, so "not
// run" is true at once and the caller may come back.
func TestItemRefusedByLeaderReportsNotRun(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {refusesItems: true}}, func(c *testClient) {
		if got := c.listCode(); got != code.Overloaded {
			t.Errorf("code %d", got)
		}
	})
}

// Requests pile up at an entry whose leader does not answer. Past its bound it
// refuses at once instead of holding ever more.
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
			t.Errorf("code %d after %v", got, elapsed)
		}
		wg.Wait()
	})
}

// A reply comes when its asker has gone. It must not reach the next one.
func TestLateReplyIsNotDeliveredToAnotherRequest(t *testing.T) {
	l := &scriptedLeader{ignoresItems: true}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		c.listCodeWithin(100 * time.Millisecond)
		l.mu.Lock()
		l.addReply(l.pushedSeqs[0])
		l.mu.Unlock()
		if got := c.listCodeWithin(200 * time.Millisecond); got != code.Unanswered {
			t.Errorf("code %d: a late reply answered another request", got)
		}
	})
}

// Users wait while the entry sits on a connection that something on the way has
// forgotten; new ones would work. One of them costs one timeout, and the other
// idle ones, forgotten with it, must cost nothing more.
func TestSilentlyDroppedConnectionsAreReplaced(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {}}, func(c *testClient) {
		for range 5 {
			c.relays["c1"].Delay(relay.Down, 20*time.Millisecond)
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() { c.listCode() })
				time.Sleep(3 * time.Millisecond)
			}
			wg.Wait()
			if open := c.relays["c1"].Open(); open < 4 {
				t.Fatalf("%d connections are open: the test shows nothing", open)
			}
			c.relays["c1"].Forget(relay.Up, relay.Down)
			startedAt := time.Now()
			if got := c.listCodeWithin(5 * time.Second); got != code.OK || time.Since(startedAt) > control.DefaultCallTimeout+100*time.Millisecond {
				t.Errorf("code %d after %v", got, time.Since(startedAt))
			}
		}
	})
}

// A caller waits for nothing: the leader took its item and lost it. The entry
// asks again by itself, well within the caller's time.
func TestItemsLostByLeaderAreResent(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {dropCount: 1}}, func(c *testClient) {
		if got := c.listCodeWithin(3 * time.Second); got != code.OK {
			t.Errorf("code %d", got)
		}
	})
}

// Something on the way delivers a connection's bytes twice. The leader gets each
// item twice, and the asker still exactly one reply.
func TestDuplicatedConnectionDeliversOneReply(t *testing.T) {
	l := &scriptedLeader{}
	withClient(t, map[string]*scriptedLeader{"c1": l}, func(c *testClient) {
		c.relays["c1"].Duplicate(true)
		c.relays["c1"].Cut()
		time.Sleep(time.Second)
		for range 3 {
			if got := c.listCode(); got != code.OK {
				t.Errorf("code %d", got)
			}
		}
		synctest.Wait()
		l.mu.Lock()
		defer l.mu.Unlock()
		// The two connections are handled apart, so the second copy of an item
		// may come after the first of a later one. What holds: each item comes
		// twice, and the first copies in the order in which they were asked.
		var first []uint64
		count := map[uint64]int{}
		for _, seq := range l.pushedSeqs {
			if count[seq]++; count[seq] == 1 {
				first = append(first, seq)
			}
		}
		if diff := cmp.Diff([]uint64{1, 2, 3}, first); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[uint64]int{1: 2, 2: 2, 3: 2}, count); diff != "" {
			t.Error(diff)
		}
	})
}

// The leader changes while requests wait. All of them must be asked of the new
// one, without the callers doing anything.
func TestPendingItemsAreResentToNewLeader(t *testing.T) {
	first, second := &scriptedLeader{ignoresItems: true}, &scriptedLeader{redirect: "c1"}
	withClient(t, map[string]*scriptedLeader{"c1": first, "c2": second}, func(c *testClient) {
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if got := c.listCodeWithin(5 * time.Second); got != code.OK {
					t.Errorf("code %d", got)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		second.setRedirect("")
		first.setRedirect("c2")
		startedAt := time.Now()
		wg.Wait()
		if elapsed := time.Since(startedAt); elapsed > 200*time.Millisecond {
			t.Errorf("the move took %v", elapsed)
		}
		if leader, _ := c.client.Leader(); leader.Name != "c2" {
			t.Errorf("the leader is %v", leader)
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

// A key is withdrawn while an entry is cut off silently. Whatever waits there
// must be refused within two seconds, since nobody can know what changed.
func TestIsolatedEntryRefusesWithinMaxContactAge(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {ignoresItems: true}}, func(c *testClient) {
		time.Sleep(time.Second)
		if c.client.TableRevision() != 7 || !c.client.InContact() {
			t.Errorf("revision %d, fresh %v", c.client.TableRevision(), c.client.InContact())
		}
		c.relays["c1"].Set(relay.Up, relay.Lose)
		c.relays["c1"].Set(relay.Down, relay.Lose)
		startedAt := time.Now()
		got := c.listCodeWithin(time.Minute)
		if elapsed := time.Since(startedAt); got != code.Unanswered || elapsed > control.DefaultMaxContactAge+100*time.Millisecond {
			t.Errorf("code %d after %v", got, elapsed)
		}
		if c.client.InContact() {
			t.Error("still fresh")
		}
	})
}

// The answers of a slow path arrive when what they tell is old already. The age
// of the contact must count from when the call was sent, or a key would work
// for longer than the bound by as much as an answer takes.
func TestContactAgeCountsFromStartOfCall(t *testing.T) {
	withClient(t, map[string]*scriptedLeader{"c1": {ignoresItems: true}}, func(c *testClient) {
		const replyDelay = 300 * time.Millisecond
		c.relays["c1"].Delay(relay.Down, replyDelay)
		time.Sleep(3 * time.Second)
		c.relays["c1"].Set(relay.Up, relay.Lose)
		c.relays["c1"].Set(relay.Down, relay.Lose)
		startedAt := time.Now()
		c.listCodeWithin(time.Minute)
		if elapsed := time.Since(startedAt); elapsed > control.DefaultMaxContactAge-replyDelay+100*time.Millisecond {
			t.Errorf("refused %v after the last answer could have left", elapsed)
		}
	})
}
