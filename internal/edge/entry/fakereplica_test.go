package entry_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
)

// fakeReplica is a fake replica of the control group. The replica that the ledger
// names is the leader.
type fakeReplica struct {
	ledger *fakeLedger
	name   string
	gate   pauseGate
	// maxItemsPerPush bounds the items accepted from one Push. Zero means no limit.
	maxItemsPerPush int

	sessions map[uint64]*entrySession
	server   *http.Server
}

// pauseGate blocks all work of a replica while it is closed, as if the process were
// stopped. It blocks on a channel, because a virtual clock does not advance while a
// goroutine waits for a mutex.
type pauseGate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *pauseGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *pauseGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *pauseGate) waitUntilOpen() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// entrySession is the session of one entry with this replica.
type entrySession struct {
	replies []*inner.Reply
	// firstReplyNumber is the number of the first unacknowledged reply.
	firstReplyNumber uint64
	// parkedItems are the items without a reply, by sequence number.
	parkedItems map[uint64]*parkedItem
	// replyAdded is closed and replaced when a reply is added.
	replyAdded chan struct{}
}

type parkedItem struct {
	item     *inner.Item
	deadline time.Time
}

// serve runs the replica until ctx is cancelled. Sessions of an earlier run are lost.
func (r *fakeReplica) serve(ctx context.Context, l net.Listener) {
	r.ledger.mu.Lock()
	r.sessions = map[uint64]*entrySession{}
	r.ledger.mu.Unlock()
	r.server = &http.Server{Handler: inner.NewControlServer(r)}
	go func() {
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				r.gate.open()
				_ = r.server.Close()
				return
			case <-tick.C:
				r.gate.waitUntilOpen()
				r.ledger.mu.Lock()
				r.answerParkedItems()
				r.ledger.mu.Unlock()
			}
		}
	}()
	_ = r.server.Serve(l)
}

func (r *fakeReplica) isLeader() bool { return r.ledger.leader == r.name }

func (r *fakeReplica) redirect() *inner.Redirect {
	return &inner.Redirect{Leader: r.ledger.leader, Address: r.ledger.leader}
}

// sessionFor returns the session with the given number and creates it if needed.
func (r *fakeReplica) sessionFor(number uint64) *entrySession {
	s, ok := r.sessions[number]
	if !ok {
		s = &entrySession{firstReplyNumber: 1, parkedItems: map[uint64]*parkedItem{}, replyAdded: make(chan struct{})}
		r.sessions[number] = s
	}
	return s
}

// Push accepts items from an entry and answers those that need not wait.
func (r *fakeReplica) Push(_ context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	r.gate.waitUntilOpen()
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if !r.isLeader() {
		return &inner.PushReply{Redirect: r.redirect()}, nil
	}
	s := r.sessionFor(req.GetSession())
	reply := &inner.PushReply{}
	for i, item := range req.GetItems() {
		if r.maxItemsPerPush > 0 && i >= r.maxItemsPerPush {
			reply.Refused = append(reply.Refused, item.GetSeq())
			continue
		}
		r.acceptItem(s, item)
	}
	r.answerParkedItems()
	return reply, nil
}

func (r *fakeReplica) acceptItem(s *entrySession, item *inner.Item) {
	if sync := item.GetSync(); sync != nil {
		if b, ok := r.ledger.servers[sync.GetServer()]; ok && b.incarnation == sync.GetIncarnation() && !b.lost {
			// The lease in the reply counts from when the server sent the sync, which
			// is no later than now.
			b.leaseExpiresAt = time.Now().Add(r.ledger.leaseLength + r.ledger.leaseMargin)
		}
		r.dropOlderSyncs(sync)
	}
	pollWait := max(item.GetWait().GetPatience(), item.GetSync().GetPatience())
	s.parkedItems[item.GetSeq()] = &parkedItem{item, time.Now().Add(time.Duration(pollWait) * time.Millisecond)}
}

// dropOlderSyncs removes the parked syncs of the same backend server with lower numbers.
func (r *fakeReplica) dropOlderSyncs(sync *v1.SyncRequest) {
	for _, s := range r.sessions {
		for seq, p := range s.parkedItems {
			if parkedSync := p.item.GetSync(); parkedSync.GetServer() == sync.GetServer() && parkedSync != nil && parkedSync.GetNumber() < sync.GetNumber() {
				delete(s.parkedItems, seq)
			}
		}
	}
}

// answerParkedItems adds a reply for each parked item that can be answered now.
func (r *fakeReplica) answerParkedItems() {
	if !r.isLeader() {
		return
	}
	r.ledger.expireLeasesAndPlaceJobs()
	now := time.Now()
	for _, s := range r.sessions {
		for seq, p := range s.parkedItems {
			reply := r.ledger.replyTo(p.item, !now.Before(p.deadline))
			if reply == nil {
				continue
			}
			reply.Seq = seq
			delete(s.parkedItems, seq)
			s.replies = append(s.replies, reply)
			close(s.replyAdded)
			s.replyAdded = make(chan struct{})
		}
	}
}

// Pull returns the unacknowledged replies of a session, as a bounded long poll.
func (r *fakeReplica) Pull(ctx context.Context, req *inner.PullRequest) (*inner.PullReply, error) {
	timeout := time.After(time.Duration(req.GetPatience()) * time.Millisecond)
	for waitExpired := false; ; {
		r.gate.waitUntilOpen()
		reply, replyAdded := r.tryPull(req, waitExpired)
		if reply != nil {
			return reply, nil
		}
		select {
		case <-replyAdded:
		case <-timeout:
			waitExpired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *fakeReplica) tryPull(req *inner.PullRequest, waitExpired bool) (*inner.PullReply, <-chan struct{}) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if !r.isLeader() {
		return &inner.PullReply{Redirect: r.redirect()}, nil
	}
	s := r.sessionFor(req.GetSession())
	for s.firstReplyNumber <= req.GetAck() && len(s.replies) > 0 {
		s.replies = s.replies[1:]
		s.firstReplyNumber++
	}
	if len(s.replies) == 0 && !waitExpired {
		return nil, s.replyAdded
	}
	return &inner.PullReply{First: s.firstReplyNumber, Replies: append([]*inner.Reply(nil), s.replies...), Revision: r.ledger.tableRevision}, nil
}

// Dump returns the replica's name as its state dump.
func (r *fakeReplica) Dump(context.Context, *v1.DumpRequest) (*v1.DumpReply, error) {
	return &v1.DumpReply{Status: &v1.Status{}, Text: r.name}, nil
}
