package steps

import (
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/flows"
)

const (
	// lateFactor is how many objectives a flow may take before its end is worth
	// nothing more to its caller.
	lateFactor = 3
	// leastLeft is the least part of what was declared that a flow should still
	// take: declared times are off, and one that is given up too soon ends late.
	leastLeft = 0.75
	// hopeFactor is how many times as long as declared a flow may take when it is
	// asked whether its end is still worth anything: one that is given up by mistake
	// earns nothing.
	hopeFactor = 2
)

// Timing is what a step's slack follows from. They stay the same once it is ready.
type Timing struct {
	// Objective is how long its flow may take, Hope the same if the flow takes
	// much longer than was declared, Left what is left of the flow's longest
	// chain from this step on.
	Objective         time.Duration
	TolerantObjective time.Duration
	Remaining         time.Duration
}

// TimingOf returns the times of a step of a flow in that queue.
func TimingOf(s *flows.Step, q *v1.Queue) Timing {
	whole, left := chain(s.Flow.Spec, nil), chain(s.Flow.Spec, s.Flow.Turns[s.Turn])
	return Timing{
		Objective: objective(q, float64(whole)), TolerantObjective: objective(q, hopeFactor*float64(whole)),
		Remaining: time.Duration(left) * time.Millisecond,
	}
}

// Objective returns how long a flow of a queue may take.
func Objective(spec *v1.FlowSpec, q *v1.Queue) time.Duration {
	return objective(q, float64(chain(spec, nil)))
}

// objective returns how long a flow may take whose longest chain is so many
// milliseconds.
func objective(q *v1.Queue, whole float64) time.Duration {
	return time.Duration((q.GetFactor()*whole + float64(q.GetTarget())) * float64(time.Millisecond))
}

// chain returns the declared run time in milliseconds of a flow's longest chain
// of steps; of what is left of it when a turn is given.
func chain(spec *v1.FlowSpec, turn *flows.Turn) uint64 {
	ends := make([]uint64, len(spec.GetSteps()))
	longest := uint64(0)
	for i, s := range spec.GetSteps() {
		if turn == nil || turn.Steps[i].DoneTasks < len(turn.Steps[i].Tasks) {
			ends[i] = s.GetRuntime()
		}
		begin := uint64(0)
		for _, before := range s.GetAfter() {
			begin = max(begin, ends[before])
		}
		ends[i] += begin
		longest = max(longest, ends[i])
	}
	return longest
}

// WithAge returns the item with what its flow's age says of its end.
func (it Item) WithAge(t Timing, age time.Duration) Item {
	least := age + time.Duration(leastLeft*float64(t.Remaining))
	ends := !it.Spec.GetLasting()
	it.Slack = t.Objective - age - t.Remaining
	// Whoever waits for urgent work waits on, and it is short.
	it.Late = ends && !it.Urgent && least > t.Objective
	it.Worthless = ends && least > lateFactor*t.TolerantObjective
	return it
}
