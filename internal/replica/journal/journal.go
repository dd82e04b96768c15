// Package journal keeps the log of a replica on its disk: checksummed frames in
// segments, synced in groups, cut back to the last whole frame after a crash.
package journal

import (
	"sync"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/quorum"
)

// Sizes in bytes.
const (
	// DefaultSegmentSize is the size from which on a new segment is begun.
	DefaultSegmentSize = 16 << 20
	// MaxEntrySize bounds the data of one entry.
	MaxEntrySize = 16 << 20
	// DefaultPreallocation is what a segment is lengthened by, in zeros, when it has no room.
	// Overwriting synced zeros leaves the file's length alone, so that most
	// syncs need not write it.
	DefaultPreallocation = 512 << 10
	// maxBatch is the size from which on entries go into a further frame.
	maxBatch = 1 << 20
	// retryParts is the part of a segment's size that is appended before a segment
	// that could not be begun is tried again; it doubles with each try.
	retryParts = 16
)

// Config holds what may differ from the defaults; its zero value is usable.
type Config struct {
	// Disk is the disk to use; the operating system's when nil.
	Disk disk.Disk
	// SegmentSize in bytes; the constant of that name when 0.
	SegmentSize int64
	// Preallocation in bytes; the constant of that name when 0, none when negative.
	Preallocation int64
	// OnRollPostponed is told of what could not be done now and is tried again later, and
	// why; nil for nobody. It must not block.
	OnRollPostponed func(error)
}

// Journal is an open journal. Append and Sync may be called at the same time
// from two goroutines, so that one batch gathers while another is synced.
type Journal struct {
	disk  disk.Disk
	dir   string
	limit int64
	zeros []byte
	told  func(error)

	// syncing is held while a file is synced or replaced; taken before mu.
	syncing sync.Mutex
	mu      sync.Mutex
	// broken is set for good by the first failure that leaves the disk unknown.
	broken   error
	segments segments
	file     disk.File
	size     int64
	synced   int64
	// reserved is the length of the file; zeros follow from size on.
	reserved int64
	hard     quorum.HardState
	last     uint64
	// due is the size from which on the next segment is begun, and puts how often
	// that was put off.
	due  int64
	puts int
	// stray tells that the removal of a segment that could not be begun may not last.
	stray bool
	// floor is the highest index that Compact was given.
	floor uint64
	buf   []byte
}

// Open opens the journal in dir with the defaults, making it when there is none.
func Open(dir string) (*Journal, Recovered, error) { return Config{}.Open(dir) }

// Open reads the journal in dir and makes it ready for appending. A torn tail is
// cut off; damage before it is a DamageError.
func (c Config) Open(dir string) (*Journal, Recovered, error) {
	j := &Journal{disk: c.Disk, dir: dir, limit: c.SegmentSize, told: c.OnRollPostponed}
	if j.disk == nil {
		j.disk = disk.OS{}
	}
	if j.limit == 0 {
		j.limit = DefaultSegmentSize
	}
	if c.Preallocation == 0 {
		c.Preallocation = DefaultPreallocation
	}
	j.due = j.limit
	if j.told == nil {
		j.told = func(error) {}
	}
	j.zeros = make([]byte, max(c.Preallocation, 0))
	r, err := j.recover()
	if err != nil {
		return nil, Recovered{}, errors.Wrap(err, "open the journal")
	}
	return j, r, nil
}

// recover reads all segments and opens the newest.
func (j *Journal) recover() (Recovered, error) {
	if err := j.disk.CreateFolder(j.dir); err != nil {
		return Recovered{}, err
	}
	names, err := j.disk.List(j.dir)
	if err != nil {
		return Recovered{}, err
	}
	numbers := segmentNumbers(names)
	var r reader
	var end scan
	for i, number := range numbers {
		name := segmentName(j.dir, number)
		if i > 0 && number != numbers[i-1]+1 {
			return Recovered{}, &CorruptionError{File: name, Reason: "a segment before it is missing"}
		}
		b, err := j.disk.Read(name)
		if err != nil {
			return Recovered{}, err
		}
		if end, err = r.read(name, number, b, i == len(numbers)-1); err != nil {
			return Recovered{}, err
		}
		end.size = int64(len(b))
	}
	j.segments, j.hard = r.segments, r.HardState
	if n := len(r.Entries); n > 0 {
		j.last = r.Entries[n-1].Index
	}
	r.New, r.TornTail = len(numbers) == 0, end.torn
	return r.Recovered, j.reopen(end)
}

// reopen opens the newest segment for appending, without its torn tail.
func (j *Journal) reopen(end scan) error {
	if len(j.segments) == 0 {
		return j.begin(1)
	}
	number := j.segments.newest().number
	name := segmentName(j.dir, number)
	if end.good == 0 {
		// The crash came before the segment was in use; it is made anew.
		j.segments = j.segments[:len(j.segments)-1]
		return j.begin(number)
	}
	f, err := j.disk.Open(name)
	if err != nil {
		return err
	}
	if end.good < end.size {
		err = f.Truncate(end.good)
	}
	// What was read may have been in memory only: a process that died and left
	// it to the system unsynced. It is shown as recovered, so it must last.
	err = errors.CombineErrors(err, f.Sync())
	if err = errors.CombineErrors(err, j.disk.SyncFolder(j.dir)); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	j.file, j.size, j.synced, j.reserved = f, end.good, end.good, end.good
	return nil
}

