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

// faultAt returns an InjectFault function that injects one fault at the operation
// with the given number.
func faultAt(number int, fault disk.Fault) func(int, disk.Operation, string) disk.Fault {
	return func(n int, _ disk.Operation, _ string) disk.Fault {
		if n == number {
			return fault
		}
		return disk.NoFault
	}
}

// crashPoint describes a run of the script that ends with a crash.
type crashPoint struct {
	// segmentSize is the segment size of the journal in bytes.
	segmentSize int64
	// operation is the number of the disk operation at which the fault is injected.
	operation int
	// fault is CrashBefore or CrashDuring.
	fault disk.Fault
}

// crashedReplica is a replica whose disk has crashed during the script.
type crashedReplica struct {
	crashPoint
	replica *testReplica
}

// runUntilCrash runs the script until the crash point. It reports whether the crash
// happened before the script ended.
func runUntilCrash(t *testing.T, p crashPoint) (*crashedReplica, bool) {
	t.Helper()
	r := &testReplica{segmentSize: p.segmentSize, disk: &disk.Memory{InjectFault: faultAt(p.operation, p.fault)}}
	err := r.runScript()
	if err != nil && r.disk.OperationCount() < p.operation {
		t.Fatalf("%+v: script failed before the crash: %v", p, err)
	}
	return &crashedReplica{p, r}, err != nil
}

// restart returns a copy of the replica whose disk was restarted with one outcome of
// the crash.
func (c *crashedReplica) restart(o disk.CrashOutcome) *testReplica {
	r := &testReplica{segmentSize: c.segmentSize, disk: c.replica.disk.Clone(), history: c.replica.history}
	r.disk.Restart(o)
	return r
}

// Segment sizes in bytes. With smallSegment the script fills several segments, and
// with largeSegment only one.
const (
	smallSegment = 150
	largeSegment = 10000
)

// A machine loses power or a replica is killed during an append, sync, compaction,
// snapshot or shutdown, and possibly again during recovery. Recovery must succeed
// each time. It must return all synced data and no data that was never appended.
// Data that one recovery returned must also be returned by the next.
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

// restartScenario describes how a replica continues after a restart.
type restartScenario struct {
	// segmentSize is the segment size after the restart in bytes.
	segmentSize int64
	// compact reports that the log is compacted up to the snapshot.
	compact bool
	// powerLoss reports that the power fails again before any further append.
	powerLoss bool
}

var restartScenarios = []restartScenario{{segmentSize: 1, powerLoss: true}, {segmentSize: 1, compact: true, powerLoss: true}, {segmentSize: largeSegment}}

// testRestarts restarts the replica with one outcome of the crash. It tests all
// scenarios and, with small segments, a second crash at each operation of the
// recovery. It returns the number of cases.
func (c *crashedReplica) testRestarts(t *testing.T, outcome disk.CrashOutcome) int {
	t.Helper()
	description := fmt.Sprintf("%+v, outcome %d", c.crashPoint, outcome)
	cases := 0
	for _, scenario := range restartScenarios {
		testScenario(t, c.restart(outcome), scenario, description)
		cases++
	}
	for operation := 1; c.segmentSize == smallSegment; operation++ {
		crashes := testSecondCrash(t, c.restart(outcome), operation, c.fault, description)
		if crashes == 0 {
			break
		}
		cases += crashes
	}
	return cases
}

// testScenario opens a restarted replica, follows the scenario, appends and syncs, and
// checks that a power loss does not lose the synced data.
func testScenario(t *testing.T, r *testReplica, scenario restartScenario, description string) {
	t.Helper()
	r.segmentSize = scenario.segmentSize
	got, meta, err := r.open()
	checkRecovery(t, r, got, meta, err, description)
	if scenario.compact {
		must(t, description, r.journal.Compact(meta.Index))
	}
	if scenario.powerLoss {
		r.disk.Restart(disk.AllLost)
		recoveredAgain, meta, err := r.open()
		checkRecovery(t, r, recoveredAgain, meta, err, description+", then power loss")
		if !equalAbove(got, recoveredAgain, meta.Index) {
			t.Fatalf("%s: data of the first recovery is missing after the power loss: %s", description, cmp.Diff(got, recoveredAgain))
		}
	}
	want := got.HardState
	want.Term++
	must(t, description, r.journal.Append(&want, nil))
	must(t, description, r.journal.Append(&want, nil))
	must(t, description, r.journal.Sync())
	r.disk.Restart(disk.AllLost)
	if got, _, err = r.open(); err != nil || got.HardState != want {
		t.Fatalf("%s: hard state after further appends: got %v, want %v, error %v", description, got.HardState, want, err)
	}
}

