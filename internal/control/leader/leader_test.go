package leader_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/ledger/state"
	policy "gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
)

func TestARequestIsServedFromEndToEnd(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		syncSeq := s.sendSync()
		if a := h.submitAndReply(batchSpec("plan")); a.GetOutcome() != v1.Outcome_OUTCOME_QUEUED {
			t.Fatalf("accepted as %v", a)
		}
		attempts := startOrders(h.mustReply(syncSeq).GetSync())
		if len(attempts) != 1 {
			t.Fatalf("%d starts ordered", len(attempts))
		}
		waitSeq := h.pushWait("plan")
		endReport := attemptReport(attempts[0], v1.Phase_PHASE_ENDED)
		endReport.Chunks = answer.Split([]byte("forty trucks"))
		r := s.syncAndWait(endReport)
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_FORGET {
			t.Errorf("orders after the end: %v", r.GetOrders())
		}
		want := &v1.WaitReply{Id: "plan", Outcome: v1.Outcome_OUTCOME_DONE, Status: &v1.Status{Text: "0: ok"}, Chunk: answer.Cut([]byte("forty trucks"), 0)}
		if diff := cmp.Diff(want, h.mustReply(waitSeq).GetWait(), protocmp.Transform()); diff != "" {
			t.Error(diff)
		}
	})
}

// A caller is told "accepted" and an order starts a task, then the leader dies
// before the log was on a quorum's disks, and the next leader knows of neither.
// So nothing may leave before its cause is committed.
func TestRepliesAndOrdersWaitForCommit(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.group.holdCommits()
		syncSeq, submitSeq := s.sendSync(), h.pushSubmit(batchSpec("plan"))
		time.Sleep(100 * time.Millisecond)
		if h.replyTo(syncSeq) != nil || h.replyTo(submitSeq) != nil {
			t.Fatal("an effect left before its cause was committed")
		}
		h.group.releaseCommits()
		if h.replyTo(submitSeq) == nil || len(startOrders(h.mustReply(syncSeq).GetSync())) != 1 {
			t.Error("a committed effect was held back")
		}
	})
}

// A deposed leader had decided things that nobody agreed on. It drops its
// working ledger and answers nothing of it; the next one starts from the log.
func TestDeposedLeaderDropsUncommittedState(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.group.holdCommits()
		submitSeq := h.pushSubmit(batchSpec("plan"))
		h.group.notifications <- group.Follow{Term: 2, Leader: "other"}
		synctest.Wait()
		if h.replyTo(submitSeq) != nil {
			t.Error("a deposed leader answered")
		}
		if h.group.reloadCount != 1 {
			t.Error("the working ledger was kept")
		}
	})
}

// A key is withdrawn while this leader is cut off silently: it cannot know. It
// must stop to accept within the stated bound.
func TestLeaderWithoutRecentConfirmationRefuses(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 8000)
		h.group.stopConfirmations()
		time.Sleep(1100 * time.Millisecond)
		r := h.mustReply(h.pushSubmit(batchSpec("plan")))
		expectCode(t, code.NoLeader, r.GetStatus())
	})
}

func TestAWithdrawnKeyIsRefusedAtOnce(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 8000)
		h.applyChange("out", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		r := h.mustReply(h.pushSubmit(batchSpec("plan")))
		expectCode(t, code.BadKey, r.GetStatus())
	})
}

// A caller is refused as not run and gives up; a copy of the request that was
// delayed in a connection arrives when there is room again, and would run.
func TestALateCopyOfARefusedRequestNeverRuns(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 4000)
		for n := range 14 {
			h.submitAndReply(batchSpec(jobName(n)))
		}
		refused := h.submitAndReply(batchSpec("late"))
		expectCode(t, code.QueueFull, refused.GetStatus())
		if refused.GetStatus().GetRetry() == 0 {
			t.Error("no hint when to come back")
		}
		for _, a := range startOrders(s.syncAndWait()) {
			s.syncAndWait(func() *v1.Report { r := attemptReport(a, v1.Phase_PHASE_ENDED); r.Chunks = answer.Split(nil); return r }())
		}
		again := h.submitAndReply(batchSpec("late"))
		expectCode(t, code.QueueFull, again.GetStatus())
		if again.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("outcome %v", again.GetOutcome())
		}
	})
}

