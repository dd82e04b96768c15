// Package journal is the write-ahead log of a replica. It stores checksummed
// frames in segment files and syncs them in batches. After a crash it truncates
// the log to the last complete frame.
package journal

import (
	"sync"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/quorum"
)

// Sizes in bytes.
const (
	// DefaultSegmentSize is the size at which the journal rolls over to a new segment.
	DefaultSegmentSize = 16 << 20
	// MaxEntrySize is the maximum size of the data of one entry.
	MaxEntrySize = 16 << 20
	// DefaultPreallocation is the number of zero bytes that are added to a segment
	// when its preallocated space is used up. Overwriting synced zeros does not
	// change the file length, so most syncs need not write file metadata.
	DefaultPreallocation = 512 << 10
	// maxFrameData is the maximum amount of entry data in a frame with more than one entry.
	maxFrameData = 1 << 20
	// rollRetryDivisor sets the backoff after a failed creation of a segment. The
	// first retry follows once 1/rollRetryDivisor of the segment size has been
	// appended. This amount doubles with each failure, at most rollRetryDivisor times.
	rollRetryDivisor = 16
)

// Config holds the settings of a journal. The zero value uses the defaults.
type Config struct {
	// Disk holds the files. When nil, the file system of the operating system is used.
	Disk disk.Disk
	// SegmentSize is in bytes. 0 means DefaultSegmentSize.
	SegmentSize int64
	// Preallocation is in bytes. 0 means DefaultPreallocation, and a negative value
	// disables preallocation.
	Preallocation int64
	// OnRollPostponed, if set, is called with the error when a new segment could not
	// be created. The journal retries later. The function must not block.
	OnRollPostponed func(error)
}

// Journal is an open journal. Append and Sync may be called concurrently from two
// goroutines, so that the next batch is appended while the previous one is synced.
type Journal struct {
	disk            disk.Disk
	dir             string
	segmentSize     int64
	zeroPadding     []byte
	onRollPostponed func(error)

	// syncMu is held while the segment file is synced or replaced. It is locked before mu.
	syncMu sync.Mutex
	mu     sync.Mutex
	// brokenErr is the first error after which the content of the disk is unknown.
	// Close sets it too. Once set it is never cleared, and every later Append, Sync and
	// Compact returns it.
	brokenErr error
	segments  segments
	// file is the newest segment. Its frames end at dataSize, and the bytes up to
	// syncedSize are on stable storage.
	file       disk.File
	dataSize   int64
	syncedSize int64
	// allocatedSize is the length of the file. The bytes from dataSize on are zeros.
	allocatedSize int64
	hardState     quorum.HardState
	// lastIndex is the index of the last entry, 0 if there is none.
	lastIndex uint64
	// rollSize is the size at which the next segment is created.
	rollSize int64
	// failedRolls counts the failed attempts to create the next segment.
	failedRolls int
	// removalUnsynced reports that an incomplete new segment was removed but the
	// folder has not been synced since, so a crash may restore the file.
	removalUnsynced bool
	// compactedIndex is the highest index passed to Compact.
	compactedIndex uint64
	frameBuf       []byte
}

// Open opens the journal in dir with the default settings and creates it if it does not exist.
func Open(dir string) (*Journal, Recovered, error) { return Config{}.Open(dir) }

// Open reads the journal in dir and opens it for appending. It truncates a torn
// tail. Corruption before the tail gives a CorruptionError.
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

// recoverSegments reads all segments and opens the newest one for appending.
func (j *Journal) recoverSegments() (Recovered, error) {
	if err := j.disk.CreateFolder(j.dir); err != nil {
		return Recovered{}, err
	}
	names, err := j.disk.List(j.dir)
	if err != nil {
		return Recovered{}, err
	}
	numbers := segmentNumbers(names)
	var r segmentReader
	var newest segmentScan
	for i, segmentNumber := range numbers {
		path := segmentPath(j.dir, segmentNumber)
		if i > 0 && segmentNumber != numbers[i-1]+1 {
			return Recovered{}, &CorruptionError{File: path, Reason: "a segment before it is missing"}
		}
		b, err := j.disk.Read(path)
		if err != nil {
			return Recovered{}, err
		}
		if newest, err = r.readSegment(path, segmentNumber, b, i == len(numbers)-1); err != nil {
			return Recovered{}, err
		}
		newest.fileSize = int64(len(b))
	}
	j.segments, j.hardState = r.segments, r.HardState
	if n := len(r.Entries); n > 0 {
		j.lastIndex = r.Entries[n-1].Index
	}
	r.New, r.TornTail = len(numbers) == 0, newest.tornTail
	return r.Recovered, j.openNewestSegment(newest)
}

