package group_test

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/peer"
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
			entries[i] = quorum.Entry{Index: index, Term: 1, Kind: quorum.EntryCommand, Data: data}
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
		case n := <-g.Notifications():
			switch n := n.(type) {
			case group.Leading:
				term, next, committed = n.Term, n.LastIndex+1, n.LastIndex
				led <- struct{}{}
			case group.CommitAdvanced:
				for _, r := range held[:n.Index-committed] {
					close(r.done)
				}
				held, committed = held[n.Index-committed:], n.Index
			}
		case r := <-accept:
			rs := gather(r, in)
			p := group.Proposal{Term: term, FirstIndex: next}
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

// bench is replicas of one process on the real disk.
type bench struct {
	b      *testing.B
	groups []*group.Group
	bytes  []atomic.Int64
	stop   func()
}

// transport makes the way of one replica to the others, and ends it.
type transport func(bn *bench, i int, m quorum.Member) (group.Transport, func())

// timers carries messages by timers, 1.5 ms one way.
func timers() transport {
	n := newNetwork()
	return func(bn *bench, i int, m quorum.Member) (group.Transport, func()) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.groups[m.ID] = bn.groups[i]
		return link{n, m.ID}, func() {}
	}
}

// loopback carries messages by the real calls and counts their bytes.
func loopback(listeners []net.Listener) transport {
	return func(bn *bench, i int, m quorum.Member) (group.Transport, func()) {
		p := &peer.Pool{Cell: "bench", Self: m.ID, Deliver: bn.groups[i].Receive}
		server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(counted{listeners[i], &bn.bytes[i]}) }()
		return p, func() {
			p.Close()
			_ = server.Close()
		}
	}
}

// counted counts what comes in and what goes out.
type counted struct {
	net.Listener
	n *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.n}, err
}

type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

func newBench(b *testing.B, members []quorum.Member, way transport) *bench {
	ctx, cancel := context.WithCancel(context.Background())
	bn := &bench{b: b, bytes: make([]atomic.Int64, len(members))}
	ends := []func(){cancel}
	for i, m := range members {
		dir := b.TempDir()
		j, _, err := journal.Open(filepath.Join(dir, "journal"))
		if err != nil {
			b.Fatal(err)
		}
		g := &group.Group{
			Config:  quorum.Config{ID: m.ID, Address: m.Address, Seed: uint64(i), InitialMembers: members},
			Journal: j, Snapshots: snapshot.Store{Dir: filepath.Join(dir, "snapshot")},
			Now: func() time.Duration { return time.Since(start) }, Log: logr.Discard(),
		}
		bn.groups = append(bn.groups, g)
		var end func()
		g.Transport, end = way(bn, i, m)
		ends = append(ends, end)
	}
	for _, g := range bn.groups {
		go func() {
			if err := g.Run(ctx); err != nil {
				b.Error(err)
			}
		}()
		ends = append(ends, func() { <-g.Done() })
	}
	bn.stop = func() {
		for _, end := range ends {
			end()
		}
	}
	return bn
}

// listen gives three members that listen on the loopback.
func listen(b *testing.B) ([]quorum.Member, []net.Listener) {
	var members []quorum.Member
	var listeners []net.Listener
	for _, id := range []string{"a/1", "b/1", "c/1"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, l)
		members = append(members, quorum.Member{ID: id, Address: l.Addr().String()})
	}
	return members, listeners
}

// BenchmarkCommit gives, on one disk and in one run, the rate of group fsync
// alone, and that of the commits of one voter, of three that are 1.5 ms apart,
// and of three that talk by the real calls on the loopback.
func BenchmarkCommit(b *testing.B) {
	for b.Loop() {
		for _, n := range []int{1, callers} {
			compare(b, n)
		}
	}
}

func compare(b *testing.B, n int) {
	in := make(chan request, callers)
	ended := make(chan struct{})
	go func() { plain(b, in); close(ended) }()
	alone, p50, p99 := load(benchTime, n, in)
	close(in)
	<-ended
	b.Logf("%d callers, fsync alone: %.0f/s, p50 %v, p99 %v; round trip of the timers p50 %v", n, alone, p50, p99, roundTrip())
	show := func(what string, bn *bench) {
		rate, p50, p99 := commits(bn, n)
		b.Logf("%d callers, %s: %.0f/s (%.2f of alone), p50 %v, p99 %v", n, what, rate, rate/alone, p50, p99)
	}
	show("1 voter", newBench(b, three()[:1], timers()))
	show("3 voters, 1.5 ms", newBench(b, three(), timers()))
	members, listeners := listen(b)
	show("3 voters, loopback", newBench(b, members, loopback(listeners)))
}

const benchTime = 4 * time.Second

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

func commits(bn *bench, callers int) (float64, time.Duration, time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer bn.stop()
	defer cancel()
	in := make(chan request, callers)
	led := make(chan struct{}, len(bn.groups))
	for _, g := range bn.groups {
		go drive(ctx, g, in, led)
	}
	<-led
	return load(benchTime, callers, in)
}

// BenchmarkIdle gives the bytes a second that an idle replica of three receives
// and sends as the one that is called, with all that the calls add.
func BenchmarkIdle(b *testing.B) {
	for b.Loop() {
		members, listeners := listen(b)
		bn := newBench(b, members, loopback(listeners))
		for _, g := range bn.groups {
			go func() {
				for {
					select {
					case <-g.Notifications():
					case <-g.Done():
						return
					}
				}
			}()
		}
		time.Sleep(3 * time.Second)
		var before [3]int64
		for i := range bn.bytes {
			before[i] = bn.bytes[i].Load()
		}
		time.Sleep(5 * time.Second)
		for i := range bn.bytes {
			b.Logf("%s, leading %v: %d bytes a second", members[i].ID, bn.groups[i].Dump().Leading, (bn.bytes[i].Load()-before[i])/5)
		}
		bn.stop()
	}
}
