package dispatch

import (
	"math"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/policy/steps"
)

// Parameters of the headroom for urgent tasks.
const (
	// headroomPeriod is the period for whose urgent starts capacity is kept free. Running
	// tasks release about as much capacity within it. Without headroom, urgent
	// tasks find every server full and wait for runs of several seconds to end.
	headroomPeriod = 250 * time.Millisecond
	// demandDecayTime is the time constant with which past starts lose weight in the
	// expected demand.
	demandDecayTime = 2 * time.Second
	// headroomDivisor is the divisor of a pool's capacity that gives the largest headroom.
	headroomDivisor = 10
)

// startDemand is the exponentially decaying sum of recent urgent starts and their sizes.
type startDemand struct {
	tasks, cpu, memory, accel float64
	decayedAt                 time.Duration
}

// decay reduces the weight of past starts.
func (m *startDemand) decay(now time.Duration) {
	factor := math.Exp(-float64(now-m.decayedAt) / float64(demandDecayTime))
	m.tasks, m.cpu, m.memory, m.accel, m.decayedAt = m.tasks*factor, m.cpu*factor, m.memory*factor, m.accel*factor, now
}

// recordDemand adds a placement of urgent tasks to the demand of its pool.
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
	demand.tasks += float64(len(placement.Assignments))
	demand.cpu += float64(size.CPU)
	demand.memory += float64(size.Memory)
	demand.accel += float64(size.Accel)
}

// headroom returns the capacity that non-urgent tasks leave free in a pool. It is enough
// for the urgent tasks that usually start within headroomPeriod.
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

// queueRank is a queue priority within a pool.
type queueRank struct {
	pool     string
	priority uint32
}

// isUrgentRank reports whether the priority is the highest of the pool's queues and at
// least one queue has a lower one. A smaller number is a higher priority.
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

// isFirstRank reports whether rank is the highest in its pool and a lower rank exists.
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
