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

// Fault is a disturbance that is injected halfway through a run.
type Fault string

// The values name the faults in the printed results.
const (
	NoFault  Fault = "none"
	ZoneLost Fault = "zone lost"
	// RackOutages makes one rack after another silent for 15 s, one every 20 s.
	RackOutages Fault = "racks lost"
	// UnmarkedOutages is RackOutages without marking the silent servers suspect: the
	// planner places tasks on them until their leases expire.
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

// Faults lists all faults.
var Faults = []Fault{NoFault, ZoneLost, RackOutages, UnmarkedOutages, WrongRuntimes, Overuse, CrashingJobs, FailingServer, CancelWave, LimitLowered, WeightsEdited, UnplaceableJob}

// Setup holds the parameters of one run.
type Setup struct {
	// Site is the shape of the cell, Load the offered load as a fraction of its
	// capacity, and Fault the injected fault.
	Site  Site
	Load  float64
	Fault Fault
	// Seed seeds the random generator. The same seed gives the same run.
	Seed uint64
	// Duration is the virtual duration of the run. The first eighth is warm-up and is not
	// measured.
	Duration time.Duration
}

// Result holds the measurements of one run.
type Result struct {
	// Waits holds the p50, p99 and p99.9 wait for placement of each kind.
	Waits [job.Service + 1][3]time.Duration
	// UrgentAfterFault is the p99 wait of urgent tasks that were accepted within 30 s
	// after the fault. UrgentAfterLoss is the p99 wait of urgent tasks that were lost
	// with their server, counted from the time at which the server went silent.
	UrgentAfterFault, UrgentAfterLoss time.Duration
	// FirstPlacements counts the first placements of each kind.
	FirstPlacements [job.Service + 1]int
	// Packing is the used capacity divided by the capacity that placed and waiting tasks
	// could use together, averaged over the samples in which tasks wait.
	Packing float64
	// ShareDistance is the mean distance of the teams' usage from their fair shares.
	// WorstDistance is the largest one-minute mean of a single team.
	ShareDistance, WorstDistance float64
	// CoreHoursDone is the finished batch and gang work, and CoreHoursLost the work that
	// was lost since the last checkpoint, in core-hours.
	CoreHoursDone, CoreHoursLost float64
	// SlowdownP99 and SlowdownMax are the p99 and the maximum of a gang's wait divided
	// by the wait that it would have had with no other task waiting.
	SlowdownP99, SlowdownMax float64
	// InOneRack and InOneZone are the fractions of the gangs whose tasks all started in
	// one rack or in one zone.
	InOneRack, InOneZone float64
	// BatchMeanWait is the mean wait of batch tasks.
	BatchMeanWait time.Duration
	// DecisionRate is the number of decisions per second of processor time, and
	// DecisionP99 the p99 time of one decision.
	DecisionRate float64
	DecisionP99  time.Duration
	// ActionCounts counts the decisions of each action.
	ActionCounts [plan.Restore + 1]int
	// LostByReason holds the lost core-hours by the reason for which the tasks were
	// stopped.
	LostByReason map[string]float64
	// Violations lists the violated invariants.
	Violations []string
}

// FIFO returns the baseline planner that places tasks in the order of arrival.
func FIFO() plan.Planner { return fifo.New() }

// StrictPriority returns the baseline planner that places all tasks of a kind before
// those of the next kind.
func StrictPriority() plan.Planner {
	order := [...]int{job.Urgent: 0, job.Service: 1, job.Gang: 2, job.Batch: 3}
	p := fifo.New()
	p.Less = func(a, b plan.WaitingTask) bool { return order[a.Job.Kind] < order[b.Job.Kind] }
	return p
}

// DRF returns the baseline planner of dominant-resource fairness with best fit. It has
// no preemption, no reservations and no learned run times.
func DRF() plan.Planner {
	return cell.New(cell.Config{Disabled: cell.UrgentReserve | cell.SharePreempt | cell.UrgentPreempt | cell.RuntimeEstimates |
		cell.GangReservation | cell.Quarantine | cell.RackLocality | cell.ShortestFirst})
}

// Product returns the planner of gypsumreel without the given mechanisms.
func Product(disabled cell.Mechanism) plan.Planner { return cell.New(cell.Config{Disabled: disabled}) }

// Run simulates one run and returns its measurements.
func Run(p plan.Planner, s Setup) Result {
	w := NewSimulation(p, s.Site.servers(), InitialTable())
	w.Metrics.MeasureFrom = s.Duration / 8
	src := &jobSource{rng: rand.New(rand.NewPCG(s.Seed, 7)), site: s.Site}
	rate := src.arrivalRate(s.Load)
	src.wrongRuntimes = s.Fault == WrongRuntimes
	if s.Fault == CrashingJobs {
		src.crashFraction = 0.05
	}
	if s.Fault == Overuse {
		src.overuseFraction = 0.05
	}
	w.submitServices(s.Site, serviceFraction)
	w.submitArrivals(src, rate, s.Duration)
	w.Schedule(0, w.Metrics.Sample)
	w.Schedule(s.Duration/2, func() { w.injectFault(s) })
	w.Run(s.Duration)
	return w.Metrics.result()
}

// injectFault starts the fault of the setup.
func (w *Simulation) injectFault(s Setup) {
	w.Metrics.FaultAt = w.now
	taskSize := capacity.Size{CPU: 1000, Memory: 1 << 10, Slots: 1}
	largeJob := &job.Spec{Team: "dov", Kind: job.Batch, Name: "flood", Count: 10_000, Size: taskSize, EstimatedRuntime: time.Minute}
	switch s.Fault {
	case ZoneLost:
		w.FailServers(func(b backend.Server) bool { return b.Zone == "z00" }, s.Duration/4, true)
	case RackOutages, UnmarkedOutages:
		w.failRacks(0, s.Fault == RackOutages)
	case FailingServer:
		w.failingServers[w.serverIDs[len(w.serverIDs)/2]] = true
	case CancelWave:
		runtimes := make([]time.Duration, largeJob.Count)
		for i := range runtimes {
			runtimes[i] = time.Minute
		}
		id := w.Submit(largeJob, runtimes, taskSize, false)
		w.Schedule(w.now+10*time.Second, func() { w.Cancel(id) })
	case LimitLowered:
		row, _ := w.table.Row("ada")
		w.SetTable(w.table.Update(append(w.table.Rows()[:0:0], row.WithLimit(sizeFraction(s.Site.totalCapacity(), 8))), nil))
	case WeightsEdited:
		row, _ := w.table.Row("cem")
		w.SetTable(w.table.Update(append(w.table.Rows()[:0:0], row.WithWeight(6)), nil))
	case UnplaceableJob:
		unplaceable := *largeJob
		unplaceable.Size, unplaceable.Count = s.Site.ServerCapacity.Times(2), 200
		w.Submit(&unplaceable, make([]time.Duration, unplaceable.Count), unplaceable.Size, false)
	}
}

func (m *Metrics) result() Result {
	for id := uint64(1); id <= m.simulation.lastJob; id++ {
		for _, a := range m.simulation.jobs[id] {
			if a.placed {
				m.coreSecondsDone[a.spec.Kind] += coreSeconds(a, m.simulation.now-max(a.startedAt, m.MeasureFrom))
			}
		}
	}
	r := Result{
		Packing: mean(m.packingSamples), ShareDistance: mean(m.shareDistances), WorstDistance: m.worstDistance,
		CoreHoursDone: (m.coreSecondsDone[job.Batch] + m.coreSecondsDone[job.Gang]) / 3600, CoreHoursLost: m.coreSecondsLost / 3600,
		SlowdownP99: quantile(m.slowdowns, 0.99), SlowdownMax: quantile(m.slowdowns, 1),
		UrgentAfterFault: quantile(m.waitsAfterFault, 0.99), UrgentAfterLoss: quantile(m.waitsAfterLoss, 0.99),
		InOneRack: mean(m.inOneRack), InOneZone: mean(m.inOneZone), BatchMeanWait: meanDuration(m.waits[job.Batch]),
		DecisionRate: float64(m.decisionCount) / max(1e-9, m.decideTime.Seconds()), DecisionP99: quantile(m.decisionTimes, 0.99),
		ActionCounts: m.actionCounts, LostByReason: m.lostByReason, Violations: m.simulation.Checker.Violations,
	}
	for k := range m.waits {
		r.FirstPlacements[k] = len(m.waits[k])
		for i, q := range [...]float64{0.5, 0.99, 0.999} {
			r.Waits[k][i] = quantile(m.waits[k], q)
		}
	}
	return r
}

// Header returns the header of the Markdown table of results.
func Header() string {
	return "| run | urgent p50/p99/p99.9 | p99 after fault, of lost | service p99 | gang p50/p99 | gangs in one rack/zone | batch p50/mean/p99 | packing | distance mean/worst | done | lost | gang ×alone p99/most | dec/s | p99/dec | preempt |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
}

// Row returns the result as one row of the Markdown table.
func (r Result) Row(name string) string {
	format := func(d time.Duration) string {
		if d > time.Second {
			return d.Round(100 * time.Millisecond).String()
		}
		return d.Round(time.Millisecond).String()
	}
	u, g, b := r.Waits[job.Urgent], r.Waits[job.Gang], r.Waits[job.Batch]
	columns := []string{
		name, format(u[0]) + "/" + format(u[1]) + "/" + format(u[2]), format(r.UrgentAfterFault) + ", " + format(r.UrgentAfterLoss), format(r.Waits[job.Service][1]),
		format(g[0]) + "/" + format(g[1]), fmt.Sprintf("%.2f/%.2f", r.InOneRack, r.InOneZone), format(b[0]) + "/" + format(r.BatchMeanWait) + "/" + format(b[1]),
		fmt.Sprintf("%.3f", r.Packing), fmt.Sprintf("%.2f%%/%.2f%%", 100*r.ShareDistance, 100*r.WorstDistance),
		fmt.Sprintf("%.1f", r.CoreHoursDone), fmt.Sprintf("%.2f", r.CoreHoursLost), fmt.Sprintf("%.1f/%.1f", r.SlowdownP99, r.SlowdownMax),
		fmt.Sprintf("%.0f", r.DecisionRate), r.DecisionP99.Round(100 * time.Nanosecond).String(), fmt.Sprint(r.ActionCounts[plan.Preempt]),
	}
	return "| " + strings.Join(columns, " | ") + " |"
}

// Print writes the row of the result and its violations.
func (r Result) Print(out io.Writer, name string) {
	fmt.Fprintln(out, r.Row(name))
	for _, b := range r.Violations {
		fmt.Fprintln(out, "BROKEN:", b)
	}
}

// failRacks makes one rack silent for 15 s and schedules the next rack 20 s later.
func (w *Simulation) failRacks(n int, markSuspect bool) {
	rack := w.servers[w.serverIDs[n*7%len(w.serverIDs)]].Rack
	w.FailServers(func(b backend.Server) bool { return b.Rack == rack }, 15*time.Second, markSuspect)
	w.Schedule(w.now+20*time.Second, func() { w.failRacks(n+1, markSuspect) })
}

// sizeFraction returns the nth part of a size, with unlimited accelerators.
func sizeFraction(s capacity.Size, n int64) capacity.Size {
	return capacity.Size{CPU: s.CPU / n, Memory: s.Memory / n, Accel: capacity.Unlimited, Slots: s.Slots / n}
}
