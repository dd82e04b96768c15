package leader_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/fifo"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// standingPlanner is a planner of which a decision does not end while it stands.
type standingPlanner struct {
	plan.Planner
	stands atomic.Bool
	end    chan struct{}
}

func (p *standingPlanner) Decide(now time.Duration, limit int) []plan.Decision {
	if p.stands.Load() {
		<-p.end
	}
	return p.Planner.Decide(now, limit)
}

// watchedReplica is a leader whose group only counts the calls of Abstain.
type watchedReplica struct {
	*leader.Leader
	mu         sync.Mutex
	abstaining []bool
}

func (r *watchedReplica) Abstain(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abstaining = append(r.abstaining, on)
}

func (r *watchedReplica) expectAbstentions(t *testing.T, want ...bool) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(r.abstaining, want) {
		t.Errorf("the group was asked to abstain %v, want %v", r.abstaining, want)
	}
}

// runWatched runs a test with a watched leader of a group of voters, and its planner.
func runWatched(t *testing.T, voters int, test func(h *harness, p *standingPlanner, r *watchedReplica)) {
	p := &standingPlanner{Planner: fifo.New()}
	runWithPlanner(t, logr.Discard(), func() plan.Planner { return p }, func(h *harness) {
		p.end = make(chan struct{})
		members := group.MembershipChanged{Self: "a/1"}
		for _, id := range []string{"a/1", "b/1", "c/1"}[:voters] {
			members.Members = append(members.Members, quorum.Member{ID: id})
		}
		h.group.notifications <- members
		synctest.Wait()
		r := &watchedReplica{Leader: h.leader}
		ctx, cancel := context.WithCancel(context.Background())
		w := &turn.Watch{Meter: &h.leader.Turns, Thread: "none", Replica: r, Now: h.group.now, Log: logr.Discard()}
		watchDone := make(chan struct{})
		go func() { _ = w.Run(ctx); close(watchDone) }()
		test(h, p, r)
		cancel()
		<-watchDone
	})
}

// Guards against a leader whose planner never returns and that keeps the lead: nobody is answered.
// Whatever the former leader sends later, another one has decided anew by then.
func TestLeaderWhosePlannerStandsGivesUpTheLead(t *testing.T) {
	runWatched(t, 3, func(h *harness, p *standingPlanner, r *watchedReplica) {
		server := h.announceServer("b1", 4000)
		syncSeq := server.sendSync()
		h.group.holdCommits()
		submitSeq := h.pushSubmit(batchSpec("held"))
		readSeq := h.pushWait("held")
		p.stands.Store(true)
		h.pushSubmit(batchSpec("later")) // begins the turn that does not end
		h.group.releaseCommits()
		time.Sleep(2500 * time.Millisecond)
		if s := h.leader.Status(); s.Leads || s.Leader != "" || s.Address != "" {
			t.Errorf("after 2.5 s in one turn the status is %+v", s)
		}
		r.expectAbstentions(t, true)
		proposals := h.group.proposalCount()
		p.stands.Store(false)
		close(p.end)
		lateSeq := h.pushSubmit(batchSpec("late"))
		time.Sleep(3 * time.Second)
		for name, seq := range map[string]uint64{"sync": syncSeq, "submit": submitSeq, "wait": readSeq, "late submit": lateSeq} {
			if reply := h.replyTo(seq); reply != nil {
				t.Errorf("after it gave up the lead, the replica answered the %s: %v", name, reply)
			}
		}
		if n := h.group.proposalCount() - proposals; n > 0 {
			t.Errorf("after it gave up the lead, the replica made %d proposals", n)
		}
		r.expectAbstentions(t, true)
		h.group.notifications <- group.Following{Term: 2, Leader: "b/1", LeaderAddress: "b"}
		time.Sleep(200 * time.Millisecond)
		if s := h.leader.Status(); s.Leads || s.Leader != "b/1" || s.Address != "b" {
			t.Errorf("under the next leader, the status is %+v", s)
		}
		r.expectAbstentions(t, true, false)
		h.elect(3)
		h.submitAndReply(batchSpec("again"))
	})
}

// Guards against a leader whose decisions are never committed and that keeps the lead.
func TestLeaderThatCommitsNothingGivesUpTheLead(t *testing.T) {
	runWatched(t, 3, func(h *harness, _ *standingPlanner, r *watchedReplica) {
		h.group.holdCommits()
		submitSeq := h.pushSubmit(batchSpec("held"))
		time.Sleep(3 * time.Second)
		if h.leader.Status().Leads {
			t.Error("after 3 s without a commit, the replica still leads")
		}
		h.group.releaseCommits()
		if reply := h.replyTo(submitSeq); reply != nil {
			t.Errorf("after it gave up the lead, the replica answered: %v", reply)
		}
		r.expectAbstentions(t, true)
	})
}

