package simulator

import (
	"math"
	"slices"
	"time"
)

// lateFactor is up to how many objectives a late end is worth something, and
// latePart how much of it.
const (
	maxLateObjectives = 3
	lateValue         = 0.2
	// window is the span of the worst moments.
	window = 2 * time.Second
	// minUnserved is the unserved part that counts as full service.
	minUnserved = 0.001
)

// Share is what was earned of what was owed.
type Share struct{ Earned, Owed float64 }

// Value returns the part that was earned; 1 where nothing was owed.
func (s Share) Value() float64 {
	if s.Owed == 0 {
		return 1
	}
	return s.Earned / s.Owed
}

func (s *Share) add(earned, owed float64) { s.Earned += earned; s.Owed += owed }

// Result is what callers got.
type Result struct {
	Overall Share
	Kinds   []Share
	// WorstWindows and Tenants are the two worst windows and the worst tenth of customers.
	WorstWindows, WorstCustomers float64
	WorstKind                    float64
	// Nines counts the unserved on a log scale: 1 at a thousandth, 0 for all.
	Nines                            float64
	Requests, InTime, Late, Unserved int
	Refused                          int
	// WastedCoreSeconds are core-seconds thrown away, Busy the part of all cores in use while
	// something waits, Asking the helpers busy with questions on the mean.
	WastedCoreSeconds, Utilization, BusyHelpers float64
	Questions                                   int
	// UrgentLatency are the median and 90th percentile of the time that urgent requests took
	// in the worst window, in seconds.
	UrgentLatency [2]float64
}

// Score weighs the parts as the users do.
func (r Result) Score() float64 {
	const overall, nines, customers, windows, kind = 0.4, 0.35, 0.2, 0.15, 0.1
	sum := overall*r.Overall.Value() + nines*r.Nines + customers*r.WorstCustomers + windows*r.WorstWindows + kind*r.WorstKind
	return sum / (overall + nines + customers + windows + kind)
}

func (m *Simulation) result() Result {
	r := Result{Kinds: make([]Share, len(m.scenario.Kinds)), WastedCoreSeconds: m.wastedCoreSeconds, Utilization: m.utilization.Value(), BusyHelpers: m.helperSeconds / m.scenario.Duration.Seconds(), Questions: m.questionCount}
	customers := map[string]*Share{}
	windows := make([]Share, int(m.scenario.Duration/window)+1)
	latencies := make([][]float64, len(windows))
	ids := make([]string, 0, len(m.requests))
	for id := range m.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		req := m.requests[id]
		value := m.valueOf(req, &r)
		r.Overall.add(value, req.value)
		r.Kinds[req.kind].add(value, req.value)
		windowIndex := int(req.submittedAt / window)
		windows[windowIndex].add(value, req.value)
		if req.kind == 0 && req.endedAt > 0 {
			latencies[windowIndex] = append(latencies[windowIndex], (req.endedAt - req.submittedAt).Seconds())
		}
		if customers[req.customer] == nil {
			customers[req.customer] = &Share{}
		}
		customers[req.customer].add(value, req.value)
	}
	r.WorstWindows = meanOfWorst(windows, 2)
	var all []Share
	for _, c := range customers {
		all = append(all, *c)
	}
	r.WorstCustomers = meanOfWorst(all, (len(all)+9)/10)
	r.WorstKind = meanOfWorst(r.Kinds, 1)
	unserved := max(float64(r.Unserved)/float64(max(r.Requests, 1)), minUnserved)
	r.Nines = math.Log(unserved) / math.Log(minUnserved)
	for _, windowIndex := range latencies {
		slices.Sort(windowIndex)
		if n := len(windowIndex); n > 0 && windowIndex[n/2] > r.UrgentLatency[0] {
			r.UrgentLatency = [2]float64{windowIndex[n/2], windowIndex[n*9/10]}
		}
	}
	return r
}

// valueOf returns what a request earned, and counts it.
func (m *Simulation) valueOf(req *request, r *Result) float64 {
	r.Requests++
	duration := req.endedAt - req.submittedAt
	switch {
	case req.endedAt > 0 && duration <= req.objective:
		r.InTime++
		return req.value
	case req.endedAt > 0 && duration <= maxLateObjectives*req.objective:
		r.Late++
		return req.value * lateValue
	}
	r.Unserved++
	if !req.accepted {
		r.Refused++
	}
	return 0
}

// meanOfWorst returns the mean of the n worst shares.
func meanOfWorst(shares []Share, n int) float64 {
	var values []float64
	for _, s := range shares {
		if s.Owed > 0 {
			values = append(values, s.Value())
		}
	}
	slices.Sort(values)
	n = min(max(n, 1), len(values))
	sum := 0.0
	for _, v := range values[:n] {
		sum += v
	}
	return sum / float64(max(n, 1))
}
