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
	// maxAttempts is how often a caller asks in all.
	maxAttempts = 5
	// retryDelay is when a caller returns that found no leader; it spreads by half.
	retryDelay = time.Second
	// leaderTimeout is how long a request waits for a leader.
	leaderTimeout = 1200 * time.Millisecond
	// maxRelativeValue bounds a request's worth beside the mean of its kind.
	maxRelativeValue = 4
	// sizeDeviation is that of run times and task counts, off that of declared times, and
	// uneven that of the tasks of one step.
	sizeDeviation     = 0.5
	estimateDeviation = 0.4
	taskDeviation     = 0.15
)

// request is what one caller wants.
type request struct {
	id          string
	kind        int
	customer    string
	submittedAt time.Duration
	spec        *v1.FlowSpec
	// runtimes is the true run time of each task on a usual server, by step.
	runtimes [][]time.Duration
	// objective counts from the first try; worth is what it earns in time.
	objective time.Duration
	value     float64
	cpuWork   float64
	attempts  int
	accepted  bool
	endedAt   time.Duration
}

// scheduleRequests draws all requests of the play.
func (m *Simulation) scheduleRequests() {
	for i, k := range m.scenario.Kinds {
		for t := 0.0; ; {
			rate := k.Rate
			for _, s := range m.scenario.Surges {
				if at := time.Duration(t * float64(time.Second)); s.Kind == i && at >= s.Start && at < s.End {
					rate *= s.Factor
				}
			}
			t += m.rng.ExpFloat64() / rate
			at := time.Duration(t * float64(time.Second))
			if at >= m.scenario.Duration {
				break
			}
			req := m.generateRequest(i, at)
			m.requests[req.id] = req
			m.schedule(at, func() { m.submit(req) })
		}
	}
}

// generateRequest draws one request.
func (m *Simulation) generateRequest(kind int, at time.Duration) *request {
	k := m.scenario.Kinds[kind]
	req := &request{id: fmt.Sprintf("%d-%05d", kind, len(m.requests)), kind: kind, customer: m.randomCustomer(), submittedAt: at}
	req.spec = &v1.FlowSpec{Id: req.id}
	stepCount := 1
	if m.rng.Float64() < k.MeanSteps-1 {
		stepCount = 2
	}
	minDuration := time.Duration(0)
	questionTime := time.Duration((k.QuestionBase + k.QuestionPerServer*steps.MinServersPerQuestion) * float64(time.Millisecond))
	for i := range stepCount {
		n := max(1, int(math.Round(k.MeanTasks*math.Exp(sizeDeviation*m.rng.NormFloat64()-sizeDeviation*sizeDeviation/2))))
		mean := k.MeanRuntime * math.Exp(sizeDeviation*m.rng.NormFloat64()-sizeDeviation*sizeDeviation/2)
		declared := mean * math.Exp(estimateDeviation*m.rng.NormFloat64())
		step := &v1.FlowStep{Count: uint32(n), Size: &v1.Size{Cpu: int64(k.CPU), Memory: 1}, Runtime: uint64(declared * 1000), Saves: k.Checkpoints}
		step.Gang = m.rng.Float64() < k.GangShare
		if i > 0 {
			step.After = []uint32{uint32(i - 1)}
		}
		var runtimes []time.Duration
		longestTask := time.Duration(0)
		for range n {
			runtime := time.Duration(mean * math.Exp(taskDeviation*m.rng.NormFloat64()) * float64(time.Second))
			if step.GetGang() && len(runtimes) > 0 {
				runtime = runtimes[0] // the members of a gang end together
			}
			runtimes, longestTask = append(runtimes, runtime), max(longestTask, runtime)
			req.cpuWork += runtime.Seconds() * k.CPU
		}
		minDuration += longestTask + questionTime
		req.runtimes, req.spec.Steps = append(req.runtimes, runtimes), append(req.spec.Steps, step)
	}
	req.objective = time.Duration(k.Factor*float64(minDuration)) + time.Duration(k.Target)*time.Millisecond
	meanCPUWork := k.MeanTasks * k.MeanRuntime * k.CPU
	req.value = k.Value * min(0.3+0.7*req.cpuWork/meanCPUWork, maxRelativeValue)
	return req
}

// randomCustomer draws who sends a request.
func (m *Simulation) randomCustomer() string {
	sum := 0.0
	for _, weight := range m.scenario.CustomerWeights {
		sum += weight
	}
	remaining := m.rng.Float64() * sum
	for i, weight := range m.scenario.CustomerWeights {
		if remaining -= weight; remaining < 0 {
			return customerName(i)
		}
	}
	return customerName(0)
}

// submit hands a request in; without a leader for long its caller comes back later.
func (m *Simulation) submit(req *request) {
	req.attempts++
	if m.hasLeader {
		m.scheduleAfter(commitTime, func() { m.whenLeader(func() { m.accept(req) }) })
		return
	}
	submittedAt := m.now
	answered := false
	m.waitingForLeader = append(m.waitingForLeader, func() {
		if !answered && m.now-submittedAt <= leaderTimeout {
			answered = true
			m.accept(req)
		}
	})
	m.scheduleAfter(leaderTimeout, func() {
		if !answered {
			answered = true
			m.retry(req, retryDelay)
		}
	})
}

// retry lets a caller that was refused come back, unless it has tried enough.
func (m *Simulation) retry(req *request, delay time.Duration) {
	if req.attempts < maxAttempts {
		m.scheduleAfter(time.Duration(float64(delay)*(0.75+0.5*m.rng.Float64())), func() { m.submit(req) })
	}
}

func (m *Simulation) accept(req *request) {
	req.accepted = true
	m.apply(&record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: m.scenario.Kinds[req.kind].Name, Customer: req.customer, Spec: req.spec}}})
}
