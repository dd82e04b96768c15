// Package clock provides the clocks of the cell: the machine's clock since boot,
// which leases and the leader's quorum confirmations are measured on, and a time
// of day that many processes agree on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted, including the time in
// which it was suspended. Go's monotonic clock stops during a suspension: a leader
// that resumes would still consider its last quorum confirmation fresh and would
// give orders concurrently with its successor.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All kernels that Go supports have this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}
