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
	NoFault  Fault = "none"
	ZoneLost Fault = "zone lost"
	// RackOutages goes on: every 20 s a rack goes silent, for 15 s.
	RackOutages Fault = "racks lost"
	// UnmarkedOutages is Racks with the servers given work until their lease is over.
	UnmarkedOutages Fault = "racks lost unmarked"
	WrongRuntimes   Fault = "run times off"
	Overuse         Fault = "use beyond size"
	CrashingJobs    Fault = "crashing jobs"
	FailingServer   Fault = "failing server"
	CancelWave      Fault = "cancel wave"
	LimitLowered    Fault = "limit lowered"
	WeightsEdited   Fault = "weights edited"
	UnplaceableJob  Fault = "never runnable"
)

// Faults lists all of them.
var Faults = []Fault{NoFault, ZoneLost, RackOutages, UnmarkedOutages, WrongRuntimes, Overuse, CrashingJobs, FailingServer, CancelWave, LimitLowered, WeightsEdited, UnplaceableJob}

// Setup is one run.
type Setup struct {
	// Site, Load and Fault shape it.
	Site  Site
	Load  float64
	Fault Fault
	// Seed gives the same run each time.
	Seed uint64
	// Duration is the time played; the first eighth is not measured.
	Duration time.Duration
}

// Result is what a run measured.
type Result struct {
	// Waits are p50, p99 and p99.9 by kind.
	Waits [job.Service + 1][3]time.Duration
	// UrgentAfterFault is the p99 wait of urgent tasks accepted in the half minute after the
	// fault, and Again that of tasks lost with their server, from its silence on.
	UrgentAfterFault, UrgentAfterLoss time.Duration
	// Placed counts first placements by kind.
	Placed [job.Service + 1]int
	// Packing is used ÷ its bound while work waits.
	Packing float64
	// ShareDistance and Worst are how far teams were from their shares.
	ShareDistance, WorstDistance float64
	// CoreHoursDone is the batch and gang work done and Lost the work lost, in core-hours.
	CoreHoursDone, CoreHoursLost float64
	// SlowdownP99 is the largest wait of a gang in units of what it would have waited alone.
	SlowdownP99, SlowdownMax float64
	// InOneRack and Zone are the parts of the gangs that started in one.
	InOneRack, InOneZone float64
	// BatchMeanWait is the mean wait of batch.
	BatchMeanWait time.Duration
	// DecisionRate is decisions a second and P99 the time of one decision.
	DecisionRate float64
	DecisionP99  time.Duration
	// ActionCounts counts the decisions.
	ActionCounts [plan.Restore + 1]int
	// LostByReason holds the core-hours lost by what tasks were stopped for.
	LostByReason map[string]float64
	// Violations lists violated invariants.
	Violations []string
}

// FIFO returns the baseline that takes everything in the order of arrival.
func FIFO() plan.Planner { return fifo.New() }

// StrictPriority returns the baseline in which a kind goes strictly before the next.
func StrictPriority() plan.Planner {
	order := [...]int{job.Urgent: 0, job.Service: 1, job.Gang: 2, job.Batch: 3}
	p := fifo.New()
	p.Less = func(a, b plan.WaitingTask) bool { return order[a.Job.Kind] < order[b.Job.Kind] }
	return p
}

// DRF returns the baseline of dominant-resource fairness with best fit: nothing
// is preempted, reserved or learned.
func DRF() plan.Planner {
	return cell.New(cell.Config{Disabled: cell.UrgentReserve | cell.SharePreempt | cell.UrgentPreempt | cell.RuntimeEstimates |
		cell.GangReservation | cell.Quarantine | cell.RackLocality | cell.ShortestFirst})
}

// Product returns the product's planner without the parts given.
func Product(without cell.Mechanism) plan.Planner { return cell.New(cell.Config{Disabled: without}) }

// Run plays the set-up.
func Run(p plan.Planner, s Setup) Result {
	w := NewWorld(p, s.Site.servers(), InitialTable())
	w.Metrics.MeasureFrom = s.Duration / 8
	src := &source{rng: rand.New(rand.NewPCG(s.Seed, 7)), site: s.Site}
	rate := src.rate(s.Load)
	src.off = s.Fault == WrongRuntimes
	if s.Fault == CrashingJobs {
		src.crash = 0.05
	}
	if s.Fault == Overuse {
		src.greedy = 0.05
	}
	w.serve(s.Site, servicePart)
	w.feed(src, rate, s.Duration)
	w.Schedule(0, w.Metrics.Sample)
	w.Schedule(s.Duration/2, func() { w.fault(s) })
	w.Run(s.Duration)
	return w.Metrics.result()
}