// Append writes a changed hard state and entries; they last once Sync returned.
// An entry whose index is already present ends everything from it on. ErrFull,
// ErrNoFile, ErrGap and ErrTooLarge leave the journal as it was; other errors break it.
func (j *Journal) Append(hard *quorum.HardState, entries []quorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := j.roll(); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.check(entries); err != nil {
		return err
	}
	reset := j.resets(entries)
	j.buf = j.encode(j.buf[:0], hard, entries, reset)
	if err := j.write(j.buf); err != nil {
		return err
	}
	if hard != nil {
		j.hard = *hard
	}
	for i := range entries {
		j.segments.note(entries[i].Index)
	}
	if n := len(entries); n > 0 {
		j.last = entries[n-1].Index
	}
	return nil
}

// check refuses entries that recovery could not accept.
func (j *Journal) check(entries []quorum.Entry) error {
	if j.broken != nil {
		return j.broken
	}
	next := j.last + 1
	for i := range entries {
		e := &entries[i]
		follows := e.Index == next || i == 0 && (e.Index < next || j.last == 0 || j.resets(entries))
		if e.Index == 0 || !follows {
			return errors.Wrapf(ErrIndexGap, "entry %d after %d", e.Index, next-1)
		}
		if len(e.Data) > MaxEntrySize {
			return errors.Wrapf(ErrEntryTooLarge, "entry %d has %d bytes, at most %d", e.Index, len(e.Data), MaxEntrySize)
		}
		next = e.Index + 1
	}
	return nil
}

// resets tells whether entries go on from a snapshot that replaces the whole log,
// with no segment begun since: a full disk may have had no room for one.
func (j *Journal) resets(entries []quorum.Entry) bool {
	return len(entries) > 0 && j.last > 0 && j.last <= j.floor && entries[0].Index > j.last+1
}

// encode adds the frames of an append to b.
func (j *Journal) encode(b []byte, hard *quorum.HardState, entries []quorum.Entry, reset bool) []byte {
	for first := true; first || len(entries) > 0; first = false {
		n, size := 0, 0
		for n < len(entries) && (n == 0 || size+len(entries[n].Data) <= maxBatch) {
			size += len(entries[n].Data)
			n++
		}
		r := record{mark: uint64(j.synced), hard: hard, entries: entries[:n], reset: reset}
		b = appendFrame(b, j.segments.newest().number, j.size+int64(len(b)), r)
		hard, entries, reset = nil, entries[n:], false
	}
	return b
}

// write adds b to the newest segment, and zeros where it has no room. A full
// disk leaves part of it behind, which is cut off, so that the next append
// stands where this one would have.
func (j *Journal) write(b []byte) error {
	if j.size+int64(len(b)) > j.reserved && len(j.zeros) > 0 {
		done, err := j.put(append(b, j.zeros...), len(b))
		if done || !errors.Is(err, ErrDiskFull) {
			return err
		}
	}
	_, err := j.put(b, len(b))
	return err
}

// put writes b, of which the first n bytes count.
func (j *Journal) put(b []byte, n int) (done bool, err error) {
	_, err = j.file.WriteAt(b, j.size)
	if err == nil {
		j.reserved = max(j.reserved, j.size+int64(len(b)))
		j.size += int64(n)
		return true, nil
	}
	if !errors.Is(err, ErrDiskFull) {
		return false, j.fail("write", err)
	}
	if cut := j.file.Truncate(j.size); cut != nil {
		return false, j.fail("cut off a partial write", cut)
	}
	j.reserved = j.size
	return false, errors.Wrap(err, "append to the journal")
}

// fail breaks the journal for good.
func (j *Journal) fail(what string, err error) error {
	// The cause is told but not wrapped: a sync that failed for lack of room must
	// not pass for ErrFull, which leaves the journal usable.
	j.broken = errors.Mark(errors.Newf("journal is broken: %s: %v", what, err), ErrBroken)
	return j.broken
}

// Sync returns once everything appended before the call lasts. An error is
// final: the process must end.
func (j *Journal) Sync() error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.Lock()
	f, size, broken := j.file, j.size, j.broken
	clean := j.synced == j.size
	j.mu.Unlock()
	if broken != nil || clean {
		return broken
	}
	err := f.Sync()
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		return j.fail("sync", err)
	}
	j.synced = max(j.synced, size)
	return nil
}

// Close syncs what was appended and closes the files. It ends with a frame that
// vouches for everything before it, so that damage done while the process is
// down is not taken for a torn tail.
func (j *Journal) Close() error {
	err := j.Sync()
	if err == nil && !errors.Is(j.Append(&j.hard, nil), ErrBroken) {
		err = j.Sync()
	}
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return err
	}
	err = errors.CombineErrors(err, j.file.Close())
	j.file = nil
	j.broken = errors.Mark(errors.New("journal is closed"), ErrBroken)
	return err
}

// FreeBytes returns the free space on the disk of the journal, in bytes.
func (j *Journal) FreeBytes() (uint64, error) { return j.disk.Free(j.dir) }
