package journal

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// ErrDiskFull means that the disk has no free space. Nothing was appended, and the
// journal stays usable.
var ErrDiskFull = disk.ErrDiskFull

// ErrTooManyFiles means that no more files can be opened. Nothing was appended, and
// the journal stays usable.
var ErrTooManyFiles = disk.ErrTooManyFiles

// ErrBroken means that a write or sync failed and that the content of the disk is
// now unknown. All further calls fail, and the process must end. Retrying the sync
// is not safe, because it may succeed although the data is lost.
var ErrBroken = errors.New("journal is broken")

// ErrIndexGap means that the appended entries do not follow the last entry. After a
// snapshot from another replica was installed, Compact with the index of the
// snapshot allows the entries that follow it.
var ErrIndexGap = errors.New("entries do not follow the last entry of the journal")

// ErrEntryTooLarge means that the data of an entry exceeds MaxEntrySize.
var ErrEntryTooLarge = errors.New("entry is too large")

// CorruptionError means that synced data is no longer readable. The replica must not
// start, because the lost data may include its vote or entries that it acknowledged.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset, the reason and the steps for the operator.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; synced data is lost, so this replica must not continue under "+
		"its identity: move the data folder aside, start with an empty one and add the replica again (docs/operate/storage.md)",
		e.File, e.Offset, e.Reason)
}

// VersionError means that a file was written by a release with a different format version.
type VersionError struct {
	File             string
	FileVersion      uint32
	SupportedVersion uint32
}

// Error returns both versions and the steps for the operator.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this release reads %d: start the release that wrote it (docs/operate/storage.md)",
		e.File, e.FileVersion, e.SupportedVersion)
}
