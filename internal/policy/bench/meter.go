package bench

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/share"
)

// Metrics takes the measures of a run.
type Metrics struct {
	// MeasureFrom is when measuring begins.
	MeasureFrom time.Duration
	// FaultAt is when something went wrong.
	FaultAt time.Duration

	w       *World
	waits   [job.Service + 1][]time.Duration
	done    [job.Service + 1]float64
	wasted  float64
	packing []float64
	dist    []float64
	minute  map[string][]float64
	worst   float64
	notes   int
	count   int
	spent   time.Duration
	calls   []time.Duration
	verbs   [plan.Restore + 1]int
	// reasons holds the work lost by what it was stopped for.
	reasons map[string]float64
	alone   map[uint64]time.Duration
	slow    []float64
	// racks and zones hold 1 for each gang that started in one of them, else 0.
	racks, zones []float64
	after, again []time.Duration
}

func newMeter(w *World) *Metrics {
	return &Metrics{w: w, minute: map[string][]float64{}, reasons: map[string]float64{}, alone: map[uint64]time.Duration{}}
}

func (m *Metrics) on() bool { return m.w.now >= m.MeasureFrom }

func (m *Metrics) time(fn func() []plan.Decision) []plan.Decision {
	began := time.Now()
	out := fn()
	took := time.Since(began)
	m.spent += took
	m.count += len(out)
	if len(out) > 0 {
		m.calls = append(m.calls, took/time.Duration(len(out)))
	}
	return out
}

func (m *Metrics) decided(d plan.Decision) {
	m.verbs[d.Action]++
	if d.Action == plan.Place && m.on() && m.w.jobs[d.Job][0].spec.AllOrNothing() {
		racks, zones := map[string]bool{}, map[string]bool{}
		for _, l := range d.Placements {
			s := m.w.servers[l.Server]
			racks[s.Zone+s.Rack], zones[s.Zone] = true, true
		}
		m.racks = append(m.racks, one(len(racks)))
		m.zones = append(m.zones, one(len(zones)))
	}
}

// one is 1 if n is 1.
func one(n int) float64 {
	if n == 1 {
		return 1
	}
	return 0
}

// submitted notes when a gang could start at the soonest if nothing else waited.
func (m *Metrics) submitted(id uint64) {
	if m.on() && m.w.jobs[id][0].spec.AllOrNothing() {
		m.alone[id] = m.w.soonest(m.w.jobs[id])
	}
}

func (m *Metrics) placed(r *Task) {
	if !r.fresh || !m.on() {
		return
	}
	wait := m.w.now - r.waits
	if m.FaultAt > 0 && r.spec.Kind == job.Urgent {
		if r.attempts > 0 {
			m.again = append(m.again, wait)
		} else if r.accepted >= m.FaultAt && r.accepted < m.FaultAt+30*time.Second {
			m.after = append(m.after, wait)
		}
	}
	m.waits[r.spec.Kind] = append(m.waits[r.spec.Kind], wait)
	if alone, ok := m.alone[r.id.Job]; ok && r.id.Index == 0 && r.attempts == 0 {
		m.slow = append(m.slow, wait.Seconds()/max(1, alone.Seconds()))
	}
}

func (m *Metrics) finished(r *Task) {
	if m.on() {
		m.done[r.spec.Kind] += work(r, m.w.now-max(r.base, m.MeasureFrom))
	}
}

func (m *Metrics) lost(r *Task, d time.Duration) {
	if m.on() {
		m.wasted += work(r, d)
		m.reasons[r.why] += work(r, d) / 3600
		m.done[r.spec.Kind] += work(r, max(0, m.w.now-max(r.base, m.MeasureFrom)-d))
	}
}

// work is processor time in core-seconds.
func work(r *Task, d time.Duration) float64 {
	return float64(r.spec.Size.CPU) / 1000 * d.Seconds()
}

// Sample takes the measures that are taken once a second.
func (m *Metrics) Sample() {
	if m.on() {
		m.sample()
	}
	m.w.Schedule(m.w.now+time.Second, m.Sample)
}

func (m *Metrics) sample() {
	w := m.w
	var usable, used, wants capacity.Size
	for _, id := range w.order {
		if w.servers[id].State == backend.Ready {
			usable = usable.Add(w.servers[id].Capacity)
			used = used.Add(w.Checker.room[id])
		}
	}
	waiting := map[string]capacity.Size{}
	for _, r := range w.runs {
		if !r.held && r.spec.Size.Fits(w.most) {
			waiting[r.spec.Team] = waiting[r.spec.Team].Add(r.spec.Size)
			wants = wants.Add(r.spec.Size)
		}
	}
	if bound := min(1, used.Add(wants).DominantShare(usable)); !wants.IsZero() && bound > 0.95 {
		m.packing = append(m.packing, used.DominantShare(usable)/bound)
		m.distance(waiting, usable)
	}
}

func (m *Metrics) distance(waiting map[string]capacity.Size, usable capacity.Size) {
	var claims []share.Team
	var held []float64
	rows := m.w.table.Rows()
	for _, row := range rows {
		has := m.w.Checker.teams[row.Name]
		held = append(held, has.DominantShare(usable))
		want := has.Add(waiting[row.Name]).DominantShare(usable)
		if bound := row.Limit.DominantShare(usable); bound > 0 {
			want = min(want, bound)
		}
		claims = append(claims, share.Team{Guarantee: float64(row.GuaranteedShare) / 1000, Weight: float64(row.Weight), Demand: min(1, want)})
	}
	sum := 0.0
	for i, target := range share.Divide(claims) {
		off := max(target-held[i], held[i]-target)
		sum += off
		m.note(rows[i].Name, off)
	}
	m.dist = append(m.dist, sum/float64(len(rows)))
}

// note keeps the worst mean of a team's distance over a minute.
func (m *Metrics) note(team string, off float64) {
	last := append(m.minute[team], off)
	if len(last) > 60 {
		last = last[1:]
	}
	m.minute[team] = last
	if len(last) == 60 {
		m.worst = max(m.worst, mean(last))
	}
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(1, len(x)))
}

func average(x []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range x {
		sum += d
	}
	return sum / time.Duration(max(1, len(x)))
}

func quantile[T time.Duration | float64](x []T, q float64) T {
	if len(x) == 0 {
		return 0
	}
	sorted := slices.Clone(x)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// soonest is how long a gang would wait if nothing else waited and what runs
// ended as it really will: servers free up in the order of those ends.
func (w *World) soonest(tasks []*Task) time.Duration {
	type end struct {
		at time.Duration
		r  *Task
	}
	room := map[string]capacity.Size{}
	var ends []end
	for _, id := range w.order {
		if w.servers[id].State != backend.Ready {
			continue
		}
		room[id] = w.servers[id].Capacity.Sub(w.Checker.room[id])
		for _, r := range w.Checker.on[id] {
			ends = append(ends, end{r.base + r.left, r})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return int(a.at - b.at) })
	size := tasks[0].spec.Size
	fits := func() bool {
		n := 0
		for _, free := range room {
			for size.Fits(free) {
				free = free.Sub(size)
				n++
			}
		}
		return n >= len(tasks)
	}
	if fits() {
		return 0
	}
	for _, e := range ends {
		room[e.r.server] = room[e.r.server].Add(e.r.spec.Size)
		if fits() {
			return max(0, e.at-w.now)
		}
	}
	return 0
}
