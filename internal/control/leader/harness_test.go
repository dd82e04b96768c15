package leader_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/mailbox"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/fifo"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// fakeGroup is a group of which the test decides what commits and what is confirmed.
type fakeGroup struct {
	notes chan group.Notification
	now   func() time.Duration
	mu    sync.Mutex
	// held stops commits, cut stops confirmed rounds.
	held, cut bool
	term      uint64
	log       []quorum.Entry
	committed uint64
	reloads   int
	proposals int
	// compacts are the states of the snapshots that were handed over.
	compacts [][]byte
}

func (g *fakeGroup) Propose(p group.Proposal) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proposals++
	if p.Term != g.term || p.FirstIndex != uint64(len(g.log))+1 {
		return true // dropped whole, as the real one does
	}
	for _, c := range p.Commands {
		g.log = append(g.log, quorum.Entry{Index: uint64(len(g.log)) + 1, Term: p.Term, Kind: quorum.EntryCommand, Data: c})
	}
	if !g.held {
		g.commit()
	}
	return true
}

// count returns the number of proposals so far.
func (g *fakeGroup) count() int { g.mu.Lock(); defer g.mu.Unlock(); return g.proposals }

// hold stops commits; cutOff stops confirmed rounds.
func (g *fakeGroup) hold()   { g.mu.Lock(); defer g.mu.Unlock(); g.held = true }
func (g *fakeGroup) cutOff() { g.mu.Lock(); defer g.mu.Unlock(); g.cut = true }

// letGo commits what was held.
func (g *fakeGroup) letGo() { g.mu.Lock(); defer g.mu.Unlock(); g.held = false; g.commit() }

func (g *fakeGroup) commit() {
	g.committed = uint64(len(g.log))
	g.notes <- group.CommitAdvanced{Index: g.committed}
}

func (g *fakeGroup) Notifications() <-chan group.Notification { return g.notes }

func (g *fakeGroup) ConfirmLeadership() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cut {
		select {
		case g.notes <- group.LeadershipConfirmed{Term: g.term, StartedAt: g.now()}:
		default:
		}
	}
}

func (g *fakeGroup) Compact(_ uint64, data []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.compacts = append(g.compacts, data)
}

// snapshots returns the states of the snapshots that were handed over.
func (g *fakeGroup) snapshots() [][]byte { g.mu.Lock(); defer g.mu.Unlock(); return g.compacts }

func (g *fakeGroup) Reload() { g.mu.Lock(); defer g.mu.Unlock(); g.reloads++ }

// lead starts a term and returns the end of the log.
func (g *fakeGroup) lead(term uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term = term
	return uint64(len(g.log))
}

// cell is a control thread under a fake group, an entry's mailbox, and time
// that only passes when the test sleeps.
type cell struct {
	t    *testing.T
	g    *fakeGroup
	l    *leader.Leader
	box  *mailbox.Mailbox
	term uint64
	seq  uint64
	got  map[uint64]*inner.Reply
	ack  uint64
	stop context.CancelFunc
}

const secret = "secret"

func digest() []byte { d := sha256.Sum256([]byte(secret)); return d[:] }

// run gives fn a leading control thread with one team, its key and an operator's key.
func run(t *testing.T, fn func(*cell)) { runWith(t, logr.Discard(), fn) }

// runWith is run with a log.
func runWith(t *testing.T, log logr.Logger, fn func(*cell)) {
	runAs(t, log, func() plan.Planner { return fifo.New() }, fn)
}

// runAs is run with a log and a planner.
func runAs(t *testing.T, log logr.Logger, planner func() plan.Planner, fn func(*cell)) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		now := func() time.Duration { return time.Since(begin) + time.Minute }
		g := &fakeGroup{notes: make(chan group.Notification, 4096), now: now, term: 1}
		ctx, cancel := context.WithCancel(context.Background())
		c := &cell{t: t, g: g, stop: cancel, got: map[uint64]*inner.Reply{}}
		c.l = c.newLeader(g)
		c.l.Log, c.l.NewPlanner = log, planner
		done := make(chan error, 1)
		go func() { done <- c.l.Run(ctx) }()
		beats := make(chan struct{})
		go func() { c.beat(ctx); close(beats) }()
		c.elect(1)
		c.change("table", &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{
			{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 10, Limit: &v1.Size{Cpu: 4000, Memory: -1, Accel: -1, Slots: -1}}},
		}}}})
		c.change("grant", &v1.ChangeRequest{Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "rail1", Team: "rail", Digest: digest()}}})
		fn(c)
		cancel()
		<-beats
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func (c *cell) newLeader(g *fakeGroup) *leader.Leader {
	l := leader.New()
	l.Group, l.Now = g, g.now
	l.RootKey = &v1.KeyGrant{Id: "op", Operator: true, Digest: digest()}
	return l
}

