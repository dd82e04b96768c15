package snapshot_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

var meta = snapshot.Meta{Index: 7, Term: 3, Members: []quorum.Member{
	{ID: "a/1", Address: "127.0.0.1:1"},
	{ID: "b/2", Address: "127.0.0.1:2", Learner: true},
}}

func TestRoundTrip(t *testing.T) {
	s := snapshot.Store{Dir: filepath.Join(t.TempDir(), "data", "snapshot")}
	got, _, err := s.Load()
	if err != nil || got.Index != 0 {
		t.Fatal(got, err)
	}
	for _, index := range []uint64{7, 300} {
		want := meta
		want.Index = index
		if err := s.Save(want, []byte("state")); err != nil {
			t.Fatal(err)
		}
		got, state, err := s.Load()
		if diff := cmp.Diff(want, got); err != nil || diff != "" || string(state) != "state" {
			t.Fatal(diff, string(state), err)
		}
	}
	if files, _ := filepath.Glob(filepath.Join(s.Dir, "*")); len(files) != 1 {
		t.Errorf("left are %v", files)
	}
}

// A replica's only snapshot has gone bad. Starting as if there were none would
// make it a blank replica that votes under an old name.
func TestDamageIsRefused(t *testing.T) {
	s := snapshot.Store{Dir: t.TempDir()}
	if err := s.Save(meta, []byte("state")); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(s.Dir, "*"))
	whole, _ := os.ReadFile(files[0])
	for at := range whole {
		bad := append([]byte(nil), whole...)
		bad[at] ^= 1
		_ = os.WriteFile(files[0], bad, 0o600)
		_, _, err := s.Load()
		var damage *snapshot.CorruptionError
		var version *snapshot.VersionError
		if !errors.As(err, &damage) && !errors.As(err, &version) {
			t.Fatalf("byte %d: %v", at, err)
		}
	}
	_ = os.WriteFile(files[0], whole[:len(whole)/2], 0o600)
	if _, _, err := s.Load(); err == nil {
		t.Error("half a snapshot was accepted")
	}
}
