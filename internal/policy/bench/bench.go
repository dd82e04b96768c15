package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/fifo"
	"gypsumreel/internal/policy/plan"
)

// Fault is something that goes wrong in a run.
type Fault string

// The faults.
const (
	None     Fault = "none"
	ZoneLost Fault = "zone lost"
	// Racks goes on: every 20 s a rack goes silent, for 15 s.
	Racks Fault = "racks lost"
	// Unmarked is Racks with the servers given work until their lease is over.
	Unmarked Fault = "racks lost unmarked"
	WrongRun Fault = "run times off"
	Greedy   Fault = "use beyond size"
	Crashing Fault = "crashing jobs"
	Hole     Fault = "failing server"
	Wave     Fault = "cancel wave"
	Lowered  Fault = "limit lowered"
	Weights  Fault = "weights edited"
	Endless  Fault = "never runnable"
)

// Faults lists all of them.
var Faults = []Fault{None, ZoneLost, Racks, Unmarked, WrongRun, Greedy, Crashing, Hole, Wave, Lowered, Weights, Endless}

// Setup is one run.
type Setup struct {
	// Site, Load and Fault shape it.
	Site  Site
	Load  float64
	Fault Fault
	// Seed gives the same run each time.
	Seed uint64
	// Length is the time played; the first eighth is not measured.
	Length time.Duration
}

// Result is what a run measured.
type Result struct {
	// Waits are p50, p99 and p99.9 by kind.
	Waits [job.Service + 1][3]time.Duration
	// After is the p99 wait of urgent tasks accepted in the half minute after the
	// fault, and Again that of tasks lost with their server, from its silence on.
	After, Again time.Duration
	// Placed counts first placements by kind.
	Placed [job.Service + 1]int
	// Packing is used ÷ its bound while work waits.
	Packing float64
	// Distance and Worst are how far teams were from their shares.
	Distance, Worst float64
	// Done is the batch and gang work done and Lost the work lost, in core-hours.
	Done, Lost float64
	// Slow is the largest wait of a gang in units of what it would have waited alone.
	Slow, SlowMost float64
	// Rack and Zone are the parts of the gangs that started in one.
	Rack, Zone float64
	// Mean is the mean wait of batch.
	Mean time.Duration
	// Rate is decisions a second and P99 the time of one decision.
	Rate float64
	P99  time.Duration
	// Verbs counts the decisions.
	Verbs [plan.Restore + 1]int
	// Reasons holds the core-hours lost by what tasks were stopped for.
	Reasons map[string]float64
	// Broken lists violated invariants.
	Broken []string
}

// Fifo returns the baseline that takes everything in the order of arrival.
func Fifo() plan.Planner { return fifo.New() }

// Strict returns the baseline in which a kind goes strictly before the next.
func Strict() plan.Planner {
	order := [...]int{job.Urgent: 0, job.Service: 1, job.Gang: 2, job.Batch: 3}
	p := fifo.New()
	p.Less = func(a, b plan.WaitingTask) bool { return order[a.Job.Kind] < order[b.Job.Kind] }
	return p
}

// Plain returns the baseline of dominant-resource fairness with best fit: nothing
// is preempted, reserved or learned.
func Plain() plan.Planner {
	return cell.New(cell.Config{Disabled: cell.UrgentReserve | cell.SharePreempt | cell.UrgentPreempt | cell.RuntimeEstimates |
		cell.GangReservation | cell.Quarantine | cell.RackLocality | cell.ShortestFirst})
}

// Cell returns the product's planner without the parts given.
func Cell(without cell.Mechanism) plan.Planner { return cell.New(cell.Config{Disabled: without}) }

// Run plays the set-up.
func Run(p plan.Planner, s Setup) Result {
	w := NewWorld(p, s.Site.servers(), Rows())
	w.Meter.From = s.Length / 8
	src := &source{rng: rand.New(rand.NewPCG(s.Seed, 7)), site: s.Site}
	rate := src.rate(s.Load)
	src.off = s.Fault == WrongRun
	if s.Fault == Crashing {
		src.crash = 0.05
	}
	if s.Fault == Greedy {
		src.greedy = 0.05
	}
	w.serve(s.Site, servicePart)
	w.feed(src, rate, s.Length)
	w.At(0, w.Meter.Sample)
	w.At(s.Length/2, func() { w.fault(s) })
	w.Run(s.Length)
	return w.Meter.result()
}

