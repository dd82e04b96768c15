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

// script is a leader that does what a test says; it answers lists by default.
type script struct {
	mu     sync.Mutex
	box    []*inner.Reply
	news   chan struct{}
	pushed []uint64
	// refuse makes every Push say that there is no room.
	refuse bool
	// mute takes items and never answers them.
	mute bool
	// drops is how many items are taken and then lost.
	drops int
	// redirect names another leader.
	redirect string
}

func (s *script) Push(_ context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.redirect != "" {
		return &inner.PushReply{Redirect: &inner.Redirect{Leader: s.redirect, Address: s.redirect + ":1"}}, nil
	}
	reply := &inner.PushReply{}
	for _, item := range req.GetItems() {
		if s.refuse {
			reply.Refused = append(reply.Refused, item.GetSeq())
			continue
		}
		s.pushed = append(s.pushed, item.GetSeq())
		if s.drops > 0 {
			s.drops--
			continue
		}
		if !s.mute {
			s.answer(item.GetSeq())
		}
	}
	return reply, nil
}

// answer puts a reply into the box. The caller holds mu.
func (s *script) answer(seq uint64) {
	s.box = append(s.box, &inner.Reply{Seq: seq, Answer: &inner.Reply_List{List: &v1.ListReply{Status: &v1.Status{}}}})
	close(s.news)
	s.news = make(chan struct{})
}

