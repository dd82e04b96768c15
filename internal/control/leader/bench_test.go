package leader_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/mailbox"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/ledger/state"
	policy "gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
)

// instantGroup is a fake group that commits and confirms at once, so that a
// benchmark measures the control thread alone.
type instantGroup struct {
	notifications chan group.Notification
	now           func() time.Duration
	commitIndex   uint64
	proposedBytes uint64
}

func (g *instantGroup) Propose(p group.Proposal) bool {
	for _, c := range p.Commands {
		g.proposedBytes += uint64(len(c))
	}
	g.commitIndex = p.FirstIndex + uint64(len(p.Commands)) - 1
	g.notifications <- group.CommitAdvanced{Index: g.commitIndex}
	return true
}
func (g *instantGroup) Notifications() <-chan group.Notification { return g.notifications }
func (g *instantGroup) ConfirmLeadership()                       {}
func (g *instantGroup) Compact(uint64, []byte)                   {}
func (g *instantGroup) Reload()                                  {}

// benchmarkHarness drives a control thread and many backend servers in real time.
type benchmarkHarness struct {
	b               *testing.B
	leader          *leader.Leader
	group           *instantGroup
	mailbox         *mailbox.Mailbox
	lastReplyNumber uint64
	syncNumbers     []uint64
}

func newBenchmarkHarness(b *testing.B, servers int) *benchmarkHarness {
	begin := time.Now()
	h := &benchmarkHarness{b: b, mailbox: mailbox.New(1), syncNumbers: make([]uint64, servers)}
	h.group = &instantGroup{notifications: make(chan group.Notification, 1<<16), now: func() time.Duration { return time.Since(begin) + time.Hour }}
	h.leader = leader.New()
	h.leader.Group, h.leader.Now = h.group, h.group.now
	h.leader.SnapshotInterval = 1 << 62
	h.leader.NewPlanner = func() plan.Planner { return policy.New(policy.Config{}) }
	h.leader.RootKey = &v1.KeyGrant{Id: "op", Operator: true, Digest: digest()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = h.leader.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	go func() {
		for ctx.Err() == nil {
			h.group.notifications <- group.LeadershipConfirmed{Term: 1, StartedAt: h.group.now()}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	h.group.notifications <- group.Leading{Term: 1, ElectedAt: h.group.now()}
	time.Sleep(100 * time.Millisecond)
	h.request(&inner.Item{Credential: &inner.Credential{Id: "op", Digest: digest()}, Ask: &inner.Item_Change{Change: &v1.ChangeRequest{Id: "t", Change: &v1.ChangeRequest_Table{Table: teamRows(960)}}}})
	h.request(&inner.Item{Credential: &inner.Credential{Id: "op", Digest: digest()}, Ask: &inner.Item_Change{Change: &v1.ChangeRequest{Id: "k", Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "k", Team: "team0", Digest: digest()}}}}})
	for i := range servers {
		h.push(&inner.Item{Ask: &inner.Item_Announce{Announce: &v1.AnnounceRequest{
			Server: serverName(i), Nonce: 1, Capacity: &v1.Size{Cpu: 32_000, Memory: 128_000, Slots: 64},
			Rack: fmt.Sprintf("r%d", i/8), Zone: fmt.Sprintf("z%d", i%21),
		}}})
	}
	h.receiveReplies(servers)
	return h
}

func serverName(i int) string { return fmt.Sprintf("b%05d", i) }

func teamRows(n int) *v1.TableChange {
	t := &v1.TableChange{}
	for i := range n {
		t.Edits = append(t.Edits, &v1.Edit{Row: &v1.Row{Team: fmt.Sprintf("team%d", i), Weight: 1, Queue: 1 << 30, Limit: &v1.Size{Cpu: -1, Memory: -1, Accel: -1, Slots: -1}}})
	}
	return t
}

func (h *benchmarkHarness) push(items ...*inner.Item) {
	for !h.leader.Push(leader.Batch{Mailbox: h.mailbox, ReceivedAt: h.group.now(), Items: items}) {
		time.Sleep(time.Millisecond)
	}
}

// receiveReplies waits for n replies and returns them.
func (h *benchmarkHarness) receiveReplies(n int) (out []*inner.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for len(out) < n && ctx.Err() == nil {
		b := h.mailbox.Pull(ctx, 1, h.lastReplyNumber)
		if len(b.Replies) > 0 {
			h.lastReplyNumber = b.FirstNumber + uint64(len(b.Replies)) - 1
		}
		out = append(out, b.Replies...)
	}
	if len(out) < n {
		h.b.Fatalf("received %d of %d replies within 30 s", len(out), n)
	}
	return out
}

func (h *benchmarkHarness) request(item *inner.Item) *inner.Reply {
	h.push(item)
	return h.receiveReplies(1)[0]
}

func (h *benchmarkHarness) syncItem(i int, reports ...*v1.Report) *inner.Item {
	h.syncNumbers[i]++
	return &inner.Item{Seq: uint64(i), Ask: &inner.Item_Sync{Sync: &v1.SyncRequest{
		Server: serverName(i), Incarnation: 1, Number: h.syncNumbers[i], Reports: reports, Patience: 1,
	}}}
}

// BenchmarkJobStart measures the control thread's work for one job from submission
// to end: accept, place, order, report, forget. Run it with -benchtime=20000x.
func BenchmarkJobStart(b *testing.B) {
	for _, servers := range []int{50, 1_000, 16_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			h := newBenchmarkHarness(b, servers)
			b.ResetTimer()
			const jobsPerRound = 500
			for n := 0; n < b.N; n += jobsPerRound {
				h.runJobs(n, jobsPerRound)
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
			b.ReportMetric(float64(h.group.proposedBytes)/float64(b.N), "logbytes/start")
		})
	}
}

