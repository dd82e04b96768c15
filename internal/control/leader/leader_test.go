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
	run(t, func(c *cell) {
		s := c.announce("b1", 8000)
		n := s.send()
		if a := c.accepted(spec("plan")); a.GetOutcome() != v1.Outcome_OUTCOME_QUEUED {
			t.Fatalf("accepted as %v", a)
		}
		got := starts(c.must(n).GetSync())
		if len(got) != 1 {
			t.Fatalf("%d starts ordered", len(got))
		}
		w := c.wait("plan")
		ended := report(got[0], v1.Phase_PHASE_ENDED)
		ended.Chunks = answer.Split([]byte("forty trucks"))
		r := s.sync(ended)
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_FORGET {
			t.Errorf("orders after the end: %v", r.GetOrders())
		}
		want := &v1.WaitReply{Id: "plan", Outcome: v1.Outcome_OUTCOME_DONE, Status: &v1.Status{Text: "0: ok"}, Chunk: answer.Cut([]byte("forty trucks"), 0)}
		if diff := cmp.Diff(want, c.must(w).GetWait(), protocmp.Transform()); diff != "" {
			t.Error(diff)
		}
	})
}

// A caller is told "accepted" and an order starts a task, then the leader dies
// before the log was on a quorum's disks, and the next leader knows of neither.
// So nothing may leave before its cause is committed.
func TestNothingLeavesBeforeItIsCommitted(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 8000)
		c.g.hold()
		n, m := s.send(), c.submit(spec("plan"))
		time.Sleep(100 * time.Millisecond)
		if c.reply(n) != nil || c.reply(m) != nil {
			t.Fatal("an effect left before its cause was committed")
		}
		c.g.letGo()
		if c.reply(m) == nil || len(starts(c.must(n).GetSync())) != 1 {
			t.Error("a committed effect was held back")
		}
	})
}

// A deposed leader had decided things that nobody agreed on. It drops its
// working ledger and answers nothing of it; the next one starts from the log.
func TestADeposedLeaderDropsWhatWasNotCommitted(t *testing.T) {
	run(t, func(c *cell) {
		c.g.hold()
		m := c.submit(spec("plan"))
		c.g.notes <- group.Following{Term: 2, Leader: "other"}
		synctest.Wait()
		if c.reply(m) != nil {
			t.Error("a deposed leader answered")
		}
		if c.g.reloads != 1 {
			t.Error("the working ledger was kept")
		}
	})
}

// A key is withdrawn while this leader is cut off silently: it cannot know. It
// must stop to accept within the stated bound.
func TestALeaderWithoutProofRefuses(t *testing.T) {
	run(t, func(c *cell) {
		c.announce("b1", 8000)
		c.g.cutOff()
		time.Sleep(1100 * time.Millisecond)
		r := c.must(c.submit(spec("plan")))
		wantCode(t, code.NoLeader, r.GetStatus())
	})
}

func TestAWithdrawnKeyIsRefusedAtOnce(t *testing.T) {
	run(t, func(c *cell) {
		c.announce("b1", 8000)
		c.change("out", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		r := c.must(c.submit(spec("plan")))
		wantCode(t, code.InvalidKey, r.GetStatus())
	})
}

// A caller is refused as not run and gives up; a copy of the request that was
// delayed in a connection arrives when there is room again, and would run.
func TestALateCopyOfARefusedRequestNeverRuns(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 4000)
		for n := range 14 {
			c.accepted(spec(name(n)))
		}
		refused := c.accepted(spec("late"))
		wantCode(t, code.QueueFull, refused.GetStatus())
		if refused.GetStatus().GetRetry() == 0 {
			t.Error("no hint when to come back")
		}
		for _, a := range starts(s.sync()) {
			s.sync(func() *v1.Report { r := report(a, v1.Phase_PHASE_ENDED); r.Chunks = answer.Split(nil); return r }())
		}
		again := c.accepted(spec("late"))
		wantCode(t, code.QueueFull, again.GetStatus())
		if again.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("outcome %v", again.GetOutcome())
		}
	})
}

