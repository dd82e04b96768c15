package journal_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/journal"
)

// The next segment cannot be created because the disk is full or too many files are
// open. The journal must continue in the newest segment, because a failed append
// would end the replica.
func TestFailedSegmentCreationIsPostponed(t *testing.T) {
	for name, fault := range map[string]disk.Fault{"too many files": disk.TooManyFiles, "disk full": disk.DiskFull} {
		t.Run(name, func(t *testing.T) {
			memoryDisk := &disk.Memory{}
			var postponements int
			c := journal.Config{Disk: memoryDisk, SegmentSize: 200, Preallocation: -1, OnRollPostponed: func(error) { postponements++ }}
			j, _, err := c.Open("journal")
			must(t, err)
			injectFaults := true
			memoryDisk.InjectFault = func(_ int, op disk.Operation, _ string) disk.Fault {
				if injectFaults && (op == disk.Create || op == disk.SyncFolder) {
					return fault
				}
				return disk.NoFault
			}
			for i := range uint64(20) {
				must(t, j.Append(nil, entriesOfTerm(1, i+1, i+1)))
				must(t, j.Sync())
			}
			if postponements < 2 || postponements > 6 {
				t.Errorf("segment creation was postponed %d times, want 2 to 6", postponements)
			}
			if err := j.Compact(20); !errors.Is(err, journal.ErrDiskFull) && !errors.Is(err, journal.ErrTooManyFiles) {
				t.Errorf("Compact returned %v, want ErrDiskFull or ErrTooManyFiles", err)
			}
			injectFaults = false
			for i := range uint64(60) {
				must(t, j.Append(nil, entriesOfTerm(1, i+21, i+21)))
			}
			must(t, j.Close())
			names, err := memoryDisk.List("journal")
			must(t, err)
			if len(names) < 2 {
				t.Errorf("segments after the fault ended: %v, want at least 2", names)
			}
			_, got, err := c.Open("journal")
			must(t, err)
			if n := len(got.Entries); n == 0 || got.Entries[n-1].Index != 80 {
				t.Errorf("recovered %d entries, want the last one to have index 80", n)
			}
		})
	}
}
