package dispatch

import (
	"time"
)

// burstSeconds is how many seconds of its weight a customer may send at once without
// being taken to send too much: callers do not come evenly.
const burstSeconds = 2

// rateBucket measures what a customer sends beside the rate that it can count on.
type rateBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// markSurplusFlow notes whether a flow was sent beyond what its customer can count on.
// Such flows are served from what the others leave.
func (d *Dispatcher) markSurplusFlow(owner, id string) {
	c, ok := d.Host.Flows().Config().Customer(owner)
	if !ok || c.GetWeight() <= 0 {
		return
	}
	now := d.Now()
	b := d.leader.rateBuckets[owner]
	if b == nil {
		b = &rateBucket{tokens: c.GetWeight() * burstSeconds, refilledAt: now}
		d.leader.rateBuckets[owner] = b
	}
	b.tokens = min(b.tokens+c.GetWeight()*(now-b.refilledAt).Seconds(), c.GetWeight()*burstSeconds)
	b.refilledAt = now
	if b.tokens < 1 {
		d.leader.surplusFlows[id] = true
		return
	}
	b.tokens--
}
