package dispatch

import (
	"maps"

	"gypsumreel/internal/policy/rate"
)

// guaranteedRates returns the guaranteed rates of the active configuration by customer.
func (d *Dispatcher) guaranteedRates() map[string]float64 {
	rates := map[string]float64{}
	for _, customer := range d.Host.Flows().Config().GetCustomers() {
		if customer.GetWeight() > 0 {
			rates[customer.GetName()] = customer.GetWeight()
		}
	}
	return rates
}

// updateRateUse computes the use of the guaranteed rates and the surplus flows from the
// ledger, when customers begin to compete and when a rate changes. The result depends on the
// ledger alone, so a change of the leader grants no second burst and changes no order.
func (d *Dispatcher) updateRateUse() {
	state, config := &d.leader.admission, d.Host.Flows().Config()
	if !d.leader.contended {
		state.buckets, state.ratesConfig = nil, nil
		return
	}
	if state.buckets != nil && state.ratesConfig == config {
		return
	}
	state.ratesConfig = config
	rates := d.guaranteedRates()
	if state.buckets != nil && maps.Equal(rates, state.rates) {
		return
	}
	state.rates = rates
	d.replayAcceptances()
}

// replayAcceptances rebuilds the use of the rates from the flows that the ledger keeps.
func (d *Dispatcher) replayAcceptances() {
	state, ledger := &d.leader.admission, d.Host.Flows()
	acceptances := map[string][]rate.Acceptance{}
	entry := 0
	for id, f := range ledger.Flows() {
		entry++
		d.yieldAt(entry)
		if state.rates[f.Customer] > 0 {
			acceptances[f.Customer] = append(acceptances[f.Customer], rate.Acceptance{ID: id, At: f.AcceptedAt})
		}
	}
	state.buckets = map[string]rate.Bucket{}
	clear(d.leader.surplusFlows)
	for customer, list := range acceptances {
		d.Host.YieldProcessor()
		bucket, surplus := rate.Replay(state.rates[customer], list)
		state.buckets[customer] = bucket
		for _, id := range surplus {
			if f, ok := ledger.Flow(id); ok && !f.Final() {
				d.leader.surplusFlows[id] = true
			}
		}
	}
}

// recordAcceptance adds an accepted flow to the use of its customer's rate.
func (d *Dispatcher) recordAcceptance(customer, id string) {
	bucket, ok := d.guaranteedBucket(customer)
	f, accepted := d.Host.Flows().Flow(id)
	if !ok || !accepted {
		return
	}
	after, surplus := bucket.WithAcceptance(f.AcceptedAt)
	d.leader.admission.buckets[customer] = after
	if surplus {
		d.leader.surplusFlows[id] = true
	}
}

// guaranteedBucket returns the use of a customer's guaranteed rate, and false if it has none.
func (d *Dispatcher) guaranteedBucket(customer string) (rate.Bucket, bool) {
	state := &d.leader.admission
	perSecond := state.rates[customer]
	if perSecond <= 0 {
		return rate.Bucket{}, false
	}
	bucket, ok := state.buckets[customer]
	if !ok {
		bucket = rate.New(perSecond, d.Host.LedgerTime())
	}
	return bucket, true
}