// An order is lost with the answer that carried it. The server's next sync does
// not list the attempt, so it is ordered again under the same number; a copy of
// the older request that arrives late is not answered.
func TestALostOrderIsRepeatedUnderTheSameNumber(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 8000)
		c.accepted(spec("plan"))
		first := starts(s.sync())
		second := starts(s.sync())
		if diff := cmp.Diff(first, second, protocmp.Transform()); diff != "" || len(first) != 1 {
			t.Errorf("repeated order: %s", diff)
		}
		s.number -= 2
		if n := s.send(); c.reply(n) != nil {
			t.Error("a late copy of an abandoned sync was answered")
		}
	})
}

// A server goes silent with a task. Another place may take the task only when
// the lease is over on every clock; before that the server is only marked, and
// a session that was given up is refused when it comes back.
func TestASilentServersTaskMovesOnlyAfterItsLease(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 1000)
		c.accepted(spec("plan"))
		s.sync()
		at := c.g.now()
		other := c.announce("b2", 1000)
		for c.g.now() < at+c.l.LeaseTerms.Length {
			if got := starts(other.sync()); len(got) > 0 {
				t.Fatalf("started elsewhere after %v", c.g.now()-at)
			}
		}
		var moved []*v1.Attempt
		for c.g.now() < at+2*c.l.LeaseTerms.Wait() && moved == nil {
			moved = starts(other.sync())
		}
		if len(moved) != 1 || moved[0].GetNumber() != 2 {
			t.Fatalf("moved as %v", moved)
		}
		wantCode(t, code.SessionReplaced, s.sync().GetStatus())
	})
}

// A new leader cannot know which leases its predecessor renewed last. It waits
// a full lease from its own election before it gives any server up.
func TestANewLeaderWaitsOutItsPredecessorsLeases(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 1000)
		c.accepted(spec("plan"))
		s.sync()
		time.Sleep(5 * time.Second)
		c.g.notes <- group.Following{Term: 2}
		c.elect(2)
		at := c.g.now()
		other := c.announce("b2", 1000)
		for c.g.now() < at+c.l.LeaseTerms.Length {
			if got := starts(other.sync()); len(got) > 0 {
				t.Fatalf("started elsewhere %v after the election", c.g.now()-at)
			}
		}
	})
}

// A server dies under a reconciliation that may not be repeated. Its order had
// left, so it may have run: the outcome is unknown, and no second attempt is made.
func TestALostTaskThatMayNotBeRepeatedIsUnknown(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 1000)
		once := spec("stock")
		once.Once = true
		c.accepted(once)
		s.sync()
		other := c.announce("b2", 1000)
		for range 30 {
			if got := starts(other.sync()); len(got) > 0 {
				t.Fatal("started a second time")
			}
		}
		got := c.outcome("stock")
		if got.GetOutcome() != v1.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("outcome %v", got.GetOutcome())
		}
		wantCode(t, code.ServerLost, got.GetStatus())
	})
}

// An operator drains a server while work waits: it gets none of it.
func TestADrainingServerGetsNothingNew(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 8000)
		c.change("drain", &v1.ChangeRequest{Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: "b1", Drain: true}}})
		c.accepted(spec("plan"))
		if got := starts(s.sync()); len(got) > 0 {
			t.Error("new work for a draining server")
		}
		// It restarts meanwhile, and is still to be left alone.
		if got := starts(c.announce("b1", 8000).sync()); len(got) > 0 {
			t.Error("the drain was forgotten by a restart")
		}
	})
}

// A zone is drained while work waits: no server there gets any, not even one that
// comes later, and all do once the zone is taken back.
func TestADrainedZoneGetsNothingNew(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 8000)
		mark := func(id, zone string, drain bool) *v1.ChangeReply {
			return c.change(id, &v1.ChangeRequest{Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: zone, Drain: drain}}})
		}
		unknown := &v1.ChangeRequest{Id: "unknown", Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: "nowhere", Drain: true}}}
		r := c.must(c.push(&inner.Item{Credential: c.cred("op"), Ask: &inner.Item_Change{Change: unknown}}))
		wantCode(t, code.NotFound, r.GetStatus())
		mark("drain", zoneName, true)
		c.accepted(spec("plan"))
		if got := starts(s.sync()); len(got) > 0 {
			t.Error("new work for a drained zone")
		}
		if got := starts(c.announce("b2", 8000).sync()); len(got) > 0 {
			t.Error("new work for a server that came to a drained zone")
		}
		mark("undrain", zoneName, false)
		if got := starts(s.sync()); len(got) != 1 {
			t.Errorf("taken back: %v", got)
		}
	})
}

