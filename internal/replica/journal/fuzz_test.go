package journal_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
)

// FuzzOpen opens a journal whose newest segment holds any bytes. Either it is
// refused, or what it shows is shown again after a restart, and it goes on.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &disk.Memory{}
		file, err := m.Create("/j/0000000000000001.journal")
		must(t, err)
		_, err = file.WriteAt(b, 0)
		must(t, err)
		c := journal.Config{Disk: m, Preallocation: 100}
		j, first, err := c.Open("/j")
		if err != nil {
			return
		}
		next := quorum.Entry{Index: 1, Term: 9}
		if n := len(first.Entries); n > 0 {
			next.Index = first.Entries[n-1].Index + 1
		}
		must(t, j.Append(nil, []quorum.Entry{next}))
		must(t, j.Sync())
		m.Restart(disk.AllLost)
		_, second, err := c.Open("/j")
		must(t, err)
		first.Entries, first.TornTail = append(first.Entries, next), false
		if diff := cmp.Diff(first, second, cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	})
}
