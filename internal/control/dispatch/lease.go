package dispatch

import (
	"slices"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/shortlease"
)

// briefLease is the lease of servers that run nothing but urgent work: longer than an
// election, and so short that what was lost with a server can still be in time.
const briefLease = 2 * time.Second

// lease returns how long a call renews the lease of what runs on a server; 0 for not
// at all. A server has one lease for all that it runs, and it never becomes shorter.
// Long work gets the longest there is, so that it outlives a time in which no
// replica runs at all; urgent work a short one, since on a server that goes silent
// it is placed again only once the lease is over; a server without work needs none.
func (d *Dispatcher) lease(s *session) time.Duration {
	most := time.Duration(0)
	for _, r := range s.runs {
		if !r.urgent {
			return d.MaxLease
		}
		most = min(briefLease, d.MaxLease)
	}
	return most
}

// urgent tells whether a step's tasks are urgent and over soon.
func (d *Dispatcher) urgent(s *flows.Step) bool {
	q, ok := d.Host.Flows().QueueOf(s.Flow)
	return ok && !s.Spec.GetLasting() && d.isUrgent(q.GetPool(), q.GetPriority())
}

// gather chooses the servers of each pool on which urgent work is gathered.
func (d *Dispatcher) gather() {
	used := map[string]int64{}
	servers := map[string][]shortlease.Server{}
	for id, s := range d.lead.sessions {
		b, ok := d.Host.Flows().Server(id)
		if !ok || b.Ended {
			continue
		}
		if d.Host.Flows().AcceptsWork(b) && s.closing == "" {
			servers[b.Pool] = append(servers[b.Pool], shortlease.Server{ID: id, CPU: b.Capacity.CPU})
		}
		for _, r := range s.runs {
			if r.urgent {
				used[b.Pool] += r.held.Size.CPU
			}
		}
	}
	for pool, all := range servers {
		if !d.hasUrgent(pool) {
			delete(d.lead.briefs, pool)
			continue
		}
		c := d.lead.briefs[pool]
		if c == nil {
			c = &shortlease.Selection{}
			d.lead.briefs[pool] = c
		}
		c.Update(all, used[pool])
	}
}

// hasUrgent tells whether one of a pool's queues comes before the others.
func (d *Dispatcher) hasUrgent(pool string) bool {
	return slices.ContainsFunc(d.Host.Flows().Config().GetQueues(), func(q *v1.Queue) bool {
		return q.GetPool() == pool && d.isUrgent(pool, q.GetPriority())
	})
}
