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
	// maxFrameData is the size from which on entries go into a further frame.
	maxFrameData = 1 << 20
	// rollRetryDivisor is the part of a segment's size that is appended before a segment
	// that could not be begun is tried again; it doubles with each try.
	rollRetryDivisor = 16
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
	disk            disk.Disk
	dir             string
	segmentSize     int64
	zeroPadding     []byte
	onRollPostponed func(error)

	// syncMu is held while a file is synced or replaced; taken before mu.
	syncMu sync.Mutex
	mu     sync.Mutex
	// brokenErr is set for good by the first failure that leaves the disk unknown.
	brokenErr  error
	segments   segments
	file       disk.File
	dataSize   int64
	syncedSize int64
	// allocatedSize is the length of the file; zeros follow from size on.
	allocatedSize int64
	hardState     quorum.Hard
	lastIndex     uint64
	// rollSize is the size from which on the next segment is begun, and puts how often
	// that was put off.
	rollSize    int64
	failedRolls int
	// removalUnsynced tells that the removal of a segment that could not be begun may not last.
	removalUnsynced bool
	// compactedIndex is the highest index that Compact was given.
	compactedIndex uint64
	frameBuf       []byte
}

// Open opens the journal in dir with the defaults, making it when there is none.
func Open(dir string) (*Journal, Recovered, error) { return Config{}.Open(dir) }

// Open reads the journal in dir and makes it ready for appending. A torn tail is
// cut off; damage before it is a DamageError.
func (c Config) Open(dir string) (*Journal, Recovered, error) {
	j := &Journal{disk: c.Disk, dir: dir, segmentSize: c.SegmentSize, onRollPostponed: c.OnRollPostponed}
	if j.disk == nil {
		j.disk = disk.OS{}
	}
	if j.segmentSize == 0 {
		j.segmentSize = DefaultSegmentSize
	}
	if c.Preallocation == 0 {
		c.Preallocation = DefaultPreallocation
	}
	j.rollSize = j.segmentSize
	if j.onRollPostponed == nil {
		j.onRollPostponed = func(error) {}
	}
	j.zeroPadding = make([]byte, max(c.Preallocation, 0))
	r, err := j.recoverSegments()
	if err != nil {
		return nil, Recovered{}, errors.Wrap(err, "open the journal")
	}
	return j, r, nil
}

// recoverSegments reads all segments and opens the newest.
func (j *Journal) recoverSegments() (Recovered, error) {
	if err := j.disk.CreateFolder(j.dir); err != nil {
		return Recovered{}, err
	}
	names, err := j.disk.List(j.dir)
	if err != nil {
		return Recovered{}, err
	}
	segmentNumbers := segmentNumbers(names)
	var r segmentReader
	var newest segmentScan
	for i, segmentNumber := range segmentNumbers {
		path := segmentPath(j.dir, segmentNumber)
		if i > 0 && segmentNumber != segmentNumbers[i-1]+1 {
			return Recovered{}, &CorruptionError{File: path, Reason: "a segment before it is missing"}
		}
		b, err := j.disk.Read(path)
		if err != nil {
			return Recovered{}, err
		}
		if newest, err = r.readSegment(path, segmentNumber, b, i == len(segmentNumbers)-1); err != nil {
			return Recovered{}, err
		}
		newest.fileSize = int64(len(b))
	}
	j.segments, j.hardState = r.segments, r.HardState
	if n := len(r.Entries); n > 0 {
		j.lastIndex = r.Entries[n-1].Index
	}
	r.New, r.TornTail = len(segmentNumbers) == 0, newest.tornTail
	return r.Recovered, j.openNewestSegment(newest)
}

// openNewestSegment opens the newest segment for appending, without its torn tail.
func (j *Journal) openNewestSegment(newest segmentScan) error {
	if len(j.segments) == 0 {
		return j.createSegment(1)
	}
	segmentNumber := j.segments.newest().number
	path := segmentPath(j.dir, segmentNumber)
	if newest.validSize == 0 {
		// The crash came before the segment was in use; it is made anew.
		j.segments = j.segments[:len(j.segments)-1]
		return j.createSegment(segmentNumber)
	}
	f, err := j.disk.Open(path)
	if err != nil {
		return err
	}
	if newest.validSize < newest.fileSize {
		err = f.Truncate(newest.validSize)
	}
	// What was read may have been in memory only: a process that died and left
	// it to the system unsynced. It is shown as recovered, so it must last.
	err = errors.CombineErrors(err, f.Sync())
	if err = errors.CombineErrors(err, j.disk.SyncFolder(j.dir)); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	j.file, j.dataSize, j.syncedSize, j.allocatedSize = f, newest.validSize, newest.validSize, newest.validSize
	return nil
}

// Append writes a changed hard state and entries; they last once Sync returned.
// An entry whose index is already present ends everything from it on. ErrFull,
// ErrNoFile, ErrGap and ErrTooLarge leave the journal as it was; other errors break it.
func (j *Journal) Append(hardState *quorum.Hard, entries []quorum.Entry) error {
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	if err := j.rollIfDue(); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.validateEntries(entries); err != nil {
		return err
	}
	resetLog := j.resetsLog(entries)
	j.frameBuf = j.encodeFrames(j.frameBuf[:0], hardState, entries, resetLog)
	if err := j.writeFrames(j.frameBuf); err != nil {
		return err
	}
	if hardState != nil {
		j.hardState = *hardState
	}
	for i := range entries {
		j.segments.recordEntry(entries[i].Index)
	}
	if n := len(entries); n > 0 {
		j.lastIndex = entries[n-1].Index
	}
	return nil
}

