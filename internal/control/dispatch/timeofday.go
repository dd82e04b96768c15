package dispatch

import (
	"time"

	"gypsumreel/internal/base/event"
)

// TimeOfDay returns the time of day, since 1970, that the processes agree on, and
// whether enough of them are heard. It is called on the control thread.
func (d *Dispatcher) TimeOfDay(now time.Duration) (time.Duration, bool) { return d.agreedTime.At(now) }

// maxClockSkew is how far a machine's time of day may be off before that is told: far
// more than what keeps clocks in step lets happen.
const maxClockSkew = 500 * time.Millisecond

// compareClocks adds this machine's time of day to the others', and tells once when
// it is off from theirs.
func (d *Dispatcher) compareClocks(now time.Duration) {
	localTime := time.Duration(time.Now().UnixNano())
	d.agreedTime.Hear("", localTime, now)
	agreed, ok := d.agreedTime.At(now)
	skewed := ok && (localTime-agreed).Abs() > maxClockSkew
	if skewed && !d.leader.clockSkewed {
		event.Log(d.Log, event.TimeDiffers, "own", localTime.String(), "agreed", agreed.String())
	}
	d.leader.clockSkewed = skewed
}
