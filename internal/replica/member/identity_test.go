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

func TestIdentity(t *testing.T) {
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
		t.Error("a damaged identity must be a refusal of its own:", err)
	}
}

// An operator starts a replica twice by mistake. Two processes that append to one
// journal would destroy it, so the second must not start.
func TestLock(t *testing.T) {
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

// The machine loses power while a replica is made. Afterwards the folder holds no
// identity or the one that was made, and always that one once Make has returned.
func TestMakeIsAllOrNothing(t *testing.T) {
	for n := 1; ; n++ {
		for _, fault := range []disk.Fault{disk.CrashBefore, disk.CrashDuring} {
			for _, o := range disk.CrashOutcomes {
				m := &disk.Memory{InjectFault: func(count int, _ disk.Operation, _ string) disk.Fault {
					if count == n {
						return fault
					}
					return disk.NoFault
				}}
				s := member.Store{Dir: "/data", Disk: m}
				made, err := s.Create("cell", "a", bytes.NewReader([]byte("12345678")))
				m.InjectFault = nil
				m.Restart(o)
				got, found := s.Load("cell", "a")
				m.Restart(disk.AllLost)
				again, _ := s.Load("cell", "a")
				switch {
				case err == nil && (found != nil || got != made):
					t.Fatalf("operation %d: %v, %v", n, got, found)
				case found != nil && !errors.Is(found, member.ErrNoIdentity):
					t.Fatalf("operation %d: %v", n, found)
				case got != again:
					t.Fatalf("operation %d: shown once and then lost: %v", n, got)
				}
				if err == nil && o == disk.SecondHalfKept {
					return
				}
			}
		}
	}
}
