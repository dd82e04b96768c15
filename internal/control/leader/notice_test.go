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

// logged is a log that a test searches for events by name.
type logged struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) { l.mu.Lock(); defer l.mu.Unlock(); return l.b.Write(b) }

func (l *logged) want(t *testing.T, names ...string) {
	t.Helper()
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range names {
		if strings.Count(l.b.String(), `"name":"`+n+`"`) != 1 {
			t.Errorf("%s is not logged once:\n%s", n, l.b.String())
		}
	}
	l.b.Reset()
}

// An alarm is set on an event, and the event never comes. Each step here is an
// occasion of one, and must raise it once.
func TestEventsAreRaised(t *testing.T) {
	log := &logged{}
	runWith(t, event.New(log, "info"), func(c *cell) {
		log.want(t, "leader-elected", "key-granted", "table-changed")
		b := c.announce("b1", 4000)
		log.want(t, "server-announced")
		if got := c.accepted(spec("big")); got.GetStatus().GetCode() != 0 {
			t.Fatal(got)
		}
		c.accepted(&v1.Spec{Id: "never", Kind: v1.Kind_KIND_BATCH, Count: 1, Size: &v1.Size{Cpu: 1 << 40}})
		log.want(t, "job-never-fits")
		a := starts(b.sync())[0]
		b.sync(report(a, v1.Phase_PHASE_RUNNING))
		r := c.must(c.push(&inner.Item{Credential: c.cred("op"), Ask: &inner.Item_Change{Change: &v1.ChangeRequest{
			Id: "late", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 0, Edits: []*v1.Edit{{Row: &v1.Row{Team: "x", Weight: 1}}}}},
		}}}))
		wantCode(t, code.RevisionConflict, r.GetChange().GetStatus())
		log.want(t, "table-conflict")
		c.change("lower", &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: 1, Edits: []*v1.Edit{
			{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 1, Limit: &v1.Size{Cpu: 500, Memory: -1, Accel: -1, Slots: -1}}},
		}}}})
		log.want(t, "limit-lowered", "table-changed")
		var yields atomic.Int32
		if err := c.l.Execute(context.Background(), func(*state.State) { c.l.TransferLeadership = func() { yields.Add(1) } }); err != nil {
			t.Fatal(err)
		}
		c.g.notes <- group.JournalDiskFull{Full: true}
		c.g.notes <- group.JournalDiskFull{Full: false}
		log.want(t, "disk-full", "disk-free")
		if yields.Load() == 0 {
			t.Error("a leader with a full disk did not offer the lead to another")
		}
		time.Sleep(4 * time.Second) // silent, but within its lease
		log.want(t, "server-suspect", "no-servers")
		b.sync(report(a, v1.Phase_PHASE_RUNNING))
		log.want(t, "server-back")
		time.Sleep(20 * time.Second) // its lease is over
		log.want(t, "server-suspect", "server-gone", "attempt-lost", "limit-met")
		c.change("withdraw", &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "rail1"}}})
		c.submit(spec("late"))
		log.want(t, "key-withdrawn", "key-refused")
		members := []quorum.Member{{ID: "c1/1"}, {ID: "c2/1", Learner: true}}
		for _, ms := range [][]quorum.Member{members[:1], members, {{ID: "c1/1"}, {ID: "c2/1"}}, {{ID: "c2/1"}}} {
			c.g.notes <- group.MembershipChanged{Members: ms, Self: "c1/1"}
		}
		log.want(t, "member-added", "member-promoted", "member-removed", "stale-identity")
		c.g.notes <- group.Following{Term: 1}
		log.want(t, "leader-lost", "quorum-lost")
		time.Sleep(10 * time.Second)
		log.want(t, "leader-unknown")
	})
}

