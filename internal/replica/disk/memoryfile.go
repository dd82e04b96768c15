package disk

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// memoryFile is an open file of a Memory disk.
type memoryFile struct {
	m    *Memory
	n    *node
	name string
}

// WriteAt writes b; half of it when the disk is full or crashes meanwhile.
func (f *memoryFile) WriteAt(b []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault, err := f.m.begin(Write, f.name)
	if fault == CrashBefore || fault == IOError {
		return 0, err
	}
	if fault != NoFault {
		b = b[:len(b)/2]
	}
	if short := int(off) + len(b) - len(f.n.data); short > 0 {
		f.n.data = append(f.n.data, make([]byte, short)...)
	}
	copy(f.n.data[off:], b)
	return len(b), errors.CombineErrors(err, end(fault))
}

// Truncate cuts the file to size bytes.
func (f *memoryFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault, err := f.m.begin(Truncate, f.name)
	if err != nil {
		return err
	}
	f.n.data = f.n.data[:min(int(size), len(f.n.data))]
	return end(fault)
}

// Sync makes the content last, unless an earlier sync failed.
func (f *memoryFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault, err := f.m.begin(Sync, f.name)
	if fault == DiskFull || fault == IOError {
		f.n.lost = true
	}
	if err != nil {
		return err
	}
	if !f.n.lost {
		f.n.stable = slices.Clone(f.n.data)
	}
	return end(fault)
}

// Close does nothing: a close makes nothing last.
func (f *memoryFile) Close() error { return nil }