func (s *script) Pull(ctx context.Context, req *inner.PullRequest) (*inner.PullReply, error) {
	until := time.After(time.Duration(req.GetPatience()) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.redirect != "" {
			s.mu.Unlock()
			return &inner.PullReply{Redirect: &inner.Redirect{Leader: s.redirect, Address: s.redirect + ":1"}}, nil
		}
		reply, news := &inner.PullReply{First: req.GetAck() + 1, Revision: 7, Epoch: 1}, s.news
		if int(req.GetAck()) < len(s.box) {
			reply.Replies = s.box[req.GetAck():]
		}
		s.mu.Unlock()
		if len(reply.GetReplies()) > 0 {
			return reply, nil
		}
		select {
		case <-news:
		case <-until:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (*script) Dump(context.Context, *v1.DumpRequest) (*v1.DumpReply, error) {
	return &v1.DumpReply{}, nil
}

// bench runs a pool against scripts called c1, c2, ..., each behind a relay.
type bench struct {
	pool   *control.Client
	relays map[string]*relay.Relay
	memory *relay.Memory
}

func run(t *testing.T, scripts map[string]*script, test func(b *bench)) {
	synctest.Test(t, func(_ *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		b := &bench{memory: &relay.Memory{}, relays: map[string]*relay.Relay{}}
		b.pool = &control.Client{Cell: "cell", Name: "e1", MaxPending: 4, Dial: b.memory.Dial}
		for name, s := range scripts {
			s.news = make(chan struct{})
			server := &http.Server{Handler: inner.NewControlServer(s)}
			l := b.memory.Listen(name)
			wg.Go(func() { _ = server.Serve(l) })
			context.AfterFunc(ctx, func() { _ = server.Close() })
			r := &relay.Relay{Listener: b.memory.Listen(name + "x:1"), Dial: b.memory.To(name)}
			b.relays[name] = r
			wg.Go(func() { _ = r.Run(ctx) })
			b.pool.Replicas = append(b.pool.Replicas, control.Replica{Name: name, Address: name + "x:1"})
		}
		wg.Go(func() { _ = b.pool.Run(ctx) })
		defer wg.Wait()
		defer cancel()
		time.Sleep(100 * time.Millisecond)
		test(b)
	})
}

// list asks for a list within a second and returns the code of the refusal.
func (b *bench) list() code.Code { return b.listWithin(time.Second) }

func (b *bench) listWithin(d time.Duration) code.Code {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, err := b.pool.Send(ctx, &inner.Item{Ask: &inner.Item_List{List: &v1.ListRequest{}}})
	var numbered *code.Error
	if errors.As(err, &numbered) {
		return numbered.Code
	}
	return code.OK
}

// A caller is told "not run" although its job runs. The leader took the item
// and its answer never came; only what no Push carried may be called not run.
func TestNotRunIsSaidOnlyOfWhatNeverLeft(t *testing.T) {
	s := &script{mute: true}
	run(t, map[string]*script{"c1": s}, func(b *bench) {
		got := []code.Code{b.list()}
		b.relays["c1"].Refuse(true)
		b.relays["c1"].Cut()
		time.Sleep(500 * time.Millisecond)
		got = append(got, b.listWithin(300*time.Millisecond))
		time.Sleep(5 * time.Second)
		began := time.Now()
		got = append(got, b.list())
		if took := time.Since(began); took > 0 {
			t.Errorf("the refusal without a leader took %v", took)
		}
		want := []code.Code{code.LeaderTimeout, code.ControlUnreachable, code.ControlUnreachable}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// A caller is told "not run" of what left by a Push whose answer was lost: the
// bytes went up and nothing came back.
func TestLostAnswerToPushIsUnknown(t *testing.T) {
	s := &script{mute: true}
	run(t, map[string]*script{"c1": s}, func(b *bench) {
		b.relays["c1"].Set(relay.Down, relay.Lose)
		if got := b.list(); got != code.LeaderTimeout {
			t.Errorf("code %d", got)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.pushed) == 0 {
			t.Error("the item never arrived: the test shows nothing")
		}
	})
}

// The leader has no room. It says that it did not look at the item, so "not
// run" is true at once and the caller may come back.
func TestRefusedByTheLeaderIsNotRun(t *testing.T) {
	run(t, map[string]*script{"c1": {refuse: true}}, func(b *bench) {
		if got := b.list(); got != code.Overloaded {
			t.Errorf("code %d", got)
		}
	})
}

// Requests pile up at an entry whose leader does not answer. Past its bound it
// refuses at once instead of holding ever more.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	run(t, map[string]*script{"c1": {mute: true}}, func(b *bench) {
		var wg sync.WaitGroup
		for range b.pool.MaxPending {
			wg.Go(func() { b.list() })
		}
		synctest.Wait()
		began := time.Now()
		got := b.list()
		if took := time.Since(began); got != code.Overloaded || took > 0 {
			t.Errorf("code %d after %v", got, took)
		}
		wg.Wait()
	})
}

// A reply comes when its asker has gone. It must not reach the next one.
func TestLateReplyReachesNobodyElse(t *testing.T) {
	s := &script{mute: true}
	run(t, map[string]*script{"c1": s}, func(b *bench) {
		b.listWithin(100 * time.Millisecond)
		s.mu.Lock()
		s.answer(s.pushed[0])
		s.mu.Unlock()
		if got := b.listWithin(200 * time.Millisecond); got != code.LeaderTimeout {
			t.Errorf("code %d: a late reply answered another request", got)
		}
	})
}

// Users wait while the entry sits on a connection that something on the way has
// forgotten; new ones would work. One of them costs one timeout, and the other
// idle ones, forgotten with it, must cost nothing more.
func TestForgottenConnectionsAreReplaced(t *testing.T) {
	run(t, map[string]*script{"c1": {}}, func(b *bench) {
		for range 5 {
			b.relays["c1"].Delay(relay.Down, 20*time.Millisecond)
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() { b.list() })
				time.Sleep(3 * time.Millisecond)
			}
			wg.Wait()
			if open := b.relays["c1"].Open(); open < 4 {
				t.Fatalf("%d connections are open: the test shows nothing", open)
			}
			b.relays["c1"].Forget(relay.Up, relay.Down)
			began := time.Now()
			if got := b.listWithin(5 * time.Second); got != code.OK || time.Since(began) > control.DefaultCallTimeout+100*time.Millisecond {
				t.Errorf("code %d after %v", got, time.Since(began))
			}
		}
	})
}

// A caller waits for nothing: the leader took its item and lost it. The entry
// asks again by itself, well within the caller's time.
func TestItemsThatTheLeaderLostAreAskedAgain(t *testing.T) {
	run(t, map[string]*script{"c1": {drops: 1}}, func(b *bench) {
		if got := b.listWithin(3 * time.Second); got != code.OK {
			t.Errorf("code %d", got)
		}
	})
}

// Something on the way delivers a connection's bytes twice. The leader gets each
// item twice, and the asker still exactly one reply.
func TestDoubledConnectionsAnswerOnce(t *testing.T) {
	s := &script{}
	run(t, map[string]*script{"c1": s}, func(b *bench) {
		b.relays["c1"].Duplicate(true)
		b.relays["c1"].Cut()
		time.Sleep(time.Second)
		for range 3 {
			if got := b.list(); got != code.OK {
				t.Errorf("code %d", got)
			}
		}
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		// The two connections are handled apart, so the second copy of an item
		// may come after the first of a later one. What holds: each item comes
		// twice, and the first copies in the order in which they were asked.
		var first []uint64
		count := map[uint64]int{}
		for _, seq := range s.pushed {
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
func TestPendingItemsMoveToTheNewLeader(t *testing.T) {
	first, second := &script{mute: true}, &script{redirect: "c1"}
	run(t, map[string]*script{"c1": first, "c2": second}, func(b *bench) {
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if got := b.listWithin(5 * time.Second); got != code.OK {
					t.Errorf("code %d", got)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		second.set("")
		first.set("c2")
		began := time.Now()
		wg.Wait()
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the move took %v", took)
		}
		if leader, _ := b.pool.Leader(); leader.Name != "c2" {
			t.Errorf("the leader is %v", leader)
		}
	})
}

func (s *script) set(redirect string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.redirect = redirect
	close(s.news)
	s.news = make(chan struct{})
}

// A key is withdrawn while an entry is cut off silently. Whatever waits there
// must be refused within two seconds, since nobody can know what changed.
func TestCutOffEntryRefusesWithinTheBound(t *testing.T) {
	run(t, map[string]*script{"c1": {mute: true}}, func(b *bench) {
		time.Sleep(time.Second)
		if b.pool.TableRevision() != 7 || !b.pool.InContact() {
			t.Errorf("revision %d, fresh %v", b.pool.TableRevision(), b.pool.InContact())
		}
		b.relays["c1"].Set(relay.Up, relay.Lose)
		b.relays["c1"].Set(relay.Down, relay.Lose)
		began := time.Now()
		got := b.listWithin(time.Minute)
		if took := time.Since(began); got != code.LeaderTimeout || took > control.DefaultMaxContactAge+100*time.Millisecond {
			t.Errorf("code %d after %v", got, took)
		}
		if b.pool.InContact() {
			t.Error("still fresh")
		}
	})
}

// The answers of a slow path arrive when what they tell is old already. The age
// of the contact must count from when the call was sent, or a key would work
// for longer than the bound by as much as an answer takes.
func TestAgeOfContactCountsFromTheSend(t *testing.T) {
	run(t, map[string]*script{"c1": {mute: true}}, func(b *bench) {
		const slow = 300 * time.Millisecond
		b.relays["c1"].Delay(relay.Down, slow)
		time.Sleep(3 * time.Second)
		b.relays["c1"].Set(relay.Up, relay.Lose)
		b.relays["c1"].Set(relay.Down, relay.Lose)
		began := time.Now()
		b.listWithin(time.Minute)
		if took := time.Since(began); took > control.DefaultMaxContactAge-slow+100*time.Millisecond {
			t.Errorf("refused %v after the last answer could have left", took)
		}
	})
}
