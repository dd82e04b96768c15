package member_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/member"
)

func TestIdentityIsCreatedAndLoaded(t *testing.T) {
	s := member.Store{Dir: filepath.Join(t.TempDir(), "data")}
	if _, err := s.Load("cell", "a"); !errors.Is(err, member.ErrNoIdentity) {
		t.Fatal(err)
	}
	id, err := s.Create("cell", "a", bytes.NewReader([]byte("12345678")))
	if err != nil {
		t.Fatal(err)
	}
	want := member.Identity{Cell: "cell", Name: "a", Nonce: "3132333435363738"}
	got, err := s.Load("cell", "a")
	if diff := cmp.Diff([]member.Identity{want, want}, []member.Identity{id, got}); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
	for _, other := range [][2]string{{"cell", "b"}, {"other", "a"}} {
		if _, err := s.Load(other[0], other[1]); !errors.Is(err, member.ErrIdentityMismatch) {
			t.Errorf("%v: %v", other, err)
		}
	}
	if _, err := s.Create("cell", "a", bytes.NewReader([]byte("abcdefgh"))); !errors.Is(err, member.ErrIdentityExists) {
		t.Error(err)
	}
	if err := os.Truncate(filepath.Join(s.Dir, member.IdentityFile), 9); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load("cell", "a"); err == nil || errors.Is(err, member.ErrNoIdentity) {
		t.Error("a truncated identity file must give an error other than ErrNoIdentity, got:", err)
	}
}

// An operator starts a replica twice by mistake. The second process must not get the
// lock, because two processes that append to one journal would corrupt it.
func TestSecondLockIsRejected(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	l, err := member.AcquireLock(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := member.AcquireLock(dir); !errors.Is(err, member.ErrLocked) {
		t.Fatal(err)
	}
	if err := l.Release(); err != nil {
		t.Fatal(err)
	}
	if l, err = member.AcquireLock(dir); err != nil {
		t.Fatal(err)
	}
	_ = l.Release()
}

// The machine loses power while an identity is created. Afterwards the folder holds
// either no identity or the complete new one. Once Create has returned, it always
// holds the new one.
func TestIdentityCreationIsAtomic(t *testing.T) {
	for operation := 1; ; operation++ {
		for _, fault := range []disk.Fault{disk.CrashBefore, disk.CrashDuring} {
			for _, outcome := range disk.CrashOutcomes {
				memoryDisk := &disk.Memory{InjectFault: func(count int, _ disk.Operation, _ string) disk.Fault {
					if count == operation {
						return fault
					}
					return disk.NoFault
				}}
				s := member.Store{Dir: "/data", Disk: memoryDisk}
				created, err := s.Create("cell", "a", bytes.NewReader([]byte("12345678")))
				memoryDisk.InjectFault = nil
				memoryDisk.Restart(outcome)
				loaded, loadErr := s.Load("cell", "a")
				memoryDisk.Restart(disk.AllLost)
				reloaded, _ := s.Load("cell", "a")
				switch {
				case err == nil && (loadErr != nil || loaded != created):
					t.Fatalf("operation %d: Load after Create returned %v, %v", operation, loaded, loadErr)
				case loadErr != nil && !errors.Is(loadErr, member.ErrNoIdentity):
					t.Fatalf("operation %d: Load returned %v, want ErrNoIdentity", operation, loadErr)
				case loaded != reloaded:
					t.Fatalf("operation %d: loaded %v, but %v after another crash", operation, loaded, reloaded)
				}
				if err == nil && outcome == disk.SecondHalfKept {
					return
				}
			}
		}
	}
}
