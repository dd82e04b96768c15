package dispatch

import (
	"slices"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/brief"
)

// urgentLease is the lease of servers that run nothing but urgent work: longer than an
// election, and so short that what was lost with a server can still be in time.
const urgentLease = 2 * time.Second

// leaseLength returns how long a call renews the lease of what runs on a server; 0 for not
// at all. A server has one lease for all that it runs, and it never becomes shorter.
// Long work gets the longest there is, so that it outlives a time in which no
// replica runs at all; urgent work a short one, since on a server that goes silent
// it is placed again only once the lease is over; a server without work needs none.
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

// isUrgentStep tells whether a step's tasks are urgent and over soon.
func (d *Dispatcher) isUrgentStep(s *flows.Step) bool {
	q, ok := d.Host.Flows().QueueOf(s.Flow)
	return ok && !s.Spec.GetLasting() && d.isUrgentRank(q.GetPool(), q.GetPriority())
}

// chooseUrgentServers chooses the servers of each pool on which urgent work is gathered.
func (d *Dispatcher) chooseUrgentServers() {
	usedCPU := map[string]int64{}
	servers := map[string][]brief.Server{}
	for id, s := range d.leader.sessions {
		b, ok := d.Host.Flows().Server(id)
		if !ok || b.Over {
			continue
		}
		if d.Host.Flows().Takes(b) && s.closeReason == "" {
			servers[b.Pool] = append(servers[b.Pool], brief.Server{ID: id, Cores: b.Capacity.CPU})
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
			choice = &brief.Choice{}
			d.leader.urgentServers[pool] = choice
		}
		choice.Look(poolServers, usedCPU[pool])
	}
}

// hasUrgentQueue tells whether one of a pool's queues comes before the others.
func (d *Dispatcher) hasUrgentQueue(pool string) bool {
	return slices.ContainsFunc(d.Host.Flows().Config().GetQueues(), func(q *v1.Queue) bool {
		return q.GetPool() == pool && d.isUrgentRank(pool, q.GetPriority())
	})
}
