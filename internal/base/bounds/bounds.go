// Package bounds turns what an instance gives into what a process may take.
package bounds

import (
	"runtime/debug"
)

const (
	// heapPart of heapOf of the memory is for the heap: buffers of the kernel,
	// stacks and the program itself need the rest.
	heapPart, heapOf = 6, 10
	// roomOf is the part of a disk that is kept free: a snapshot is written
	// beside the one before it.
	roomOf   = 8
	mebibyte = 1 << 20
)

// LimitHeap keeps the heap well below the instance's memory, in MiB; 0 for not known.
func LimitHeap(mib int64) {
	if mib > 0 {
		debug.SetMemoryLimit(mib * mebibyte * heapPart / heapOf)
	}
}

// DiskReserve returns the bytes that are kept free on a disk of so many MiB; 0, which
// stands for the default, when its size is not known.
func DiskReserve(mib int64) uint64 { return uint64(mib) * mebibyte / roomOf }