// fault lets go wrong what the set-up says.
func (w *World) fault(s Setup) {
	w.Metrics.FaultAt = w.now
	small := capacity.Size{CPU: 1000, Memory: 1 << 10, Slots: 1}
	flood := &job.Spec{Team: "dov", Kind: job.Batch, Name: "flood", Count: 10_000, Size: small, EstimatedRuntime: time.Minute}
	switch s.Fault {
	case ZoneLost:
		w.FailServers(func(b backend.Server) bool { return b.Zone == "z00" }, s.Duration/4, true)
	case RackOutages, UnmarkedOutages:
		w.loseRacks(0, s.Fault == RackOutages)
	case FailingServer:
		w.holes[w.order[len(w.order)/2]] = true
	case CancelWave:
		times := make([]time.Duration, flood.Count)
		for i := range times {
			times[i] = time.Minute
		}
		id := w.Submit(flood, times, small, false)
		w.Schedule(w.now+10*time.Second, func() { w.Cancel(id) })
	case LimitLowered:
		row, _ := w.table.Row("ada")
		w.SetTable(w.table.Update(append(w.table.Rows()[:0:0], row.WithLimit(part(s.Site.total(), 8))), nil))
	case WeightsEdited:
		row, _ := w.table.Row("cem")
		w.SetTable(w.table.Update(append(w.table.Rows()[:0:0], row.WithWeight(6)), nil))
	case UnplaceableJob:
		never := *flood
		never.Size, never.Count = s.Site.ServerCapacity.Times(2), 200
		w.Submit(&never, make([]time.Duration, never.Count), never.Size, false)
	}
}

func (m *Metrics) result() Result {
	for id := uint64(1); id <= m.w.nextJob; id++ {
		for _, a := range m.w.jobs[id] {
			if a.held {
				m.done[a.spec.Kind] += work(a, m.w.now-max(a.base, m.MeasureFrom))
			}
		}
	}
	r := Result{
		Packing: mean(m.packing), ShareDistance: mean(m.dist), WorstDistance: m.worst,
		CoreHoursDone: (m.done[job.Batch] + m.done[job.Gang]) / 3600, CoreHoursLost: m.wasted / 3600,
		SlowdownP99: quantile(m.slow, 0.99), SlowdownMax: quantile(m.slow, 1),
		UrgentAfterFault: quantile(m.after, 0.99), UrgentAfterLoss: quantile(m.again, 0.99),
		InOneRack: mean(m.racks), InOneZone: mean(m.zones), BatchMeanWait: average(m.waits[job.Batch]),
		DecisionRate: float64(m.count) / max(1e-9, m.spent.Seconds()), DecisionP99: quantile(m.calls, 0.99),
		ActionCounts: m.verbs, LostByReason: m.reasons, Violations: m.w.Checker.Violations,
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
		name, ms(u[0]) + "/" + ms(u[1]) + "/" + ms(u[2]), ms(r.UrgentAfterFault) + ", " + ms(r.UrgentAfterLoss), ms(r.Waits[job.Service][1]),
		ms(g[0]) + "/" + ms(g[1]), fmt.Sprintf("%.2f/%.2f", r.InOneRack, r.InOneZone), ms(b[0]) + "/" + ms(r.BatchMeanWait) + "/" + ms(b[1]),
		fmt.Sprintf("%.3f", r.Packing), fmt.Sprintf("%.2f%%/%.2f%%", 100*r.ShareDistance, 100*r.WorstDistance),
		fmt.Sprintf("%.1f", r.CoreHoursDone), fmt.Sprintf("%.2f", r.CoreHoursLost), fmt.Sprintf("%.1f/%.1f", r.SlowdownP99, r.SlowdownMax),
		fmt.Sprintf("%.0f", r.DecisionRate), r.DecisionP99.Round(100 * time.Nanosecond).String(), fmt.Sprint(r.ActionCounts[plan.Preempt]),
	}
	return "| " + strings.Join(cols, " | ") + " |"
}

// Print writes one line and what was violated.
func (r Result) Print(out io.Writer, name string) {
	fmt.Fprintln(out, r.Row(name))
	for _, b := range r.Violations {
		fmt.Fprintln(out, "BROKEN:", b)
	}
}

// loseRacks takes one rack after the other away for a while.
func (w *World) loseRacks(n int, mark bool) {
	rack := w.servers[w.order[n*7%len(w.order)]].Rack
	w.FailServers(func(b backend.Server) bool { return b.Rack == rack }, 15*time.Second, mark)
	w.Schedule(w.now+20*time.Second, func() { w.loseRacks(n+1, mark) })
}

// part returns one nth of a size.
func part(s capacity.Size, n int64) capacity.Size {
	return capacity.Size{CPU: s.CPU / n, Memory: s.Memory / n, Accel: capacity.Unlimited, Slots: s.Slots / n}
}
