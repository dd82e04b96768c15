package journal_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/journal"
)

// A journal that gives up since no further segment can be opened ends the replica,
// although the segment it has takes more.
func TestSegmentThatCannotBeBegunIsPutOff(t *testing.T) {
	for name, fault := range map[string]disk.Fault{"no file": disk.TooManyFiles, "full": disk.DiskFull} {
		t.Run(name, func(t *testing.T) {
			m := &disk.Memory{}
			var told int
			c := journal.Config{Disk: m, SegmentSize: 200, Preallocation: -1, OnRollPostponed: func(error) { told++ }}
			j, _, err := c.Open("journal")
			must(t, err)
			refuse := true
			m.InjectFault = func(_ int, op disk.Operation, _ string) disk.Fault {
				if refuse && (op == disk.Create || op == disk.SyncFolder) {
					return fault
				}
				return disk.NoFault
			}
			for i := range uint64(20) {
				must(t, j.Append(nil, run(1, i+1, i+1)))
				must(t, j.Sync())
			}
			if told < 2 || told > 6 {
				t.Errorf("put off %d times", told)
			}
			if err := j.Compact(20); !errors.Is(err, journal.ErrDiskFull) && !errors.Is(err, journal.ErrTooManyFiles) {
				t.Errorf("a compaction gave %v", err)
			}
			refuse = false
			for i := range uint64(60) {
				must(t, j.Append(nil, run(1, i+21, i+21)))
			}
			must(t, j.Close())
			names, err := m.List("journal")
			must(t, err)
			if len(names) < 2 {
				t.Errorf("segments afterwards: %v", names)
			}
			_, got, err := c.Open("journal")
			must(t, err)
			if n := len(got.Entries); n == 0 || got.Entries[n-1].Index != 80 {
				t.Errorf("recovered %d entries", n)
			}
		})
	}
}
