package simulator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxLateObjectives is the multiple of its objective up to which the late end of a request has
// some value, and lateValue is that value as a part of the full one.
const (
	maxLateObjectives = 3
	lateValue         = 0.2
	// window is the length of the time windows in the result.
	window = 2 * time.Second
	// minUnserved is the share of unserved requests that counts as full service.
	minUnserved = 0.001
)

// Share is a part of a total: the earned and the possible value, or the used and the total
// CPU capacity.
type Share struct{ Earned, Possible float64 }

// Value returns Earned as a fraction of Possible. It is 1 if nothing was possible.
func (s Share) Value() float64 {
	if s.Possible == 0 {
		return 1
	}
	return s.Earned / s.Possible
}

func (s *Share) add(earned, possible float64) { s.Earned += earned; s.Possible += possible }

// Result is the outcome of a simulation for the callers.
type Result struct {
	Overall Share
	Kinds   []Share
	// WorstWindows is the mean share of the two worst time windows, WorstCustomers that of the
	// worst tenth of the customers.
	WorstWindows, WorstCustomers float64
	WorstKind                    float64
	// WorstLarge is the lowest share of a kind when only the largest tenth of its requests, by CPU
	// time, count.
	WorstLarge float64
	// UnservedScore is the share of unserved requests on a logarithmic scale. It is 1 if at
	// most one request in a thousand is unserved and 0 if all are unserved.
	UnservedScore                    float64
	Requests, InTime, Late, Unserved int
	Refused                          int
	// WastedCoreSeconds is the CPU time of runs that were lost or stopped. Utilization is the
	// share of CPU in use while steps are waiting. BusyHelpers is the mean number of helpers
	// that are busy with questions.
	WastedCoreSeconds, Utilization, BusyHelpers float64
	Questions                                   int
	// UrgentLatency holds the median and the 90th percentile of the latency of urgent requests
	// in the worst time window, in seconds.
	UrgentLatency [2]float64
}

// Score returns the weighted mean of the parts of the result. The weights are those of the
// users.
func (r Result) Score() float64 {
	const overall, unserved, customers, windows, kind = 0.4, 0.35, 0.2, 0.15, 0.1
	sum := overall*r.Overall.Value() + unserved*r.UnservedScore + customers*r.WorstCustomers + windows*r.WorstWindows + kind*r.WorstKind
	return sum / (overall + unserved + customers + windows + kind)
}

// result computes the result of the simulation.
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
	r.WorstLarge = m.worstLarge(ids)
	var all []Share
	for _, c := range customers {
		all = append(all, *c)
	}
	r.WorstCustomers = meanOfWorst(all, (len(all)+9)/10)
	r.WorstKind = meanOfWorst(r.Kinds, 1)
	unserved := max(float64(r.Unserved)/float64(max(r.Requests, 1)), minUnserved)
	r.UnservedScore = math.Log(unserved) / math.Log(minUnserved)
	for _, sorted := range latencies {
		slices.Sort(sorted)
		if n := len(sorted); n > 0 && sorted[n/2] > r.UrgentLatency[0] {
			r.UrgentLatency = [2]float64{sorted[n/2], sorted[n*9/10]}
		}
	}
	return r
}

// worstLarge returns the lowest share of a kind when only the largest tenth of its requests count.
func (m *Simulation) worstLarge(ids []string) float64 {
	byKind := make([][]*request, len(m.scenario.Kinds))
	for _, id := range ids {
		req := m.requests[id]
		byKind[req.kind] = append(byKind[req.kind], req)
	}
	shares := make([]Share, len(byKind))
	for i, requests := range byKind {
		slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(b.cpuWork, a.cpuWork) })
		for _, req := range requests[:(len(requests)+9)/10] {
			shares[i].add(m.valueOf(req, &Result{}), req.value)
		}
	}
	return meanOfWorst(shares, 1)
}

// valueOf returns the value earned by a request and counts the request in the result.
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
		if s.Possible > 0 {
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
