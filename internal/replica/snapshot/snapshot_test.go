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

var testMeta = snapshot.Meta{Index: 7, Term: 3, Members: []quorum.Member{
	{ID: "a/1", Address: "127.0.0.1:1"},
	{ID: "b/2", Address: "127.0.0.1:2", Learner: true},
}}

func TestSavedSnapshotIsLoaded(t *testing.T) {
	s := snapshot.Store{Dir: filepath.Join(t.TempDir(), "data", "snapshot")}
	got, _, err := s.Load()
	if err != nil || got.Index != 0 {
		t.Fatal(got, err)
	}
	for _, index := range []uint64{7, 300} {
		want := testMeta
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
		t.Errorf("files after the second Save: %v, want one", files)
	}
}

// The only snapshot of a replica is corrupted or truncated. Load must fail. If it
// reported no snapshot, the replica would vote under its old identity with an empty log.
func TestLoadRejectsCorruption(t *testing.T) {
	s := snapshot.Store{Dir: t.TempDir()}
	if err := s.Save(testMeta, []byte("state")); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(s.Dir, "*"))
	intact, _ := os.ReadFile(files[0])
	for offset := range intact {
		corrupted := append([]byte(nil), intact...)
		corrupted[offset] ^= 1
		_ = os.WriteFile(files[0], corrupted, 0o600)
		_, _, err := s.Load()
		var corruptionErr *snapshot.CorruptionError
		var versionErr *snapshot.VersionError
		if !errors.As(err, &corruptionErr) && !errors.As(err, &versionErr) {
			t.Fatalf("byte %d: %v", offset, err)
		}
	}
	_ = os.WriteFile(files[0], intact[:len(intact)/2], 0o600)
	if _, _, err := s.Load(); err == nil {
		t.Error("Load accepted a snapshot that was truncated to half its size")
	}
}
