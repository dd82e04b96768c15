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
	// maxCallers is the largest number of concurrent callers. BenchmarkCommit runs with
	// 1 and with 64 callers.
	maxCallers = 64
	// entryBytes is the size of a command.
	entryBytes = 256
)

// submittedCommand is the command of one caller. done is closed when the command
// is committed.
type submittedCommand struct{ done chan struct{} }

// runLoad lets each caller submit one command after the other for the given
// duration. It returns the total rate and the latencies.
func runLoad(duration time.Duration, callers int, submit chan<- submittedCommand) (perSecond float64, p50, p99 time.Duration) {
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	startedAt := time.Now()
	for range callers {
		wg.Go(func() {
			var callerLatencies []time.Duration
			for time.Since(startedAt) < duration {
				submittedAt, command := time.Now(), submittedCommand{make(chan struct{})}
				submit <- command
				<-command.done
				callerLatencies = append(callerLatencies, time.Since(submittedAt))
			}
			mu.Lock()
			latencies = append(latencies, callerLatencies...)
			mu.Unlock()
		})
	}
	wg.Wait()
	elapsed := time.Since(startedAt)
	slices.Sort(latencies)
	return float64(len(latencies)) / elapsed.Seconds(), latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}

// takeWaiting returns first and all commands that are waiting in the channel.
func takeWaiting(first submittedCommand, in <-chan submittedCommand) []submittedCommand {
	commands := []submittedCommand{first}
	for {
		select {
		case r := <-in:
			commands = append(commands, r)
		default:
			return commands
		}
	}
}

// runFsyncOnly is a journal with group commit but without consensus: it writes all
// waiting commands, syncs once and answers the callers.
func runFsyncOnly(b *testing.B, in <-chan submittedCommand) {
	j, _, err := journal.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	index := uint64(0)
	data := make([]byte, entryBytes)
	for r := range in {
		commands := takeWaiting(r, in)
		entries := make([]quorum.Entry, len(commands))
		for i := range commands {
			index++
			entries[i] = quorum.Entry{Index: index, Term: 1, Kind: quorum.EntryCommand, Data: data}
		}
		if err := j.Append(nil, entries); err != nil {
			b.Error(err)
		}
		if err := j.Sync(); err != nil {
			b.Error(err)
		}
		for _, r := range commands {
			close(r.done)
		}
	}
	_ = j.Close()
}

// runProposer is a minimal control thread. It assigns log indexes, proposes the
// waiting commands and answers the callers after the commit.
func runProposer(ctx context.Context, g *group.Group, in <-chan submittedCommand, elected chan<- struct{}) {
	var term, nextIndex, committed uint64
	var uncommitted []submittedCommand
	data := make([]byte, entryBytes)
	for {
		acceptedCommands := in
		if term == 0 {
			acceptedCommands = nil
		}
		select {
		case <-ctx.Done():
			return
		case n := <-g.Notifications():
			switch n := n.(type) {
			case group.Leading:
				term, nextIndex, committed = n.Term, n.LastIndex+1, n.LastIndex
				elected <- struct{}{}
			case group.CommitAdvanced:
				for _, r := range uncommitted[:n.Index-committed] {
					close(r.done)
				}
				uncommitted, committed = uncommitted[n.Index-committed:], n.Index
			}
		case r := <-acceptedCommands:
			commands := takeWaiting(r, in)
			proposal := group.Proposal{Term: term, FirstIndex: nextIndex}
			for range commands {
				proposal.Commands = append(proposal.Commands, data)
			}
			for !g.Propose(proposal) {
				time.Sleep(time.Millisecond)
			}
			uncommitted = append(uncommitted, commands...)
			nextIndex += uint64(len(commands))
		}
	}
}

// benchCluster is a group of replicas in this process that write to the real disk.
type benchCluster struct {
	b                *testing.B
	groups           []*group.Group
	transferredBytes []atomic.Int64
	stop             func()
}

// transportFactory creates the transport of replica i, and a function that closes
// it.
type transportFactory func(cluster *benchCluster, i int, m quorum.Member) (group.Transport, func())

// delayedTransport delivers messages in this process after oneWayDelay (1.5 ms).
func delayedTransport() transportFactory {
	n := newNetwork()
	return func(cluster *benchCluster, i int, m quorum.Member) (group.Transport, func()) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.groups[m.ID] = cluster.groups[i]
		return networkTransport{n, m.ID}, func() {}
	}
}

// loopbackTransport sends messages with peer.Pool over the loopback interface and
// counts the bytes on the server side.
func loopbackTransport(listeners []net.Listener) transportFactory {
	return func(cluster *benchCluster, i int, m quorum.Member) (group.Transport, func()) {
		pool := &peer.Transport{Cell: "bench", Self: m.ID, Deliver: cluster.groups[i].Receive}
		server := &http.Server{Handler: pool.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(countingListener{listeners[i], &cluster.transferredBytes[i]}) }()
		return pool, func() {
			pool.Close()
			_ = server.Close()
		}
	}
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	byteCount *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.byteCount}, err
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(int64(n))
	return n, err
}

