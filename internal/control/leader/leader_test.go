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
			t.Fatalf("a submitted job has outcome %v, want queued", a.GetOutcome())
		}
		attempts := startOrders(h.mustReply(syncSeq).GetSync())
		if len(attempts) != 1 {
			t.Fatalf("got %d start orders, want 1", len(attempts))
		}
		waitSeq := h.pushWait("plan")
		endReport := attemptReport(attempts[0], v1.Phase_PHASE_ENDED)
		endReport.Chunks = answer.Split([]byte("forty trucks"))
		r := s.syncAndWait(endReport)
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_FORGET {
			t.Errorf("orders after the attempt ended: %v", r.GetOrders())
		}
		want := &v1.WaitReply{Id: "plan", Outcome: v1.Outcome_OUTCOME_DONE, Status: &v1.Status{Text: "0: ok"}, Chunk: answer.ChunkAt([]byte("forty trucks"), 0)}
		if diff := cmp.Diff(want, h.mustReply(waitSeq).GetWait(), protocmp.Transform()); diff != "" {
			t.Errorf("reply to the wait: %s", diff)
		}
	})
}

// Guards against replies and orders that are sent before their command is
// committed. If the leader then fails, the next leader does not know the accepted
// job or the started task.
func TestRepliesAndOrdersWaitForCommit(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.group.holdCommits()
		syncSeq, submitSeq := s.sendSync(), h.pushSubmit(batchSpec("plan"))
		time.Sleep(100 * time.Millisecond)
		if h.replyTo(syncSeq) != nil || h.replyTo(submitSeq) != nil {
			t.Fatal("a reply or order was sent before its command was committed")
		}
		h.group.releaseCommits()
		if h.replyTo(submitSeq) == nil || len(startOrders(h.mustReply(syncSeq).GetSync())) != 1 {
			t.Error("a reply or order was held back after its command was committed")
		}
	})
}

// Guards against a deposed leader that acts on uncommitted commands. It must
// discard its working ledger and send no replies based on it; the next leader
// starts from the log.
func TestDeposedLeaderDropsUncommittedState(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.group.holdCommits()
		submitSeq := h.pushSubmit(batchSpec("plan"))
		h.group.notifications <- group.Following{Term: 2, Leader: "other"}
		synctest.Wait()
		if h.replyTo(submitSeq) != nil {
			t.Error("a deposed leader sent a reply")
		}
		if h.group.reloadCount != 1 {
			t.Error("the working ledger was not reloaded from the log")
		}
	})
}

// Guards against a partitioned leader that still accepts a key withdrawn elsewhere.
// It must refuse requests once its last confirmation is older than
// MaxConfirmationAge.
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
		expectCode(t, code.InvalidKey, r.GetStatus())
	})
}

// Guards against running a job that its caller was told was not run. A delayed copy
// of the refused request arrives when the queue has room again.
func TestALateCopyOfARefusedRequestNeverRuns(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 4000)
		for n := range 14 {
			h.submitAndReply(batchSpec(jobName(n)))
		}
		refused := h.submitAndReply(batchSpec("late"))
		expectCode(t, code.QueueFull, refused.GetStatus())
		if refused.GetStatus().GetRetry() == 0 {
			t.Error("the refusal has no retry delay")
		}
		for _, a := range startOrders(s.syncAndWait()) {
			s.syncAndWait(func() *v1.Report { r := attemptReport(a, v1.Phase_PHASE_ENDED); r.Chunks = answer.Split(nil); return r }())
		}
		again := h.submitAndReply(batchSpec("late"))
		expectCode(t, code.QueueFull, again.GetStatus())
		if again.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("a copy of the refused request has outcome %v", again.GetOutcome())
		}
	})
}