// runJobs submits jobs and sends the syncs of their servers until all jobs have
// ended.
func (h *benchmarkHarness) runJobs(firstJob, n int) {
	items := make([]*inner.Item, 0, n)
	for i := range n {
		items = append(items, &inner.Item{Credential: &inner.Credential{Id: "k", Digest: digest()}, Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{{
			Id: fmt.Sprintf("j%d", firstJob+i), Kind: v1.Kind_KIND_BATCH, Name: "n", Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 1000, Slots: 1},
		}}}}})
	}
	h.push(items...)
	h.receiveReplies(n)
	tasksByServer := map[string]int{}
	h.withLedger(func(st *state.State) {
		for _, b := range st.Servers() {
			if n := st.PlacedTaskCount(b.ID); n > 0 {
				tasksByServer[b.ID] = n
			}
		}
	})
	var syncs []*inner.Item
	for id := range tasksByServer {
		var i int
		_, _ = fmt.Sscanf(id, "b%05d", &i)
		syncs = append(syncs, h.syncItem(i))
	}
	h.push(syncs...)
	var ends []*inner.Item
	for _, reply := range h.receiveReplies(len(syncs)) {
		var reports []*v1.Report
		for _, o := range reply.GetSync().GetOrders() {
			if o.GetVerb() == v1.Verb_VERB_START {
				reports = append(reports, &v1.Report{Attempt: o.GetAttempt(), Phase: v1.Phase_PHASE_ENDED, Started: true, Chunks: answer.Split([]byte("done"))})
			}
		}
		ends = append(ends, h.syncItem(int(reply.GetSeq()), reports...))
	}
	h.push(ends...)
	h.receiveReplies(len(ends))
}

func (h *benchmarkHarness) withLedger(fn func(*state.State)) {
	if err := h.leader.Execute(context.Background(), fn); err != nil {
		h.b.Fatal(err)
	}
}

// BenchmarkIdleSync measures the control thread's work for one sync of an idle
// server while all other servers sync too.
func BenchmarkIdleSync(b *testing.B) {
	for _, servers := range []int{50, 1_000, 16_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			h := newBenchmarkHarness(b, servers)
			b.ResetTimer()
			for n := 0; n < b.N; n += servers {
				items := make([]*inner.Item, 0, servers)
				for i := range servers {
					items = append(items, h.syncItem(i))
				}
				for len(items) > 0 {
					k := min(len(items), 500)
					h.push(items[:k]...)
					items = items[k:]
				}
				h.receiveReplies(servers)
			}
		})
	}
}

// BenchmarkLedger measures the memory that the ledger takes at the cell size
// expected in two years, and the time to copy, encode and decode it.
func BenchmarkLedger(b *testing.B) {
	for _, running := range []int{7_000, 35_000, 70_000} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			var memBefore, memAfter runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memBefore)
			h := newBenchmarkHarness(b, 16_000*running/70_000)
			for n := 0; n < running; n += 500 {
				items := make([]*inner.Item, 0, 500)
				for i := range 500 {
					items = append(items, &inner.Item{Credential: &inner.Credential{Id: "k", Digest: digest()}, Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{{
						Id: fmt.Sprintf("j%d", n+i), Kind: v1.Kind_KIND_BATCH, Name: "n", Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 1000, Slots: 1},
					}}}}})
				}
				h.push(items...)
				h.receiveReplies(500)
			}
			runtime.GC()
			runtime.ReadMemStats(&memAfter)
			b.ResetTimer()
			var size int
			var totalPause, copyTime, encodeTime, decodeTime time.Duration
			for range b.N {
				h.withLedger(func(st *state.State) {
					copyStart := time.Now()
					p := st.BeginSnapshot()
					longestPause := time.Since(copyStart)
					for done := false; !done; {
						start := time.Now()
						done = p.CopyRecords(2048)
						longestPause = max(longestPause, time.Since(start))
					}
					c := p.State()
					encodeStart := time.Now()
					totalPause += longestPause
					data, err := c.Encode()
					decodeStart := time.Now()
					if err != nil {
						b.Fatal(err)
					}
					if _, err := state.Decode(data); err != nil {
						b.Fatal(err)
					}
					size = len(data)
					copyTime, encodeTime, decodeTime = copyTime+encodeStart.Sub(copyStart), encodeTime+decodeStart.Sub(encodeStart), decodeTime+time.Since(decodeStart)
				})
			}
			b.ReportMetric(float64(memAfter.HeapAlloc-memBefore.HeapAlloc)/float64(1<<20), "MiB/heap")
			milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / float64(b.N) }
			start := time.Now()
			if _, err := h.leader.Inspect(context.Background()); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms/view")
			b.ReportMetric(milliseconds(totalPause), "ms/pause")
			b.ReportMetric(milliseconds(copyTime), "ms/copy")
			b.ReportMetric(milliseconds(encodeTime), "ms/encode")
			b.ReportMetric(milliseconds(decodeTime), "ms/decode")
			b.ReportMetric(float64(size)/float64(1<<20), "MiB/snapshot")
		})
	}
}
