package group_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

func three() []quorum.Member {
	return []quorum.Member{{ID: "a/1", Address: "a/1"}, {ID: "b/1", Address: "b/1"}, {ID: "c/1", Address: "c/1"}}
}

func newNetwork() *network {
	return &network{groups: map[string]*group.Group{}, silent: map[string]bool{}}
}

func roomy() *memory { return &memory{free: 1 << 40} }

func TestSingleVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, disk := newNetwork(), roomy()
		self := quorum.Member{ID: "a/1", Address: "a/1"}
		r := run(t, n, "a/1", disk, self)
		leaderOf(t, r)
		want := commands("x", 500)
		for i := range want {
			r.propose(want[i])
			synctest.Wait()
		}
		time.Sleep(200 * time.Millisecond)
		got, _ := r.view()
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
		if r.confirm == 0 {
			t.Error("no round was confirmed")
		}
		r.g.Compact(100, []byte("first hundred"))
		time.Sleep(50 * time.Millisecond)
		r.cancel()
		<-r.g.Done()
		again := run(t, n, "a/1", disk, self)
		leaderOf(t, again)
		got, _ = again.view()
		// Index 1 is the bootstrap, 2 the leader's empty entry.
		if d := cmp.Diff(append([]string{"first hundred"}, want[98:]...), got); d != "" {
			t.Fatal(d)
		}
	})
}

func TestThreeReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var rs []*replica
		for _, m := range three() {
			rs = append(rs, run(t, n, m.ID, roomy(), three()...))
		}
		l := leaderOf(t, rs...)
		want := commands("x", 100)
		if !l.propose(want...) {
			t.Fatal("refused")
		}
		time.Sleep(time.Second)
		for _, r := range rs {
			got, _ := r.view()
			if d := cmp.Diff(want, got); d != "" {
				t.Error(r.g.Config.ID, d)
			}
		}
	})
}

// A leader is cut off silently while it has work in flight.
// Callers of that work must not be told that it is done: the others elect a
// leader and go on. When the old one is back, it drops what nobody committed
// and ends in the state of the others.
func TestLeaderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var rs []*replica
		for _, m := range three() {
			rs = append(rs, run(t, n, m.ID, roomy(), three()...))
		}
		old := leaderOf(t, rs...)
		old.propose(commands("x", 10)...)
		time.Sleep(time.Second)
		n.mu.Lock()
		n.silent[old.g.Config.ID] = true
		n.mu.Unlock()
		old.propose(commands("lost", 10)...)
		time.Sleep(620 * time.Millisecond)
		if got, leading := old.view(); leading || len(got) != 10 {
			t.Errorf("cut off for longer than an election timeout: leading %v with %d commands", leading, len(got))
		}
		var others []*replica
		for _, r := range rs {
			if r != old {
				others = append(others, r)
			}
		}
		l := leaderOf(t, others...)
		l.propose(commands("y", 10)...)
		time.Sleep(time.Second)
		n.mu.Lock()
		n.silent = map[string]bool{}
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		want := append(commands("x", 10), commands("y", 10)...)
		for _, r := range rs {
			got, _ := r.view()
			if d := cmp.Diff(want, got); d != "" {
				t.Error(r.g.Config.ID, d)
			}
		}
	})
}

func TestTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var rs []*replica
		for _, m := range three() {
			rs = append(rs, run(t, n, m.ID, roomy(), three()...))
		}
		l := leaderOf(t, rs...)
		l.propose(commands("x", 10)...)
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		if err := l.g.TransferLeadership(ctx); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("took %v", took)
		}
		synctest.Wait()
		if next := leaderOf(t, rs...); next == l {
			t.Error("the leader did not change")
		}
	})
}