// A start order is lost with the sync reply that carried it. The server's next sync
// does not list the attempt, so the order must be repeated with the same attempt
// number. A delayed copy of the older sync must not be answered.
func TestALostOrderIsRepeatedUnderTheSameNumber(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		first := startOrders(s.syncAndWait())
		second := startOrders(s.syncAndWait())
		if diff := cmp.Diff(first, second, protocmp.Transform()); diff != "" || len(first) != 1 {
			t.Errorf("the repeated start order differs: %s", diff)
		}
		s.syncNumber -= 2
		if syncSeq := s.sendSync(); h.replyTo(syncSeq) != nil {
			t.Error("a delayed copy of an older sync was answered")
		}
	})
}

// Guards against a task that runs on two servers. The task of a silent server may
// start elsewhere only when the lease has expired on every clock. Before that the
// server is only marked as suspect. Afterwards its old session is refused.
func TestASilentServersTaskMovesOnlyAfterItsLease(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 1000)
		h.submitAndReply(batchSpec("plan"))
		s.syncAndWait()
		silentSince := h.group.now()
		otherServer := h.announceServer("b2", 1000)
		for h.group.now() < silentSince+h.leader.LeaseTerms.Length {
			if got := startOrders(otherServer.syncAndWait()); len(got) > 0 {
				t.Fatalf("the task was started elsewhere after %v", h.group.now()-silentSince)
			}
		}
		var movedAttempts []*v1.Attempt
		for h.group.now() < silentSince+2*h.leader.LeaseTerms.ExpiryWait() && movedAttempts == nil {
			movedAttempts = startOrders(otherServer.syncAndWait())
		}
		if len(movedAttempts) != 1 || movedAttempts[0].GetNumber() != 2 {
			t.Fatalf("attempts started elsewhere: %v, want one with number 2", movedAttempts)
		}
		expectCode(t, code.SessionReplaced, s.syncAndWait().GetStatus())
	})
}

// Guards against a task that runs on two servers after a failover. A new leader
// does not know which leases its predecessor renewed last, so it must wait a full
// lease after its election before it gives up any server.
func TestANewLeaderWaitsOutItsPredecessorsLeases(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 1000)
		h.submitAndReply(batchSpec("plan"))
		s.syncAndWait()
		time.Sleep(5 * time.Second)
		h.group.notifications <- group.Following{Term: 2}
		h.elect(2)
		electedAt := h.group.now()
		otherServer := h.announceServer("b2", 1000)
		for h.group.now() < electedAt+h.leader.LeaseTerms.Length {
			if got := startOrders(otherServer.syncAndWait()); len(got) > 0 {
				t.Fatalf("the task was started elsewhere %v after the election", h.group.now()-electedAt)
			}
		}
	})
}

// Guards against a second run of a task that must run at most once. Its server is
// lost after the start order was sent, so the task may have run. The outcome must
// be unknown, without a second attempt.
func TestALostTaskThatMayNotBeRepeatedIsUnknown(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 1000)
		onceSpec := batchSpec("stock")
		onceSpec.Once = true
		h.submitAndReply(onceSpec)
		s.syncAndWait()
		otherServer := h.announceServer("b2", 1000)
		for range 30 {
			if got := startOrders(otherServer.syncAndWait()); len(got) > 0 {
				t.Fatal("the task was started a second time")
			}
		}
		got := h.waitOutcome("stock")
		if got.GetOutcome() != v1.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("the lost task has outcome %v, want unknown", got.GetOutcome())
		}
		expectCode(t, code.ServerLost, got.GetStatus())
	})
}

// An operator drains a server while jobs wait. The server must get none of them,
// even after it restarts.
func TestDrainingServerGetsNoNewTasks(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.applyChange("drain", &v1.ChangeRequest{Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: "b1", Drain: true}}})
		h.submitAndReply(batchSpec("plan"))
		if got := startOrders(s.syncAndWait()); len(got) > 0 {
			t.Error("a draining server got a new task")
		}
		// The server restarts. It must still get no new tasks.
		if got := startOrders(h.announceServer("b1", 8000).syncAndWait()); len(got) > 0 {
			t.Error("a draining server got a new task after its restart")
		}
	})
}