// Someone on duty asks what waits and whose lease ends: the view says so.
func TestTheViewShowsWhatWaits(t *testing.T) {
	run(t, func(c *cell) {
		b := c.announce("b1", 2000)
		for i := range 4 {
			c.accepted(spec(name(i)))
		}
		b.sync()
		time.Sleep(2 * time.Second)
		v, err := c.l.Inspect(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if !v.Leads || v.Running != 2 || len(v.Oldest) != 2 || v.Oldest[0].ID != name(2) || v.Oldest[0].Waits < 2 || v.Teams[0].Waiting != 2 {
			t.Errorf("%+v", v)
		}
		if len(v.Leases) != 1 || v.Leases[0].Silent < 2 || v.Leases[0].Left <= 0 || v.Servers["ready"] != 1 {
			t.Errorf("%+v", v.Leases)
		}
	})
}

// An operator lists the jobs of all teams page by page and sees the first page
// for ever: ids are unique in a team only, so the page after one was not found.
func TestPagesOfAllTeamsGoOn(t *testing.T) {
	run(t, func(c *cell) {
		c.announce("b1", 1000)
		for i := range 5 {
			c.accepted(spec(name(i)))
		}
		var got []string
		after := ""
		for range 3 {
			r := c.must(c.show(&v1.ShowRequest{Part: v1.Part_PART_JOBS, After: after, Limit: 2})).GetShow()
			for _, j := range r.GetJobs() {
				got = append(got, j.GetId())
				after = j.GetTeam() + "/" + j.GetId()
			}
		}
		if fmt.Sprint(got) != "[job0 job1 job2 job3 job4]" {
			t.Error(got)
		}
		r := c.must(c.show(&v1.ShowRequest{Part: v1.Part_PART_JOBS, After: "rail/none"})).GetShow()
		wantCode(t, code.NotFound, r.GetStatus())
	})
}

func (c *cell) show(req *v1.ShowRequest) uint64 {
	n := c.push(&inner.Item{Credential: c.cred("op"), Ask: &inner.Item_Show{Show: req}})
	time.Sleep(200 * time.Millisecond)
	return n
}

// The tasks of one job answer more than fits one fetchable answer. The job ends
// as too large with what was whole by then, and every chunk of it can be had.
func TestAnAnswerPastTheBoundIsCutWithACode(t *testing.T) {
	run(t, func(c *cell) {
		const count = 34
		b := c.announce("b1", 4000)
		c.accepted(&v1.Spec{Id: "wide", Kind: v1.Kind_KIND_BATCH, Count: count, Size: &v1.Size{Cpu: 10}})
		data := bytes.Repeat([]byte("q"), answer.MaxTotal)
		var reports []*v1.Report
		for range 12 { // the server holds up to 8 at once
			for _, a := range starts(b.sync(reports...)) {
				r := report(a, v1.Phase_PHASE_ENDED)
				r.Chunks = answer.Split(data)
				reports = append(reports, r)
			}
		}
		w := c.outcome("wide")
		wantCode(t, code.TooLarge, w.GetStatus())
		if w.GetOutcome() != v1.Outcome_OUTCOME_DONE || w.GetChunk().GetTotal() != answer.MaxJob {
			t.Fatalf("%v, %d bytes", w.GetOutcome(), w.GetChunk().GetTotal())
		}
		c.ledger(func(s *state.State) {
			j, _ := s.FindJob(state.RequestID{Team: "rail", ID: "wide"})
			if len(s.JobAnswer(j)) != answer.MaxJob {
				t.Error("the ledger holds another length")
			}
		})
		last := answer.Count(answer.MaxJob) - 1
		n := c.push(&inner.Item{Credential: c.cred("rail1"), Ask: &inner.Item_Wait{Wait: &v1.WaitRequest{Id: "wide", Chunk: last}}})
		if got := c.must(n).GetWait().GetChunk(); got.GetNumber() != last || got.GetSum() != w.GetChunk().GetSum() || len(got.GetData()) != answer.ChunkSize {
			t.Error("the last chunk cannot be had")
		}
	})
}

// A server with room gets many tasks with large inputs in one turn. One answer
// with all of them is larger than a connection carries in time, and is sent
// again and again. The orders are spread over several answers instead.
func TestOrdersAreSpreadOverAnswers(t *testing.T) {
	run(t, func(c *cell) {
		const count = 20
		b := c.announce("b1", 4000)
		c.accepted(&v1.Spec{Id: "wide", Kind: v1.Kind_KIND_BATCH, Count: count, Size: &v1.Size{Cpu: 10}, Input: make([]byte, 1<<20)})
		started := map[uint32]bool{}
		var reports []*v1.Report
		for range 10 {
			as := starts(b.sync(reports...))
			if len(as) > 4 {
				t.Errorf("%d MiB in one answer", len(as))
			}
			for _, a := range as {
				if started[a.GetTask()] {
					t.Errorf("task %d is ordered twice", a.GetTask())
				}
				started[a.GetTask()] = true
				reports = append(reports, report(a, v1.Phase_PHASE_RUNNING))
			}
		}
		if len(started) != count {
			t.Errorf("%d tasks were ordered", len(started))
		}
	})
}
