// Package disk provides the file operations for the durable state of a replica.
// Tests use Memory, an in-memory disk that simulates torn writes, loss of unsynced
// data, failed syncs and a full disk.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrDiskFull means that the disk has no free space or its quota is used up.
var ErrDiskFull = errors.New("no space left on the disk")

// ErrTooManyFiles means that the process or the system has reached its limit of open files.
var ErrTooManyFiles = errors.New("no more files can be opened")

// ErrNotExist means that a file does not exist.
var ErrNotExist = os.ErrNotExist

// File is a file open for writing.
type File interface {
	io.WriterAt
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Sync returns once all data written before is on stable storage.
	Sync() error
	Close() error
}

// Disk stores the files of a replica. Names are full paths.
type Disk interface {
	// Create creates an empty file or truncates the existing one.
	Create(name string) (File, error)
	// Open opens an existing file for writing.
	Open(name string) (File, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// List returns the sorted base names of the files in a folder.
	List(dir string) ([]string, error)
	// Rename renames a file atomically and replaces an existing file of the new name.
	Rename(from, to string) error
	Remove(name string) error
	// CreateFolder creates a folder and its missing parents, and syncs the parent folder.
	CreateFolder(dir string) error
	// SyncFolder returns once creations, renames and removals in dir are durable.
	SyncFolder(dir string) error
	// Free returns the free space for an unprivileged process, in bytes.
	Free(dir string) (uint64, error)
}

// IsRetryable reports whether an operation failed for lack of space or open files.
// Such an operation may succeed later.
func IsRetryable(err error) bool {
	return errors.Is(err, ErrDiskFull) || errors.Is(err, ErrTooManyFiles)
}

// Permissions of new files and folders. Only the owner has access.
const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// OS is a Disk on the file system of the operating system.
type OS struct{}

// Create creates an empty file or truncates the existing one.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return nil, classify(err)
	}
	return osFile{f}, nil
}

// Open opens an existing file for writing.
func (OS) Open(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return nil, classify(err)
	}
	return osFile{f}, nil
}

// Read returns the whole content of a file.
func (OS) Read(name string) ([]byte, error) {
	b, err := os.ReadFile(name)
	return b, classify(err)
}

// List returns the sorted base names of the regular files in a folder.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, classify(err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename renames a file atomically and replaces an existing file of the new name.
func (OS) Rename(from, to string) error { return classify(os.Rename(from, to)) }

// Remove deletes a file.
func (OS) Remove(name string) error { return classify(os.Remove(name)) }

// CreateFolder creates a folder and its missing parents, and syncs the parent folder.
func (s OS) CreateFolder(dir string) error {
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return classify(err)
	}
	return s.SyncFolder(filepath.Dir(dir))
}

// SyncFolder returns once creations, renames and removals in dir are durable.
func (OS) SyncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return classify(err)
	}
	return errors.CombineErrors(classify(f.Sync()), f.Close())
}

// Free returns the free space for an unprivileged process, in bytes.
func (OS) Free(dir string) (uint64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, classify(err)
	}
	return st.Bavail * uint64(st.Bsize), nil
}

// osFile wraps an os.File and marks its errors with classify.
type osFile struct{ f *os.File }

func (f osFile) WriteAt(b []byte, off int64) (int, error) {
	n, err := f.f.WriteAt(b, off)
	return n, classify(err)
}

func (f osFile) Truncate(size int64) error { return classify(f.f.Truncate(size)) }

// Sync calls fdatasync, which writes the data and a changed file length but not the
// timestamps, because nothing reads them.
func (f osFile) Sync() error {
	for {
		if err := unix.Fdatasync(int(f.f.Fd())); !errors.Is(err, unix.EINTR) {
			return classify(err)
		}
	}
}

func (f osFile) Close() error { return classify(f.f.Close()) }

// classify marks errors with ErrDiskFull or ErrTooManyFiles where they apply.
func classify(err error) error {
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return errors.Mark(err, ErrDiskFull)
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return errors.Mark(err, ErrTooManyFiles)
	}
	return err
}
