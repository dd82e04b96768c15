package group_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// Guards against a replica that stops because a snapshot cannot be saved. The
// group would lose its quorum, although the log contains everything that the
// snapshot would.
func TestFailedSnapshotDoesNotStopGroup(t *testing.T) {
	for _, cause := range []error{
		errors.Mark(errors.New("too many open files"), disk.ErrTooManyFiles),
		errors.Mark(errors.New("no space left on device"), disk.ErrDiskFull),
		errors.New("input/output error"),
	} {
		t.Run(cause.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, store := startSingleVoter(t)
				store.update(func() { store.saveErr = cause })
				r.propose("x")
				time.Sleep(time.Second)
				r.group.Compact(2, []byte("two"))
				time.Sleep(3 * time.Second)
				r.propose("y")
				time.Sleep(time.Second)
				if got, leading := r.currentState(); len(got) != 2 || !leading {
					t.Fatalf("while saving fails: committed %v, leading %v, want 2 commands and true", got, leading)
				}
				store.update(func() {
					if store.saveCalls < 2 || store.saveCalls > 8 {
						t.Errorf("%d attempts to save the snapshot, want 2 to 8", store.saveCalls)
					}
					store.saveErr = nil
				})
				time.Sleep(10 * time.Second)
				if got := store.recovered().Snapshot.Index; got != 2 {
					t.Errorf("after saving works again, the saved snapshot has index %d, want 2", got)
				}
			})
		})
	}
}

// Guards against commits or heartbeats that wait for a snapshot which the disk is
// slow to save.
func TestStalledSnapshotDoesNotDelayCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store := startSingleVoter(t)
		stall := make(chan struct{})
		store.update(func() { store.saveStall = stall })
		r.propose("x")
		time.Sleep(time.Second)
		r.group.Compact(2, []byte("two"))
		for i := range 20 {
			r.propose(fmt.Sprint(i))
			time.Sleep(100 * time.Millisecond)
			r.group.Compact(uint64(3+i), []byte("later"))
		}
		if got, leading := r.currentState(); len(got) != 21 || !leading {
			t.Errorf("while the save stalls: committed %d commands, leading %v, want 21 and true", len(got), leading)
		}
		close(stall)
		time.Sleep(time.Second)
	})
}
