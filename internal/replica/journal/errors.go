package journal

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// ErrDiskFull means that the disk has no room; nothing was appended and the journal
// stays usable.
var ErrDiskFull = disk.ErrDiskFull

// ErrTooManyFiles means that no more files can be opened; nothing was appended and the
// journal stays usable.
var ErrTooManyFiles = disk.ErrTooManyFiles

// ErrBroken means that a write or sync failed in a way that leaves unknown what
// is on the disk. The journal refuses everything from then on, and the process
// must end: a second sync may succeed without the lost data.
var ErrBroken = errors.New("journal is broken")

// ErrIndexGap means that appended entries do not follow the last one. After a
// snapshot from elsewhere, Compact up to its index makes room for what follows it.
var ErrIndexGap = errors.New("entries do not follow the last one of the journal")

// ErrEntryTooLarge means that one entry exceeds MaxEntry.
var ErrEntryTooLarge = errors.New("entry is too large")

// CorruptionError means that data which had been synced is no longer readable. The
// replica must not start: it may have voted for, or confirmed, what was lost.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error tells the place and the way out.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; data that was synced is lost, so this replica must not go on under "+
		"its identity: move the data folder aside, start with an empty one and add the replica again (docs/operate/storage.md)",
		e.File, e.Offset, e.Reason)
}

// VersionError means that a file was written by a release with another format.
type VersionError struct {
	File             string
	FileVersion      uint32
	SupportedVersion uint32
}

// Error tells both versions and the way out.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this release reads %d: start the release that wrote it (docs/operate/storage.md)",
		e.File, e.FileVersion, e.SupportedVersion)
}
