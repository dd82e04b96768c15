package simulator

import (
	"fmt"
	"math"
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/policy/steps"
)

// Callers.
const (
	// tries is how often a caller asks in all.
	tries = 5
	// comeBack is when a caller returns that found no leader; it spreads by half.
	comeBack = time.Second
	// patience is how long a request waits for a leader.
	patience = 1200 * time.Millisecond
	// mostWorth bounds a request's worth beside the mean of its kind.
	mostWorth = 4
	// spread is that of run times and task counts, off that of declared times, and
	// uneven that of the tasks of one step.
	spread = 0.5
	off    = 0.4
	uneven = 0.15
)

// request is what one caller wants.
type request struct {
	id       string
	kind     int
	customer string
	first    time.Duration
	spec     *v1.FlowSpec
	// work is the true run time of each task on a usual server, by step.
	work [][]time.Duration
	// objective counts from the first try; worth is what it earns in time.
	objective time.Duration
	worth     float64
	size      float64
	tries     int
	accepted  bool
	ended     time.Duration
}

// arrivals draws all requests of the play.
func (m *Simulation) arrivals() {
	for i, k := range m.setup.Kinds {
		for t := 0.0; ; {
			rate := k.Rate
			for _, s := range m.setup.Surges {
				if at := time.Duration(t * float64(time.Second)); s.Kind == i && at >= s.Start && at < s.End {
					rate *= s.Factor
				}
			}
			t += m.rng.ExpFloat64() / rate
			at := time.Duration(t * float64(time.Second))
			if at >= m.setup.Duration {
				break
			}
			q := m.draw(i, at)
			m.requests[q.id] = q
			m.at(at, func() { m.try(q) })
		}
	}
}

// draw draws one request.
func (m *Simulation) draw(kind int, at time.Duration) *request {
	k := m.setup.Kinds[kind]
	q := &request{id: fmt.Sprintf("%d-%05d", kind, len(m.requests)), kind: kind, customer: m.customer(), first: at}
	q.spec = &v1.FlowSpec{Id: q.id}
	chain := 1
	if m.rng.Float64() < k.MeanSteps-1 {
		chain = 2
	}
	longest := time.Duration(0)
	question := time.Duration((k.QuestionBase + k.QuestionPerServer*steps.MinServersPerQuestion) * float64(time.Millisecond))
	for i := range chain {
		n := max(1, int(math.Round(k.MeanTasks*math.Exp(spread*m.rng.NormFloat64()-spread*spread/2))))
		mean := k.MeanRuntime * math.Exp(spread*m.rng.NormFloat64()-spread*spread/2)
		declared := mean * math.Exp(off*m.rng.NormFloat64())
		step := &v1.FlowStep{Count: uint32(n), Size: &v1.Size{Cpu: int64(k.CPU), Memory: 1}, Runtime: uint64(declared * 1000), Saves: k.Checkpoints}
		step.Gang = m.rng.Float64() < k.GangShare
		if i > 0 {
			step.After = []uint32{uint32(i - 1)}
		}
		var work []time.Duration
		most := time.Duration(0)
		for range n {
			w := time.Duration(mean * math.Exp(uneven*m.rng.NormFloat64()) * float64(time.Second))
			if step.GetGang() && len(work) > 0 {
				w = work[0] // the members of a gang end together
			}
			work, most = append(work, w), max(most, w)
			q.size += w.Seconds() * k.CPU
		}
		longest += most + question
		q.work, q.spec.Steps = append(q.work, work), append(q.spec.Steps, step)
	}
	q.objective = time.Duration(k.Factor*float64(longest)) + time.Duration(k.Target)*time.Millisecond
	usual := k.MeanTasks * k.MeanRuntime * k.CPU
	q.worth = k.Value * min(0.3+0.7*q.size/usual, mostWorth)
	return q
}

// customer draws who sends a request.
func (m *Simulation) customer() string {
	sum := 0.0
	for _, c := range m.setup.CustomerWeights {
		sum += c
	}
	x := m.rng.Float64() * sum
	for i, c := range m.setup.CustomerWeights {
		if x -= c; x < 0 {
			return customerName(i)
		}
	}
	return customerName(0)
}

// try hands a request in; without a leader for long its caller comes back later.
func (m *Simulation) try(q *request) {
	q.tries++
	if m.leads {
		m.after(commitTime, func() { m.led(func() { m.accept(q) }) })
		return
	}
	asked := m.now
	settled := false
	m.back = append(m.back, func() {
		if !settled && m.now-asked <= patience {
			settled = true
			m.accept(q)
		}
	})
	m.after(patience, func() {
		if !settled {
			settled = true
			m.again(q, comeBack)
		}
	})
}

// again lets a caller that was refused come back, unless it has tried enough.
func (m *Simulation) again(q *request, in time.Duration) {
	if q.tries < tries {
		m.after(time.Duration(float64(in)*(0.75+0.5*m.rng.Float64())), func() { m.try(q) })
	}
}

func (m *Simulation) accept(q *request) {
	q.accepted = true
	m.apply(&record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: m.setup.Kinds[q.kind].Name, Customer: q.customer, Spec: q.spec}}})
}
