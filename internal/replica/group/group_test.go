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

func threeMembers() []quorum.Member {
	return []quorum.Member{{ID: "a/1", Address: "a/1"}, {ID: "b/1", Address: "b/1"}, {ID: "c/1", Address: "c/1"}}
}

func newNetwork() *network {
	return &network{groups: map[string]*group.Group{}, isolated: map[string]bool{}}
}

func newMemoryStore() *memoryStore { return &memoryStore{freeBytes: 1 << 40} }

func TestSingleVoterCommitsAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, store := newNetwork(), newMemoryStore()
		self := quorum.Member{ID: "a/1", Address: "a/1"}
		r := startReplica(t, n, "a/1", store, self)
		waitForLeader(t, r)
		want := numberedCommands("x", 500)
		for i := range want {
			r.propose(want[i])
			synctest.Wait()
		}
		time.Sleep(200 * time.Millisecond)
		got, _ := r.currentState()
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
		if r.confirmedRoundStart == 0 {
			t.Error("no heartbeat round was confirmed")
		}
		r.group.Compact(100, []byte("first hundred"))
		time.Sleep(50 * time.Millisecond)
		r.cancel()
		<-r.group.Done()
		restarted := startReplica(t, n, "a/1", store, self)
		waitForLeader(t, restarted)
		got, _ = restarted.currentState()
		// Log index 1 is the first membership, index 2 the empty entry of the leader.
		if d := cmp.Diff(append([]string{"first hundred"}, want[98:]...), got); d != "" {
			t.Fatal(d)
		}
	})
}

// startThreeReplicas starts the replicas of threeMembers and waits until one of them leads.
func startThreeReplicas(t *testing.T) (n *network, replicas []*replica, leader *replica) {
	n = newNetwork()
	for _, m := range threeMembers() {
		replicas = append(replicas, startReplica(t, n, m.ID, newMemoryStore(), threeMembers()...))
	}
	return n, replicas, waitForLeader(t, replicas...)
}

// allExcept returns the replicas without one of them.
func allExcept(one *replica, replicas []*replica) []*replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r *replica) bool { return r == one })
}

func TestThreeReplicasApplySameCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, replicas, leader := startThreeReplicas(t)
		want := numberedCommands("x", 100)
		if !leader.propose(want...) {
			t.Fatal("the leader did not accept the proposals")
		}
		time.Sleep(time.Second)
		for _, r := range replicas {
			got, _ := r.currentState()
			if d := cmp.Diff(want, got); d != "" {
				t.Error(r.group.Config.ID, d)
			}
		}
	})
}

// Guards against a leader that reports proposals as committed after the network
// has isolated it. The other replicas elect a new leader. When the old leader is
// reachable again, it must drop its uncommitted entries and reach the same state
// as the other replicas.
func TestIsolatedLeaderDropsUncommittedCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, replicas, oldLeader := startThreeReplicas(t)
		oldLeader.propose(numberedCommands("x", 10)...)
		time.Sleep(time.Second)
		n.mu.Lock()
		n.isolated[oldLeader.group.Config.ID] = true
		n.mu.Unlock()
		oldLeader.propose(numberedCommands("lost", 10)...)
		time.Sleep(620 * time.Millisecond)
		if got, leading := oldLeader.currentState(); leading || len(got) != 10 {
			t.Errorf("isolated for longer than an election timeout: leading is %v, committed %d commands, want false and 10", leading, len(got))
		}
		newLeader := waitForLeader(t, allExcept(oldLeader, replicas)...)
		newLeader.propose(numberedCommands("y", 10)...)
		time.Sleep(time.Second)
		n.mu.Lock()
		n.isolated = map[string]bool{}
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		want := append(numberedCommands("x", 10), numberedCommands("y", 10)...)
		for _, r := range replicas {
			got, _ := r.currentState()
			if d := cmp.Diff(want, got); d != "" {
				t.Error(r.group.Config.ID, d)
			}
		}
	})
}

func TestLeadershipTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, replicas, leader := startThreeReplicas(t)
		leader.propose(numberedCommands("x", 10)...)
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		startedAt := time.Now()
		if err := leader.group.TransferLeadership(ctx); err != nil {
			t.Fatal(err)
		}
		if duration := time.Since(startedAt); duration > 100*time.Millisecond {
			t.Errorf("the transfer took %v, want at most 100 ms", duration)
		}
		synctest.Wait()
		if newLeader := waitForLeader(t, replicas...); newLeader == leader {
			t.Error("the leader did not change")
		}
	})
}

// Guards against a leader that keeps the lead because it waits for its control thread, which takes
// no notifications.
func TestLeaderWhoseControlThreadStandsHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, replicas, leader := startThreeReplicas(t)
		leader.propose(numberedCommands("x", 10)...)
		time.Sleep(300 * time.Millisecond)
		end := make(chan struct{})
		leader.stand <- end
		leader.group.Abstain(false)
		leader.group.Abstain(true)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		next := waitForLeader(t, allExcept(leader, replicas)...)
		next.propose(numberedCommands("y", 10)...)
		time.Sleep(time.Minute)
		close(end)
		time.Sleep(time.Second)
		want := append(numberedCommands("x", 10), numberedCommands("y", 10)...)
		for _, r := range replicas {
			got, leads := r.currentState()
			if d := cmp.Diff(want, got); d != "" || leads != (r == next) {
				t.Error(r.group.Config.ID, leads, d)
			}
		}
	})
}

// Guards against a group that repeats a failed fsync. Linux reports the error once,
// and the next fsync succeeds although the pages are lost. The group would then
// acknowledge entries that are not on the disk, so it must stop instead.
func TestFailedSyncStopsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store := startSingleVoter(t)
		syncErr := errors.New("input/output error")
		store.update(func() { store.syncErr = syncErr })
		r.propose("x")
		if err := <-r.runErr; !errors.Is(err, syncErr) {
			t.Errorf("Run returned %v, want %v", err, syncErr)
		}
		if got, _ := r.currentState(); len(got) != 0 {
			t.Errorf("committed %v although the sync failed", got)
		}
	})
}

// Guards against a replica that a disk keeps from stopping: a write or the save of a snapshot does not
// end. The stop must say that the disk stands, and what was not synced must not count as stored.
func TestDiskThatStandsDoesNotHoldUpTheStop(t *testing.T) {
	for name, stall := range map[string]func(*memoryStore, chan struct{}){
		"sync": func(m *memoryStore, end chan struct{}) { m.syncStall = end },
		"save": func(m *memoryStore, end chan struct{}) { m.saveStall = end },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, store := startSingleVoter(t)
				r.propose("stored")
				time.Sleep(time.Second)
				end := make(chan struct{})
				store.update(func() { stall(store, end) })
				r.group.Compact(2, []byte("state"))
				r.propose("late")
				time.Sleep(time.Second)
				r.cancel()
				select {
				case err := <-r.runErr:
					if !errors.Is(err, group.ErrDiskStands) {
						t.Errorf("Run returned %v, want %v", err, group.ErrDiskStands)
					}
				case <-time.After(time.Minute):
					t.Error("Run did not return within a minute")
				}
				if got, _ := r.currentState(); name == "sync" && len(got) != 1 {
					t.Errorf("committed %v, want only what was synced", got)
				}
				if name == "sync" && store.isClosed() {
					t.Error("the journal was closed while a sync had not ended")
				}
				close(end)
				time.Sleep(time.Second)
				if !store.isClosed() {
					t.Error("the journal was not closed after the disk went on")
				}
			})
		})
	}
}