// A disk reports a failed fsync once and succeeds the next time, as Linux does,
// though the pages are lost. A group that tried again would acknowledge entries
// that are on no disk; so it ends.
func TestFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, disk := alone(t)
		broken := errors.New("input/output error")
		disk.set(func() { disk.broken = broken })
		r.propose("x")
		if err := <-r.err; !errors.Is(err, broken) {
			t.Errorf("Run returned %v", err)
		}
		if got, _ := r.view(); len(got) != 0 {
			t.Errorf("committed %v", got)
		}
	})
}

// A disk has no room for a while. Callers get refusals meanwhile, and nothing
// that was not written is acknowledged; when there is room the group goes on
// by itself instead of ending and being started over and over.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d := alone(t)
		d.set(func() { d.refuse, d.free = disk.ErrDiskFull, 0 })
		r.propose("x")
		time.Sleep(3 * time.Second)
		if got, leading := r.view(); len(got) != 0 || !leading || !r.full {
			t.Errorf("full disk: committed %v, leading %v, told %v", got, leading, r.full)
		}
		d.set(func() { d.refuse, d.free = nil, 1<<40 })
		time.Sleep(3 * time.Second)
		if got, leading := r.view(); len(got) != 1 || !leading || r.full {
			t.Errorf("room again: committed %v, leading %v, told full %v", got, leading, r.full)
		}
	})
}

// A replica was away until the others forgot the log that it lacks.
// It gets the snapshot; its journal, which takes no gap, is emptied first, and
// after a restart the replica has the same state.
func TestSnapshotForReplicaThatWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		disks := []*memory{roomy(), roomy(), roomy()}
		var rs []*replica
		for i, m := range three() {
			rs = append(rs, run(t, n, m.ID, disks[i], three()...))
		}
		l := leaderOf(t, rs...)
		away := 0
		for rs[away] == l {
			away++
		}
		rs[away].cancel()
		<-rs[away].g.Done()
		big := strings.Repeat("x", 1<<20)
		for range 2 * quorum.DefaultLogTailBytes >> 20 {
			l.propose(big)
			time.Sleep(200 * time.Millisecond)
		}
		// Index 1 is the bootstrap, 2 the leader's empty entry.
		for _, r := range rs {
			if r != rs[away] {
				r.g.Compact(17, []byte("fifteen"))
			}
		}
		time.Sleep(time.Second)
		want, _ := l.view()
		want = append([]string{"fifteen"}, want[15:]...)
		for range 2 {
			rs[away] = run(t, n, rs[away].g.Config.ID, disks[away], three()...)
			time.Sleep(3 * time.Second)
			if got, _ := rs[away].view(); !slices.Equal(want, got) {
				t.Fatalf("has %d commands instead of %d: %+v", len(got), len(want), rs[away].g.Dump())
			}
			rs[away].cancel()
			<-rs[away].g.Done()
		}
	})
}

// A deposed leader's control thread has applied commands that nobody agreed on,
// and notes of the time before its reload are still on their way to it.
// Applied to that state they would make it differ from all others for good, so
// the first that comes after Reload is the state that it starts over from.
func TestNothingBetweenReloadAndRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start1(t)
		time.Sleep(2 * time.Second)
		r.Reload()
		var got []string
		for len(got) == 0 || got[len(got)-1] != "group.Lead" {
			got = append(got, fmt.Sprintf("%T", <-r.Notifications()))
		}
		want := []string{"group.Follow", "group.Follow", "group.Members", "group.Restore", "group.Apply", "group.Lead"}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
	})
}

// start1 runs one voter whose notes nobody reads yet.
func start1(t *testing.T) *group.Group {
	t.Helper()
	d, n, self := roomy(), newNetwork(), quorum.Member{ID: "a/1", Address: "a/1"}
	g := &group.Group{
		Config:  quorum.Config{ID: self.ID, Address: self.Address, Seed: 1, InitialMembers: []quorum.Member{self}},
		Journal: d, Snapshots: d, Transport: link{n, self.ID},
		Now: func() time.Duration { return time.Since(start) }, Log: logr.Discard(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = g.Run(ctx) }()
	return g
}
