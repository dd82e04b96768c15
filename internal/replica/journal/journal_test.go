package journal_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
)

// run returns entries of one term with the indexes from first to last.
func run(term, first, last uint64) []quorum.Entry {
	var entries []quorum.Entry
	for i := first; i <= last; i++ {
		entries = append(entries, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryCommand, Data: fmt.Appendf(nil, "%d/%d", term, i)})
	}
	return entries
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func open(t *testing.T, c journal.Config, dir string) (*journal.Journal, journal.Recovered) {
	t.Helper()
	j, r, err := c.Open(dir)
	must(t, err)
	t.Cleanup(func() { _ = j.Close() })
	return j, r
}

func TestRoundTrip(t *testing.T) {
	for _, size := range []int64{0, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data", "journal")
			c := journal.Config{SegmentSize: size}
			j, r := open(t, c, dir)
			if diff := cmp.Diff(journal.Recovered{New: true}, r); diff != "" {
				t.Fatal(diff)
			}
			must(t, j.Append(&quorum.HardState{Term: 1, Vote: "a/1"}, run(1, 1, 9)))
			must(t, j.Append(nil, run(1, 10, 20)))
			must(t, j.Append(&quorum.HardState{Term: 2}, run(2, 5, 7)))
			must(t, j.Append(nil, run(2, 8, 8)))
			must(t, j.Close())
			_, r = open(t, c, dir)
			want := journal.Recovered{HardState: quorum.HardState{Term: 2}, Entries: append(run(1, 1, 4), run(2, 5, 8)...)}
			if diff := cmp.Diff(want, r); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func TestGapIsRefused(t *testing.T) {
	j, _ := open(t, journal.Config{}, t.TempDir())
	must(t, j.Append(nil, run(1, 7, 9)))
	for name, entries := range map[string][]quorum.Entry{
		"after the last": run(1, 11, 11),
		"inside":         append(run(1, 10, 10), run(1, 12, 12)...),
		"index 0":        {{Term: 1}},
	} {
		if err := j.Append(nil, entries); !errors.Is(err, journal.ErrIndexGap) {
			t.Errorf("%s: %v", name, err)
		}
	}
	must(t, j.Append(nil, run(1, 10, 10)))
}

// A replica that was away receives a snapshot of index 100 while its own log ends
// at 20. Compact makes room, and the log goes on at 101 with the vote kept.
func TestCompact(t *testing.T) {
	dir := t.TempDir()
	c := journal.Config{SegmentSize: 200}
	j, _ := open(t, c, dir)
	hard := quorum.HardState{Term: 3, Vote: "b/2"}
	must(t, j.Append(&hard, nil))
	for i := uint64(1); i <= 20; i++ {
		must(t, j.Append(nil, run(3, i, i)))
	}
	must(t, j.Compact(12))
	must(t, j.Close())
	j, r := open(t, c, dir)
	first := r.Entries[0].Index
	if first == 1 || first > 13 {
		t.Errorf("the first entry left is %d", first)
	}
	if diff := cmp.Diff(journal.Recovered{HardState: hard, Entries: run(3, first, 20)}, r); diff != "" {
		t.Fatal(diff)
	}
	must(t, j.Compact(100))
	must(t, j.Append(nil, run(3, 101, 102)))
	must(t, j.Close())
	_, r = open(t, c, dir)
	if diff := cmp.Diff(journal.Recovered{HardState: hard, Entries: run(3, 101, 102)}, r); diff != "" {
		t.Fatal(diff)
	}
}

// An operator finds a replica that does not start: a byte of its journal went bad
// while it was down. It must say which file and what to do, and must not start
// with a shorter log that it would vote with.
func TestDamageIsRefused(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, journal.Config{Preallocation: -1}, dir)
	for i := uint64(1); i <= 5; i++ {
		must(t, j.Append(nil, run(1, i, i)))
		must(t, j.Sync())
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	before, err := os.ReadFile(files[0])
	must(t, err)
	must(t, j.Close())
	whole, err := os.ReadFile(files[0])
	must(t, err)
	for at := range before {
		bad := append([]byte(nil), whole...)
		bad[at] ^= 0x10
		must(t, os.WriteFile(files[0], bad, 0o600))
		_, _, err := journal.Open(dir)
		var damage *journal.CorruptionError
		var version *journal.VersionError
		if !errors.As(err, &damage) && !errors.As(err, &version) {
			t.Fatalf("byte %d: %v", at, err)
		}
	}
	must(t, os.WriteFile(files[0], whole, 0o600))
	open(t, journal.Config{}, dir)
}

func TestMissingSegmentIsRefused(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, journal.Config{SegmentSize: 100}, dir)
	for i := uint64(1); i <= 20; i++ {
		must(t, j.Append(nil, run(1, i, i)))
	}
	must(t, j.Close())
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	must(t, os.Remove(files[1]))
	var damage *journal.CorruptionError
	if _, _, err := journal.Open(dir); !errors.As(err, &damage) {
		t.Fatal(err)
	}
}

// A process is killed with part of a frame in the file. The start after it tells
// so, for the log; the one after that, and one after a mere kill, do not.
func TestTornTailIsTold(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, journal.Config{}, dir)
	must(t, j.Append(nil, run(1, 1, 3)))
	must(t, j.Sync())
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	killed, err := os.ReadFile(files[0])
	must(t, err)
	must(t, j.Append(nil, run(1, 4, 9)))
	torn, err := os.ReadFile(files[0])
	must(t, err)
	clear(torn[len(bytes.TrimRight(torn, "\x00"))-5:])
	for _, c := range []struct {
		file []byte
		want bool
	}{{killed, false}, {torn, true}} {
		must(t, os.WriteFile(files[0], c.file, 0o600))
		for _, want := range []bool{c.want, false} {
			j, r := open(t, journal.Config{}, dir)
			if diff := cmp.Diff(journal.Recovered{Entries: run(1, 1, 3), TornTail: want}, r); diff != "" {
				t.Error(diff)
			}
			must(t, j.Close())
		}
	}
}