// validateEntries refuses entries that recovery could not accept.
func (j *Journal) validateEntries(entries []quorum.Entry) error {
	if j.brokenErr != nil {
		return j.brokenErr
	}
	nextIndex := j.lastIndex + 1
	for i := range entries {
		e := &entries[i]
		inOrder := e.Index == nextIndex || i == 0 && (e.Index < nextIndex || j.lastIndex == 0 || j.resetsLog(entries))
		if e.Index == 0 || !inOrder {
			return errors.Wrapf(ErrIndexGap, "entry %d after %d", e.Index, nextIndex-1)
		}
		if len(e.Data) > MaxEntrySize {
			return errors.Wrapf(ErrEntryTooLarge, "entry %d has %d bytes, at most %d", e.Index, len(e.Data), MaxEntrySize)
		}
		nextIndex = e.Index + 1
	}
	return nil
}

// resetsLog tells whether entries go on from a snapshot that replaces the whole log,
// with no segment begun since: a full disk may have had no room for one.
func (j *Journal) resetsLog(entries []quorum.Entry) bool {
	return len(entries) > 0 && j.lastIndex > 0 && j.lastIndex <= j.compactedIndex && entries[0].Index > j.lastIndex+1
}

// encodeFrames adds the frames of an append to b.
func (j *Journal) encodeFrames(b []byte, hardState *quorum.Hard, entries []quorum.Entry, resetLog bool) []byte {
	for first := true; first || len(entries) > 0; first = false {
		n, size := 0, 0
		for n < len(entries) && (n == 0 || size+len(entries[n].Data) <= maxFrameData) {
			size += len(entries[n].Data)
			n++
		}
		r := record{syncedSize: uint64(j.syncedSize), hardState: hardState, entries: entries[:n], resetLog: resetLog}
		b = appendFrame(b, j.segments.newest().number, j.dataSize+int64(len(b)), r)
		hardState, entries, resetLog = nil, entries[n:], false
	}
	return b
}

// writeFrames adds b to the newest segment, and zeros where it has no room. A full
// disk leaves part of it behind, which is cut off, so that the next append
// stands where this one would have.
func (j *Journal) writeFrames(b []byte) error {
	if j.dataSize+int64(len(b)) > j.allocatedSize && len(j.zeroPadding) > 0 {
		written, err := j.writeAtEnd(append(b, j.zeroPadding...), len(b))
		if written || !errors.Is(err, ErrDiskFull) {
			return err
		}
	}
	_, err := j.writeAtEnd(b, len(b))
	return err
}

// writeAtEnd writes b, of which the first n bytes count.
func (j *Journal) writeAtEnd(b []byte, dataLen int) (written bool, err error) {
	_, err = j.file.WriteAt(b, j.dataSize)
	if err == nil {
		j.allocatedSize = max(j.allocatedSize, j.dataSize+int64(len(b)))
		j.dataSize += int64(dataLen)
		return true, nil
	}
	if !errors.Is(err, ErrDiskFull) {
		return false, j.markBroken("write", err)
	}
	if truncateErr := j.file.Truncate(j.dataSize); truncateErr != nil {
		return false, j.markBroken("cut off a partial write", truncateErr)
	}
	j.allocatedSize = j.dataSize
	return false, errors.Wrap(err, "append to the journal")
}

// markBroken breaks the journal for good.
func (j *Journal) markBroken(operation string, err error) error {
	// The cause is told but not wrapped: a sync that failed for lack of room must
	// not pass for ErrFull, which leaves the journal usable.
	j.brokenErr = errors.Mark(errors.Newf("journal is broken: %s: %v", operation, err), ErrBroken)
	return j.brokenErr
}

// Sync returns once everything appended before the call lasts. An error is
// final: the process must end.
func (j *Journal) Sync() error {
	j.syncMu.Lock()
	defer j.syncMu.Unlock()
	j.mu.Lock()
	file, dataSize, brokenErr := j.file, j.dataSize, j.brokenErr
	alreadySynced := j.syncedSize == j.dataSize
	j.mu.Unlock()
	if brokenErr != nil || alreadySynced {
		return brokenErr
	}
	err := file.Sync()
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		return j.markBroken("sync", err)
	}
	j.syncedSize = max(j.syncedSize, dataSize)
	return nil
}

// Close syncs what was appended and closes the files. It ends with a frame that
// vouches for everything before it, so that damage done while the process is
// down is not taken for a torn tail.
func (j *Journal) Close() error {
	err := j.Sync()
	if err == nil && !errors.Is(j.Append(&j.hardState, nil), ErrBroken) {
		err = j.Sync()
	}
	j.syncMu.Lock()
	defer j.syncMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return err
	}
	err = errors.CombineErrors(err, j.file.Close())
	j.file = nil
	j.brokenErr = errors.Mark(errors.New("journal is closed"), ErrBroken)
	return err
}

// Free returns the free space on the disk of the journal, in bytes.
func (j *Journal) Free() (uint64, error) { return j.disk.Free(j.dir) }
