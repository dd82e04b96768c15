package bench_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/bench"
	"gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
)

// TestMeasure prints the tables of docs/measures/policy.md. It runs for minutes and
// therefore only when GYPSUMREEL_MEASURE is set, for example to goals, faults or
// parts.
func TestMeasure(t *testing.T) {
	selection := os.Getenv("GYPSUMREEL_MEASURE")
	if selection == "" {
		t.Skip("set GYPSUMREEL_MEASURE to measure")
	}
	setSeedFromEnv()
	fmt.Println(bench.Header())
	for _, site := range []bench.Site{bench.Balastas(), bench.Coralwave()} {
		switch selection {
		case "goals":
			runGoals(site)
		case "sweep":
			for _, delay := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second} {
				runPlanner(cell.New(cell.Config{GangPreemptDelay: delay}), site, 1.2, bench.NoFault, fmt.Sprint("patience ", delay))
			}
			for _, slack := range []float64{0.005, 0.01, 0.02, 0.03} {
				runPlanner(cell.New(cell.Config{ShareSlack: slack}), site, 1.2, bench.NoFault, fmt.Sprint("slack ", slack))
			}
		case "racks":
			runPlanner(bench.Product(0), site, 0.9, bench.RackOutages, "cell")
			runPlanner(bench.Product(0), site, 0.9, bench.UnmarkedOutages, "cell")
			runPlanner(bench.Product(0), bench.BalastasLargeBatch(), 1.2, bench.NoFault, "cell")
			runPlanner(bench.Product(cell.BestFit), bench.BalastasLargeBatch(), 1.2, bench.NoFault, "without best fit")
		case "parts":
			runMechanisms(site)
		case "one":
			runPlanner(bench.Product(0), site, 1.2, bench.NoFault, "cell")
		case "faults":
			for _, f := range bench.Faults {
				runPlanner(bench.Product(0), site, 1.2, f, "cell")
			}
		}
	}
}

// seed and duration apply to every run. GYPSUMREEL_SEED overrides the seed.
var seed, duration = uint64(1), time.Hour

func setSeedFromEnv() {
	if n, err := strconv.ParseUint(os.Getenv("GYPSUMREEL_SEED"), 10, 64); err == nil {
		seed = n
	}
}

func runGoals(site bench.Site) {
	for _, load := range []float64{0.6, 0.9, 1.2} {
		for _, p := range planners {
			runPlanner(p.newPlanner(), site, load, bench.NoFault, p.name)
		}
	}
}

// runMechanisms runs the planner with and without each mechanism, under the fault that
// the mechanism handles.
func runMechanisms(site bench.Site) {
	for _, p := range []struct {
		disabled cell.Mechanism
		fault    bench.Fault
		name     string
	}{
		{0, bench.NoFault, "whole"},
		{cell.UrgentReserve, bench.NoFault, "without reserve"},
		{cell.UrgentPreempt, bench.NoFault, "without urgent preemption"},
		{cell.UrgentReserve | cell.UrgentPreempt, bench.NoFault, "without both"},
		{cell.SharePreempt, bench.NoFault, "without taking back"},
		{cell.GangReservation, bench.NoFault, "without gathering"},
		{cell.BestFit, bench.NoFault, "without best fit"},
		{cell.RackLocality, bench.NoFault, "without racks"},
		{cell.GangPriority, bench.NoFault, "without lead of gangs"},
		{cell.ShortestFirst, bench.NoFault, "without shortest first"},
		{0, bench.WrongRuntimes, "whole"},
		{cell.RuntimeEstimates, bench.WrongRuntimes, "without estimates"},
		{0, bench.ZoneLost, "whole"},
		{cell.UrgentReserve, bench.ZoneLost, "without reserve"},
		{cell.UrgentPreempt, bench.ZoneLost, "without urgent preemption"},
		{0, bench.FailingServer, "whole"},
		{cell.Quarantine, bench.FailingServer, "without quarantine"},
	} {
		runPlanner(bench.Product(p.disabled), site, 1.2, p.fault, p.name)
	}
}

var planners = []struct {
	name       string
	newPlanner func() plan.Planner
}{
	{"fifo", bench.FIFO},
	{"strict", bench.StrictPriority},
	{"drf", bench.DRF},
	{"cell", func() plan.Planner { return bench.Product(0) }},
}

func runPlanner(p plan.Planner, site bench.Site, load float64, f bench.Fault, name string) {
	r := bench.Run(p, bench.Setup{Site: site, Load: load, Fault: f, Seed: seed, Duration: duration})
	if os.Getenv("GYPSUMREEL_REASONS") != "" {
		fmt.Println(r.LostByReason, r.ActionCounts)
	}
	r.Print(os.Stdout, fmt.Sprintf("%s %.0f%% %s %s", site.Name, 100*load, f, name))
}

// Guards the goals of the policy on a short run of each deployment at 120% load:
// urgent tasks wait at most 50 ms, or 1.2 s when a zone is lost, the servers are well
// packed, and the teams are near their fair shares. Every decision is checked.
func TestPolicyGoals(t *testing.T) {
	for _, site := range []bench.Site{bench.Balastas(), bench.Coralwave()} {
		for _, f := range []bench.Fault{bench.NoFault, bench.ZoneLost} {
			t.Run(site.Name+" "+string(f), func(t *testing.T) {
				r := bench.Run(bench.Product(0), bench.Setup{Site: site, Load: 1.2, Fault: f, Seed: 1, Duration: 8 * time.Minute})
				if diff := cmp.Diff([]string(nil), r.Violations); diff != "" {
					t.Fatalf("violations (-want +got):\n%s", diff)
				}
				maxWait := 50 * time.Millisecond
				if f == bench.ZoneLost {
					maxWait = 1200 * time.Millisecond
				}
				if p99 := max(r.Waits[job.Urgent][1], r.UrgentAfterFault); p99 > maxWait {
					t.Errorf("p99 wait of urgent tasks is %v, want at most %v", p99, maxWait)
				}
				if r.Packing < 0.95 {
					t.Errorf("packing is %.3f of its bound, want at least 0.95", r.Packing)
				}
				if f == bench.NoFault && (r.ShareDistance > 0.01 || r.WorstDistance > 0.05) {
					t.Errorf("mean distance from the fair shares is %.4f, want at most 0.01; worst one-minute mean is %.4f, want at most 0.05", r.ShareDistance, r.WorstDistance)
				}
			})
		}
	}
}

// Guards against decisions that depend on map order or wall-clock time: the same seed
// has to give the same decisions, also after a fault.
func TestSameSeedSameDecisions(t *testing.T) {
	runOnce := func() bench.Result {
		r := bench.Run(bench.Product(0), bench.Setup{Site: bench.Coralwave(), Load: 1.2, Fault: bench.ZoneLost, Seed: 2, Duration: 4 * time.Minute})
		r.DecisionRate, r.DecisionP99 = 0, 0
		return r
	}
	if diff := cmp.Diff(runOnce(), runOnce()); diff != "" {
		t.Errorf("results of the two runs differ (-first +second):\n%s", diff)
	}
}