// openNewestSegment opens the newest segment for appending and truncates its torn
// tail. It creates the first segment when there is none.
func (j *Journal) openNewestSegment(newest segmentScan) error {
	if len(j.segments) == 0 {
		return j.createSegment(1)
	}
	segmentNumber := j.segments.newest().number
	path := segmentPath(j.dir, segmentNumber)
	if newest.validSize == 0 {
		// A crash interrupted the creation of the segment, so it is created again.
		j.segments = j.segments[:len(j.segments)-1]
		return j.createSegment(segmentNumber)
	}
	file, err := j.disk.Open(path)
	if err != nil {
		return err
	}
	if newest.validSize < newest.fileSize {
		err = file.Truncate(newest.validSize)
	}
	// The recovered data may still be in the page cache only, left by a process that
	// died before its sync. The caller relies on this data, so it is synced now.
	err = errors.CombineErrors(err, file.Sync())
	if err = errors.CombineErrors(err, j.disk.SyncFolder(j.dir)); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	j.file, j.dataSize, j.syncedSize, j.allocatedSize = file, newest.validSize, newest.validSize, newest.validSize
	return nil
}

// Append writes a changed hard state and entries. They are durable once a later
// Sync returns. An entry whose index is already in the journal replaces that entry
// and all after it. ErrDiskFull, ErrTooManyFiles, ErrIndexGap and ErrEntryTooLarge
// leave the journal unchanged and usable. After any other error it is broken.
func (j *Journal) Append(hardState *quorum.HardState, entries []quorum.Entry) error {
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

// validateEntries rejects entries that recovery would not accept.
func (j *Journal) validateEntries(entries []quorum.Entry) error {
	if j.brokenErr != nil {
		return j.brokenErr
	}
	nextIndex := j.lastIndex + 1
	for i := range entries {
		e := &entries[i]
		inOrder := e.Index == nextIndex || i == 0 && (e.Index < nextIndex || j.lastIndex == 0 || j.resetsLog(entries))
		if e.Index == 0 || !inOrder {
			return errors.Wrapf(ErrIndexGap, "entry %d cannot follow entry %d", e.Index, nextIndex-1)
		}
		if len(e.Data) > MaxEntrySize {
			return errors.Wrapf(ErrEntryTooLarge, "entry %d has %d bytes, the limit is %d", e.Index, len(e.Data), MaxEntrySize)
		}
		nextIndex = e.Index + 1
	}
	return nil
}

// resetsLog reports whether the entries follow a snapshot that replaces the whole
// log while the newest segment still holds old entries. This happens when a full
// disk had no room for a new segment after the snapshot.
func (j *Journal) resetsLog(entries []quorum.Entry) bool {
	return len(entries) > 0 && j.lastIndex > 0 && j.lastIndex <= j.compactedIndex && entries[0].Index > j.lastIndex+1
}

// encodeFrames appends the frames for a hard state and entries to b.
func (j *Journal) encodeFrames(b []byte, hardState *quorum.HardState, entries []quorum.Entry, resetLog bool) []byte {
	for first := true; first || len(entries) > 0; first = false {
		count, frameData := 0, 0
		for count < len(entries) && (count == 0 || frameData+len(entries[count].Data) <= maxFrameData) {
			frameData += len(entries[count].Data)
			count++
		}
		r := record{syncedSize: uint64(j.syncedSize), hardState: hardState, entries: entries[:count], resetLog: resetLog}
		b = appendFrame(b, j.segments.newest().number, j.dataSize+int64(len(b)), r)
		hardState, entries, resetLog = nil, entries[count:], false
	}
	return b
}

// writeFrames appends encoded frames to the newest segment. When they exceed the
// preallocated space, zeros are written after them as new preallocation. If the disk
// has no room for these zeros, the frames are written without them.
func (j *Journal) writeFrames(frames []byte) error {
	if j.dataSize+int64(len(frames)) > j.allocatedSize && len(j.zeroPadding) > 0 {
		written, err := j.writeAtEnd(append(frames, j.zeroPadding...), len(frames))
		if written || !errors.Is(err, ErrDiskFull) {
			return err
		}
	}
	_, err := j.writeAtEnd(frames, len(frames))
	return err
}

// writeAtEnd writes b after the last frame. The first dataLen bytes of b are
// frames, and the rest is preallocation. When the disk is full, a partial write is
// truncated, so that the next append starts at the same offset.
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
		return false, j.markBroken("truncate a partial write", truncateErr)
	}
	j.allocatedSize = j.dataSize
	return false, errors.Wrap(err, "append to the journal")
}

// markBroken makes the journal reject all further calls and returns the error that they get.
func (j *Journal) markBroken(operation string, err error) error {
	// The cause is in the message but not wrapped. Otherwise a sync that failed for
	// lack of space would match ErrDiskFull, after which callers keep using the journal.
	j.brokenErr = errors.Mark(errors.Newf("journal is broken: %s: %v", operation, err), ErrBroken)
	return j.brokenErr
}

// Sync returns once everything appended before the call is on stable storage.
// After an error the journal is broken and the process must end.
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

// Close syncs the appended data and closes the segment file. Before that it writes
// a last frame that records the synced size. Recovery can then tell corruption
// that happens while the process is down from a torn tail. The journal is whole
// without that frame, so a lack of space or open files for it is not an error.
func (j *Journal) Close() error {
	err := j.Sync()
	if err == nil {
		if err = j.Append(&j.hardState, nil); err == nil || disk.IsRetryable(err) {
			err = j.Sync()
		}
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

// FreeBytes returns the free space on the disk of the journal, in bytes.
func (j *Journal) FreeBytes() (uint64, error) { return j.disk.Free(j.dir) }
