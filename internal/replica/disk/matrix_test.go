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

// at injects one fault at the operation with the count given.
func at(n int, f disk.Fault) func(int, disk.Operation, string) disk.Fault {
	return func(count int, _ disk.Operation, _ string) disk.Fault {
		if count == n {
			return f
		}
		return disk.NoFault
	}
}

// fault is a crash in the script.
type fault struct {
	// size of the segments.
	size int64
	// n is the operation.
	n    int
	kind disk.Fault
}

// crashed is a replica whose script was ended by a crash.
type crashed struct {
	fault
	r *replica
}

// crash plays the script up to a crash, if it comes to it.
func crash(t *testing.T, f fault) (*crashed, bool) {
	t.Helper()
	r := &replica{size: f.size, disk: &disk.Memory{InjectFault: at(f.n, f.kind)}}
	err := r.play()
	if err != nil && r.disk.OperationCount() < f.n {
		t.Fatalf("%+v: %v", f, err)
	}
	return &crashed{f, r}, err != nil
}

// restarted returns the replica after one outcome of its crash.
func (c *crashed) restarted(o disk.CrashOutcome) *replica {
	r := &replica{size: c.size, disk: c.r.disk.Clone(), h: c.r.h}
	r.disk.Restart(o)
	return r
}

// Sizes of segments: several in the script, and one.
const (
	small = 150
	large = 10000
)

// A machine loses power, or a replica is killed, in the middle of an append, a
// sync, a compaction, a snapshot or a stop; and again while it recovers. The
// replica must start each time, with all that it had synced, and with nothing
// that was never appended. What one start has shown, the next must show too.
func TestCrashAtEveryOperation(t *testing.T) {
	t.Parallel()
	cases, operations := 0, 0
	for _, size := range []int64{small, large} {
		for n := 1; ; n++ {
			if _, hit := crash(t, fault{size, n, disk.CrashBefore}); !hit {
				break
			}
			operations++
			for _, kind := range []disk.Fault{disk.CrashBefore, disk.CrashDuring} {
				c, _ := crash(t, fault{size, n, kind})
				for _, outcome := range disk.CrashOutcomes {
					cases += c.anyCourse(t, outcome)
				}
			}
		}
	}
	t.Logf("%d cases over %d operations", cases, operations)
}

// course is what happens after a restart.
type course struct {
	// size of the segments from then on.
	size int64
	// compact tells that the log is compacted, loss that power is lost at once.
	compact, loss bool
}

var courses = []course{{size: 1, loss: true}, {size: 1, compact: true, loss: true}, {size: large}}

// anyCourse restarts after one outcome of a crash in every way, and returns how many.
func (c *crashed) anyCourse(t *testing.T, outcome disk.CrashOutcome) int {
	t.Helper()
	what := fmt.Sprintf("%+v, outcome %d", c.fault, outcome)
	cases := 0
	for _, way := range courses {
		goesOn(t, c.restarted(outcome), way, what)
		cases++
	}
	for m := 1; c.size == small; m++ {
		more := crashedTwice(t, c.restarted(outcome), m, c.kind, what)
		if more == 0 {
			break
		}
		cases += more
	}
	return cases
}

// goesOn restarts a replica, goes on, and restarts it after a power loss.
func goesOn(t *testing.T, r *replica, c course, what string) {
	t.Helper()
	r.size = c.size
	got, meta, err := r.start()
	check(t, r, got, meta, err, what)
	if c.compact {
		must(t, what, r.j.Compact(meta.Index))
	}
	if c.loss {
		r.disk.Restart(disk.AllLost)
		again, meta, err := r.start()
		check(t, r, again, meta, err, what+", then power loss")
		if !equal(got, again, meta.Index) {
			t.Fatalf("%s: shown once and then lost: %s", what, cmp.Diff(got, again))
		}
	}
	want := got.HardState
	want.Term++
	must(t, what, r.j.Append(&want, nil))
	must(t, what, r.j.Append(&want, nil))
	must(t, what, r.j.Sync())
	r.disk.Restart(disk.AllLost)
	if got, _, err = r.start(); err != nil || got.HardState != want {
		t.Fatalf("%s: after going on: %v, %v", what, got.HardState, err)
	}
}

