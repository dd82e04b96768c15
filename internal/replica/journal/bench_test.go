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

// entryDataSize is the size of the data of an entry in bytes.
const entryDataSize = 256

// fixedSizeEntries returns n consecutive entries of entryDataSize bytes each.
func fixedSizeEntries(first uint64, n int) []quorum.Entry {
	entries := make([]quorum.Entry, n)
	for i := range entries {
		entries[i] = quorum.Entry{Index: first + uint64(i), Term: 1, Kind: quorum.EntryCommand, Data: make([]byte, entryDataSize)}
	}
	return entries
}

// BenchmarkSync alternates between appending a batch to the journal and writing the
// same number of bytes to a plain file. Both are synced each time. It reports both
// rates and their ratio.
func BenchmarkSync(b *testing.B) {
	for _, batchLen := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint(batchLen), func(b *testing.B) { benchmarkSyncBatch(b, batchLen) })
	}
}

func benchmarkSyncBatch(b *testing.B, batchLen int) {
	dir := b.TempDir()
	j, _, err := journal.Open(filepath.Join(dir, "journal"))
	requireNoBenchmarkError(b, err)
	rawFile, err := os.Create(filepath.Join(dir, "raw"))
	requireNoBenchmarkError(b, err)
	var journalTime, rawTime time.Duration
	size := batchLen * entryDataSize
	rawData := make([]byte, size)
	for i := 0; b.Loop(); i++ {
		entries := fixedSizeEntries(uint64(i*batchLen+1), batchLen)
		start := time.Now()
		requireNoBenchmarkError(b, j.Append(nil, entries))
		requireNoBenchmarkError(b, j.Sync())
		journalTime += time.Since(start)
		start = time.Now()
		_, err := rawFile.WriteAt(rawData, int64(i*size))
		requireNoBenchmarkError(b, err)
		requireNoBenchmarkError(b, rawFile.Sync())
		rawTime += time.Since(start)
	}
	b.ReportMetric(float64(b.N)/journalTime.Seconds(), "journal-syncs/s")
	b.ReportMetric(float64(b.N)/rawTime.Seconds(), "raw-syncs/s")
	b.ReportMetric(rawTime.Seconds()/journalTime.Seconds(), "ratio")
	requireNoBenchmarkError(b, j.Close())
	requireNoBenchmarkError(b, rawFile.Close())
}

// BenchmarkOpen opens journals of several lengths and reports the time per entry,
// which shows how the restart time grows with the log.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{25_000, 50_000, 100_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			j, _, err := journal.Open(dir)
			requireNoBenchmarkError(b, err)
			for i := 1; i <= n; i += 50 {
				requireNoBenchmarkError(b, j.Append(nil, fixedSizeEntries(uint64(i), 50)))
			}
			requireNoBenchmarkError(b, j.Close())
			for b.Loop() {
				j, r, err := journal.Open(dir)
				requireNoBenchmarkError(b, err)
				if len(r.Entries) < n {
					b.Fatalf("recovered %d entries, want %d", len(r.Entries), n)
				}
				requireNoBenchmarkError(b, j.Close())
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "µs/entry")
		})
	}
}

func requireNoBenchmarkError(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