// An operator drains a zone while jobs wait. No server of the zone may get any of
// them, not even a server that joins later, until the drain is undone.
func TestDrainedZoneGetsNoNewTasks(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		setDrain := func(id, zone string, drain bool) *v1.ChangeReply {
			return h.applyChange(id, &v1.ChangeRequest{Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: zone, Drain: drain}}})
		}
		unknown := &v1.ChangeRequest{Id: "unknown", Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: "nowhere", Drain: true}}}
		r := h.mustReply(h.push(&inner.Item{Credential: h.credential("op"), Ask: &inner.Item_Change{Change: unknown}}))
		expectCode(t, code.NotFound, r.GetStatus())
		setDrain("drain", zoneName, true)
		h.submitAndReply(batchSpec("plan"))
		if got := startOrders(s.syncAndWait()); len(got) > 0 {
			t.Error("a server of a drained zone got a new task")
		}
		if got := startOrders(h.announceServer("b2", 8000).syncAndWait()); len(got) > 0 {
			t.Error("a server that joined a drained zone got a new task")
		}
		setDrain("undrain", zoneName, false)
		if got := startOrders(s.syncAndWait()); len(got) != 1 {
			t.Errorf("start orders after the drain was undone: %v, want 1", got)
		}
	})
}

// Guards against a gang that continues with some of its tasks. When a server of the
// gang is lost, the remaining tasks must be stopped, and the gang may only start
// again as a whole.
func TestGangThatLosesATaskRestartsAsAWhole(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		firstServer, secondServer := h.announceServer("b1", 1000), h.announceServer("b2", 2000)
		gang := batchSpec("sweep")
		gang.Kind, gang.Count = v1.Kind_KIND_GANG, 3
		h.submitAndReply(gang)
		secondAttempts := startOrders(secondServer.syncAndWait())
		if len(startOrders(firstServer.syncAndWait())) != 1 || len(secondAttempts) != 2 {
			t.Fatal("not all tasks of the gang were started")
		}
		phase := v1.Phase_PHASE_RUNNING
		for range 40 {
			var reports []*v1.Report
			for _, attempt := range secondAttempts {
				reports = append(reports, attemptReport(attempt, phase))
			}
			for _, o := range secondServer.syncAndWait(reports...).GetOrders() {
				switch o.GetVerb() {
				case v1.Verb_VERB_CHECKPOINT:
					phase = v1.Phase_PHASE_SAVED
				case v1.Verb_VERB_FORGET:
					secondAttempts = nil
				case v1.Verb_VERB_START:
					t.Fatal("some tasks of the gang were started without the others")
				}
			}
		}
		h.announceServer("b3", 1000)
		got := startOrders(secondServer.syncAndWait())
		if len(got) != 2 || got[0].GetNumber() != 2 {
			t.Errorf("start orders of the second attempt: %v", got)
		}
	})
}

// Two operators change the same revision of the table, and one of them resends its
// change because the reply was lost. One change must succeed, the other must be
// refused with the current revision, and the resend must have no effect.
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
		expectCode(t, code.RevisionConflict, second.GetStatus())
		if second.GetRevision() != 2 {
			t.Errorf("the conflict names revision %d, want 2", second.GetRevision())
		}
		h.group.notifications <- group.Following{Term: 2}
		h.elect(2)
		if diff := cmp.Diff(first, h.applyChange("x", edit(7)), protocmp.Transform()); diff != "" {
			t.Errorf("a resent change got another reply after a failover: %s", diff)
		}
		h.withLedger(func(st *state.State) {
			row, _ := st.Table().Row("rail")
			if row.Weight != 7 || st.Table().Revision() != 2 {
				t.Errorf("got weight %d at revision %d, want 7 at 2", row.Weight, st.Table().Revision())
			}
		})
	})
}

