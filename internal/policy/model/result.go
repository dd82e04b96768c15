package model

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
	Whole Share
	Kinds []Share
	// Windows and Tenants are the two worst windows and the worst tenth of customers.
	Windows, Tenants float64
	Worst            float64
	// Nines counts the unserved on a log scale: 1 at a thousandth, 0 for all.
	Nines                      float64
	Asked, InTime, Late, Never int
	Refused                    int
	// Wasted are core-seconds thrown away, Busy the part of all cores in use while
	// something waits, Asking the helpers busy with questions on the mean.
	Wasted, Busy, Asking float64
	Questions            int
	// Waits are the median and 90th percentile of the time that urgent requests took
	// in the worst window, in seconds.
	Waits [2]float64
}

// Worth weighs the parts as the users do.
func (r Result) Worth() float64 {
	const whole, nines, tenants, windows, worst = 0.4, 0.35, 0.2, 0.15, 0.1
	sum := whole*r.Whole.Value() + nines*r.Nines + tenants*r.Tenants + windows*r.Windows + worst*r.Worst
	return sum / (whole + nines + tenants + windows + worst)
}

func (m *Model) result() Result {
	r := Result{Kinds: make([]Share, len(m.setup.Kinds)), Wasted: m.wasted, Busy: m.busy.Value(), Asking: m.asking / m.setup.Length.Seconds(), Questions: m.questions}
	customers := map[string]*Share{}
	windows := make([]Share, int(m.setup.Length/window)+1)
	waits := make([][]float64, len(windows))
	ids := make([]string, 0, len(m.requests))
	for id := range m.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := m.requests[id]
		earned := m.earned(q, &r)
		r.Whole.add(earned, q.worth)
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
	r.Windows = worstOf(windows, 2)
	var all []Share
	for _, c := range customers {
		all = append(all, *c)
	}
	r.Tenants = worstOf(all, (len(all)+9)/10)
	r.Worst = worstOf(r.Kinds, 1)
	unserved := max(float64(r.Never)/float64(max(r.Asked, 1)), bestUnserved)
	r.Nines = math.Log(unserved) / math.Log(bestUnserved)
	for _, w := range waits {
		slices.Sort(w)
		if n := len(w); n > 0 && w[n/2] > r.Waits[0] {
			r.Waits = [2]float64{w[n/2], w[n*9/10]}
		}
	}
	return r
}

// earned returns what a request earned, and counts it.
func (m *Model) earned(q *request, r *Result) float64 {
	r.Asked++
	took := q.ended - q.first
	switch {
	case q.ended > 0 && took <= q.objective:
		r.InTime++
		return q.worth
	case q.ended > 0 && took <= lateFactor*q.objective:
		r.Late++
		return q.worth * latePart
	}
	r.Never++
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