// Guards against a group that stops, and is restarted again and again, while its
// disk is full. The group must report the full disk, commit nothing that is not
// written, and resume when there is free space again.
func TestGroupResumesAfterFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store := startSingleVoter(t)
		store.update(func() { store.appendErr, store.freeBytes = disk.ErrDiskFull, 0 })
		r.propose("x")
		time.Sleep(3 * time.Second)
		if got, leading := r.currentState(); len(got) != 0 || !leading || !r.diskFull {
			t.Errorf("full disk: committed %v, leading %v, disk reported full %v", got, leading, r.diskFull)
		}
		store.update(func() { store.appendErr, store.freeBytes = nil, 1<<40 })
		time.Sleep(3 * time.Second)
		if got, leading := r.currentState(); len(got) != 1 || !leading || r.diskFull {
			t.Errorf("free space again: committed %v, leading %v, disk reported full %v", got, leading, r.diskFull)
		}
	})
}

// Guards against a replica that cannot catch up after the other replicas have
// compacted the log entries that it lacks. It must install the snapshot and empty
// its journal, which accepts no gap, before it appends later entries. The second
// iteration checks the state after a restart.
func TestSnapshotInstalledOnLaggingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		stores := []*memoryStore{newMemoryStore(), newMemoryStore(), newMemoryStore()}
		var replicas []*replica
		for i, m := range threeMembers() {
			replicas = append(replicas, startReplica(t, n, m.ID, stores[i], threeMembers()...))
		}
		leader := waitForLeader(t, replicas...)
		stoppedIndex := 0
		for replicas[stoppedIndex] == leader {
			stoppedIndex++
		}
		replicas[stoppedIndex].cancel()
		<-replicas[stoppedIndex].group.Done()
		largeCommand := strings.Repeat("x", 1<<20)
		for range 2 * quorum.DefaultLogTailBytes >> 20 {
			leader.propose(largeCommand)
			time.Sleep(200 * time.Millisecond)
		}
		// Log index 1 is the first membership, index 2 the empty entry of the leader.
		// The snapshot at index 17 therefore contains fifteen commands.
		for _, r := range replicas {
			if r != replicas[stoppedIndex] {
				r.group.Compact(17, []byte("fifteen"))
			}
		}
		time.Sleep(time.Second)
		want, _ := leader.currentState()
		want = append([]string{"fifteen"}, want[15:]...)
		for range 2 {
			replicas[stoppedIndex] = startReplica(t, n, replicas[stoppedIndex].group.Config.ID, stores[stoppedIndex], threeMembers()...)
			time.Sleep(3 * time.Second)
			if got, _ := replicas[stoppedIndex].currentState(); !slices.Equal(want, got) {
				t.Fatalf("the replica has applied %d commands, want %d: %+v", len(got), len(want), replicas[stoppedIndex].group.Dump())
			}
			replicas[stoppedIndex].cancel()
			<-replicas[stoppedIndex].group.Done()
		}
	})
}

// Guards against a ledger that differs permanently from those of the other
// replicas. The control thread of a deposed leader has applied commands without a
// quorum, and older notifications are still queued when it calls Reload. After Reload,
// RestoreSnapshot must come before all notifications about log entries.
func TestReloadDiscardsOlderNotifications(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startGroupWithoutReader(t)
		time.Sleep(2 * time.Second)
		r.Reload()
		var got []string
		for len(got) == 0 || got[len(got)-1] != "group.Leading" {
			got = append(got, fmt.Sprintf("%T", <-r.Notifications()))
		}
		want := []string{"group.Following", "group.Following", "group.MembershipChanged", "group.RestoreSnapshot", "group.ApplyEntries", "group.Leading"}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
	})
}

// startGroupWithoutReader starts a group with one voter whose notifications are not
// read.
func startGroupWithoutReader(t *testing.T) *group.Group {
	t.Helper()
	store, n, self := newMemoryStore(), newNetwork(), quorum.Member{ID: "a/1", Address: "a/1"}
	g := &group.Group{
		Config:  quorum.Config{ID: self.ID, Address: self.Address, Seed: 1, InitialMembers: []quorum.Member{self}},
		Journal: store, Snapshots: store, Transport: networkTransport{n, self.ID},
		Now: func() time.Duration { return time.Since(clockStart) }, Log: logr.Discard(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = g.Run(ctx) }()
	return g
}
