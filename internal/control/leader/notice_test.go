package leader_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// eventLog is a log that a test searches for events by name.
type eventLog struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *eventLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *eventLog) expectOnce(t *testing.T, names ...string) {
	t.Helper()
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range names {
		if strings.Count(l.buffer.String(), `"name":"`+n+`"`) != 1 {
			t.Errorf("%s is not logged once:\n%s", n, l.buffer.String())
		}
	}
	l.buffer.Reset()
}

// An alarm is set on an event, and the event never comes. Each step here is an
// occasion of one, and must raise it once.
func TestEventsAreLogged(t *testing.T) {
	log := &eventLog{}
	runWithLog(t, event.New(log, "info"), func(c *harness) {
		log.expectOnce(t, "leader-elected", "key-granted", "table-changed")
		b := c.announceServer("b1", 4000)
		log.expectOnce(t, "server-announced")
		if got := c.submitAndReply(batchSpec("big")); got.GetStatus().GetCode() != 0 {
			t.Fatal(got)
		}
		c.submitAndReply(&v1.Spec{Id: "never", Kind: v1.Kind_KIND_BATCH, Count: 1, Size: &v1.Size{Cpu: 1 << 40}})
		log.expectOnce(t, "job-never-fits")
		a := startOrders(b.syncAndWait())[0]
		b.syncAndWait(attemptReport(a, v1.Phase_PHASE_RUNNING))
		r := c.mustReply(c.push(&inner.Item{Credential: c.credential("op"), Ask: &inner.Item_Change{Change: &v1.ChangeRequest{
			Id: "late", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 0, Edits: []*v1.Edit{{Row: &v1.Row{Team: "x", Weight: 1}}}}},
		}}}))
		wantCode(t, code.Conflict, r.GetChange().GetStatus())
		log.expectOnce(t, "table-conflict")
		c.applyChange("lower", &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 1, Edits: []*v1.Edit{
			{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 1, Limit: &v1.Size{Cpu: 500, Memory: -1, Accel: -1, Slots: -1}}},
		}}}})
		log.expectOnce(t, "limit-lowered", "table-changed")
		var yields atomic.Int32
		if err := c.leader.Execute(context.Background(), func(*state.State) { c.leader.TransferLeadership = func() { yields.Add(1) } }); err != nil {
			t.Fatal(err)
		}
		c.group.notes <- group.Full{Full: true}
		c.group.notes <- group.Full{Full: false}
		log.expectOnce(t, "disk-full", "disk-free")
		if yields.Load() == 0 {
			t.Error("a leader with a full disk did not offer the lead to another")
		}
		time.Sleep(4 * time.Second) // silent, but within its lease
		log.expectOnce(t, "server-suspect", "no-servers")
		b.syncAndWait(attemptReport(a, v1.Phase_PHASE_RUNNING))
		log.expectOnce(t, "server-back")
		time.Sleep(20 * time.Second) // its lease is over
		log.expectOnce(t, "server-suspect", "server-gone", "attempt-lost", "limit-met")
		c.applyChange("withdraw", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		c.pushSubmit(batchSpec("late"))
		log.expectOnce(t, "key-withdrawn", "key-refused")
		members := []quorum.Member{{ID: "c1/1"}, {ID: "c2/1", Learner: true}}
		for _, ms := range [][]quorum.Member{members[:1], members, {{ID: "c1/1"}, {ID: "c2/1"}}, {{ID: "c2/1"}}} {
			c.group.notes <- group.Members{Members: ms, Self: "c1/1"}
		}
		log.expectOnce(t, "member-added", "member-promoted", "member-removed", "stale-identity")
		c.group.notes <- group.Follow{Term: 1}
		log.expectOnce(t, "leader-lost", "quorum-lost")
		time.Sleep(10 * time.Second)
		log.expectOnce(t, "leader-unknown")
	})
}

