package dispatch

import (
	"time"

	"gypsumreel/internal/base/event"
)

// TimeOfDay returns the time of day, since 1970, that the processes agree on, and
// whether enough of them are heard. It is called on the control thread.
func (d *Dispatcher) TimeOfDay(now time.Duration) (time.Duration, bool) {
	return d.agreed.TimeOfDay(now)
}

// clockSkew is how far a machine's time of day may be off before that is told: far
// more than what keeps clocks in step lets happen.
const clockSkew = 500 * time.Millisecond

// compareClocks adds this machine's time of day to the others', and tells once when
// it is off from theirs.
func (d *Dispatcher) compareClocks(now time.Duration) {
	own := time.Duration(time.Now().UnixNano())
	d.agreed.Observe("", own, now)
	agreed, ok := d.agreed.TimeOfDay(now)
	off := ok && (own-agreed).Abs() > clockSkew
	if off && !d.lead.off {
		event.Log(d.Log, event.TimeDiffers, "own", own.String(), "agreed", agreed.String())
	}
	d.lead.off = off
}