// testSecondCrash crashes a replica again at the given operation of its recovery and
// checks the next recovery. It returns the number of cases, or 0 if the recovery
// has fewer operations.
func testSecondCrash(t *testing.T, r *testReplica, operation int, fault disk.Fault, description string) int {
	t.Helper()
	r.disk.InjectFault = faultAt(r.disk.OperationCount()+operation, fault)
	if _, _, err := r.open(); err == nil {
		return 0
	}
	c := &crashedReplica{crashPoint{segmentSize: r.segmentSize}, r}
	for _, outcome := range disk.CrashOutcomes {
		restarted := c.restart(outcome)
		got, meta, err := restarted.open()
		checkRecovery(t, restarted, got, meta, err, fmt.Sprintf("%s, second crash at operation %d, outcome %d", description, operation, outcome))
	}
	return len(disk.CrashOutcomes)
}

// checkRecovery fails the test if the recovery returned an error or a state that the
// history does not allow.
func checkRecovery(t *testing.T, r *testReplica, got journal.Recovered, meta snapshot.Meta, err error, description string) {
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

// The disk fails one operation with an I/O error. The journal must return an error,
// stay broken and lose no synced data. A journal that retried the sync instead would
// succeed although the data is lost.
func TestFailedOperation(t *testing.T) {
	t.Parallel()
	for operation := 1; ; operation++ {
		for _, outcome := range disk.CrashOutcomes {
			r := &testReplica{segmentSize: smallSegment, disk: &disk.Memory{InjectFault: faultAt(operation, disk.IOError)}}
			err := r.runScript()
			if r.disk.OperationCount() < operation {
				t.Logf("%d operations", operation-1)
				return
			}
			if errors.Is(err, journal.ErrDiskFull) {
				t.Fatalf("operation %d: an I/O error matches ErrDiskFull: %v", operation, err)
			}
			if err != nil && r.journal != nil && !r.savingSnapshot {
				if syncErr := r.journal.Sync(); !errors.Is(err, journal.ErrBroken) || !errors.Is(syncErr, journal.ErrBroken) {
					t.Fatalf("operation %d: got the errors %v and, from a later Sync, %v; want ErrBroken both times", operation, err, syncErr)
				}
			}
			r.disk.InjectFault = nil
			r.disk.Restart(outcome)
			got, meta, err := r.open()
			checkRecovery(t, r, got, meta, err, fmt.Sprintf("I/O error at operation %d, outcome %d", operation, outcome))
		}
	}
}

// The disk is full during some operations and has free space again later. The replica
// must continue without a restart. After a crash at a later operation, recovery must
// return all synced appends and none of the rejected ones.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	testShortages(t, disk.DiskFull, disk.Create, disk.Write)
}

// No file can be opened for a while because another part of the system uses up the
// limit. The replica must continue with its open files and recover from a later crash.
func TestTooManyOpenFiles(t *testing.T) {
	t.Parallel()
	testShortages(t, disk.TooManyFiles, disk.Create, disk.SyncFolder)
}

// testShortages runs the script with a shortage that starts at each operation in turn
// and, for each shortage, with a crash at each later operation.
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

// shortage describes a period in which the disk rejects some kinds of operations.
type shortage struct {
	// segmentSize is the segment size of the journal in bytes.
	segmentSize int64
	// firstRefused is the number of the first operation of the period, and span is the
	// number of operations in it.
	firstRefused, span int
	fault              disk.Fault
	// operations are the kinds of operations that are rejected.
	operations []disk.Operation
}