// An order is lost with the answer that carried it. The server's next sync does
// not list the attempt, so it is ordered again under the same number; a copy of
// the older request that arrives late is not answered.
func TestALostOrderIsRepeatedUnderTheSameNumber(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		first := startOrders(s.syncAndWait())
		second := startOrders(s.syncAndWait())
		if diff := cmp.Diff(first, second, protocmp.Transform()); diff != "" || len(first) != 1 {
			t.Errorf("repeated order: %s", diff)
		}
		s.syncNumber -= 2
		if n := s.sendSync(); h.replyTo(n) != nil {
			t.Error("a late copy of an abandoned sync was answered")
		}
	})
}

// A server goes silent with a task. Another place may take the task only when
// the lease is over on every clock; before that the server is only marked, and
// a session that was given up is refused when it comes back.
func TestASilentServersTaskMovesOnlyAfterItsLease(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 1000)
		h.submitAndReply(batchSpec("plan"))
		s.syncAndWait()
		silentSince := h.group.now()
		other := h.announceServer("b2", 1000)
		for h.group.now() < silentSince+h.leader.LeaseTerms.Length {
			if got := startOrders(other.syncAndWait()); len(got) > 0 {
				t.Fatalf("started elsewhere after %v", h.group.now()-silentSince)
			}
		}
		var movedAttempts []*v1.Attempt
		for h.group.now() < silentSince+2*h.leader.LeaseTerms.Wait() && movedAttempts == nil {
			movedAttempts = startOrders(other.syncAndWait())
		}
		if len(movedAttempts) != 1 || movedAttempts[0].GetNumber() != 2 {
			t.Fatalf("moved as %v", movedAttempts)
		}
		expectCode(t, code.Stale, s.syncAndWait().GetStatus())
	})
}

// A new leader cannot know which leases its predecessor renewed last. It waits
// a full lease from its own election before it gives any server up.
func TestANewLeaderWaitsOutItsPredecessorsLeases(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 1000)
		h.submitAndReply(batchSpec("plan"))
		s.syncAndWait()
		time.Sleep(5 * time.Second)
		h.group.notifications <- group.Follow{Term: 2}
		h.elect(2)
		electedAt := h.group.now()
		other := h.announceServer("b2", 1000)
		for h.group.now() < electedAt+h.leader.LeaseTerms.Length {
			if got := startOrders(other.syncAndWait()); len(got) > 0 {
				t.Fatalf("started elsewhere %v after the election", h.group.now()-electedAt)
			}
		}
	})
}

// A server dies under a reconciliation that may not be repeated. Its order had
// left, so it may have run: the outcome is unknown, and no second attempt is made.
func TestALostTaskThatMayNotBeRepeatedIsUnknown(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 1000)
		onceSpec := batchSpec("stock")
		onceSpec.Once = true
		h.submitAndReply(onceSpec)
		s.syncAndWait()
		other := h.announceServer("b2", 1000)
		for range 30 {
			if got := startOrders(other.syncAndWait()); len(got) > 0 {
				t.Fatal("started a second time")
			}
		}
		got := h.waitOutcome("stock")
		if got.GetOutcome() != v1.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("outcome %v", got.GetOutcome())
		}
		expectCode(t, code.Lost, got.GetStatus())
	})
}

// An operator drains a server while work waits: it gets none of it.
func TestDrainingServerGetsNoNewTasks(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.applyChange("drain", &v1.ChangeRequest{Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: "b1", Drain: true}}})
		h.submitAndReply(batchSpec("plan"))
		if got := startOrders(s.syncAndWait()); len(got) > 0 {
			t.Error("new work for a draining server")
		}
		// It restarts meanwhile, and is still to be left alone.
		if got := startOrders(h.announceServer("b1", 8000).syncAndWait()); len(got) > 0 {
			t.Error("the drain was forgotten by a restart")
		}
	})
}

