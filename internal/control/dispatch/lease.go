package dispatch

import (
	"slices"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/shortlease"
)

// urgentLease is the lease of servers that run only urgent tasks. It is longer than an
// election, and short enough that the tasks of a lost server can still meet their
// deadlines.
const urgentLease = 2 * time.Second

// leaseLength returns the length of the lease that a call grants to a server, or 0 for no
// renewal. A server has one lease for all its runs, and a call never shortens it. Long
// tasks get the maximum, so that they survive a period without a running replica. Urgent
// tasks get a short lease, because the tasks of an unresponsive server can be placed again
// only after its lease. A server without runs needs no lease.
func (d *Dispatcher) leaseLength(s *session) time.Duration {
	longest := time.Duration(0)
	for _, r := range s.runs {
		if !r.urgent {
			return d.MaxLease
		}
		longest = min(urgentLease, d.MaxLease)
	}
	return longest
}

// isUrgentStep reports whether the tasks of a step are urgent and not lasting.
func (d *Dispatcher) isUrgentStep(s *flows.Step) bool {
	q, ok := d.Host.Flows().QueueOf(s.Flow)
	return ok && !s.Spec.GetLasting() && d.isUrgentRank(q.GetPool(), q.GetPriority())
}

// chooseUrgentServers selects, for each pool, the servers on which urgent tasks are
// concentrated.
func (d *Dispatcher) chooseUrgentServers() {
	usedCPU := map[string]int64{}
	servers := map[string][]shortlease.Server{}
	for id, s := range d.leader.sessions {
		b, ok := d.Host.Flows().Server(id)
		if !ok || b.Ended {
			continue
		}
		if d.Host.Flows().AcceptsWork(b) && s.endProof == "" {
			servers[b.Pool] = append(servers[b.Pool], shortlease.Server{ID: id, CPU: b.Capacity.CPU, SpeedClass: d.speedClassOf(b)})
		}
		for _, r := range s.runs {
			if r.urgent {
				usedCPU[b.Pool] += r.allocation.Size.CPU
			}
		}
	}
	for pool, poolServers := range servers {
		if !d.hasUrgentQueue(pool) {
			delete(d.leader.urgentServers, pool)
			continue
		}
		choice := d.leader.urgentServers[pool]
		if choice == nil {
			choice = &shortlease.Selection{}
			d.leader.urgentServers[pool] = choice
		}
		choice.Update(poolServers, usedCPU[pool])
	}
}

// hasUrgentQueue reports whether the pool has a queue with urgent priority.
func (d *Dispatcher) hasUrgentQueue(pool string) bool {
	return slices.ContainsFunc(d.Host.Flows().Config().GetQueues(), func(q *v1.Queue) bool {
		return q.GetPool() == pool && d.isUrgentRank(pool, q.GetPriority())
	})
}
