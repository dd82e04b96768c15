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

// instant is a group that commits and confirms at once: what is measured is the
// control thread alone.
type instant struct {
	notes chan group.Notification
	now   func() time.Duration
	index uint64
	bytes uint64
}

func (g *instant) Propose(p group.Proposal) bool {
	for _, c := range p.Commands {
		g.bytes += uint64(len(c))
	}
	g.index = p.FirstIndex + uint64(len(p.Commands)) - 1
	g.notes <- group.CommitAdvanced{Index: g.index}
	return true
}
func (g *instant) Notifications() <-chan group.Notification { return g.notes }
func (g *instant) ConfirmLeadership()                       {}
func (g *instant) Compact(uint64, []byte)                   {}
func (g *instant) Reload()                                  {}

// rig drives a control thread with many servers on real time.
type rig struct {
	b      *testing.B
	l      *leader.Leader
	g      *instant
	box    *mailbox.Mailbox
	ack    uint64
	number []uint64
}

func newRig(b *testing.B, servers int) *rig {
	begin := time.Now()
	r := &rig{b: b, box: mailbox.New(1), number: make([]uint64, servers)}
	r.g = &instant{notes: make(chan group.Notification, 1<<16), now: func() time.Duration { return time.Since(begin) + time.Hour }}
	r.l = leader.New()
	r.l.Group, r.l.Now = r.g, r.g.now
	r.l.SnapshotInterval = 1 << 62
	r.l.NewPlanner = func() plan.Planner { return policy.New(policy.Config{}) }
	r.l.RootKey = &v1.KeyGrant{Id: "op", Operator: true, Digest: digest()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = r.l.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	go func() {
		for ctx.Err() == nil {
			r.g.notes <- group.LeadershipConfirmed{Term: 1, StartedAt: r.g.now()}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	r.g.notes <- group.Leading{Term: 1, ElectedAt: r.g.now()}
	time.Sleep(100 * time.Millisecond)
	r.ask(&inner.Item{Credential: &inner.Credential{Id: "op", Digest: digest()}, Ask: &inner.Item_Change{Change: &v1.ChangeRequest{Id: "t", Change: &v1.ChangeRequest_Table{Table: rows(960)}}}})
	r.ask(&inner.Item{Credential: &inner.Credential{Id: "op", Digest: digest()}, Ask: &inner.Item_Change{Change: &v1.ChangeRequest{Id: "k", Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "k", Team: "team0", Digest: digest()}}}}})
	for i := range servers {
		r.push(&inner.Item{Ask: &inner.Item_Announce{Announce: &v1.AnnounceRequest{
			Server: server0(i), Nonce: 1, Capacity: &v1.Size{Cpu: 32_000, Memory: 128_000, Slots: 64},
			Rack: fmt.Sprintf("r%d", i/8), Zone: fmt.Sprintf("z%d", i%21),
		}}})
	}
	r.drain(servers)
	return r
}

func server0(i int) string { return fmt.Sprintf("b%05d", i) }

func rows(n int) *v1.TableChange {
	t := &v1.TableChange{}
	for i := range n {
		t.Edits = append(t.Edits, &v1.Edit{Row: &v1.Row{Team: fmt.Sprintf("team%d", i), Weight: 1, Queue: 1 << 30, Limit: &v1.Size{Cpu: -1, Memory: -1, Accel: -1, Slots: -1}}})
	}
	return t
}

func (r *rig) push(items ...*inner.Item) {
	for !r.l.Push(leader.Batch{Mailbox: r.box, ReceivedAt: r.g.now(), Items: items}) {
		time.Sleep(time.Millisecond)
	}
}

// drain takes n replies.
func (r *rig) drain(n int) (out []*inner.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for len(out) < n && ctx.Err() == nil {
		b := r.box.Pull(ctx, 1, r.ack)
		if len(b.Replies) > 0 {
			r.ack = b.FirstNumber + uint64(len(b.Replies)) - 1
		}
		out = append(out, b.Replies...)
	}
	if len(out) < n {
		r.b.Fatalf("%d of %d replies", len(out), n)
	}
	return out
}

func (r *rig) ask(it *inner.Item) *inner.Reply {
	r.push(it)
	return r.drain(1)[0]
}

func (r *rig) sync(i int, reports ...*v1.Report) *inner.Item {
	r.number[i]++
	return &inner.Item{Seq: uint64(i), Ask: &inner.Item_Sync{Sync: &v1.SyncRequest{
		Server: server0(i), Incarnation: 1, Number: r.number[i], Reports: reports, Patience: 1,
	}}}
}

// BenchmarkStart measures the control thread for one job from its submission
// to its end: accept, place, order, report, forget. Run with -benchtime=20000x.
func BenchmarkStart(b *testing.B) {
	for _, servers := range []int{50, 1_000, 16_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			r := newRig(b, servers)
			b.ResetTimer()
			const wave = 500
			for n := 0; n < b.N; n += wave {
				r.wave(n, wave)
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
			b.ReportMetric(float64(r.g.bytes)/float64(b.N), "logbytes/start")
		})
	}
}

