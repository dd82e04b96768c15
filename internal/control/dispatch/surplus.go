package dispatch

import (
	"time"

	"gypsumreel/internal/policy/rate"
)

// rateBucket is a token bucket that measures a customer's submissions against its
// guaranteed rate while customers do not compete. It is known to this leader only, so the
// next one grants a full burst again; rate.Bucket is used while customers compete.
type rateBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// markSurplusFlow marks a flow as surplus if its customer exceeds its guaranteed rate.
// Surplus flows run on the capacity that the other flows leave. While customers compete, the
// use of the rate follows from the ledger.
func (d *Dispatcher) markSurplusFlow(customerName, id string) {
	if d.leader.contended {
		d.recordAcceptance(customerName, id)
		return
	}
	customer, ok := d.Host.Flows().Config().Customer(customerName)
	if !ok || customer.GetWeight() <= 0 {
		return
	}
	now := d.Now()
	bucket := d.leader.rateBuckets[customerName]
	if bucket == nil {
		bucket = &rateBucket{tokens: customer.GetWeight() * rate.BurstSeconds, refilledAt: now}
		d.leader.rateBuckets[customerName] = bucket
	}
	bucket.tokens = min(bucket.tokens+customer.GetWeight()*(now-bucket.refilledAt).Seconds(), customer.GetWeight()*rate.BurstSeconds)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		d.leader.surplusFlows[id] = true
		return
	}
	bucket.tokens--
}
