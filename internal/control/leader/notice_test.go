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
	runWithLog(t, event.New(log, "info"), func(h *harness) {
		log.expectOnce(t, "leader-elected", "key-granted", "table-changed")
		b := h.announceServer("b1", 4000)
		log.expectOnce(t, "server-announced")
		if got := h.submitAndReply(batchSpec("big")); got.GetStatus().GetCode() != 0 {
			t.Fatal(got)
		}
		h.submitAndReply(&v1.Spec{Id: "never", Kind: v1.Kind_KIND_BATCH, Count: 1, Size: &v1.Size{Cpu: 1 << 40}})
		log.expectOnce(t, "job-never-fits")
		a := startOrders(b.syncAndWait())[0]
		b.syncAndWait(attemptReport(a, v1.Phase_PHASE_RUNNING))
		r := h.mustReply(h.push(&inner.Item{Credential: h.credential("op"), Ask: &inner.Item_Change{Change: &v1.ChangeRequest{
			Id: "late", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 0, Edits: []*v1.Edit{{Row: &v1.Row{Team: "x", Weight: 1}}}}},
		}}}))
		expectCode(t, code.Conflict, r.GetChange().GetStatus())
		log.expectOnce(t, "table-conflict")
		h.applyChange("lower", &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 1, Edits: []*v1.Edit{
			{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 1, Limit: &v1.Size{Cpu: 500, Memory: -1, Accel: -1, Slots: -1}}},
		}}}})
		log.expectOnce(t, "limit-lowered", "table-changed")
		var yields atomic.Int32
		if err := h.leader.Execute(context.Background(), func(*state.State) { h.leader.TransferLeadership = func() { yields.Add(1) } }); err != nil {
			t.Fatal(err)
		}
		h.group.notifications <- group.Full{Full: true}
		h.group.notifications <- group.Full{Full: false}
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
		h.applyChange("withdraw", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		h.pushSubmit(batchSpec("late"))
		log.expectOnce(t, "key-withdrawn", "key-refused")
		members := []quorum.Member{{ID: "c1/1"}, {ID: "c2/1", Learner: true}}
		for _, ms := range [][]quorum.Member{members[:1], members, {{ID: "c1/1"}, {ID: "c2/1"}}, {{ID: "c2/1"}}} {
			h.group.notifications <- group.Members{Members: ms, Self: "c1/1"}
		}
		log.expectOnce(t, "member-added", "member-promoted", "member-removed", "stale-identity")
		h.group.notifications <- group.Follow{Term: 1}
		log.expectOnce(t, "leader-lost", "quorum-lost")
		time.Sleep(10 * time.Second)
		log.expectOnce(t, "leader-unknown")
	})
}

// Someone on duty asks what waits and whose lease ends: the view says so.
func TestViewListsWaitingJobsAndLeases(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		b := h.announceServer("b1", 2000)
		for i := range 4 {
			h.submitAndReply(batchSpec(jobName(i)))
		}
		b.syncAndWait()
		time.Sleep(2 * time.Second)
		v, err := h.leader.Inspect(context.Background())
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
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 1000)
		for i := range 5 {
			h.submitAndReply(batchSpec(jobName(i)))
		}
		var got []string
		after := ""
		for range 3 {
			r := h.mustReply(h.pushShow(&v1.ShowRequest{Part: v1.Part_PART_JOBS, After: after, Limit: 2})).GetShow()
			for _, j := range r.GetJobs() {
				got = append(got, j.GetId())
				after = j.GetTeam() + "/" + j.GetId()
			}
		}
		if fmt.Sprint(got) != "[job0 job1 job2 job3 job4]" {
			t.Error(got)
		}
		r := h.mustReply(h.pushShow(&v1.ShowRequest{Part: v1.Part_PART_JOBS, After: "rail/none"})).GetShow()
		expectCode(t, code.Unknown, r.GetStatus())
	})
}

func (h *harness) pushShow(req *v1.ShowRequest) uint64 {
	n := h.push(&inner.Item{Credential: h.credential("op"), Ask: &inner.Item_Show{Show: req}})
	time.Sleep(200 * time.Millisecond)
	return n
}

// The tasks of one job answer more than fits one fetchable answer. The job ends
// as too large with what was whole by then, and every chunk of it can be had.
func TestOversizedJobAnswerIsTruncatedWithCode(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		const count = 34
		b := h.announceServer("b1", 4000)
		h.submitAndReply(&v1.Spec{Id: "wide", Kind: v1.Kind_KIND_BATCH, Count: count, Size: &v1.Size{Cpu: 10}})
		data := bytes.Repeat([]byte("q"), answer.MaxTotal)
		var reports []*v1.Report
		for range 12 { // the server holds up to 8 at once
			for _, a := range startOrders(b.syncAndWait(reports...)) {
				r := attemptReport(a, v1.Phase_PHASE_ENDED)
				r.Chunks = answer.Split(data)
				reports = append(reports, r)
			}
		}
		w := h.waitOutcome("wide")
		expectCode(t, code.TooLarge, w.GetStatus())
		if w.GetOutcome() != v1.Outcome_OUTCOME_DONE || w.GetChunk().GetTotal() != answer.MaxJob {
			t.Fatalf("%v, %d bytes", w.GetOutcome(), w.GetChunk().GetTotal())
		}
		h.withLedger(func(s *state.State) {
			j, _ := s.Find(state.RequestID{Team: "rail", ID: "wide"})
			if len(s.Answer(j)) != answer.MaxJob {
				t.Error("the ledger holds another length")
			}
		})
		last := answer.Count(answer.MaxJob) - 1
		n := h.push(&inner.Item{Credential: h.credential("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: "wide", Chunk: last}}})
		if got := h.mustReply(n).GetWait().GetChunk(); got.GetNumber() != last || got.GetSum() != w.GetChunk().GetSum() || len(got.GetData()) != answer.ChunkSize {
			t.Error("the last chunk cannot be had")
		}
	})
}

// A server with room gets many tasks with large inputs in one turn. One answer
// with all of them is larger than a connection carries in time, and is sent
// again and again. The orders are spread over several answers instead.
func TestOrdersAreSpreadOverAnswers(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		const count = 20
		b := h.announceServer("b1", 4000)
		h.submitAndReply(&v1.Spec{Id: "wide", Kind: v1.Kind_KIND_BATCH, Count: count, Size: &v1.Size{Cpu: 10}, Input: make([]byte, 1<<20)})
		started := map[uint32]bool{}
		var reports []*v1.Report
		for range 10 {
			attempts := startOrders(b.syncAndWait(reports...))
			if len(attempts) > 4 {
				t.Errorf("%d MiB in one answer", len(attempts))
			}
			for _, a := range attempts {
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