// crashedTwice lets a replica crash again at operation m of its start, and returns
// the number of cases, 0 when there is no such operation.
func crashedTwice(t *testing.T, r *replica, m int, kind disk.Fault, what string) int {
	t.Helper()
	r.disk.InjectFault = at(r.disk.OperationCount()+m, kind)
	if _, _, err := r.start(); err == nil {
		return 0
	}
	c := &crashed{fault{size: r.size}, r}
	for _, second := range disk.CrashOutcomes {
		again := c.restarted(second)
		got, meta, err := again.start()
		check(t, again, got, meta, err, fmt.Sprintf("%s, again at %d, outcome %d", what, m, second))
	}
	return len(disk.CrashOutcomes)
}

// check fails the test when a restart went wrong.
func check(t *testing.T, r *replica, got journal.Recovered, meta snapshot.Meta, err error, what string) {
	t.Helper()
	must(t, what, err)
	must(t, what, r.verify(got, meta))
}

func must(t *testing.T, what string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// A disk fails one operation. The replica must be told, must not go on with a
// journal whose disk it no longer knows, and must lose nothing synced; a sync
// that is simply tried again would succeed without the data.
func TestBrokenOperation(t *testing.T) {
	t.Parallel()
	for n := 1; ; n++ {
		for _, o := range disk.CrashOutcomes {
			r := &replica{size: small, disk: &disk.Memory{InjectFault: at(n, disk.IOError)}}
			err := r.play()
			if r.disk.OperationCount() < n {
				t.Logf("%d operations", n-1)
				return
			}
			if errors.Is(err, journal.ErrDiskFull) {
				t.Fatalf("operation %d passes for a full disk: %v", n, err)
			}
			if err != nil && r.j != nil && !r.inSave {
				if again := r.j.Sync(); !errors.Is(err, journal.ErrBroken) || !errors.Is(again, journal.ErrBroken) {
					t.Fatalf("operation %d: %v, and then a sync gave %v", n, err, again)
				}
			}
			r.disk.InjectFault = nil
			r.disk.Restart(o)
			got, meta, err := r.start()
			check(t, r, got, meta, err, fmt.Sprint("broken ", n, o))
		}
	}
}

// A disk runs full at some operation and has room again later, and at some
// operation after that the replica crashes. The refused work is not there, all
// other work is, and the replica goes on without a restart.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	shortages(t, disk.DiskFull, disk.Create, disk.Write)
}

// No file can be opened for a while, by the fault of whoever holds them all, and
// the replica crashes later. It must go on with the files that it has.
func TestNoFileCanBeOpened(t *testing.T) {
	t.Parallel()
	shortages(t, disk.TooManyFiles, disk.Create, disk.SyncFolder)
}

// shortages plays the script with a shortage at each operation and a crash at each
// one after it.
func shortages(t *testing.T, kind disk.Fault, ops ...disk.Operation) {
	t.Helper()
	cases := 0
	for n := 1; ; n++ {
		for _, f := range []shortage{{large, n, 1, kind, ops}, {small, n, 4, kind, ops}} {
			for crash := n + 1; ; crash++ {
				hits, more := short(t, f, crash)
				cases += len(disk.CrashOutcomes)
				if f.size == small && crash == n+1 && !more {
					t.Logf("%d cases over %d operations", cases, n)
					return
				}
				if hits == 0 || !more {
					break
				}
			}
		}
	}
}

// shortage refuses some of the length operations from n on.
type shortage struct {
	// size of the segments.
	size      int64
	n, length int
	kind      disk.Fault
	ops       []disk.Operation
}

// short plays the script with a shortage and a crash at another operation, and
// tells how many were refused and whether it came to the crash.
func short(t *testing.T, f shortage, crash int) (hits int, more bool) {
	t.Helper()
	r := &replica{size: f.size, disk: &disk.Memory{}}
	r.disk.InjectFault = func(count int, op disk.Operation, _ string) disk.Fault {
		switch {
		case count == crash:
			more = true
			return disk.CrashDuring
		case count >= f.n && count < f.n+f.length && slices.Contains(f.ops, op):
			hits++
			return f.kind
		}
		return disk.NoFault
	}
	r.h.states = []journal.Recovered{{}}
	err := again(f.length, func() error {
		_, _, err := r.start()
		return err
	})
	for i := 0; err == nil && i < len(script); i++ {
		err = again(f.length, func() error { return r.try(script[i]) })
	}
	if err != nil && !more {
		t.Fatalf("%+v: %v", f, err)
	}
	c := &crashed{fault{size: f.size}, r}
	for _, o := range disk.CrashOutcomes {
		r := c.restarted(o)
		got, meta, err := r.start()
		check(t, r, got, meta, err, fmt.Sprintf("%+v, crash at %d, outcome %d", f, crash, o))
	}
	return hits, more
}

