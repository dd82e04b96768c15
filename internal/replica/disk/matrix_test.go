package disk_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// faultAt injects one fault at the operation with the count given.
func faultAt(n int, f disk.Fault) func(int, disk.Operation, string) disk.Fault {
	return func(count int, _ disk.Operation, _ string) disk.Fault {
		if count == n {
			return f
		}
		return disk.NoFault
	}
}

// crashPoint is a crash in the script.
type crashPoint struct {
	// segmentSize of the segments.
	segmentSize int64
	// operation is the operation.
	operation int
	fault     disk.Fault
}

// crashedReplica is a replica whose script was ended by a crash.
type crashedReplica struct {
	crashPoint
	replica *replica
}

// runUntilCrash plays the script up to a crash, if it comes to it.
func runUntilCrash(t *testing.T, f crashPoint) (*crashedReplica, bool) {
	t.Helper()
	r := &replica{segmentSize: f.segmentSize, disk: &disk.Memory{InjectFault: faultAt(f.operation, f.fault)}}
	err := r.runScript()
	if err != nil && r.disk.OperationCount() < f.operation {
		t.Fatalf("%+v: %v", f, err)
	}
	return &crashedReplica{f, r}, err != nil
}

// restart returns the replica after one outcome of its crash.
func (c *crashedReplica) restart(o disk.CrashOutcome) *replica {
	r := &replica{segmentSize: c.segmentSize, disk: c.replica.disk.Clone(), history: c.replica.history}
	r.disk.Restart(o)
	return r
}

// Sizes of segments: several in the script, and one.
const (
	smallSegment = 150
	largeSegment = 10000
)

// A machine loses power, or a replica is killed, in the middle of an append, a
// sync, a compaction, a snapshot or a stop; and again while it recovers. The
// replica must start each time, with all that it had synced, and with nothing
// that was never appended. What one start has shown, the next must show too.
func TestCrashAtEveryOperation(t *testing.T) {
	t.Parallel()
	cases, operations := 0, 0
	for _, segmentSize := range []int64{smallSegment, largeSegment} {
		for operation := 1; ; operation++ {
			if _, crashed := runUntilCrash(t, crashPoint{segmentSize, operation, disk.CrashBefore}); !crashed {
				break
			}
			operations++
			for _, fault := range []disk.Fault{disk.CrashBefore, disk.CrashDuring} {
				c, _ := runUntilCrash(t, crashPoint{segmentSize, operation, fault})
				for _, outcome := range disk.CrashOutcomes {
					cases += c.testRestarts(t, outcome)
				}
			}
		}
	}
	t.Logf("%d cases over %d operations", cases, operations)
}

// restartScenario is what happens after a restart.
type restartScenario struct {
	// segmentSize of the segments from then on.
	segmentSize int64
	// compact tells that the log is compacted, loss that power is lost at once.
	compact, powerLoss bool
}

var restartScenarios = []restartScenario{{segmentSize: 1, powerLoss: true}, {segmentSize: 1, compact: true, powerLoss: true}, {segmentSize: largeSegment}}

// testRestarts restarts after one outcome of a crash in every way, and returns how many.
func (c *crashedReplica) testRestarts(t *testing.T, outcome disk.CrashOutcome) int {
	t.Helper()
	description := fmt.Sprintf("%+v, outcome %d", c.crashPoint, outcome)
	cases := 0
	for _, scenario := range restartScenarios {
		testScenario(t, c.restart(outcome), scenario, description)
		cases++
	}
	for m := 1; c.segmentSize == smallSegment; m++ {
		crashes := testSecondCrash(t, c.restart(outcome), m, c.fault, description)
		if crashes == 0 {
			break
		}
		cases += crashes
	}
	return cases
}

