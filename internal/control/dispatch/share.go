package dispatch

import (
	"time"
)

// burst is how many seconds of its weight a customer may send at once without
// being taken to send too much: callers do not come evenly.
const burst = 2

// bucket measures what a customer sends beside the rate that it can count on.
type bucket struct {
	level float64
	at    time.Duration
}

// share notes whether a flow was sent beyond what its customer can count on.
// Such flows are served from what the others leave.
func (d *Dispatcher) share(owner, id string) {
	c, ok := d.Host.Flows().Config().Customer(owner)
	if !ok || c.GetWeight() <= 0 {
		return
	}
	now := d.Now()
	b := d.lead.buckets[owner]
	if b == nil {
		b = &bucket{level: c.GetWeight() * burst, at: now}
		d.lead.buckets[owner] = b
	}
	b.level = min(b.level+c.GetWeight()*(now-b.at).Seconds(), c.GetWeight()*burst)
	b.at = now
	if b.level < 1 {
		d.lead.surplus[id] = true
		return
	}
	b.level--
}
