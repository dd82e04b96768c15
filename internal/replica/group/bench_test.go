package group_test

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

const (
	callers    = 64
	entryBytes = 256
)

// request is one caller's command; done is closed when it is committed.
type request struct{ done chan struct{} }

// load lets 64 callers do one command after the other for a while, and gives
// the rate and the latencies.
func load(d time.Duration, callers int, submit chan<- request) (perSecond float64, p50, p99 time.Duration) {
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	began := time.Now()
	for range callers {
		wg.Go(func() {
			var own []time.Duration
			for time.Since(began) < d {
				t, r := time.Now(), request{make(chan struct{})}
				submit <- r
				<-r.done
				own = append(own, time.Since(t))
			}
			mu.Lock()
			all = append(all, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	took := time.Since(began)
	slices.Sort(all)
	return float64(len(all)) / took.Seconds(), all[len(all)/2], all[len(all)*99/100]
}

// gather takes all requests that wait.
func gather(first request, in <-chan request) []request {
	rs := []request{first}
	for {
		select {
		case r := <-in:
			rs = append(rs, r)
		default:
			return rs
		}
	}
}

// plain is group fsync without consensus: write what waits, sync, answer.
func plain(b *testing.B, in <-chan request) {
	j, _, err := journal.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	index := uint64(0)
	data := make([]byte, entryBytes)
	for r := range in {
		rs := gather(r, in)
		entries := make([]quorum.Entry, len(rs))
		for i := range rs {
			index++
			entries[i] = quorum.Entry{Index: index, Term: 1, Kind: quorum.Command, Data: data}
		}
		if err := j.Append(nil, entries); err != nil {
			b.Error(err)
		}
		if err := j.Sync(); err != nil {
			b.Error(err)
		}
		for _, r := range rs {
			close(r.done)
		}
	}
	_ = j.Close()
}

// drive is the smallest control thread: it numbers, proposes and answers.
func drive(ctx context.Context, g *group.Group, in <-chan request, led chan<- struct{}) {
	var term, next, committed uint64
	var held []request
	data := make([]byte, entryBytes)
	for {
		accept := in
		if term == 0 {
			accept = nil
		}
		select {
		case <-ctx.Done():
			return
		case n := <-g.Notes():
			switch n := n.(type) {
			case group.Lead:
				term, next, committed = n.Term, n.Last+1, n.Last
				led <- struct{}{}
			case group.Commit:
				for _, r := range held[:n.Index-committed] {
					close(r.done)
				}
				held, committed = held[n.Index-committed:], n.Index
			}
		case r := <-accept:
			rs := gather(r, in)
			p := group.Proposal{Term: term, First: next}
			for range rs {
				p.Commands = append(p.Commands, data)
			}
			for !g.Propose(p) {
				time.Sleep(time.Millisecond)
			}
			held = append(held, rs...)
			next += uint64(len(rs))
		}
	}
}

// realGroup starts a replica on the real disk.
func realGroup(ctx context.Context, b *testing.B, id string, peer group.Peer, members []quorum.Member) (*group.Group, <-chan struct{}) {
	dir := b.TempDir()
	j, _, err := journal.Open(filepath.Join(dir, "journal"))
	if err != nil {
		b.Fatal(err)
	}
	g := &group.Group{
		Config:  quorum.Config{ID: id, Address: id, Seed: uint64(id[0]), Bootstrap: members},
		Journal: j, Snapshots: snapshot.Store{Dir: filepath.Join(dir, "snapshot")}, Peer: peer,
		Now: func() time.Duration { return time.Since(start) }, Log: logr.Discard(),
	}
	go func() {
		if err := g.Run(ctx); err != nil {
			b.Error(err)
		}
	}()
	return g, g.Done()
}

// BenchmarkCommit gives, on one disk and in one run, the rate of group fsync
// alone, and that of the commits of one voter and of three in this process.
func BenchmarkCommit(b *testing.B) {
	for b.Loop() {
		for _, n := range []int{1, callers} {
			compare(b, n)
		}
	}
}

func compare(b *testing.B, n int) {
	const d = 5 * time.Second
	in := make(chan request, callers)
	ended := make(chan struct{})
	go func() { plain(b, in); close(ended) }()
	alone, p50, p99 := load(d, n, in)
	close(in)
	<-ended
	b.Logf("%d callers, fsync alone: %.0f/s, p50 %v, p99 %v; round trip p50 %v", n, alone, p50, p99, roundTrip())
	for _, size := range []int{1, 3} {
		rate, p50, p99 := commits(b, d, n, size)
		b.Logf("%d callers, %d voters: %.0f/s (%.2f of alone), p50 %v, p99 %v", n, size, rate, rate/alone, p50, p99)
	}
}

// roundTrip is what two ways through the timers take in this process.
func roundTrip() time.Duration {
	var all []time.Duration
	for range 200 {
		began, done := time.Now(), make(chan struct{})
		time.AfterFunc(oneWay, func() { time.AfterFunc(oneWay, func() { close(done) }) })
		<-done
		all = append(all, time.Since(began))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func commits(b *testing.B, d time.Duration, callers, size int) (float64, time.Duration, time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	n := newNetwork()
	in := make(chan request, callers)
	led := make(chan struct{}, size)
	var ends []<-chan struct{}
	for _, m := range three()[:size] {
		g, done := realGroup(ctx, b, m.ID, link{n, m.ID}, three()[:size])
		n.mu.Lock()
		n.groups[m.ID] = g
		n.mu.Unlock()
		ends = append(ends, done)
		go drive(ctx, g, in, led)
	}
	<-led
	rate, p50, p99 := load(d, callers, in)
	cancel()
	for _, done := range ends {
		<-done
	}
	return rate, p50, p99
}