// testScenario restarts a replica, goes on, and restarts it after a power loss.
func testScenario(t *testing.T, r *replica, c restartScenario, description string) {
	t.Helper()
	r.segmentSize = c.segmentSize
	got, meta, err := r.open()
	checkRecovery(t, r, got, meta, err, description)
	if c.compact {
		must(t, description, r.journal.Compact(meta.Index))
	}
	if c.powerLoss {
		r.disk.Restart(disk.AllLost)
		recoveredAgain, meta, err := r.open()
		checkRecovery(t, r, recoveredAgain, meta, err, description+", then power loss")
		if !equalAbove(got, recoveredAgain, meta.Index) {
			t.Fatalf("%s: shown once and then lost: %s", description, cmp.Diff(got, recoveredAgain))
		}
	}
	want := got.HardState
	want.Term++
	must(t, description, r.journal.Append(&want, nil))
	must(t, description, r.journal.Append(&want, nil))
	must(t, description, r.journal.Sync())
	r.disk.Restart(disk.AllLost)
	if got, _, err = r.open(); err != nil || got.HardState != want {
		t.Fatalf("%s: after going on: %v, %v", description, got.HardState, err)
	}
}

// testSecondCrash lets a replica crash again at operation m of its start, and returns
// the number of cases, 0 when there is no such operation.
func testSecondCrash(t *testing.T, r *replica, operation int, fault disk.Fault, description string) int {
	t.Helper()
	r.disk.InjectFault = faultAt(r.disk.OperationCount()+operation, fault)
	if _, _, err := r.open(); err == nil {
		return 0
	}
	c := &crashedReplica{crashPoint{segmentSize: r.segmentSize}, r}
	for _, outcome := range disk.CrashOutcomes {
		restarted := c.restart(outcome)
		got, meta, err := restarted.open()
		checkRecovery(t, restarted, got, meta, err, fmt.Sprintf("%s, again at %d, outcome %d", description, operation, outcome))
	}
	return len(disk.CrashOutcomes)
}

// checkRecovery fails the test when a restart went wrong.
func checkRecovery(t *testing.T, r *replica, got journal.Recovered, meta snapshot.Meta, err error, description string) {
	t.Helper()
	must(t, description, err)
	must(t, description, r.verify(got, meta))
}

func must(t *testing.T, description string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", description, err)
	}
}

// A disk fails one operation. The replica must be told, must not go on with a
// journal whose disk it no longer knows, and must lose nothing synced; a sync
// that is simply tried again would succeed without the data.
func TestFailedOperation(t *testing.T) {
	t.Parallel()
	for operation := 1; ; operation++ {
		for _, outcome := range disk.CrashOutcomes {
			r := &replica{segmentSize: smallSegment, disk: &disk.Memory{InjectFault: faultAt(operation, disk.IOError)}}
			err := r.runScript()
			if r.disk.OperationCount() < operation {
				t.Logf("%d operations", operation-1)
				return
			}
			if errors.Is(err, journal.ErrDiskFull) {
				t.Fatalf("operation %d passes for a full disk: %v", operation, err)
			}
			if err != nil && r.journal != nil && !r.savingSnapshot {
				if syncErr := r.journal.Sync(); !errors.Is(err, journal.ErrBroken) || !errors.Is(syncErr, journal.ErrBroken) {
					t.Fatalf("operation %d: %v, and then a sync gave %v", operation, err, syncErr)
				}
			}
			r.disk.InjectFault = nil
			r.disk.Restart(outcome)
			got, meta, err := r.open()
			checkRecovery(t, r, got, meta, err, fmt.Sprint("broken ", operation, outcome))
		}
	}
}

// A disk runs full at some operation and has room again later, and at some
// operation after that the replica crashes. The refused work is not there, all
// other work is, and the replica goes on without a restart.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	testShortages(t, disk.DiskFull, disk.Create, disk.Write)
}

// No file can be opened for a while, by the fault of whoever holds them all, and
// the replica crashes later. It must go on with the files that it has.
func TestTooManyOpenFiles(t *testing.T) {
	t.Parallel()
	testShortages(t, disk.TooManyFiles, disk.Create, disk.SyncFolder)
}

