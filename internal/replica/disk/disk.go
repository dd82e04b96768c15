// Package disk is the small set of file operations that the durable state of a
// replica rests on. Tests put a disk in its place that tears writes, loses what
// was not synced, fails a sync or runs full.
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

// ErrDiskFull means that the disk, or the quota on it, has no room left.
var ErrDiskFull = errors.New("no space left on the disk")

// ErrTooManyFiles means that the process, or the system, may open no more files now.
var ErrTooManyFiles = errors.New("no more files can be opened")

// ErrNotExist means that a file does not exist.
var ErrNotExist = os.ErrNotExist

// File is a file open for writing.
type File interface {
	io.WriterAt
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	// Sync returns once all data written before is on stable storage.
	Sync() error
	Close() error
}

// Disk is where a replica keeps its files. Names are full paths.
type Disk interface {
	// Create makes an empty file, or empties the one that exists.
	Create(name string) (File, error)
	// Open opens an existing file for writing.
	Open(name string) (File, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// List returns the names of the files in a folder, without the folder, sorted.
	List(dir string) ([]string, error)
	// Rename puts a file under a new name, replacing what is there, in one step.
	Rename(from, to string) error
	Remove(name string) error
	// CreateFolder makes a folder and those above it, and syncs the one that holds it.
	CreateFolder(dir string) error
	// SyncFolder returns once creations, renames and removals in dir are lasting.
	SyncFolder(dir string) error
	// Free returns the bytes that can still be written.
	Free(dir string) (uint64, error)
}

// IsRetryable tells of an error that left everything as it was and that may pass by itself.
func IsRetryable(err error) bool {
	return errors.Is(err, ErrDiskFull) || errors.Is(err, ErrTooManyFiles)
}

// Permissions of what the system creates: its owner's alone.
const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// OS is the disk of the operating system.
type OS struct{}

// Create makes an empty file, or empties the one that exists.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return nil, classify(err)
	}
	return file{f}, nil
}

// Open opens an existing file for writing.
func (OS) Open(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return nil, classify(err)
	}
	return file{f}, nil
}

// Read returns the whole content of a file.
func (OS) Read(name string) ([]byte, error) {
	b, err := os.ReadFile(name)
	return b, classify(err)
}

// List returns the names of the files in a folder, sorted.
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

// Rename puts a file under a new name in one step.
func (OS) Rename(from, to string) error { return classify(os.Rename(from, to)) }

// Remove deletes a file.
func (OS) Remove(name string) error { return classify(os.Remove(name)) }

// CreateFolder makes a folder and those above it, and syncs the one that holds it.
func (s OS) CreateFolder(dir string) error {
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return classify(err)
	}
	return s.SyncFolder(filepath.Dir(dir))
}

// SyncFolder returns once creations, renames and removals in dir are lasting.
func (OS) SyncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return classify(err)
	}
	return errors.CombineErrors(classify(f.Sync()), f.Close())
}

// Free returns the bytes that an unprivileged process can still write.
func (OS) Free(dir string) (uint64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, classify(err)
	}
	return st.Bavail * uint64(st.Bsize), nil
}

// file marks the errors of an os.File.
type file struct{ f *os.File }

func (f file) WriteAt(b []byte, off int64) (int, error) {
	n, err := f.f.WriteAt(b, off)
	return n, classify(err)
}

func (f file) Truncate(size int64) error { return classify(f.f.Truncate(size)) }

// Sync leaves out times, which nothing reads; the length is synced when it changed.
func (f file) Sync() error {
	for {
		if err := unix.Fdatasync(int(f.f.Fd())); !errors.Is(err, unix.EINTR) {
			return classify(err)
		}
	}
}

func (f file) Close() error { return classify(f.f.Close()) }

// classify marks the errors that mean a full disk or too many open files.
func classify(err error) error {
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return errors.Mark(err, ErrDiskFull)
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return errors.Mark(err, ErrTooManyFiles)
	}
	return err
}
