package dispatch

import (
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/policy/contention"
)

// Options selects decisions that a deployment asks for. The zero value selects none.
type Options struct {
	// Contention is the sum of the customers' CPU limits, relative to the CPU of all servers,
	// from which customers count as competing. 0 means never.
	Contention float64
	// Floor is the share of a contended pool that each queue may use before queues of
	// higher priority use more.
	Floor float64
	// ProvenAttempts keeps the last attempt of a task for servers that recently ended a run
	// successfully.
	ProvenAttempts bool
	// Unevenness is the ratio of the speed of the fastest quarter of a pool's servers to that of
	// the slowest quarter from which speeds decide where work goes. 0 means never.
	Unevenness float64
}

// updateContention decides whether the customers compete, from the active configuration and
// the capacity of the servers. It iterates over all of them, so it runs only periodically.
func (d *Dispatcher) updateContention() {
	ledger := d.Host.Flows()
	var limits []capacity.Size
	for _, customer := range ledger.Config().GetCustomers() {
		limits = append(limits, ledger.CustomerLimit(customer.GetName()))
	}
	var total capacity.Size
	for _, b := range ledger.Servers() {
		if !b.Ended {
			total = total.Add(b.Capacity)
		}
	}
	ratio := contention.Ratio(limits, total)
	contended := contention.Reached(ratio, d.Options.Contention)
	if contended != d.leader.contended {
		event.Log(d.Log, event.ContentionChanged, "contended", contended, "ratio", ratio, "customers", len(limits), "cpu", total.CPU, "term", d.leader.term)
	}
	d.leader.contended, d.leader.contentionRatio = contended, ratio
	d.updateRateUse()
}