// testShortages plays the script with a shortage at each operation and a crash at each
// one after it.
func testShortages(t *testing.T, fault disk.Fault, operations ...disk.Operation) {
	t.Helper()
	cases := 0
	for firstRefused := 1; ; firstRefused++ {
		for _, s := range []shortage{{largeSegment, firstRefused, 1, fault, operations}, {smallSegment, firstRefused, 4, fault, operations}} {
			for crashAt := firstRefused + 1; ; crashAt++ {
				refusals, crashed := runWithShortage(t, s, crashAt)
				cases += len(disk.CrashOutcomes)
				if s.segmentSize == smallSegment && crashAt == firstRefused+1 && !crashed {
					t.Logf("%d cases over %d operations", cases, firstRefused)
					return
				}
				if refusals == 0 || !crashed {
					break
				}
			}
		}
	}
}

// shortage refuses some of the length operations from n on.
type shortage struct {
	// segmentSize of the segments.
	segmentSize        int64
	firstRefused, span int
	fault              disk.Fault
	operations         []disk.Operation
}

// runWithShortage plays the script with a shortage and a crash at another operation, and
// tells how many were refused and whether it came to the crash.
func runWithShortage(t *testing.T, s shortage, crashAt int) (refusals int, crashed bool) {
	t.Helper()
	r := &replica{segmentSize: s.segmentSize, disk: &disk.Memory{}}
	r.disk.InjectFault = func(count int, op disk.Operation, _ string) disk.Fault {
		switch {
		case count == crashAt:
			crashed = true
			return disk.CrashDuring
		case count >= s.firstRefused && count < s.firstRefused+s.span && slices.Contains(s.operations, op):
			refusals++
			return s.fault
		}
		return disk.NoFault
	}
	r.history.states = []journal.Recovered{{}}
	err := retryWhileRefused(s.span, func() error {
		_, _, err := r.open()
		return err
	})
	for i := 0; err == nil && i < len(script); i++ {
		err = retryWhileRefused(s.span, func() error { return r.runStep(script[i]) })
	}
	if err != nil && !crashed {
		t.Fatalf("%+v: %v", s, err)
	}
	c := &crashedReplica{crashPoint{segmentSize: s.segmentSize}, r}
	for _, outcome := range disk.CrashOutcomes {
		r := c.restart(outcome)
		got, meta, err := r.open()
		checkRecovery(t, r, got, meta, err, fmt.Sprintf("%+v, crash at %d, outcome %d", s, crashAt, outcome))
	}
	return refusals, crashed
}

// runStep does a step and, where it was refused, a small append, which may pass.
func (r *replica) runStep(s step) error {
	err := s.run(r)
	if !disk.IsRetryable(err) {
		return err
	}
	hard := r.history.newestState().HardState
	if appendErr := r.journal.Append(&hard, nil); appendErr != nil && !disk.IsRetryable(appendErr) {
		return appendErr
	}
	return err
}

// retryWhileRefused repeats what is refused for a while.
func retryWhileRefused(retries int, operation func() error) error {
	err := operation()
	for ; retries > 0 && disk.IsRetryable(err); retries-- {
		err = operation()
	}
	return err
}

// A disk runs full in the middle of a large append, which the caller gives up;
// small ones still fit, and the segment is completed. What the large one left in
// the file must not read as damage at the next start.
func TestPartialWriteIsTruncated(t *testing.T) {
	memoryDisk := &disk.Memory{}
	c := journal.Config{Disk: memoryDisk, SegmentSize: 100, Preallocation: -1}
	j, _, err := c.Open(journalDir)
	must(t, "open", err)
	memoryDisk.InjectFault = faultAt(memoryDisk.OperationCount()+1, disk.DiskFull)
	large := []quorum.Entry{{Index: 1, Term: 1, Data: make([]byte, 1000)}}
	if err := j.Append(nil, large); !errors.Is(err, journal.ErrDiskFull) {
		t.Fatal(err)
	}
	for term := uint64(1); term <= 8; term++ {
		must(t, "append", j.Append(&quorum.Hard{Term: term}, nil))
	}
	must(t, "close", j.Close())
	_, got, err := c.Open(journalDir)
	must(t, "open again", err)
	if diff := cmp.Diff(journal.Recovered{HardState: quorum.Hard{Term: 8}}, got); diff != "" {
		t.Error(diff)
	}
}

