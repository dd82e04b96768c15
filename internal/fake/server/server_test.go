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

// scriptedCell answers a fake server as a test says.
type scriptedCell struct {
	v1.UnimplementedBackendHandler
	// sync answers the n-th Sync, counted from 1; nil makes it hang.
	sync     func(n uint64, req *v1.SyncRequest) *v1.SyncReply
	received []*v1.SyncRequest
}

func (*scriptedCell) Announce(context.Context, *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceReply], error) {
	return connect.NewResponse(&v1.AnnounceReply{Incarnation: 1, Lease: uint64(lease.Milliseconds())}), nil
}

func (c *scriptedCell) Sync(ctx context.Context, req *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncReply], error) {
	c.received = append(c.received, req.Msg)
	if reply := c.sync(req.Msg.GetNumber(), req.Msg); reply != nil && ctx.Err() == nil {
		return connect.NewResponse(reply), nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func startOrder(attempt uint32, script server.TaskScript) *v1.Order {
	return &v1.Order{Verb: v1.Verb_VERB_START, Attempt: &v1.Attempt{Job: 1, Number: attempt}, Input: script.Input()}
}

func leaseReply(n uint64, orders ...*v1.Order) *v1.SyncReply {
	return &v1.SyncReply{Status: &v1.Status{}, Number: n, Orders: orders, Lease: uint64(lease.Milliseconds())}
}

func runServer(t *testing.T, c *scriptedCell, test func(s *server.Server, r *server.Recorder)) {
	synctest.Test(t, func(*testing.T) {
		r := &server.Recorder{}
		s := &server.Server{Name: "s1", Entries: []server.Entry{{Client: c}}, Recorder: r, Timeout: time.Minute}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = s.Run(ctx) }()
		test(s, r)
		cancel()
		<-s.Done()
		for _, f := range r.Violations() {
			t.Error(f)
		}
	})
}

var oneHourTask = server.TaskScript{Sleep: "1h"}

// A task runs in two places: the answer with the lease took a second on its
// way, the cell counts from before it was sent, and the server from when it
// came. The server must count from its own sending.
func TestLeaseStartsWhenRequestIsSent(t *testing.T) {
	c := &scriptedCell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		if n > 1 {
			return nil
		}
		time.Sleep(time.Second)
		return leaseReply(n, startOrder(1, oneHourTask))
	}}
	runServer(t, c, func(s *server.Server, _ *server.Recorder) {
		time.Sleep(lease - time.Millisecond)
		before := s.Running()
		time.Sleep(2 * time.Millisecond)
		if after := s.Running(); before != 1 || after != 0 {
			t.Errorf("%d tasks run before the lease's end, %d after", before, after)
		}
	})
}

// The same order comes again, as after a lost answer. It must not start twice.
func TestRepeatedOrderStartsOnce(t *testing.T) {
	c := &scriptedCell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		return leaseReply(n, startOrder(1, server.TaskScript{}), &v1.Order{Verb: v1.Verb_VERB_FORGET, Attempt: &v1.Attempt{Job: 1, Number: 1}})
	}}
	runServer(t, c, func(_ *server.Server, r *server.Recorder) {
		time.Sleep(time.Second)
		if r.TotalStarts() != 1 {
			t.Errorf("%d starts", r.TotalStarts())
		}
	})
}

// An answer to a request that was given up comes late. Its orders may have been
// taken back since and must not be obeyed.
func TestReplyToOlderRequestIsIgnored(t *testing.T) {
	c := &scriptedCell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		if n == 1 {
			return leaseReply(n)
		}
		return leaseReply(n-1, startOrder(1, oneHourTask))
	}}
	runServer(t, c, func(_ *server.Server, r *server.Recorder) {
		time.Sleep(time.Second)
		if r.TotalStarts() != 0 {
			t.Errorf("%d starts", r.TotalStarts())
		}
	})
}

// A server stands still past its lease and goes on. The cell has placed its task
// elsewhere; the task must stop before it does anything, and its end not count.
func TestPausedServerStopsExpiredTaskOnResume(t *testing.T) {
	c := &scriptedCell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		if n > 1 {
			return nil
		}
		return leaseReply(n, startOrder(1, server.TaskScript{Sleep: "5s"}))
	}}
	runServer(t, c, func(s *server.Server, _ *server.Recorder) {
		time.Sleep(time.Second)
		s.Pause()
		time.Sleep(10 * time.Second)
		s.Resume()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		last := c.received[len(c.received)-1].GetReports()
		if s.Running() != 0 || len(last) != 1 || last[0].GetPhase() != v1.Phase_PHASE_STOPPED {
			t.Errorf("%d run, reports %v", s.Running(), last)
		}
	})
}

// An answer comes without a lease. Nothing may start under it.
func TestNothingStartsWithoutLease(t *testing.T) {
	c := &scriptedCell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		return &v1.SyncReply{Status: &v1.Status{}, Number: n, Orders: []*v1.Order{startOrder(1, oneHourTask)}}
	}}
	runServer(t, c, func(_ *server.Server, r *server.Recorder) {
		time.Sleep(time.Second)
		if r.TotalStarts() != 0 {
			t.Errorf("%d starts", r.TotalStarts())
		}
	})
}

// A big answer goes up in pieces that come round until the cell has them all.
func TestLargeAnswerIsSentCompletely(t *testing.T) {
	received := map[uint32]bool{}
	want := 0
	c := &scriptedCell{}
	c.sync = func(n uint64, req *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(time.Millisecond)
		for _, r := range req.GetReports() {
			for _, chunk := range r.GetChunks() {
				received[chunk.GetNumber()] = true
				want = int(chunk.GetCount())
			}
		}
		return leaseReply(n, startOrder(1, server.TaskScript{AnswerSize: 1 << 20}))
	}
	runServer(t, c, func(*server.Server, *server.Recorder) { time.Sleep(time.Second) })
	if len(received) != want || want < 2 {
		t.Errorf("%d of %d pieces", len(received), want)
	}
}
