// Package bounds derives process limits from the memory and disk size of the
// instance.
package bounds

import (
	"runtime/debug"
)

const (
	// The heap may use heapNumerator/heapDenominator (6/10) of the memory. The
	// rest is for kernel buffers, stacks and the program itself.
	heapNumerator, heapDenominator = 6, 10
	// reserveDivisor sets the share of the disk that stays free: one eighth. A
	// new snapshot is written while the previous one still exists.
	reserveDivisor = 8
	mebibyte       = 1 << 20
)

// LimitHeap sets the memory limit of the Go runtime well below the instance's
// memory. A size of 0 MiB means unknown and sets no limit.
func LimitHeap(memoryMiB int64) {
	if memoryMiB > 0 {
		debug.SetMemoryLimit(memoryMiB * mebibyte * heapNumerator / heapDenominator)
	}
}

// DiskReserve returns the number of bytes to keep free on a disk of the given
// size. It returns 0, which selects the default, when the size is 0 (unknown).
func DiskReserve(diskMiB int64) uint64 { return uint64(diskMiB) * mebibyte / reserveDivisor }