// A replica that was away gets a snapshot while its disk is full: there is no room
// to begin a segment after it. The log must go on in the room reserved; otherwise
// the replica ends, and ends again at every start until someone makes room.
func TestSnapshotInstalledOnFullDisk(t *testing.T) {
	memoryDisk := &disk.Memory{}
	c := journal.Config{Disk: memoryDisk, Preallocation: 1000}
	entry := func(index uint64) []quorum.Entry { return []quorum.Entry{{Index: index, Term: 1}} }
	j, _, err := c.Open(journalDir)
	must(t, "open", err)
	must(t, "append", j.Append(nil, entry(1)))
	must(t, "append", j.Append(nil, entry(2)))
	memoryDisk.InjectFault = func(_ int, op disk.Operation, _ string) disk.Fault {
		if op == disk.Create {
			return disk.DiskFull
		}
		return disk.NoFault
	}
	if err := j.Append(nil, entry(101)); !errors.Is(err, journal.ErrIndexGap) {
		t.Fatal("without a snapshot the gap is refused:", err)
	}
	if err := j.Compact(100); !errors.Is(err, journal.ErrDiskFull) {
		t.Fatal(err)
	}
	must(t, "append after the snapshot", j.Append(nil, entry(101)))
	must(t, "append after the snapshot", j.Append(nil, entry(102)))
	must(t, "sync", j.Sync())
	memoryDisk.Restart(disk.AllLost)
	_, got, err := c.Open(journalDir)
	must(t, "open again", err)
	if diff := cmp.Diff(journal.Recovered{Entries: append(entry(101), entry(102)...)}, got); diff != "" {
		t.Error(diff)
	}
}

// appendingDisk appends to the journal while a sync of its file is under way.
type appendingDisk struct {
	disk.Disk
	duringSync func()
}

type appendingFile struct {
	disk.File
	disk *appendingDisk
}

func (d *appendingDisk) Create(name string) (disk.File, error) {
	f, err := d.Disk.Create(name)
	return appendingFile{f, d}, err
}

func (f appendingFile) Sync() error {
	err := f.File.Sync()
	if f.disk.duringSync != nil {
		f.disk.duringSync()
	}
	return err
}

// The next batch is appended while the sync of the one before is under way, and
// the machine loses power after its own sync. A sync that takes what came
// meanwhile for synced would skip it, and lose what a quorum was told is lasting.
func TestAppendDuringSync(t *testing.T) {
	memoryDisk := &disk.Memory{}
	wrapped := &appendingDisk{Disk: memoryDisk}
	j, _, err := journal.Config{Disk: wrapped, Preallocation: preallocation}.Open(journalDir)
	must(t, "open", err)
	must(t, "append", j.Append(&quorum.Hard{Term: 1}, nil))
	wrapped.duringSync = func() {
		wrapped.duringSync = nil
		must(t, "append during the sync", j.Append(&quorum.Hard{Term: 2}, nil))
	}
	must(t, "sync", j.Sync())
	must(t, "sync again", j.Sync())
	memoryDisk.Restart(disk.AllLost)
	_, got, err := journal.Config{Disk: memoryDisk, Preallocation: preallocation}.Open(journalDir)
	must(t, "open again", err)
	if diff := cmp.Diff(journal.Recovered{HardState: quorum.Hard{Term: 2}}, got); diff != "" {
		t.Error(diff)
	}
}
