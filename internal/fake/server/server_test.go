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

// scriptedCell is a cell whose Sync replies are defined by the test.
type scriptedCell struct {
	v1.UnimplementedBackendHandler
	// sync returns the reply to the n-th Sync request, counted from 1. If it returns nil,
	// the request gets no reply.
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
		s := &server.Server{Name: "s1", EntryClients: []server.EntryClient{{Client: c}}, Recorder: r, Timeout: time.Minute}
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

// The reply with the lease takes a second to arrive. If the server counted the lease
// from the arrival, it would run the task longer than the cell assumes, and the task
// could run on two servers. The lease must start when the request is sent.
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
			t.Errorf("%d tasks run before the end of the lease, want 1; %d after it, want 0", before, after)
		}
	})
}

// The same start order arrives again, as after a lost reply. The attempt must not start
// twice.
func TestRepeatedOrderStartsOnce(t *testing.T) {
	c := &scriptedCell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		return leaseReply(n, startOrder(1, server.TaskScript{}), &v1.Order{Verb: v1.Verb_VERB_FORGET, Attempt: &v1.Attempt{Job: 1, Number: 1}})
	}}
	runServer(t, c, func(_ *server.Server, r *server.Recorder) {
		time.Sleep(time.Second)
		if r.TotalStarts() != 1 {
			t.Errorf("%d attempts started, want 1", r.TotalStarts())
		}
	})
}

// A reply to a cancelled request arrives late. Its orders may have been withdrawn since
// and must be ignored.
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
			t.Errorf("%d attempts started, want 0", r.TotalStarts())
		}
	})
}

// A server is paused until after its lease has expired, and the cell has placed its task
// on another server. On resume the task must stop before it continues, and its result
// must not count.
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
			t.Errorf("%d tasks run after the lease expired, want 0; last reports: %v", s.Running(), last)
		}
	})
}

// A reply carries a start order but no lease. The task must not start.
func TestNothingStartsWithoutLease(t *testing.T) {
	c := &scriptedCell{sync: func(n uint64, _ *v1.SyncRequest) *v1.SyncReply {
		time.Sleep(10 * time.Millisecond)
		return &v1.SyncReply{Status: &v1.Status{}, Number: n, Orders: []*v1.Order{startOrder(1, oneHourTask)}}
	}}
	runServer(t, c, func(_ *server.Server, r *server.Recorder) {
		time.Sleep(time.Second)
		if r.TotalStarts() != 0 {
			t.Errorf("%d attempts started, want 0", r.TotalStarts())
		}
	})
}

// An answer larger than one Sync request is sent in chunks, which are repeated until the
// cell has all of them.
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
		t.Errorf("received %d of %d answer chunks", len(received), want)
	}
}