func (c *cell) beat(ctx context.Context) {
	for ctx.Err() == nil {
		c.g.ConfirmLeadership()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// elect lets the thread lead in a term, with a fresh mailbox.
func (c *cell) elect(term uint64) {
	c.term = term
	c.box = mailbox.New(term)
	c.ack = 0
	c.g.notes <- group.Leading{Term: term, LastIndex: c.g.lead(term), ElectedAt: c.g.now()}
	c.g.ConfirmLeadership()
	synctest.Wait()
}

// push hands an item over and returns its number.
func (c *cell) push(it *inner.Item) uint64 {
	c.seq++
	it.Seq = c.seq
	if !c.l.Push(leader.Batch{Mailbox: c.box, ReceivedAt: c.g.now(), Items: []*inner.Item{it}}) {
		c.t.Fatal("no room")
	}
	synctest.Wait()
	return c.seq
}

// reply returns what came for an item so far; nil when nothing did.
func (c *cell) reply(seq uint64) *inner.Reply {
	synctest.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b := c.box.Pull(ctx, c.term, c.ack)
	for i, r := range b.Replies {
		c.ack = b.FirstNumber + uint64(i)
		c.got[r.GetSeq()] = r
	}
	return c.got[seq]
}

func (c *cell) must(seq uint64) *inner.Reply {
	c.t.Helper()
	r := c.reply(seq)
	if r == nil {
		c.t.Fatalf("no reply to item %d", seq)
	}
	return r
}

func (c *cell) cred(id string) *inner.Credential {
	return &inner.Credential{Id: id, Digest: digest()}
}

func (c *cell) change(id string, req *v1.ChangeRequest) *v1.ChangeReply {
	c.t.Helper()
	req.Id = id
	r := c.must(c.push(&inner.Item{Credential: c.cred("op"), Ask: &inner.Item_Change{Change: req}}))
	if r.GetStatus().GetCode() != 0 {
		c.t.Fatalf("change %s: %v", id, r.GetStatus())
	}
	return r.GetChange()
}

func spec(id string) *v1.Spec {
	return &v1.Spec{Id: id, Kind: v1.Kind_KIND_BATCH, Count: 1, Size: &v1.Size{Cpu: 1000}}
}

func (c *cell) submit(s *v1.Spec) uint64 {
	return c.push(&inner.Item{Credential: c.cred("rail1"), Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{s}}}})
}

func (c *cell) accepted(s *v1.Spec) *v1.Accepted {
	c.t.Helper()
	r := c.must(c.submit(s))
	if r.GetStatus().GetCode() != 0 {
		return &v1.Accepted{Status: r.GetStatus()}
	}
	return r.GetSubmit().GetJobs()[0]
}

func (c *cell) wait(id string) uint64 {
	return c.push(&inner.Item{Credential: c.cred("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: id, Patience: 1000}}})
}

func (c *cell) outcome(id string) *v1.WaitReply {
	c.t.Helper()
	n := c.wait(id)
	time.Sleep(1100 * time.Millisecond)
	return c.must(n).GetWait()
}

// server is a backend server's session as the test drives it.
type server struct {
	c           *cell
	name        string
	incarnation uint64
	number      uint64
}

// zoneName is where the servers of these tests are.
const zoneName = "zone-1"

func (c *cell) announce(name string, cpu int64) *server {
	c.t.Helper()
	r := c.must(c.push(&inner.Item{Ask: &inner.Item_Announce{Announce: &v1.AnnounceRequest{
		Server: name, Nonce: uint64(c.g.now()), Zone: zoneName, Capacity: &v1.Size{Cpu: cpu, Memory: 1, Accel: 1, Slots: 8},
	}}}))
	if n := r.GetAnnounce().GetStatus().GetCode(); n != 0 {
		c.t.Fatalf("announce: %d", n)
	}
	return &server{c: c, name: name, incarnation: r.GetAnnounce().GetIncarnation()}
}

func (s *server) send(reports ...*v1.Report) uint64 {
	s.number++
	return s.c.push(&inner.Item{Ask: &inner.Item_Sync{Sync: &v1.SyncRequest{
		Server: s.name, Incarnation: s.incarnation, Number: s.number, Reports: reports, Patience: 500,
	}}})
}

func (s *server) sync(reports ...*v1.Report) *v1.SyncReply {
	s.c.t.Helper()
	n := s.send(reports...)
	if r := s.c.reply(n); r != nil {
		return r.GetSync()
	}
	time.Sleep(600 * time.Millisecond)
	return s.c.must(n).GetSync()
}

// starts lists the attempts that a reply orders to start.
func starts(r *v1.SyncReply) (out []*v1.Attempt) {
	for _, o := range r.GetOrders() {
		if o.GetVerb() == v1.Verb_VERB_START {
			out = append(out, o.GetAttempt())
		}
	}
	return out
}

func report(a *v1.Attempt, p v1.Phase) *v1.Report {
	return &v1.Report{Attempt: a, Phase: p, Started: p != v1.Phase_PHASE_HELD}
}

func (c *cell) ledger(fn func(*state.State)) {
	c.t.Helper()
	if err := c.l.Execute(context.Background(), fn); err != nil {
		c.t.Fatal(err)
	}
}

func wantCode(t *testing.T, want code.Code, got *v1.Status) {
	t.Helper()
	if got.GetCode() != uint32(want) {
		t.Errorf("code %d (%s), want %d", got.GetCode(), got.GetText(), want)
	}
}

func name(n int) string { return fmt.Sprintf("job%d", n) }