// Guards against the loss of the only leader that there can be.
func TestOnlyVoterDoesNotGiveUpTheLead(t *testing.T) {
	runWatched(t, 1, func(h *harness, p *standingPlanner, _ *watchedReplica) {
		p.stands.Store(true)
		submitSeq := h.pushSubmit(batchSpec("a"))
		time.Sleep(3 * time.Second)
		if !h.leader.Status().Leads {
			t.Error("the only voter gave up the lead")
		}
		p.stands.Store(false)
		close(p.end)
		h.mustReply(submitSeq)
	})
}

// deposedExtension is an extension that records when it was deposed, among the queued functions.
type deposedExtension struct{ events []string }

func (*deposedExtension) OnElected(uint64, time.Duration) {}
func (e *deposedExtension) OnDeposed()                    { e.events = append(e.events, "deposed") }
func (*deposedExtension) Tick(time.Duration)              {}
func (*deposedExtension) BeforePropose()                  {}

// Guards against starts that leave after a turn that did not end: what other goroutines queued
// meanwhile acts as the leader unless the extension knows that the lead was given up.
func TestExtensionLearnsThatTheLeadWasGivenUp(t *testing.T) {
	runWatched(t, 3, func(h *harness, _ *standingPlanner, _ *watchedReplica) {
		e, end := &deposedExtension{}, make(chan struct{})
		h.withLedger(func(*state.State) { h.leader.Extension = e })
		h.leader.Post(func() { <-end })
		for range 2 {
			h.leader.Post(func() {
				e.events = append(e.events, "queued")
				if h.leader.Leads() {
					t.Error("a queued function acts as the leader")
				}
			})
		}
		time.Sleep(2500 * time.Millisecond)
		close(end)
		synctest.Wait()
		h.group.notifications <- group.Following{Term: 2, Leader: "b/1", LeaderAddress: "b"}
		synctest.Wait()
		h.withLedger(func(*state.State) { h.leader.Extension = nil })
		if want := []string{"deposed", "queued", "queued"}; !slices.Equal(e.events, want) {
			t.Errorf("the order was %v, want %v", e.events, want)
		}
	})
}

// Guards against a new leader whose takeover stands: it would lead in a term in which it has told the
// group to elect another.
func TestLeaderThatStandsInItsTakeoverGivesUpTheLead(t *testing.T) {
	runWatched(t, 3, func(h *harness, p *standingPlanner, r *watchedReplica) {
		end := make(chan struct{})
		h.withLedger(func(*state.State) {
			h.leader.NewPlanner = func() plan.Planner { <-end; return p }
		})
		h.group.notifications <- group.Following{Term: 2}
		h.elect(3)
		time.Sleep(2500 * time.Millisecond)
		r.expectAbstentions(t, true)
		close(end)
		time.Sleep(time.Second)
		if s := h.leader.Status(); s.Leads {
			t.Errorf("after it gave up the lead in its takeover, the status is %+v", s)
		}
		r.expectAbstentions(t, true)
		h.group.notifications <- group.Following{Term: 4, Leader: "b/1"}
		time.Sleep(time.Second)
		r.expectAbstentions(t, true, false)
	})
}

// Guards against a replica that takes a lead back that it gave up: its extension is deposed and would
// decide nothing for the rest of the term.
func TestLeadStaysGivenUpInItsTerm(t *testing.T) {
	runWatched(t, 2, func(h *harness, p *standingPlanner, _ *watchedReplica) {
		p.stands.Store(true)
		h.pushSubmit(batchSpec("a"))
		time.Sleep(2500 * time.Millisecond)
		p.stands.Store(false)
		close(p.end)
		h.group.notifications <- group.MembershipChanged{Self: "a/1", Members: []quorum.Member{{ID: "a/1"}}}
		time.Sleep(time.Second)
		if h.leader.Status().Leads {
			t.Error("the replica leads again in the term in which it gave up the lead")
		}
		h.group.notifications <- group.Following{Term: 1}
		h.elect(2)
		h.submitAndReply(batchSpec("b"))
	})
}

// Guards against a busy leader that is taken for one that commits nothing: it has always something
// else to do and does not take the notifications of commits.
func TestBusyLeaderLearnsOfCommitsInEachTurn(t *testing.T) {
	const functionTime, functionsPerTurn = 5 * time.Millisecond, 65
	runWatched(t, 3, func(h *harness, _ *standingPlanner, r *watchedReplica) {
		var stopped atomic.Bool
		var work func()
		work = func() {
			time.Sleep(functionTime)
			if !stopped.Load() {
				h.leader.Post(work)
			}
		}
		h.leader.Post(work)
		for i := range 20 {
			seq, begun := h.pushSubmit(batchSpec(fmt.Sprint("job", i))), h.group.now()
			for h.replyTo(seq) == nil {
				time.Sleep(functionTime)
			}
			// One turn ends, one decides, and the next one learns of the commit.
			if waited := h.group.now() - begun; waited > 3*functionsPerTurn*functionTime+100*time.Millisecond {
				t.Errorf("the commit of job %d was known after %v", i, waited)
			}
		}
		stopped.Store(true)
		r.expectAbstentions(t)
	})
}