// A whole gang is ordered, then one of its servers dies: the rest is stopped,
// and the gang starts again as a whole or not at all.
func TestAGangThatLosesATaskStartsAgainWhole(t *testing.T) {
	run(t, func(c *cell) {
		a, b := c.announce("b1", 1000), c.announce("b2", 2000)
		g := spec("sweep")
		g.Kind, g.Count = v1.Kind_KIND_GANG, 3
		c.accepted(g)
		onB := starts(b.sync())
		if len(starts(a.sync())) != 1 || len(onB) != 2 {
			t.Fatal("the gang did not start whole")
		}
		phase := v1.Phase_PHASE_RUNNING
		for range 40 {
			var rs []*v1.Report
			for _, at := range onB {
				rs = append(rs, report(at, phase))
			}
			for _, o := range b.sync(rs...).GetOrders() {
				switch o.GetVerb() {
				case v1.Verb_VERB_CHECKPOINT:
					phase = v1.Phase_PHASE_SAVED
				case v1.Verb_VERB_FORGET:
					onB = nil
				case v1.Verb_VERB_START:
					t.Fatal("a part of the gang started alone")
				}
			}
		}
		c.announce("b3", 1000)
		got := starts(b.sync())
		if len(got) != 2 || got[0].GetNumber() != 2 {
			t.Errorf("second start: %v", got)
		}
	})
}

// Two operators start from the same revision, and one of them sends its change
// again because the answer was lost. One wins, the other is told the current
// revision, and the resend changes nothing.
func TestRacingAndResentChanges(t *testing.T) {
	run(t, func(c *cell) {
		edit := func(weight uint32) *v1.ChangeRequest {
			return &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 1, Edits: []*v1.Edit{
				{Row: &v1.Row{Team: "rail", Weight: weight}, Cells: []string{"weight"}},
			}}}}
		}
		first := c.change("x", edit(7))
		second := c.change("y", edit(9))
		wantCode(t, code.OK, first.GetStatus())
		wantCode(t, code.RevisionConflict, second.GetStatus())
		if second.GetRevision() != 2 {
			t.Errorf("told revision %d", second.GetRevision())
		}
		c.g.notes <- group.Following{Term: 2}
		c.elect(2)
		if diff := cmp.Diff(first, c.change("x", edit(7)), protocmp.Transform()); diff != "" {
			t.Errorf("a resend after a failover is answered otherwise: %s", diff)
		}
		c.ledger(func(st *state.State) {
			row, _ := st.Table().Row("rail")
			if row.Weight != 7 || st.Table().Revision() != 2 {
				t.Errorf("weight %d at revision %d", row.Weight, st.Table().Revision())
			}
		})
	})
}

// A caller's poll ends on time with how the job stands, and a later one gets the outcome.
func TestALongPollIsBounded(t *testing.T) {
	run(t, func(c *cell) {
		c.announce("b1", 8000)
		c.accepted(spec("plan"))
		if got := c.outcome("plan"); got.GetOutcome() != v1.Outcome_OUTCOME_RUNNING {
			t.Errorf("outcome %v", got.GetOutcome())
		}
		r := c.must(c.push(&inner.Item{Credential: c.cred("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: "none"}}}))
		wantCode(t, code.NotFound, r.GetStatus())
	})
}

// A task is preempted in the same turn in which it was placed, so its server
// never heard of it. An order to save it would never be answered, and the task
// would hold its place for ever: it is stopped, and told apart from one that ran.
func TestATaskHaltedBeforeItsOrderLeftIsStopped(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 8000)
		c.accepted(spec("plan"))
		c.ledger(func(st *state.State) {
			st.Apply(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: 1, Indexes: []uint32{0}, Checkpoint: true}}})
		})
		r := s.sync()
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_STOP {
			t.Errorf("orders %v", r.GetOrders())
		}
	})
}

