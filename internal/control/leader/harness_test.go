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

// fakeGroup is a group in which the test controls commits and leadership
// confirmations.
type fakeGroup struct {
	notifications chan group.Notification
	now           func() time.Duration
	mu            sync.Mutex
	// commitsHeld suspends commits, confirmationsStopped suspends leadership confirmations.
	commitsHeld, confirmationsStopped bool
	term                              uint64
	log                               []quorum.Entry
	commitIndex                       uint64
	reloadCount                       int
	proposalsMade                     int
	// snapshotStates are the encoded snapshots passed to Compact.
	snapshotStates [][]byte
}

func (g *fakeGroup) Propose(p group.Proposal) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proposalsMade++
	if p.Term != g.term || p.FirstIndex != uint64(len(g.log))+1 {
		return true // the real group also discards such a proposal as a whole
	}
	for _, c := range p.Commands {
		g.log = append(g.log, quorum.Entry{Index: uint64(len(g.log)) + 1, Term: p.Term, Kind: quorum.EntryCommand, Data: c})
	}
	if !g.commitsHeld {
		g.commit()
	}
	return true
}

// proposalCount returns the number of proposals so far.
func (g *fakeGroup) proposalCount() int { g.mu.Lock(); defer g.mu.Unlock(); return g.proposalsMade }

// holdCommits suspends commits; stopConfirmations suspends leadership
// confirmations.
func (g *fakeGroup) holdCommits() { g.mu.Lock(); defer g.mu.Unlock(); g.commitsHeld = true }

func (g *fakeGroup) stopConfirmations() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmationsStopped = true
}

// releaseCommits commits all held entries and resumes commits.
func (g *fakeGroup) releaseCommits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commitsHeld = false
	g.commit()
}

func (g *fakeGroup) commit() {
	g.commitIndex = uint64(len(g.log))
	g.notifications <- group.CommitAdvanced{Index: g.commitIndex}
}

func (g *fakeGroup) Notifications() <-chan group.Notification { return g.notifications }

func (g *fakeGroup) ConfirmLeadership() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.confirmationsStopped {
		select {
		case g.notifications <- group.LeadershipConfirmed{Term: g.term, StartedAt: g.now()}:
		default:
		}
	}
}

func (g *fakeGroup) Compact(_ uint64, snapshot []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.snapshotStates = append(g.snapshotStates, snapshot)
}

// compactedStates returns the encoded snapshots passed to Compact.
func (g *fakeGroup) compactedStates() [][]byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.snapshotStates
}

func (g *fakeGroup) Reload() { g.mu.Lock(); defer g.mu.Unlock(); g.reloadCount++ }

// startTerm starts a term and returns the last log index.
func (g *fakeGroup) startTerm(term uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term = term
	return uint64(len(g.log))
}

// harness runs a control thread with a fake group and the mailbox of one entry.
// Time passes only while the test sleeps.
type harness struct {
	t               *testing.T
	group           *fakeGroup
	leader          *leader.Leader
	mailbox         *mailbox.Mailbox
	term            uint64
	lastSeq         uint64
	replies         map[uint64]*inner.Reply
	lastReplyNumber uint64
	stop            context.CancelFunc
}

const secret = "secret"

func digest() []byte { d := sha256.Sum256([]byte(secret)); return d[:] }

// runWithLeader runs a test with a leading control thread. The ledger holds one
// team, the team's key and an operator key.
func runWithLeader(t *testing.T, test func(*harness)) { runWithLog(t, logr.Discard(), test) }

// runWithLog is like runWithLeader, with a logger.
func runWithLog(t *testing.T, log logr.Logger, test func(*harness)) {
	runWithPlanner(t, log, func() plan.Planner { return fifo.New() }, test)
}

// runWithPlanner is like runWithLog, with a planner.
func runWithPlanner(t *testing.T, log logr.Logger, planner func() plan.Planner, test func(*harness)) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		now := func() time.Duration { return time.Since(begin) + time.Minute }
		group := &fakeGroup{notifications: make(chan group.Notification, 4096), now: now, term: 1}
		ctx, cancel := context.WithCancel(context.Background())
		h := &harness{t: t, group: group, stop: cancel, replies: map[uint64]*inner.Reply{}}
		h.leader = h.newLeader(group)
		h.leader.Log, h.leader.NewPlanner = log, planner
		runResult := make(chan error, 1)
		go func() { runResult <- h.leader.Run(ctx) }()
		confirmationsDone := make(chan struct{})
		go func() { h.confirmPeriodically(ctx); close(confirmationsDone) }()
		h.elect(1)
		h.applyChange("table", &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{
			{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 10, Limit: &v1.Size{Cpu: 4000, Memory: -1, Accel: -1, Slots: -1}}},
		}}}})
		h.applyChange("grant", &v1.ChangeRequest{Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "rail1", Team: "rail", Digest: digest()}}})
		test(h)
		cancel()
		<-confirmationsDone
		if err := <-runResult; err != nil {
			t.Error(err)
		}
	})
}

func (h *harness) newLeader(g *fakeGroup) *leader.Leader {
	l := leader.New()
	l.Group, l.Now = g, g.now
	l.RootKey = &v1.KeyGrant{Id: "op", Operator: true, Digest: digest()}
	return l
}

func (h *harness) confirmPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		h.group.ConfirmLeadership()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// elect makes the control thread leader of a term, with a new mailbox.
func (h *harness) elect(term uint64) {
	h.term = term
	h.mailbox = mailbox.New(term)
	h.lastReplyNumber = 0
	h.group.notifications <- group.Leading{Term: term, LastIndex: h.group.startTerm(term), ElectedAt: h.group.now()}
	h.group.ConfirmLeadership()
	synctest.Wait()
}