// runWithShortage runs the script with a shortage and a crash at operation crashAt,
// and checks the recovery. It returns the number of rejected operations and whether
// the crash happened.
func runWithShortage(t *testing.T, s shortage, crashAt int) (refusals int, crashed bool) {
	t.Helper()
	r := &testReplica{segmentSize: s.segmentSize, disk: &disk.Memory{}}
	r.disk.InjectFault = func(n int, op disk.Operation, _ string) disk.Fault {
		switch {
		case n == crashAt:
			crashed = true
			return disk.CrashDuring
		case n >= s.firstRefused && n < s.firstRefused+s.span && slices.Contains(s.operations, op):
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
		t.Fatalf("%+v: script failed without a crash: %v", s, err)
	}
	c := &crashedReplica{crashPoint{segmentSize: s.segmentSize}, r}
	for _, outcome := range disk.CrashOutcomes {
		r := c.restart(outcome)
		got, meta, err := r.open()
		checkRecovery(t, r, got, meta, err, fmt.Sprintf("%+v, crash at %d, outcome %d", s, crashAt, outcome))
	}
	return refusals, crashed
}

// runStep runs a step. If the step was rejected, it also tries a small append, which
// may still fit. It returns the error of the step, or that of the append if the
// append broke the journal.
func (r *testReplica) runStep(s scriptStep) error {
	err := s.run(r)
	if !disk.IsRetryable(err) {
		return err
	}
	hardState := r.history.newestState().HardState
	if appendErr := r.journal.Append(&hardState, nil); appendErr != nil && !disk.IsRetryable(appendErr) {
		return appendErr
	}
	return err
}

// retryWhileRefused runs an operation and retries it while its error is retryable.
func retryWhileRefused(retries int, operation func() error) error {
	err := operation()
	for ; retries > 0 && disk.IsRetryable(err); retries-- {
		err = operation()
	}
	return err
}

// The disk becomes full during a large append, which is not retried. Small appends
// still fit and fill the segment. The partial write must be truncated, because
// the next start would otherwise report it as corruption.
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
		must(t, "append", j.Append(&quorum.HardState{Term: term}, nil))
	}
	must(t, "close", j.Close())
	_, got, err := c.Open(journalDir)
	must(t, "open again", err)
	if diff := cmp.Diff(journal.Recovered{HardState: quorum.HardState{Term: 8}}, got); diff != "" {
		t.Error(diff)
	}
}

// A replica that was offline installs a snapshot while its disk is full, so that no new
// segment can be created. The log must continue in the preallocated space of the old
// segment. Otherwise the replica would exit, also after each restart, until an operator
// frees disk space.
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
		t.Fatal("append with an index gap and no snapshot: want ErrIndexGap, got", err)
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

// appendingDisk calls duringSync at the end of each file sync, before the sync returns
// to the journal.
type appendingDisk struct {
	disk.Disk
	duringSync func()
}

// appendingFile is a file created on an appendingDisk.
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

// A batch is appended while the sync of the previous batch is in progress. It is then
// synced, and the machine loses power. If the first sync counted the new batch as
// synced, the second would skip it, and an acknowledged batch would be lost.
func TestAppendDuringSync(t *testing.T) {
	memoryDisk := &disk.Memory{}
	wrapped := &appendingDisk{Disk: memoryDisk}
	j, _, err := journal.Config{Disk: wrapped, Preallocation: preallocation}.Open(journalDir)
	must(t, "open", err)
	must(t, "append", j.Append(&quorum.HardState{Term: 1}, nil))
	wrapped.duringSync = func() {
		wrapped.duringSync = nil
		must(t, "append during the sync", j.Append(&quorum.HardState{Term: 2}, nil))
	}
	must(t, "sync", j.Sync())
	must(t, "sync again", j.Sync())
	memoryDisk.Restart(disk.AllLost)
	_, got, err := journal.Config{Disk: memoryDisk, Preallocation: preallocation}.Open(journalDir)
	must(t, "open again", err)
	if diff := cmp.Diff(journal.Recovered{HardState: quorum.HardState{Term: 2}}, got); diff != "" {
		t.Error(diff)
	}
}