// try does a step and, where it was refused, a small append, which may pass.
func (r *replica) try(s step) error {
	err := s.do(r)
	if !disk.IsRetryable(err) {
		return err
	}
	hard := r.h.last().HardState
	if small := r.j.Append(&hard, nil); small != nil && !disk.IsRetryable(small) {
		return small
	}
	return err
}

// again repeats what is refused for a while.
func again(times int, do func() error) error {
	err := do()
	for ; times > 0 && disk.IsRetryable(err); times-- {
		err = do()
	}
	return err
}

// A disk runs full in the middle of a large append, which the caller gives up;
// small ones still fit, and the segment is completed. What the large one left in
// the file must not read as damage at the next start.
func TestPartialWriteIsCutOff(t *testing.T) {
	m := &disk.Memory{}
	c := journal.Config{Disk: m, SegmentSize: 100, Preallocation: -1}
	j, _, err := c.Open(journalDir)
	must(t, "open", err)
	m.InjectFault = at(m.OperationCount()+1, disk.DiskFull)
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

// A replica that was away gets a snapshot while its disk is full: there is no room
// to begin a segment after it. The log must go on in the room reserved; otherwise
// the replica ends, and ends again at every start until someone makes room.
func TestSnapshotOnFullDisk(t *testing.T) {
	m := &disk.Memory{}
	c := journal.Config{Disk: m, Preallocation: 1000}
	entry := func(index uint64) []quorum.Entry { return []quorum.Entry{{Index: index, Term: 1}} }
	j, _, err := c.Open(journalDir)
	must(t, "open", err)
	must(t, "append", j.Append(nil, entry(1)))
	must(t, "append", j.Append(nil, entry(2)))
	m.InjectFault = func(_ int, op disk.Operation, _ string) disk.Fault {
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
	m.Restart(disk.AllLost)
	_, got, err := c.Open(journalDir)
	must(t, "open again", err)
	if diff := cmp.Diff(journal.Recovered{Entries: append(entry(101), entry(102)...)}, got); diff != "" {
		t.Error(diff)
	}
}

// eager appends to the journal while a sync of its file is under way.
type eager struct {
	disk.Disk
	during func()
}

type eagerFile struct {
	disk.File
	d *eager
}

func (d *eager) Create(name string) (disk.File, error) {
	f, err := d.Disk.Create(name)
	return eagerFile{f, d}, err
}

func (f eagerFile) Sync() error {
	err := f.File.Sync()
	if f.d.during != nil {
		f.d.during()
	}
	return err
}

// The next batch is appended while the sync of the one before is under way, and
// the machine loses power after its own sync. A sync that takes what came
// meanwhile for synced would skip it, and lose what a quorum was told is lasting.
func TestAppendDuringSync(t *testing.T) {
	m := &disk.Memory{}
	d := &eager{Disk: m}
	j, _, err := journal.Config{Disk: d, Preallocation: reserve}.Open(journalDir)
	must(t, "open", err)
	must(t, "append", j.Append(&quorum.HardState{Term: 1}, nil))
	d.during = func() {
		d.during = nil
		must(t, "append during the sync", j.Append(&quorum.HardState{Term: 2}, nil))
	}
	must(t, "sync", j.Sync())
	must(t, "sync again", j.Sync())
	m.Restart(disk.AllLost)
	_, got, err := journal.Config{Disk: m, Preallocation: reserve}.Open(journalDir)
	must(t, "open again", err)
	if diff := cmp.Diff(journal.Recovered{HardState: quorum.HardState{Term: 2}}, got); diff != "" {
		t.Error(diff)
	}
}
