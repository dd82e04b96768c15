package dispatch

import (
	"time"

	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/policy/fairness"
	"gypsumreel/internal/policy/steps"
)

// customerUse returns, by customer, the CPU of its runs relative to its guaranteed rate, where
// 1 is the average of all customers. It returns nil unless customers compete.
func (d *Dispatcher) customerUse() map[string]float64 {
	if !d.leader.contended {
		return nil
	}
	ledger := d.Host.Flows()
	accounts := map[string]fairness.Account{}
	for _, c := range ledger.Config().GetCustomers() {
		accounts[c.GetName()] = fairness.Account{Used: ledger.CustomerUsage(c.GetName()).CPU, Rate: c.GetWeight()}
	}
	return fairness.Use(accounts)
}

// recordContendedStart counts a start by queue and by its part of the contended order. It
// returns the fields for the log, none unless customers compete.
func (d *Dispatcher) recordContendedStart(item steps.Item) []any {
	if !d.leader.planView.Contended {
		return nil
	}
	group := item.Rank().Group()
	d.flowMetrics.incrementCounter("contended_starts_total", meter.Label{Name: "queue", Value: item.Flow.QueueName}, meter.Label{Name: "group", Value: group})
	return []any{"group", group}
}

// questionsPerHelper is how many short questions a helper answers between two plans.
const questionsPerHelper = 2

// maxQuestions returns the number of questions that can be sent before the next plan.
func (d *Dispatcher) maxQuestions(now time.Duration) int {
	_, available := d.helperPool.IdleCount(now)
	return questionsPerHelper * max(available, 1)
}

// holdsRunOf reports whether the servers hold a run of a queue.
func (d *Dispatcher) holdsRunOf(queue string, servers []steps.Server) bool {
	for _, s := range servers {
		for _, held := range s.HeldRuns {
			if f, ok := d.Host.Flows().Flow(held.Flow); ok && f.QueueName == queue {
				return true
			}
		}
	}
	return false
}

// floorShortfalls returns, by queue, the CPU in thousandths of a core that the queue lacks to its
// floor in its pool.
func (d *Dispatcher) floorShortfalls(servers []steps.Server) map[string]int64 {
	ledger := d.Host.Flows()
	total, used := map[string]int64{}, map[string]int64{}
	for _, s := range servers {
		total[s.Pool] += s.Capacity.CPU
		for _, held := range s.HeldRuns {
			if f, ok := ledger.Flow(held.Flow); ok {
				used[f.QueueName] += held.Size.CPU
			}
		}
	}
	out := map[string]int64{}
	for _, q := range ledger.Config().GetQueues() {
		if n := fairness.Shortfall(used[q.GetName()], total[q.GetPool()], d.Options.Floor); n > 0 {
			out[q.GetName()] = n
		}
	}
	return out
}