// A zone is drained while work waits: no server there gets any, not even one that
// comes later, and all do once the zone is taken back.
func TestDrainedZoneGetsNoNewTasks(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		mark := func(id, zone string, drain bool) *v1.ChangeReply {
			return h.applyChange(id, &v1.ChangeRequest{Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: zone, Drain: drain}}})
		}
		unknown := &v1.ChangeRequest{Id: "unknown", Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: "nowhere", Drain: true}}}
		r := h.mustReply(h.push(&inner.Item{Credential: h.credential("op"), Ask: &inner.Item_Change{Change: unknown}}))
		expectCode(t, code.Unknown, r.GetStatus())
		mark("drain", zoneName, true)
		h.submitAndReply(batchSpec("plan"))
		if got := startOrders(s.syncAndWait()); len(got) > 0 {
			t.Error("new work for a drained zone")
		}
		if got := startOrders(h.announceServer("b2", 8000).syncAndWait()); len(got) > 0 {
			t.Error("new work for a server that came to a drained zone")
		}
		mark("undrain", zoneName, false)
		if got := startOrders(s.syncAndWait()); len(got) != 1 {
			t.Errorf("taken back: %v", got)
		}
	})
}

// A whole gang is ordered, then one of its servers dies: the rest is stopped,
// and the gang starts again as a whole or not at all.
func TestGangThatLosesATaskRestartsAsAWhole(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		a, b := h.announceServer("b1", 1000), h.announceServer("b2", 2000)
		gang := batchSpec("sweep")
		gang.Kind, gang.Count = v1.Kind_KIND_GANG, 3
		h.submitAndReply(gang)
		attemptsOnB := startOrders(b.syncAndWait())
		if len(startOrders(a.syncAndWait())) != 1 || len(attemptsOnB) != 2 {
			t.Fatal("the gang did not start whole")
		}
		phase := v1.Phase_PHASE_RUNNING
		for range 40 {
			var reports []*v1.Report
			for _, attempt := range attemptsOnB {
				reports = append(reports, attemptReport(attempt, phase))
			}
			for _, o := range b.syncAndWait(reports...).GetOrders() {
				switch o.GetVerb() {
				case v1.Verb_VERB_CHECKPOINT:
					phase = v1.Phase_PHASE_SAVED
				case v1.Verb_VERB_FORGET:
					attemptsOnB = nil
				case v1.Verb_VERB_START:
					t.Fatal("a part of the gang started alone")
				}
			}
		}
		h.announceServer("b3", 1000)
		got := startOrders(b.syncAndWait())
		if len(got) != 2 || got[0].GetNumber() != 2 {
			t.Errorf("second start: %v", got)
		}
	})
}

// Two operators start from the same revision, and one of them sends its change
// again because the answer was lost. One wins, the other is told the current
// revision, and the resend changes nothing.
func TestConcurrentAndResentChanges(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		edit := func(weight uint32) *v1.ChangeRequest {
			return &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 1, Edits: []*v1.Edit{
				{Row: &v1.Row{Team: "rail", Weight: weight}, Cells: []string{"weight"}},
			}}}}
		}
		first := h.applyChange("x", edit(7))
		second := h.applyChange("y", edit(9))
		expectCode(t, code.OK, first.GetStatus())
		expectCode(t, code.Conflict, second.GetStatus())
		if second.GetRevision() != 2 {
			t.Errorf("told revision %d", second.GetRevision())
		}
		h.group.notifications <- group.Follow{Term: 2}
		h.elect(2)
		if diff := cmp.Diff(first, h.applyChange("x", edit(7)), protocmp.Transform()); diff != "" {
			t.Errorf("a resend after a failover is answered otherwise: %s", diff)
		}
		h.withLedger(func(st *state.State) {
			row, _ := st.Table().Row("rail")
			if row.Weight != 7 || st.Table().Revision() != 2 {
				t.Errorf("weight %d at revision %d", row.Weight, st.Table().Revision())
			}
		})
	})
}

// A caller's poll ends on time with how the job stands, and a later one gets the outcome.
func TestALongPollIsBounded(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		if got := h.waitOutcome("plan"); got.GetOutcome() != v1.Outcome_OUTCOME_RUNNING {
			t.Errorf("outcome %v", got.GetOutcome())
		}
		r := h.mustReply(h.push(&inner.Item{Credential: h.credential("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: "none"}}}))
		expectCode(t, code.Unknown, r.GetStatus())
	})
}

// A task is preempted in the same turn in which it was placed, so its server
// never heard of it. An order to save it would never be answered, and the task
// would hold its place for ever: it is stopped, and told apart from one that ran.
func TestTaskHaltedBeforeItsStartOrderIsSentIsStopped(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		h.withLedger(func(st *state.State) {
			st.Apply(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: 1, Indexes: []uint32{0}, Checkpoint: true}}})
		})
		r := s.syncAndWait()
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_STOP {
			t.Errorf("orders %v", r.GetOrders())
		}
	})
}