// fault lets go wrong what the set-up says.
func (w *World) fault(s Setup) {
	w.Meter.Fault = w.now
	small := capacity.Size{CPU: 1000, Memory: 1 << 10, Slots: 1}
	flood := &job.Spec{Team: "dov", Kind: job.Batch, Name: "flood", Count: 10_000, Size: small, EstimatedRuntime: time.Minute}
	switch s.Fault {
	case ZoneLost:
		w.Lose(func(b backend.Server) bool { return b.Zone == "z00" }, s.Length/4, true)
	case Racks, Unmarked:
		w.loseRacks(0, s.Fault == Racks)
	case Hole:
		w.holes[w.order[len(w.order)/2]] = true
	case Wave:
		times := make([]time.Duration, flood.Count)
		for i := range times {
			times[i] = time.Minute
		}
		id := w.Submit(flood, times, small, false)
		w.At(w.now+10*time.Second, func() { w.Cancel(id) })
	case Lowered:
		row, _ := w.table.Row("ada")
		w.SetTable(w.table.Update(append(w.table.Rows()[:0:0], row.WithLimit(part(s.Site.total(), 8))), nil))
	case Weights:
		row, _ := w.table.Row("cem")
		w.SetTable(w.table.Update(append(w.table.Rows()[:0:0], row.WithWeight(6)), nil))
	case Endless:
		never := *flood
		never.Size, never.Count = s.Site.Size.Times(2), 200
		w.Submit(&never, make([]time.Duration, never.Count), never.Size, false)
	}
}

func (m *Meter) result() Result {
	for id := uint64(1); id <= m.w.nextJob; id++ {
		for _, a := range m.w.jobs[id] {
			if a.held {
				m.done[a.spec.Kind] += work(a, m.w.now-max(a.base, m.From))
			}
		}
	}
	r := Result{
		Packing: mean(m.packing), Distance: mean(m.dist), Worst: m.worst,
		Done: (m.done[job.Batch] + m.done[job.Gang]) / 3600, Lost: m.wasted / 3600,
		Slow: quantile(m.slow, 0.99), SlowMost: quantile(m.slow, 1),
		After: quantile(m.after, 0.99), Again: quantile(m.again, 0.99),
		Rack: mean(m.racks), Zone: mean(m.zones), Mean: average(m.waits[job.Batch]),
		Rate: float64(m.count) / max(1e-9, m.spent.Seconds()), P99: quantile(m.calls, 0.99),
		Verbs: m.verbs, Reasons: m.reasons, Broken: m.w.Check.Broken,
	}
	for k := range m.waits {
		r.Placed[k] = len(m.waits[k])
		for i, q := range [...]float64{0.5, 0.99, 0.999} {
			r.Waits[k][i] = quantile(m.waits[k], q)
		}
	}
	return r
}

// Header is the first line of a table of results.
func Header() string {
	return "| run | urgent p50/p99/p99.9 | p99 after fault, of lost | service p99 | gang p50/p99 | gangs in one rack/zone | batch p50/mean/p99 | packing | distance mean/worst | done | lost | gang ×alone p99/most | dec/s | p99/dec | preempt |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
}

// Row is one line of a table of results.
func (r Result) Row(name string) string {
	ms := func(d time.Duration) string {
		if d > time.Second {
			return d.Round(100 * time.Millisecond).String()
		}
		return d.Round(time.Millisecond).String()
	}
	u, g, b := r.Waits[job.Urgent], r.Waits[job.Gang], r.Waits[job.Batch]
	cols := []string{
		name, ms(u[0]) + "/" + ms(u[1]) + "/" + ms(u[2]), ms(r.After) + ", " + ms(r.Again), ms(r.Waits[job.Service][1]),
		ms(g[0]) + "/" + ms(g[1]), fmt.Sprintf("%.2f/%.2f", r.Rack, r.Zone), ms(b[0]) + "/" + ms(r.Mean) + "/" + ms(b[1]),
		fmt.Sprintf("%.3f", r.Packing), fmt.Sprintf("%.2f%%/%.2f%%", 100*r.Distance, 100*r.Worst),
		fmt.Sprintf("%.1f", r.Done), fmt.Sprintf("%.2f", r.Lost), fmt.Sprintf("%.1f/%.1f", r.Slow, r.SlowMost),
		fmt.Sprintf("%.0f", r.Rate), r.P99.Round(100 * time.Nanosecond).String(), fmt.Sprint(r.Verbs[plan.Preempt]),
	}
	return "| " + strings.Join(cols, " | ") + " |"
}

// Print writes one line and what was violated.
func (r Result) Print(out io.Writer, name string) {
	fmt.Fprintln(out, r.Row(name))
	for _, b := range r.Broken {
		fmt.Fprintln(out, "BROKEN:", b)
	}
}

// loseRacks takes one rack after the other away for a while.
func (w *World) loseRacks(n int, mark bool) {
	rack := w.servers[w.order[n*7%len(w.order)]].Rack
	w.Lose(func(b backend.Server) bool { return b.Rack == rack }, 15*time.Second, mark)
	w.At(w.now+20*time.Second, func() { w.loseRacks(n+1, mark) })
}

// part returns one nth of a size.
func part(s capacity.Size, n int64) capacity.Size {
	return capacity.Size{CPU: s.CPU / n, Memory: s.Memory / n, Accel: capacity.Unlimited, Slots: s.Slots / n}
}
