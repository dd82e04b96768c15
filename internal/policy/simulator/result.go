package simulator

import (
	"math"
	"slices"
	"time"
)

// lateFactor is up to how many objectives a late end is worth something, and
// latePart how much of it.
const (
	lateFactor = 3
	latePart   = 0.2
	// window is the span of the worst moments.
	window = 2 * time.Second
	// bestUnserved is the unserved part that counts as full service.
	bestUnserved = 0.001
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
	// UnservedScore counts the unserved on a log scale: 1 at a thousandth, 0 for all.
	UnservedScore                    float64
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
	const whole, nines, tenants, windows, worst = 0.4, 0.35, 0.2, 0.15, 0.1
	sum := whole*r.Overall.Value() + nines*r.UnservedScore + tenants*r.WorstCustomers + windows*r.WorstWindows + worst*r.WorstKind
	return sum / (whole + nines + tenants + windows + worst)
}

func (m *Simulation) result() Result {
	r := Result{Kinds: make([]Share, len(m.setup.Kinds)), WastedCoreSeconds: m.wasted, Utilization: m.busy.Value(), BusyHelpers: m.asking / m.setup.Duration.Seconds(), Questions: m.questions}
	customers := map[string]*Share{}
	windows := make([]Share, int(m.setup.Duration/window)+1)
	waits := make([][]float64, len(windows))
	ids := make([]string, 0, len(m.requests))
	for id := range m.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := m.requests[id]
		earned := m.earned(q, &r)
		r.Overall.add(earned, q.worth)
		r.Kinds[q.kind].add(earned, q.worth)
		w := int(q.first / window)
		windows[w].add(earned, q.worth)
		if q.kind == 0 && q.ended > 0 {
			waits[w] = append(waits[w], (q.ended - q.first).Seconds())
		}
		if customers[q.customer] == nil {
			customers[q.customer] = &Share{}
		}
		customers[q.customer].add(earned, q.worth)
	}
	r.WorstWindows = worstOf(windows, 2)
	var all []Share
	for _, c := range customers {
		all = append(all, *c)
	}
	r.WorstCustomers = worstOf(all, (len(all)+9)/10)
	r.WorstKind = worstOf(r.Kinds, 1)
	unserved := max(float64(r.Unserved)/float64(max(r.Requests, 1)), bestUnserved)
	r.UnservedScore = math.Log(unserved) / math.Log(bestUnserved)
	for _, w := range waits {
		slices.Sort(w)
		if n := len(w); n > 0 && w[n/2] > r.UrgentLatency[0] {
			r.UrgentLatency = [2]float64{w[n/2], w[n*9/10]}
		}
	}
	return r
}

// earned returns what a request earned, and counts it.
func (m *Simulation) earned(q *request, r *Result) float64 {
	r.Requests++
	took := q.ended - q.first
	switch {
	case q.ended > 0 && took <= q.objective:
		r.InTime++
		return q.worth
	case q.ended > 0 && took <= lateFactor*q.objective:
		r.Late++
		return q.worth * latePart
	}
	r.Unserved++
	if !q.accepted {
		r.Refused++
	}
	return 0
}

// worstOf returns the mean of the n worst shares.
func worstOf(all []Share, n int) float64 {
	var values []float64
	for _, s := range all {
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
