// Package clock is the clock that leases, freshness and proofs of leadership are
// measured on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted, with the time in which it
// was suspended. The steady clock of the language stands still meanwhile: a
// leader that wakes from a suspension would believe that its last proof of
// leadership is fresh, and go on to give orders beside its successor.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that Go runs on has this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}
