package disk

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// memoryFile is an open file of a Memory disk.
type memoryFile struct {
	disk  *Memory
	inode *inode
	name  string
}

// WriteAt writes b at offset off. With the faults DiskFull, TooManyFiles and
// CrashDuring it writes only the first half of b.
func (f *memoryFile) WriteAt(b []byte, off int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	fault, err := f.disk.beginOperation(Write, f.name)
	if fault == CrashBefore || fault == IOError {
		return 0, err
	}
	if fault != NoFault {
		b = b[:len(b)/2]
	}
	if missing := int(off) + len(b) - len(f.inode.data); missing > 0 {
		f.inode.data = append(f.inode.data, make([]byte, missing)...)
	}
	copy(f.inode.data[off:], b)
	return len(b), errors.CombineErrors(err, operationError(fault))
}

// Truncate shortens the file to size bytes.
func (f *memoryFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	fault, err := f.disk.beginOperation(Truncate, f.name)
	if err != nil {
		return err
	}
	f.inode.data = f.inode.data[:min(int(size), len(f.inode.data))]
	return operationError(fault)
}

// Sync makes the content durable. After a failed sync it has no effect.
func (f *memoryFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	fault, err := f.disk.beginOperation(Sync, f.name)
	if fault == DiskFull || fault == IOError {
		f.inode.syncFailed = true
	}
	if err != nil {
		return err
	}
	if !f.inode.syncFailed {
		f.inode.synced = slices.Clone(f.inode.data)
	}
	return operationError(fault)
}

// Close does nothing and does not sync the file.
func (f *memoryFile) Close() error { return nil }
