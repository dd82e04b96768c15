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
func (d *Dispatcher) markSurplusFlow(customerName, id string) {
	customer, ok := d.Host.Flows().Config().Customer(customerName)
	if !ok || customer.GetWeight() <= 0 {
		return
	}
	now := d.Now()
	bucket := d.leader.rateBuckets[customerName]
	if bucket == nil {
		bucket = &rateBucket{tokens: customer.GetWeight() * burstSeconds, refilledAt: now}
		d.leader.rateBuckets[customerName] = bucket
	}
	bucket.tokens = min(bucket.tokens+customer.GetWeight()*(now-bucket.refilledAt).Seconds(), customer.GetWeight()*burstSeconds)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		d.leader.surplusFlows[id] = true
		return
	}
	bucket.tokens--
}
