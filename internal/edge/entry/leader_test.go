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

// replica is one fake process of the control group. The one that the cell names leads.
type replica struct {
	cell *cell
	name string
	gate gate
	// room bounds the items of one Push; 0 for no bound.
	room int

	sessions map[uint64]*session
	server   *http.Server
}

// gate holds everything while it is shut, as a stopped process would. It waits
// on a channel, since a virtual clock stands still while a mutex is waited for.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// session is one entry's, for as long as it stays with this replica.
type session struct {
	replies []*inner.Reply
	// first is the number of the first reply kept.
	first  uint64
	parked map[uint64]*parked
	news   chan struct{}
}

type parked struct {
	item  *inner.Item
	until time.Time
}

// serve is one life of the replica: it ends with ctx, and its sessions with it.
func (r *replica) serve(ctx context.Context, l net.Listener) {
	r.cell.mu.Lock()
	r.sessions = map[uint64]*session{}
	r.cell.mu.Unlock()
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
				r.gate.pass()
				r.cell.mu.Lock()
				r.settle()
				r.cell.mu.Unlock()
			}
		}
	}()
	_ = r.server.Serve(l)
}

func (r *replica) leads() bool { return r.cell.leader == r.name }

func (r *replica) redirect() *inner.Redirect {
	return &inner.Redirect{Leader: r.cell.leader, Address: r.cell.leader}
}

func (r *replica) session(n uint64) *session {
	s, ok := r.sessions[n]
	if !ok {
		s = &session{first: 1, parked: map[uint64]*parked{}, news: make(chan struct{})}
		r.sessions[n] = s
	}
	return s
}

// Push queues items.
func (r *replica) Push(_ context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	r.gate.pass()
	r.cell.mu.Lock()
	defer r.cell.mu.Unlock()
	if !r.leads() {
		return &inner.PushReply{Redirect: r.redirect()}, nil
	}
	s := r.session(req.GetSession())
	reply := &inner.PushReply{}
	for i, item := range req.GetItems() {
		if r.room > 0 && i >= r.room {
			reply.Refused = append(reply.Refused, item.GetSeq())
			continue
		}
		r.take(s, item)
	}
	r.settle()
	return reply, nil
}

func (r *replica) take(s *session, item *inner.Item) {
	if sync := item.GetSync(); sync != nil {
		if b, ok := r.cell.servers[sync.GetServer()]; ok && b.incarnation == sync.GetIncarnation() && !b.gone {
			// The latest moment that the lease given below may count from.
			b.expires = time.Now().Add(r.cell.lease + r.cell.margin)
		}
		r.supersede(sync)
	}
	patience := max(item.GetWait().GetPatience(), item.GetSync().GetPatience())
	s.parked[item.GetSeq()] = &parked{item, time.Now().Add(time.Duration(patience) * time.Millisecond)}
}

// supersede drops the parked syncs of the same server with lower numbers.
func (r *replica) supersede(sync *v1.SyncRequest) {
	for _, s := range r.sessions {
		for seq, p := range s.parked {
			if old := p.item.GetSync(); old.GetServer() == sync.GetServer() && old != nil && old.GetNumber() < sync.GetNumber() {
				delete(s.parked, seq)
			}
		}
	}
}

// settle answers what can be answered.
func (r *replica) settle() {
	if !r.leads() {
		return
	}
	r.cell.tick()
	now := time.Now()
	for _, s := range r.sessions {
		for seq, p := range s.parked {
			reply := r.cell.answer(p.item, !now.Before(p.until))
			if reply == nil {
				continue
			}
			reply.Seq = seq
			delete(s.parked, seq)
			s.replies = append(s.replies, reply)
			close(s.news)
			s.news = make(chan struct{})
		}
	}
}

// Pull hands out replies.
func (r *replica) Pull(ctx context.Context, req *inner.PullRequest) (*inner.PullReply, error) {
	until := time.After(time.Duration(req.GetPatience()) * time.Millisecond)
	for over := false; ; {
		r.gate.pass()
		reply, news := r.pull(req, over)
		if reply != nil {
			return reply, nil
		}
		select {
		case <-news:
		case <-until:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *replica) pull(req *inner.PullRequest, over bool) (*inner.PullReply, <-chan struct{}) {
	r.cell.mu.Lock()
	defer r.cell.mu.Unlock()
	if !r.leads() {
		return &inner.PullReply{Redirect: r.redirect()}, nil
	}
	s := r.session(req.GetSession())
	for s.first <= req.GetAck() && len(s.replies) > 0 {
		s.replies = s.replies[1:]
		s.first++
	}
	if len(s.replies) == 0 && !over {
		return nil, s.news
	}
	return &inner.PullReply{First: s.first, Replies: append([]*inner.Reply(nil), s.replies...), Revision: r.cell.revision}, nil
}

// Dump names the replica.
func (r *replica) Dump(context.Context, *v1.DumpRequest) (*v1.DumpReply, error) {
	return &v1.DumpReply{Status: &v1.Status{}, Text: r.name}, nil
}
