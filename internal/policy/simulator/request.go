package simulator

import (
	"fmt"
	"math"
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/policy/steps"
)

// Parameters of callers and requests.
const (
	// maxAttempts is the total number of attempts of a caller.
	maxAttempts = 5
	// retryDelay is the mean delay before a retry when there is no leader. The actual delay
	// varies by up to a quarter in both directions.
	retryDelay = time.Second
	// leaderTimeout is how long a request waits for a leader.
	leaderTimeout = 1200 * time.Millisecond
	// maxRelativeValue limits the value of a request as a multiple of the value of its kind.
	maxRelativeValue = 4
	// The standard deviations of the logarithms: sizeDeviation of mean run times and task
	// counts, estimateDeviation of declared run times, taskDeviation of the run times of the
	// tasks of one step.
	sizeDeviation     = 0.5
	estimateDeviation = 0.4
	taskDeviation     = 0.15
)

// request is a simulated request of a caller.
type request struct {
	id          string
	kind        int
	customer    string
	submittedAt time.Duration
	spec        *v1.FlowSpec
	// runtimes holds the true run time of each task on a server of speed 1, by step.
	runtimes [][]time.Duration
	// objective is the time allowed from the first attempt. value is the value of the request
	// if it ends within that time.
	objective time.Duration
	value     float64
	// cpuWork is the total CPU time of the tasks, in thousandths of a core-second.
	cpuWork  float64
	attempts int
	accepted bool
	endedAt  time.Duration
}

// scheduleRequests generates all requests and schedules their arrivals.
func (m *Simulation) scheduleRequests() {
	for kind := range m.scenario.Kinds {
		at := time.Duration(0)
		for t := 0.0; ; {
			t += m.rng.ExpFloat64() / m.scenario.rate(kind, at)
			at = time.Duration(t * float64(time.Second))
			if at >= m.scenario.Duration {
				break
			}
			req := m.generateRequest(kind, at)
			m.requests[req.id] = req
			m.schedule(at, func() { m.submit(req) })
		}
	}
}

// generateRequest generates one random request of a kind.
func (m *Simulation) generateRequest(kind int, at time.Duration) *request {
	k := m.scenario.Kinds[kind]
	req := &request{id: fmt.Sprintf("%d-%05d", kind, len(m.requests)), kind: kind, customer: m.randomCustomer(at), submittedAt: at}
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
				runtime = runtimes[0] // tasks of a gang end together
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

// randomCustomer returns a random customer in proportion to the weights at a time.
func (m *Simulation) randomCustomer(at time.Duration) string {
	remaining := m.rng.Float64() * m.scenario.totalWeight(at)
	for i := range m.scenario.CustomerWeights {
		if remaining -= m.scenario.weight(i, at); remaining < 0 {
			return customerName(i)
		}
	}
	return customerName(0)
}

// submit submits a request. If there is no leader within leaderTimeout, the caller retries
// later.
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

// retry schedules the next attempt of a caller, unless it has used all its attempts.
func (m *Simulation) retry(req *request, delay time.Duration) {
	if req.attempts < maxAttempts {
		m.scheduleAfter(time.Duration(float64(delay)*(0.75+0.5*m.rng.Float64())), func() { m.submit(req) })
	}
}

// accept adds the flow of the request to the ledger.
func (m *Simulation) accept(req *request) {
	req.accepted = true
	m.apply(&record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: m.scenario.Kinds[req.kind].Name, Customer: req.customer, Spec: req.spec}}})
}