// wave submits jobs and plays their servers' parts until all have ended.
func (r *rig) wave(from, n int) {
	items := make([]*inner.Item, 0, n)
	for i := range n {
		items = append(items, &inner.Item{Credential: &inner.Credential{Id: "k", Digest: digest()}, Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{{
			Id: fmt.Sprintf("j%d", from+i), Kind: v1.Kind_KIND_BATCH, Name: "n", Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 1000, Slots: 1},
		}}}}})
	}
	r.push(items...)
	r.drain(n)
	where := map[string]int{}
	r.must(func(st *state.State) {
		for _, b := range st.Servers() {
			if n := st.PlacedTaskCount(b.ID); n > 0 {
				where[b.ID] = n
			}
		}
	})
	var syncs []*inner.Item
	for id := range where {
		var i int
		_, _ = fmt.Sscanf(id, "b%05d", &i)
		syncs = append(syncs, r.sync(i))
	}
	r.push(syncs...)
	var ends []*inner.Item
	for _, rep := range r.drain(len(syncs)) {
		var reports []*v1.Report
		for _, o := range rep.GetSync().GetOrders() {
			if o.GetVerb() == v1.Verb_VERB_START {
				reports = append(reports, &v1.Report{Attempt: o.GetAttempt(), Phase: v1.Phase_PHASE_ENDED, Started: true, Chunks: answer.Split([]byte("done"))})
			}
		}
		ends = append(ends, r.sync(int(rep.GetSeq()), reports...))
	}
	r.push(ends...)
	r.drain(len(ends))
}

func (r *rig) must(fn func(*state.State)) {
	if err := r.l.Execute(context.Background(), fn); err != nil {
		r.b.Fatal(err)
	}
}

// BenchmarkIdle measures the control thread's time for one sync of a server
// that has nothing to do, with all others syncing too.
func BenchmarkIdle(b *testing.B) {
	for _, servers := range []int{50, 1_000, 16_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			r := newRig(b, servers)
			b.ResetTimer()
			for n := 0; n < b.N; n += servers {
				items := make([]*inner.Item, 0, servers)
				for i := range servers {
					items = append(items, r.sync(i))
				}
				for len(items) > 0 {
					k := min(len(items), 500)
					r.push(items[:k]...)
					items = items[k:]
				}
				r.drain(servers)
			}
		})
	}
}

// BenchmarkLedger measures the memory of the ledger at the two-year size and
// the time to copy, write and read it.
func BenchmarkLedger(b *testing.B) {
	for _, running := range []int{7_000, 35_000, 70_000} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := newRig(b, 16_000*running/70_000)
			for n := 0; n < running; n += 500 {
				items := make([]*inner.Item, 0, 500)
				for i := range 500 {
					items = append(items, &inner.Item{Credential: &inner.Credential{Id: "k", Digest: digest()}, Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{{
						Id: fmt.Sprintf("j%d", n+i), Kind: v1.Kind_KIND_BATCH, Name: "n", Count: 1, Size: &v1.Size{Cpu: 1000, Memory: 1000, Slots: 1},
					}}}}})
				}
				r.push(items...)
				r.drain(500)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			var size int
			var pause, copied, wrote, read time.Duration
			for range b.N {
				r.must(func(st *state.State) {
					t0 := time.Now()
					p := st.BeginSnapshot()
					longest := time.Since(t0)
					for done := false; !done; {
						begin := time.Now()
						done = p.CopyRecords(2048)
						longest = max(longest, time.Since(begin))
					}
					c := p.State()
					t1 := time.Now()
					pause += longest
					data, err := c.Encode()
					t2 := time.Now()
					if err != nil {
						b.Fatal(err)
					}
					if _, err := state.Decode(data); err != nil {
						b.Fatal(err)
					}
					size = len(data)
					copied, wrote, read = copied+t1.Sub(t0), wrote+t2.Sub(t1), read+time.Since(t2)
				})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(1<<20), "MiB/heap")
			ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / float64(b.N) }
			begin := time.Now()
			if _, err := r.l.Inspect(context.Background()); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(begin).Microseconds())/1000, "ms/view")
			b.ReportMetric(ms(pause), "ms/pause")
			b.ReportMetric(ms(copied), "ms/copy")
			b.ReportMetric(ms(wrote), "ms/encode")
			b.ReportMetric(ms(read), "ms/decode")
			b.ReportMetric(float64(size)/float64(1<<20), "MiB/snapshot")
		})
	}
}
