package journal_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
)

// payload is the size of an entry in bytes.
const payload = 256

// batchFrom returns n entries.
func batchFrom(first uint64, n int) []quorum.Entry {
	entries := make([]quorum.Entry, n)
	for i := range entries {
		entries[i] = quorum.Entry{Index: first + uint64(i), Term: 1, Kind: quorum.EntryCommand, Data: make([]byte, payload)}
	}
	return entries
}

// BenchmarkSync takes turns between a batch into the journal and the same bytes
// into a plain file, each with its sync, and reports both rates and their ratio.
func BenchmarkSync(b *testing.B) {
	for _, batch := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) { syncBatches(b, batch) })
	}
}

func syncBatches(b *testing.B, batch int) {
	dir := b.TempDir()
	j, _, err := journal.Open(filepath.Join(dir, "journal"))
	fatal(b, err)
	raw, err := os.Create(filepath.Join(dir, "raw"))
	fatal(b, err)
	var inJournal, inRaw time.Duration
	size := batch * payload
	plain := make([]byte, size)
	for i := 0; b.Loop(); i++ {
		entries := batchFrom(uint64(i*batch+1), batch)
		start := time.Now()
		fatal(b, j.Append(nil, entries))
		fatal(b, j.Sync())
		inJournal += time.Since(start)
		start = time.Now()
		_, err := raw.WriteAt(plain, int64(i*size))
		fatal(b, err)
		fatal(b, raw.Sync())
		inRaw += time.Since(start)
	}
	b.ReportMetric(float64(b.N)/inJournal.Seconds(), "journal-syncs/s")
	b.ReportMetric(float64(b.N)/inRaw.Seconds(), "raw-syncs/s")
	b.ReportMetric(inRaw.Seconds()/inJournal.Seconds(), "ratio")
	fatal(b, j.Close())
	fatal(b, raw.Close())
}

// BenchmarkOpen opens journals of several lengths, for the slope of a restart.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{25_000, 50_000, 100_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			j, _, err := journal.Open(dir)
			fatal(b, err)
			for i := 1; i <= n; i += 50 {
				fatal(b, j.Append(nil, batchFrom(uint64(i), 50)))
			}
			fatal(b, j.Close())
			for b.Loop() {
				j, r, err := journal.Open(dir)
				fatal(b, err)
				if len(r.Entries) < n {
					b.Fatal(len(r.Entries))
				}
				fatal(b, j.Close())
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "µs/entry")
		})
	}
}

func fatal(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
