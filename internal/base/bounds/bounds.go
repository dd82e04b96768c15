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
	// requestDivisor sets the room for the requests of clients, and as much for those of other
	// processes: one eighth of the memory each.
	requestDivisor = 8
	// defaultRequestMiB is the room where the memory is unknown.
	defaultRequestMiB = 64
	// connBytes is what an open connection without large requests takes, and connDivisor sets the
	// share of the memory for connections: one third.
	connBytes   = 24 << 10
	connDivisor = 3
	// openDivisor sets the share of the memory for flows that have not ended: one quarter.
	openDivisor = 4
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

// RequestBytes returns the room for the bytes of requests of an instance with the given memory. A
// size of 0 MiB means unknown.
func RequestBytes(memoryMiB int64) int64 {
	if memoryMiB == 0 {
		return defaultRequestMiB * mebibyte
	}
	return memoryMiB * mebibyte / requestDivisor
}

// OpenBytes returns the memory for flows that have not ended. It returns 0, which sets no limit,
// when the size is 0 (unknown).
func OpenBytes(memoryMiB int64) int64 { return memoryMiB * mebibyte / openDivisor }

// Conns returns the number of connections that fit into the memory, but at most limit. A size of
// 0 MiB means unknown.
func Conns(memoryMiB, limit int64) int {
	if memoryMiB == 0 {
		return int(limit)
	}
	return int(min(limit, memoryMiB*mebibyte/connDivisor/connBytes))
}