// A caller's long poll must end in time with the job's current state.
func TestALongPollIsBounded(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		if got := h.waitOutcome("plan"); got.GetOutcome() != v1.Outcome_OUTCOME_RUNNING {
			t.Errorf("the poll returned outcome %v, want running", got.GetOutcome())
		}
		r := h.mustReply(h.push(&inner.Item{Credential: h.credential("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: "none"}}}))
		expectCode(t, code.NotFound, r.GetStatus())
	})
}

// Guards against a task that keeps its placement for ever. The task is preempted in
// the turn in which it was placed, so its server does not know it and would never
// answer a checkpoint order. It must be sent a stop order instead.
func TestTaskHaltedBeforeItsStartOrderIsSentIsStopped(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		h.withLedger(func(st *state.State) {
			st.Apply(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: 1, Indexes: []uint32{0}, Checkpoint: true}}})
		})
		r := s.syncAndWait()
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_STOP {
			t.Errorf("orders %v, want one stop order", r.GetOrders())
		}
	})
}

// Guards against new work for a draining server. A start order is lost with its
// sync reply, and the server is drained before the order is repeated. The task must
// be recalled, even if it may run only once, and must start on another server.
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
			t.Fatalf("orders %v, want one stop order", r.GetOrders())
		}
		otherServer := h.announceServer("b2", 8000)
		s.syncAndWait(&v1.Report{Attempt: lostStarts[0], Phase: v1.Phase_PHASE_STOPPED})
		if got := startOrders(otherServer.syncAndWait()); len(got) != 1 || got[0].GetNumber() != 2 {
			t.Errorf("start orders of the other server: %v, want one with number 2", got)
		}
	})
}

// Guards against an answer to a withdrawn key. The key is withdrawn while a Wait is
// parked; when the Wait is answered, it must be refused.
func TestParkedWaitIsNotAnsweredAfterKeyWithdrawal(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 8000)
		h.submitAndReply(batchSpec("plan"))
		waitSeq := h.pushWait("plan")
		h.applyChange("out", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		time.Sleep(1100 * time.Millisecond)
		expectCode(t, code.InvalidKey, h.mustReply(waitSeq).GetStatus())
	})
}

// Guards against a task that is never placed. The planner's view of a server is
// outdated, so the ledger refuses the placement. If the planner still counted the
// task as running, it would never place the task again.
func TestRefusedPlacementIsRetried(t *testing.T) {
	planner := func() plan.Planner { return policy.New(policy.Config{}) }
	runWithPlanner(t, logr.Discard(), planner, func(h *harness) {
		s := h.announceServer("b1", 8000)
		h.withLedger(func(st *state.State) {
			watch := st.Observer
			st.Observer = nil // hides the next command from the planner
			st.Apply(&record.Command{What: &record.Command_Mark{Mark: &record.Mark{Server: "b1", Incarnation: 1, State: uint32(backend.Suspect)}}})
			st.Observer = watch
		})
		h.submitAndReply(batchSpec("plan"))
		if got := startOrders(s.syncAndWait()); len(got) != 1 {
			time.Sleep(time.Second)
			if got = startOrders(s.syncAndWait()); len(got) != 1 {
				t.Errorf("start orders once the server is ready: %v, want 1", got)
			}
		}
	})
}

// Guards against a caller that waits for ever. There is no server for an urgent
// job, so the job must end as not run soon after its deadline, and the parked Wait
// must be answered.
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
			t.Errorf("the job has outcome %v, want not run", got.GetOutcome())
		}
		expectCode(t, code.DeadlinePassed, got.GetStatus())
	})
}

// Guards against one proposal per change under load, since each proposal costs a
// message to every replica. Changes in quick succession must share a few proposals,
// and the first change must be proposed at once.
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
					t.Error("the first change was not proposed at once")
				}
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		if n := h.group.proposalCount() - before; n > 5 {
			t.Errorf("20 changes took %d proposals, want at most 5", n)
		}
	})
}