// Someone on duty asks what waits and whose lease ends: the view says so.
func TestViewListsWaitingJobsAndLeases(t *testing.T) {
	runWithLeader(t, func(c *harness) {
		b := c.announceServer("b1", 2000)
		for i := range 4 {
			c.submitAndReply(batchSpec(jobName(i)))
		}
		b.syncAndWait()
		time.Sleep(2 * time.Second)
		v, err := c.leader.Inspect(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if !v.Leads || v.Running != 2 || len(v.Oldest) != 2 || v.Oldest[0].ID != jobName(2) || v.Oldest[0].Waits < 2 || v.Teams[0].Waiting != 2 {
			t.Errorf("%+v", v)
		}
		if len(v.Leases) != 1 || v.Leases[0].Silent < 2 || v.Leases[0].Left <= 0 || v.Servers["ready"] != 1 {
			t.Errorf("%+v", v.Leases)
		}
	})
}

// An operator lists the jobs of all teams page by page and sees the first page
// for ever: ids are unique in a team only, so the page after one was not found.
func TestJobPagesOfAllTeamsAdvance(t *testing.T) {
	runWithLeader(t, func(c *harness) {
		c.announceServer("b1", 1000)
		for i := range 5 {
			c.submitAndReply(batchSpec(jobName(i)))
		}
		var got []string
		after := ""
		for range 3 {
			r := c.mustReply(c.pushShow(&v1.ShowRequest{Part: v1.Part_PART_JOBS, After: after, Limit: 2})).GetShow()
			for _, j := range r.GetJobs() {
				got = append(got, j.GetId())
				after = j.GetTeam() + "/" + j.GetId()
			}
		}
		if fmt.Sprint(got) != "[job0 job1 job2 job3 job4]" {
			t.Error(got)
		}
		r := c.mustReply(c.pushShow(&v1.ShowRequest{Part: v1.Part_PART_JOBS, After: "rail/none"})).GetShow()
		wantCode(t, code.Unknown, r.GetStatus())
	})
}

func (c *harness) pushShow(req *v1.ShowRequest) uint64 {
	n := c.push(&inner.Item{Credential: c.credential("op"), Ask: &inner.Item_Show{Show: req}})
	time.Sleep(200 * time.Millisecond)
	return n
}

// The tasks of one job answer more than fits one fetchable answer. The job ends
// as too large with what was whole by then, and every chunk of it can be had.
func TestOversizedJobAnswerIsTruncatedWithCode(t *testing.T) {
	runWithLeader(t, func(c *harness) {
		const count = 34
		b := c.announceServer("b1", 4000)
		c.submitAndReply(&v1.Spec{Id: "wide", Kind: v1.Kind_KIND_BATCH, Count: count, Size: &v1.Size{Cpu: 10}})
		data := bytes.Repeat([]byte("q"), answer.MaxTotal)
		var reports []*v1.Report
		for range 12 { // the server holds up to 8 at once
			for _, a := range startOrders(b.syncAndWait(reports...)) {
				r := attemptReport(a, v1.Phase_PHASE_ENDED)
				r.Chunks = answer.Split(data)
				reports = append(reports, r)
			}
		}
		w := c.waitOutcome("wide")
		wantCode(t, code.TooLarge, w.GetStatus())
		if w.GetOutcome() != v1.Outcome_OUTCOME_DONE || w.GetChunk().GetTotal() != answer.MaxJob {
			t.Fatalf("%v, %d bytes", w.GetOutcome(), w.GetChunk().GetTotal())
		}
		c.withLedger(func(s *state.State) {
			j, _ := s.Find(state.RequestID{Team: "rail", ID: "wide"})
			if len(s.Answer(j)) != answer.MaxJob {
				t.Error("the ledger holds another length")
			}
		})
		last := answer.Count(answer.MaxJob) - 1
		n := c.push(&inner.Item{Credential: c.credential("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: "wide", Chunk: last}}})
		if got := c.mustReply(n).GetWait().GetChunk(); got.GetNumber() != last || got.GetSum() != w.GetChunk().GetSum() || len(got.GetData()) != answer.ChunkSize {
			t.Error("the last chunk cannot be had")
		}
	})
}

// A server with room gets many tasks with large inputs in one turn. One answer
// with all of them is larger than a connection carries in time, and is sent
// again and again. The orders are spread over several answers instead.
func TestOrdersAreSpreadOverAnswers(t *testing.T) {
	runWithLeader(t, func(c *harness) {
		const count = 20
		b := c.announceServer("b1", 4000)
		c.submitAndReply(&v1.Spec{Id: "wide", Kind: v1.Kind_KIND_BATCH, Count: count, Size: &v1.Size{Cpu: 10}, Input: make([]byte, 1<<20)})
		started := map[uint32]bool{}
		var reports []*v1.Report
		for range 10 {
			as := startOrders(b.syncAndWait(reports...))
			if len(as) > 4 {
				t.Errorf("%d MiB in one answer", len(as))
			}
			for _, a := range as {
				if started[a.GetTask()] {
					t.Errorf("task %d is ordered twice", a.GetTask())
				}
				started[a.GetTask()] = true
				reports = append(reports, attemptReport(a, v1.Phase_PHASE_RUNNING))
			}
		}
		if len(started) != count {
			t.Errorf("%d tasks were ordered", len(started))
		}
	})
}
