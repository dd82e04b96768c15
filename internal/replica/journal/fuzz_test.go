package journal_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
)

// FuzzOpen opens a journal whose newest segment holds arbitrary bytes. If Open
// accepts it, an append must succeed, and a restart must recover the same state
// plus the appended entry.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		memoryDisk := &disk.Memory{}
		file, err := memoryDisk.Create("/j/0000000000000001.journal")
		must(t, err)
		_, err = file.WriteAt(b, 0)
		must(t, err)
		config := journal.Config{Disk: memoryDisk, Preallocation: 100}
		j, recovered, err := config.Open("/j")
		if err != nil {
			return
		}
		next := quorum.Entry{Index: 1, Term: 9}
		if n := len(recovered.Entries); n > 0 {
			next.Index = recovered.Entries[n-1].Index + 1
		}
		must(t, j.Append(nil, []quorum.Entry{next}))
		must(t, j.Sync())
		memoryDisk.Restart(disk.AllLost)
		_, recoveredAgain, err := config.Open("/j")
		must(t, err)
		recovered.Entries, recovered.TornTail = append(recovered.Entries, next), false
		if diff := cmp.Diff(recovered, recoveredAgain, cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	})
}
