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
	factor := math.Exp(-float64(now-m.decayedAt) / float64(demandDecayTime))
	m.tasks, m.cpu, m.memory, m.accel, m.decayedAt = m.tasks*factor, m.cpu*factor, m.memory*factor, m.accel*factor, now
}

// recordDemand notes what a placement of urgent work starts.
func (d *Dispatcher) recordDemand(placement steps.Placement, now time.Duration) {
	if !placement.Item.Urgent {
		return
	}
	demand := d.leader.urgentDemand[placement.Item.Pool]
	if demand == nil {
		demand = &startDemand{decayedAt: now}
		d.leader.urgentDemand[placement.Item.Pool] = demand
	}
	demand.decay(now)
	size := placement.Size()
	demand.tasks += float64(len(placement.Places))
	demand.cpu += float64(size.CPU)
	demand.memory += float64(size.Memory)
	demand.accel += float64(size.Accel)
}

// headroom returns what work that is not urgent leaves free in a pool: room for as
// many usual urgent tasks as usually start in a moment.
func (d *Dispatcher) headroom(pool string, total capacity.Size, now time.Duration) steps.Headroom {
	demand := d.leader.urgentDemand[pool]
	if demand == nil {
		return steps.Headroom{}
	}
	demand.decay(now)
	if demand.tasks < 1 {
		return steps.Headroom{}
	}
	meanSize := capacity.Size{CPU: int64(demand.cpu / demand.tasks), Memory: int64(demand.memory / demand.tasks), Accel: int64(demand.accel / demand.tasks)}
	tasks := int64(demand.tasks * headroomPeriod.Seconds() / demandDecayTime.Seconds())
	for tasks > 0 && !meanSize.Times(tasks*headroomDivisor).Fits(total) {
		tasks /= 2
	}
	return steps.Headroom{Size: meanSize, Tasks: tasks}
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
	rank := queueRank{pool, priority}
	urgent, ok := d.leader.urgentRanks[rank]
	if !ok {
		urgent = isFirstRank(config.GetQueues(), rank)
		d.leader.urgentRanks[rank] = urgent
	}
	return urgent
}

// isFirstRank tells whether a rank comes first among queues of its pool, and not alone.
func isFirstRank(queues []*v1.Queue, rank queueRank) bool {
	hasLowerRank := false
	for _, q := range queues {
		switch {
		case q.GetPool() != rank.pool:
		case q.GetPriority() < rank.priority:
			return false
		case q.GetPriority() > rank.priority:
			hasLowerRank = true
		}
	}
	return hasLowerRank
}
