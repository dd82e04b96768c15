package dispatch

import (
	"time"

	"gypsumreel/internal/base/event"
)

// TimeOfDay returns the time since 1970 on which the processes agree, and whether enough
// processes have reported their clocks. It must be called on the control thread.
func (d *Dispatcher) TimeOfDay(now time.Duration) (time.Duration, bool) {
	return d.agreedTime.TimeOfDay(now)
}

// maxClockSkew is the difference from the agreed time above which a machine's clock is
// logged as wrong. Synchronized clocks differ by far less.
const maxClockSkew = 500 * time.Millisecond

// compareClocks adds this machine's wall clock to those of the other processes. It logs
// once when the clock differs from the agreed time by more than maxClockSkew.
func (d *Dispatcher) compareClocks(now time.Duration) {
	localTime := time.Duration(time.Now().UnixNano())
	d.agreedTime.Observe("", localTime, now)
	agreed, ok := d.agreedTime.TimeOfDay(now)
	skewed := ok && (localTime-agreed).Abs() > maxClockSkew
	if skewed && !d.leader.clockSkewed {
		event.Log(d.Log, event.TimeDiffers, "own", localTime.String(), "agreed", agreed.String())
	}
	d.leader.clockSkewed = skewed
}