// A server is drained while the order for a task, lost with its answer, is due
// to be given again. To the server that would be new work after the mark: the
// task is taken back, also one that may not be repeated, and runs elsewhere.
func TestADrainingServerIsNotGivenALostOrderAgain(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		onceSpec := batchSpec("stock")
		onceSpec.Once = true
		h.submitAndReply(onceSpec)
		lostStarts := startOrders(s.syncAndWait())
		h.applyChange("drain", &v1.ChangeRequest{Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: "b1", Drain: true}}})
		r := s.syncAndWait()
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_STOP {
			t.Fatalf("orders %v", r.GetOrders())
		}
		other := h.announceServer("b2", 8000)
		s.syncAndWait(&v1.Report{Attempt: lostStarts[0], Phase: v1.Phase_PHASE_STOPPED})
		if got := startOrders(other.syncAndWait()); len(got) != 1 || got[0].GetNumber() != 2 {
			t.Errorf("elsewhere: %v", got)
		}
	})
}

// A caller waits on a long poll when its key is withdrawn, and the job ends a
// moment later: the answer is not for that key any more.
func TestParkedWaitIsNotAnsweredAfterKeyWithdrawal(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		waitSeq := h.pushWait("plan")
		h.applyChange("out", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		time.Sleep(1100 * time.Millisecond)
		expectCode(t, code.BadKey, h.mustReply(waitSeq).GetStatus())
	})
}

// The planner's picture of a server is out of date, so the ledger refuses its
// placement. The planner must take it back: a task that it counts as running
// for ever never gets a place, and its caller no answer.
func TestRefusedPlacementIsRetried(t *testing.T) {
	planner := func() plan.Planner { return policy.New(policy.Config{}) }
	runWithPlanner(t, logr.Discard(), planner, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.withLedger(func(st *state.State) {
			watch := st.Watch
			st.Watch = nil // what follows is hidden from the planner
			st.Apply(&record.Command{What: &record.Command_Mark{Mark: &record.Mark{Server: "b1", Incarnation: 1, State: uint32(backend.Suspect)}}})
			st.Watch = watch
		})
		h.submitAndReply(batchSpec("plan"))
		if got := startOrders(s.syncAndWait()); len(got) != 1 {
			time.Sleep(time.Second)
			if got = startOrders(s.syncAndWait()); len(got) != 1 {
				t.Errorf("starts once the server is ready: %v", got)
			}
		}
	})
}

// A quote cannot be placed in time, because no server is there at all. Its buyer
// does not wait for ever: the job ends as not run soon after its deadline, and the
// parked wait is answered.
func TestAJobPastItsDeadlineIsRefused(t *testing.T) {
	planner := func() plan.Planner { return policy.New(policy.Config{}) }
	runWithPlanner(t, logr.Discard(), planner, func(h *harness) {
		quote := batchSpec("quote")
		quote.Kind, quote.Deadline = v1.Kind_KIND_URGENT, 2000
		h.submitAndReply(quote)
		time.Sleep(1900 * time.Millisecond)
		waitSeq := h.pushWait("quote")
		time.Sleep(300 * time.Millisecond)
		got := h.mustReply(waitSeq).GetWait()
		if got.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("outcome %v", got.GetOutcome())
		}
		expectCode(t, code.DeadlinePassed, got.GetStatus())
	})
}

// Many decisions follow each other closely. Each as a proposal of its own would
// cost a message to every replica; together they cost a few, and the first of
// them does not wait.
func TestProposalsAreBatched(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		if err := h.leader.Execute(context.Background(), func(*state.State) { h.leader.ProposalInterval = 10 * time.Millisecond }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		before := h.group.proposalCount()
		for i := range 20 {
			id := strconv.Itoa(i)
			grant := &v1.KeyGrant{Id: "key-" + id, Team: "rail", Digest: digest()}
			change := &v1.ChangeRequest{Id: "change-" + id, Change: &v1.ChangeRequest_Grant{Grant: grant}}
			h.push(&inner.Item{Credential: h.credential("op"), Ask: &inner.Item_Change{Change: change}})
			if i == 0 {
				synctest.Wait()
				if h.group.proposalCount() == before {
					t.Error("the first of them waits")
				}
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		if n := h.group.proposalCount() - before; n > 5 {
			t.Errorf("20 changes took %d proposals", n)
		}
	})
}