// push sends an item to the control thread and returns the item's sequence number.
func (h *harness) push(item *inner.Item) uint64 {
	h.lastSeq++
	item.Seq = h.lastSeq
	if !h.leader.Push(leader.Batch{Mailbox: h.mailbox, ReceivedAt: h.group.now(), Items: []*inner.Item{item}}) {
		h.t.Fatal("the control thread's inbox is full")
	}
	synctest.Wait()
	return h.lastSeq
}

// replyTo returns the reply to an item, or nil if there is none yet.
func (h *harness) replyTo(seq uint64) *inner.Reply {
	synctest.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b := h.mailbox.Pull(ctx, h.term, h.lastReplyNumber)
	for i, r := range b.Replies {
		h.lastReplyNumber = b.FirstNumber + uint64(i)
		h.replies[r.GetSeq()] = r
	}
	return h.replies[seq]
}

func (h *harness) mustReply(seq uint64) *inner.Reply {
	h.t.Helper()
	r := h.replyTo(seq)
	if r == nil {
		h.t.Fatalf("no reply to item %d", seq)
	}
	return r
}

func (h *harness) credential(id string) *inner.Credential {
	return &inner.Credential{Id: id, Digest: digest()}
}

func (h *harness) applyChange(id string, req *v1.ChangeRequest) *v1.ChangeReply {
	h.t.Helper()
	req.Id = id
	r := h.mustReply(h.push(&inner.Item{Credential: h.credential("op"), Ask: &inner.Item_Change{Change: req}}))
	if r.GetStatus().GetCode() != 0 {
		h.t.Fatalf("change %s was refused: %v", id, r.GetStatus())
	}
	return r.GetChange()
}

func batchSpec(id string) *v1.Spec {
	return &v1.Spec{Id: id, Kind: v1.Kind_KIND_BATCH, Count: 1, Size: &v1.Size{Cpu: 1000}}
}

func (h *harness) pushSubmit(s *v1.Spec) uint64 {
	return h.push(&inner.Item{Credential: h.credential("rail1"), Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{s}}}})
}

func (h *harness) submitAndReply(s *v1.Spec) *v1.Accepted {
	h.t.Helper()
	r := h.mustReply(h.pushSubmit(s))
	if r.GetStatus().GetCode() != 0 {
		return &v1.Accepted{Status: r.GetStatus()}
	}
	return r.GetSubmit().GetJobs()[0]
}

func (h *harness) pushWait(id string) uint64 {
	return h.push(&inner.Item{Credential: h.credential("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: id, Patience: 1000}}})
}

func (h *harness) waitOutcome(id string) *v1.WaitReply {
	h.t.Helper()
	waitSeq := h.pushWait(id)
	time.Sleep(1100 * time.Millisecond)
	return h.mustReply(waitSeq).GetWait()
}

// testServer is a backend server whose syncs are sent by the test.
type testServer struct {
	harness     *harness
	name        string
	incarnation uint64
	syncNumber  uint64
}

// zoneName is the availability zone of the backend servers in these tests.
const zoneName = "zone-1"

func (h *harness) announceServer(name string, cpu int64) *testServer {
	h.t.Helper()
	r := h.mustReply(h.push(&inner.Item{Ask: &inner.Item_Announce{Announce: &v1.AnnounceRequest{
		Server: name, Nonce: uint64(h.group.now()), Zone: zoneName, Capacity: &v1.Size{Cpu: cpu, Memory: 1, Accel: 1, Slots: 8},
	}}}))
	if n := r.GetAnnounce().GetStatus().GetCode(); n != 0 {
		h.t.Fatalf("announcement refused with code %d", n)
	}
	return &testServer{harness: h, name: name, incarnation: r.GetAnnounce().GetIncarnation()}
}

func (s *testServer) sendSync(reports ...*v1.Report) uint64 {
	s.syncNumber++
	return s.harness.push(&inner.Item{Ask: &inner.Item_Sync{Sync: &v1.SyncRequest{
		Server: s.name, Incarnation: s.incarnation, Number: s.syncNumber, Reports: reports, Patience: 500,
	}}})
}

func (s *testServer) syncAndWait(reports ...*v1.Report) *v1.SyncReply {
	s.harness.t.Helper()
	syncSeq := s.sendSync(reports...)
	if r := s.harness.replyTo(syncSeq); r != nil {
		return r.GetSync()
	}
	time.Sleep(600 * time.Millisecond)
	return s.harness.mustReply(syncSeq).GetSync()
}

// startOrders returns the attempts that a sync reply orders to start.
func startOrders(r *v1.SyncReply) (out []*v1.Attempt) {
	for _, o := range r.GetOrders() {
		if o.GetVerb() == v1.Verb_VERB_START {
			out = append(out, o.GetAttempt())
		}
	}
	return out
}

func attemptReport(attempt *v1.Attempt, phase v1.Phase) *v1.Report {
	return &v1.Report{Attempt: attempt, Phase: phase, Started: phase != v1.Phase_PHASE_HELD}
}

func (h *harness) withLedger(fn func(*state.State)) {
	h.t.Helper()
	if err := h.leader.Execute(context.Background(), fn); err != nil {
		h.t.Fatal(err)
	}
}

func expectCode(t *testing.T, want code.Code, got *v1.Status) {
	t.Helper()
	if got.GetCode() != uint32(want) {
		t.Errorf("got code %d (%s), want %d", got.GetCode(), got.GetText(), want)
	}
}

func jobName(n int) string { return fmt.Sprintf("job%d", n) }
