package server_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/fake/server"
)

const lease = 3 * time.Second

// cell answers a fake server as a test says.
type cell struct {
	v1.UnimplementedBackendHandler
	// sync answers the n-th Sync, counted from 1; nil makes it hang.
	sync func(n uint64, req *v1.SyncRequest) *v1.SyncReply
	seen []*v1.SyncRequest
}

func (*cell) Announce(context.Context, *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceReply], error) {
	return connect.NewResponse(&v1.AnnounceReply{Incarnation: 1, Lease: uint64(lease.Milliseconds())}), nil
}

func (c *cell) Sync(ctx context.Context, req *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncReply], error) {
	c.seen = append(c.seen, req.Msg)
	if reply := c.sync(req.Msg.GetNumber(), req.Msg); reply != nil && ctx.Err() == nil {
		return connect.NewResponse(reply), nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func start(attempt uint32, wish server.Wish) *v1.Order {
	return &v1.Order{Verb: v1.Verb_VERB_START, Attempt: &v1.Attempt{Job: 1, Number: attempt}, Input: wish.Input()}
}

func granted(n uint64, orders ...*v1.Order) *v1.SyncReply {
	return &v1.SyncReply{Status: &v1.Status{}, Number: n, Orders: orders, Lease: uint64(lease.Milliseconds())}
}

func run(t *testing.T, c *cell, test func(s *server.Server, r *server.Record)) {
	synctest.Test(t, func(*testing.T) {
		r := &server.Record{}
		s := &server.Server{Name: "s1", Entries: []server.Entry{{Client: c}}, Record: r, Timeout: time.Minute}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = s.Run(ctx) }()
		test(s, r)
		cancel()
		<-s.Done()
		for _, f := range r.Faults() {
			t.Error(f)
		}
	})
}

var hour = server.Wish{Sleep: "1h"}

// A task runs in two places: the answer with the lease took a second on its
// way, the cell counts from before it was sent, and the server from when it
// came. The server must count from its own sending.
func TestLeaseCountsFromTheSend(t *testing.T) {
	c := &cell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		if n > 1 {
			return nil
		}
		time.Sleep(time.Second)
		return granted(n, start(1, hour))
	}}
	run(t, c, func(s *server.Server, _ *server.Record) {
		time.Sleep(lease - time.Millisecond)
		before := s.Running()
		time.Sleep(2 * time.Millisecond)
		if after := s.Running(); before != 1 || after != 0 {
			t.Errorf("%d tasks run before the lease's end, %d after", before, after)
		}
	})
}

// The same order comes again, as after a lost answer. It must not start twice.
func TestAnOrderStartsOnce(t *testing.T) {
	c := &cell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		return granted(n, start(1, server.Wish{}), &v1.Order{Verb: v1.Verb_VERB_FORGET, Attempt: &v1.Attempt{Job: 1, Number: 1}})
	}}
	run(t, c, func(_ *server.Server, r *server.Record) {
		time.Sleep(time.Second)
		if r.Total() != 1 {
			t.Errorf("%d starts", r.Total())
		}
	})
}

// An answer to a request that was given up comes late. Its orders may have been
// taken back since and must not be obeyed.
func TestAnswerToAnOlderRequestIsDropped(t *testing.T) {
	c := &cell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		if n == 1 {
			return granted(n)
		}
		return granted(n-1, start(1, hour))
	}}
	run(t, c, func(_ *server.Server, r *server.Record) {
		time.Sleep(time.Second)
		if r.Total() != 0 {
			t.Errorf("%d starts", r.Total())
		}
	})
}

// A server stands still past its lease and goes on. The cell has placed its task
// elsewhere; the task must stop before it does anything, and its end not count.
func TestPausedServerStopsBeforeItGoesOn(t *testing.T) {
	c := &cell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		if n > 1 {
			return nil
		}
		return granted(n, start(1, server.Wish{Sleep: "5s"}))
	}}
	run(t, c, func(s *server.Server, _ *server.Record) {
		time.Sleep(time.Second)
		s.Pause()
		time.Sleep(10 * time.Second)
		s.Resume()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		last := c.seen[len(c.seen)-1].GetReports()
		if s.Running() != 0 || len(last) != 1 || last[0].GetPhase() != v1.Phase_PHASE_STOPPED {
			t.Errorf("%d run, reports %v", s.Running(), last)
		}
	})
}

// An answer comes without a lease. Nothing may start under it.
func TestNothingStartsWithoutALease(t *testing.T) {
	c := &cell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		return &v1.SyncReply{Status: &v1.Status{}, Number: n, Orders: []*v1.Order{start(1, hour)}}
	}}
	run(t, c, func(_ *server.Server, r *server.Record) {
		time.Sleep(time.Second)
		if r.Total() != 0 {
			t.Errorf("%d starts", r.Total())
		}
	})
}

// A big answer goes up in pieces that come round until the cell has them all.
func TestBigAnswersGoUpWhole(t *testing.T) {
	pieces := map[uint32]bool{}
	want := 0
	c := &cell{}
	c.sync = func(n uint64, req *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(time.Millisecond)
		for _, r := range req.GetReports() {
			for _, chunk := range r.GetChunks() {
				pieces[chunk.GetNumber()] = true
				want = int(chunk.GetCount())
			}
		}
		return granted(n, start(1, server.Wish{Size: 1 << 20}))
	}
	run(t, c, func(*server.Server, *server.Record) { time.Sleep(time.Second) })
	if len(pieces) != want || want < 2 {
		t.Errorf("%d of %d pieces", len(pieces), want)
	}
}
