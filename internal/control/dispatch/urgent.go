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
	// headroomPeriod is the time's worth of urgent starts for which room is left: about
	// how long it takes until running work has given as much back. Without it,
	// urgent work finds each server full and waits for runs of seconds to end.
	headroomPeriod = 250 * time.Millisecond
	// demandDecayTime is how long what was started counts for how much is to come.
	demandDecayTime = 2 * time.Second
	// headroomDivisor bounds the headroom to one part of so many of a pool.
	headroomDivisor = 10
)

// startDemand is what urgent work started in the last seconds.
type startDemand struct {
	tasks, cpu, memory, accel float64
	decayedAt                 time.Duration
}

// decay lets what was started before count less.
func (m *startDemand) decay(now time.Duration) {
	keep := math.Exp(-float64(now-m.decayedAt) / float64(demandDecayTime))
	m.tasks, m.cpu, m.memory, m.accel, m.decayedAt = m.tasks*keep, m.cpu*keep, m.memory*keep, m.accel*keep, now
}

// recordDemand notes what a placement of urgent work starts.
func (d *Dispatcher) recordDemand(p steps.Placement, now time.Duration) {
	if !p.Item.Urgent {
		return
	}
	m := d.leader.urgentDemand[p.Item.Pool]
	if m == nil {
		m = &startDemand{decayedAt: now}
		d.leader.urgentDemand[p.Item.Pool] = m
	}
	m.decay(now)
	size := p.Size()
	m.tasks += float64(len(p.Places))
	m.cpu += float64(size.CPU)
	m.memory += float64(size.Memory)
	m.accel += float64(size.Accel)
}

// headroom returns what work that is not urgent leaves free in a pool: room for as
// many usual urgent tasks as usually start in a moment.
func (d *Dispatcher) headroom(pool string, total capacity.Size, now time.Duration) steps.Headroom {
	m := d.leader.urgentDemand[pool]
	if m == nil {
		return steps.Headroom{}
	}
	m.decay(now)
	if m.tasks < 1 {
		return steps.Headroom{}
	}
	mean := capacity.Size{CPU: int64(m.cpu / m.tasks), Memory: int64(m.memory / m.tasks), Accel: int64(m.accel / m.tasks)}
	n := int64(m.tasks * headroomPeriod.Seconds() / demandDecayTime.Seconds())
	for n > 0 && !mean.Times(n*headroomDivisor).Fits(total) {
		n /= 2
	}
	return steps.Headroom{Size: mean, Tasks: n}
}

// queueRank is a place among the queues of a pool.
type queueRank struct {
	pool     string
	priority uint32
}

// isUrgentRank tells whether no queue of a pool comes before one of that priority, and
// some come after it.
func (d *Dispatcher) isUrgentRank(pool string, priority uint32) bool {
	config := d.Host.Flows().Config()
	if d.leader.ranksConfig != config {
		d.leader.ranksConfig, d.leader.urgentRanks = config, map[queueRank]bool{}
	}
	r := queueRank{pool, priority}
	known, ok := d.leader.urgentRanks[r]
	if !ok {
		known = isFirstRank(config.GetQueues(), r)
		d.leader.urgentRanks[r] = known
	}
	return known
}

// isFirstRank tells whether a rank comes first among queues of its pool, and not alone.
func isFirstRank(queues []*v1.Queue, r queueRank) bool {
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
