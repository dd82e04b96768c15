package dispatch

import (
	"math"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/policy/steps"
)

// Bounds of the headroom for urgent work.
const (
	// headTime is the time's worth of urgent starts for which room is left: about
	// how long it takes until running work has given as much back. Without it,
	// urgent work finds each server full and waits for runs of seconds to end.
	headTime = 250 * time.Millisecond
	// headMemory is how long what was started counts for how much is to come.
	headMemory = 2 * time.Second
	// headParts bounds the headroom to one part of so many of a pool.
	headParts = 10
)

// demand is what urgent work started in the last seconds.
type demand struct {
	tasks, cpu, memory, accel float64
	at                        time.Duration
}

// fade lets what was started before count less.
func (m *demand) fade(now time.Duration) {
	keep := math.Exp(-float64(now-m.at) / float64(headMemory))
	m.tasks, m.cpu, m.memory, m.accel, m.at = m.tasks*keep, m.cpu*keep, m.memory*keep, m.accel*keep, now
}

// demands notes what a placement of urgent work starts.
func (d *Dispatcher) demands(p steps.Placement, now time.Duration) {
	if !p.Item.Urgent {
		return
	}
	m := d.lead.urgent[p.Item.Pool]
	if m == nil {
		m = &demand{at: now}
		d.lead.urgent[p.Item.Pool] = m
	}
	m.fade(now)
	size := p.Size()
	m.tasks += float64(len(p.Assignments))
	m.cpu += float64(size.CPU)
	m.memory += float64(size.Memory)
	m.accel += float64(size.Accel)
}

// headroom returns what work that is not urgent leaves free in a pool: room for as
// many usual urgent tasks as usually start in a moment.
func (d *Dispatcher) headroom(pool string, total capacity.Size, now time.Duration) steps.Headroom {
	m := d.lead.urgent[pool]
	if m == nil {
		return steps.Headroom{}
	}
	m.fade(now)
	if m.tasks < 1 {
		return steps.Headroom{}
	}
	mean := capacity.Size{CPU: int64(m.cpu / m.tasks), Memory: int64(m.memory / m.tasks), Accel: int64(m.accel / m.tasks)}
	n := int64(m.tasks * headTime.Seconds() / headMemory.Seconds())
	for n > 0 && !mean.Times(n*headParts).Fits(total) {
		n /= 2
	}
	return steps.Headroom{Size: mean, Tasks: n}
}

// rank is a place among the queues of a pool.
type rank struct {
	pool     string
	priority uint32
}

// isUrgent tells whether no queue of a pool comes before one of that priority, and
// some come after it.
func (d *Dispatcher) isUrgent(pool string, priority uint32) bool {
	config := d.Host.Flows().Config()
	if d.lead.ranked != config {
		d.lead.ranked, d.lead.ranks = config, map[rank]bool{}
	}
	r := rank{pool, priority}
	known, ok := d.lead.ranks[r]
	if !ok {
		known = first(config.GetQueues(), r)
		d.lead.ranks[r] = known
	}
	return known
}

// first tells whether a rank comes first among queues of its pool, and not alone.
func first(queues []*v1.Queue, r rank) bool {
	after := false
	for _, q := range queues {
		switch {
		case q.GetPool() != r.pool:
		case q.GetPriority() < r.priority:
			return false
		case q.GetPriority() > r.priority:
			after = true
		}
	}
	return after
}