// A server is drained while the order for a task, lost with its answer, is due
// to be given again. To the server that would be new work after the mark: the
// task is taken back, also one that may not be repeated, and runs elsewhere.
func TestADrainingServerIsNotGivenALostOrderAgain(t *testing.T) {
	run(t, func(c *cell) {
		s := c.announce("b1", 8000)
		once := spec("stock")
		once.Once = true
		c.accepted(once)
		lost := starts(s.sync())
		c.change("drain", &v1.ChangeRequest{Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: "b1", Drain: true}}})
		r := s.sync()
		if len(r.GetOrders()) != 1 || r.GetOrders()[0].GetVerb() != v1.Verb_VERB_STOP {
			t.Fatalf("orders %v", r.GetOrders())
		}
		other := c.announce("b2", 8000)
		s.sync(&v1.Report{Attempt: lost[0], Phase: v1.Phase_PHASE_STOPPED})
		if got := starts(other.sync()); len(got) != 1 || got[0].GetNumber() != 2 {
			t.Errorf("elsewhere: %v", got)
		}
	})
}

// A caller waits on a long poll when its key is withdrawn, and the job ends a
// moment later: the answer is not for that key any more.
func TestAParkedWaitIsNotAnsweredAfterItsKeysEnd(t *testing.T) {
	run(t, func(c *cell) {
		c.announce("b1", 8000)
		c.accepted(spec("plan"))
		w := c.wait("plan")
		c.change("out", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		time.Sleep(1100 * time.Millisecond)
		wantCode(t, code.InvalidKey, c.must(w).GetStatus())
	})
}

// The planner's picture of a server is out of date, so the ledger refuses its
// placement. The planner must take it back: a task that it counts as running
// for ever never gets a place, and its caller no answer.
func TestARefusedDecisionIsMadeAgain(t *testing.T) {
	planner := func() plan.Planner { return policy.New(policy.Config{}) }
	runAs(t, logr.Discard(), planner, func(c *cell) {
		s := c.announce("b1", 8000)
		c.ledger(func(st *state.State) {
			watch := st.Observer
			st.Observer = nil // what follows is hidden from the planner
			st.Apply(&record.Command{What: &record.Command_Mark{Mark: &record.Mark{Server: "b1", Incarnation: 1, State: uint32(backend.Suspect)}}})
			st.Observer = watch
		})
		c.accepted(spec("plan"))
		if got := starts(s.sync()); len(got) != 1 {
			time.Sleep(time.Second)
			if got = starts(s.sync()); len(got) != 1 {
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
	runAs(t, logr.Discard(), planner, func(c *cell) {
		quote := spec("quote")
		quote.Kind, quote.Deadline = v1.Kind_KIND_URGENT, 2000
		c.accepted(quote)
		time.Sleep(1900 * time.Millisecond)
		w := c.wait("quote")
		time.Sleep(300 * time.Millisecond)
		got := c.must(w).GetWait()
		if got.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("outcome %v", got.GetOutcome())
		}
		wantCode(t, code.DeadlinePassed, got.GetStatus())
	})
}

// Many decisions follow each other closely. Each as a proposal of its own would
// cost a message to every replica; together they cost a few, and the first of
// them does not wait.
func TestProposalsAreGathered(t *testing.T) {
	run(t, func(c *cell) {
		if err := c.l.Execute(context.Background(), func(*state.State) { c.l.ProposalInterval = 10 * time.Millisecond }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		before := c.g.count()
		for i := range 20 {
			id := strconv.Itoa(i)
			grant := &v1.KeyGrant{Id: "key-" + id, Team: "rail", Digest: digest()}
			change := &v1.ChangeRequest{Id: "change-" + id, Change: &v1.ChangeRequest_Grant{Grant: grant}}
			c.push(&inner.Item{Credential: c.cred("op"), Ask: &inner.Item_Change{Change: change}})
			if i == 0 {
				synctest.Wait()
				if c.g.count() == before {
					t.Error("the first of them waits")
				}
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		if n := c.g.count() - before; n > 5 {
			t.Errorf("20 changes took %d proposals", n)
		}
	})
}