func newBenchCluster(b *testing.B, members []quorum.Member, newTransport transportFactory) *benchCluster {
	ctx, cancel := context.WithCancel(context.Background())
	cluster := &benchCluster{b: b, transferredBytes: make([]atomic.Int64, len(members))}
	cleanups := []func(){cancel}
	for i, m := range members {
		dir := b.TempDir()
		j, _, err := journal.Open(filepath.Join(dir, "journal"))
		if err != nil {
			b.Fatal(err)
		}
		g := &group.Group{
			Config:  quorum.Config{ID: m.ID, Address: m.Address, Seed: uint64(i), InitialMembers: members},
			Journal: j, Snapshots: snapshot.Store{Dir: filepath.Join(dir, "snapshot")},
			Now: func() time.Duration { return time.Since(clockStart) }, Log: logr.Discard(),
		}
		cluster.groups = append(cluster.groups, g)
		var cleanup func()
		g.Transport, cleanup = newTransport(cluster, i, m)
		cleanups = append(cleanups, cleanup)
	}
	for _, g := range cluster.groups {
		go func() {
			if err := g.Run(ctx); err != nil {
				b.Error(err)
			}
		}()
		cleanups = append(cleanups, func() { <-g.Done() })
	}
	cluster.stop = func() {
		for _, cleanup := range cleanups {
			cleanup()
		}
	}
	return cluster
}

// listenOnLoopback returns three members with a listener each on the loopback
// interface.
func listenOnLoopback(b *testing.B) ([]quorum.Member, []net.Listener) {
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

// BenchmarkCommit compares, on one disk and in one run, the rate of grouped fsync
// calls with the commit rates of one voter, of three voters with a one-way delay of
// 1.5 ms, and of three voters that communicate over the loopback interface.
func BenchmarkCommit(b *testing.B) {
	for b.Loop() {
		for _, n := range []int{1, maxCallers} {
			compareCommitRates(b, n)
		}
	}
}

func compareCommitRates(b *testing.B, callerCount int) {
	in := make(chan submittedCommand, maxCallers)
	fsyncDone := make(chan struct{})
	go func() { runFsyncOnly(b, in); close(fsyncDone) }()
	fsyncRate, p50, p99 := runLoad(loadDuration, callerCount, in)
	close(in)
	<-fsyncDone
	b.Logf("%d callers, fsync alone: %.0f/s, p50 %v, p99 %v; timer round trip p50 %v", callerCount, fsyncRate, p50, p99, measureTimerRoundTrip())
	logRate := func(setup string, cluster *benchCluster) {
		rate, p50, p99 := measureCommits(cluster, callerCount)
		b.Logf("%d callers, %s: %.0f/s (%.2f of fsync alone), p50 %v, p99 %v", callerCount, setup, rate, rate/fsyncRate, p50, p99)
	}
	logRate("1 voter", newBenchCluster(b, threeMembers()[:1], delayedTransport()))
	logRate("3 voters, 1.5 ms", newBenchCluster(b, threeMembers(), delayedTransport()))
	members, listeners := listenOnLoopback(b)
	logRate("3 voters, loopback", newBenchCluster(b, members, loopbackTransport(listeners)))
}

// loadDuration is the time for which the callers of a benchmark submit commands.
const loadDuration = 4 * time.Second

// measureTimerRoundTrip returns the median time that two timers of oneWayDelay take
// one after the other in this process.
func measureTimerRoundTrip() time.Duration {
	var durations []time.Duration
	for range 200 {
		startedAt, done := time.Now(), make(chan struct{})
		time.AfterFunc(oneWayDelay, func() { time.AfterFunc(oneWayDelay, func() { close(done) }) })
		<-done
		durations = append(durations, time.Since(startedAt))
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

func measureCommits(cluster *benchCluster, callers int) (float64, time.Duration, time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cluster.stop()
	defer cancel()
	in := make(chan submittedCommand, callers)
	elected := make(chan struct{}, len(cluster.groups))
	for _, g := range cluster.groups {
		go runProposer(ctx, g, in, elected)
	}
	<-elected
	return runLoad(loadDuration, callers, in)
}

// BenchmarkIdle logs the bytes per second that each of three idle replicas
// receives and sends as a server, including the overhead of the calls.
func BenchmarkIdle(b *testing.B) {
	for b.Loop() {
		members, listeners := listenOnLoopback(b)
		cluster := newBenchCluster(b, members, loopbackTransport(listeners))
		for _, g := range cluster.groups {
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
		var bytesBefore [3]int64
		for i := range cluster.transferredBytes {
			bytesBefore[i] = cluster.transferredBytes[i].Load()
		}
		time.Sleep(5 * time.Second)
		for i := range cluster.transferredBytes {
			b.Logf("%s, leading %v: %d bytes/s", members[i].ID, cluster.groups[i].Dump().Leading, (cluster.transferredBytes[i].Load()-bytesBefore[i])/5)
		}
		cluster.stop()
	}
}
