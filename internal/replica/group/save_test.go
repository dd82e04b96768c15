package group_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// A replica that ends since a snapshot can't be saved takes the quorum with it,
// although its log holds all that the snapshot would.
func TestUnsavedSnapshotEndsNothing(t *testing.T) {
	for _, cause := range []error{
		errors.Mark(errors.New("too many open files"), disk.ErrTooManyFiles),
		errors.Mark(errors.New("no space left on device"), disk.ErrDiskFull),
		errors.New("input/output error"),
	} {
		t.Run(cause.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, d := alone(t)
				d.set(func() { d.unsaved = cause })
				r.propose("x")
				time.Sleep(time.Second)
				r.g.Compact(2, []byte("two"))
				time.Sleep(3 * time.Second)
				r.propose("y")
				time.Sleep(time.Second)
				if got, leading := r.view(); len(got) != 2 || !leading {
					t.Fatalf("while it can't be saved: committed %v, leading %v", got, leading)
				}
				d.set(func() {
					if d.saves < 2 || d.saves > 8 {
						t.Errorf("%d tries", d.saves)
					}
					d.unsaved = nil
				})
				time.Sleep(10 * time.Second)
				if got := d.saved().Snapshot.Index; got != 2 {
					t.Errorf("afterwards the snapshot of %d is there", got)
				}
			})
		})
	}
}

// A disk that stalls under a snapshot must delay neither commits nor heartbeats.
func TestStalledSnapshotDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d := alone(t)
		stall := make(chan struct{})
		d.set(func() { d.stall = stall })
		r.propose("x")
		time.Sleep(time.Second)
		r.g.Compact(2, []byte("two"))
		for i := range 20 {
			r.propose(fmt.Sprint(i))
			time.Sleep(100 * time.Millisecond)
			r.g.Compact(uint64(3+i), []byte("later"))
		}
		if got, leading := r.view(); len(got) != 21 || !leading {
			t.Errorf("committed %d, leading %v", len(got), leading)
		}
		close(stall)
		time.Sleep(time.Second)
	})
}
