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

// TestMeasure prints the tables of docs/measures/policy.md. It runs for minutes
// and so only when asked: GYPSUMREEL_MEASURE=goals, faults or parts.
func TestMeasure(t *testing.T) {
	what := os.Getenv("GYPSUMREEL_MEASURE")
	if what == "" {
		t.Skip("set GYPSUMREEL_MEASURE to measure")
	}
	chooseSeed()
	fmt.Println(bench.Header())
	for _, site := range []bench.Site{bench.Balastas(), bench.Coralwave()} {
		switch what {
		case "goals":
			goals(site)
		case "sweep":
			for _, patience := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second} {
				run(cell.New(cell.Config{GangPreemptDelay: patience}), site, 1.2, bench.NoFault, fmt.Sprint("patience ", patience))
			}
			for _, slack := range []float64{0.005, 0.01, 0.02, 0.03} {
				run(cell.New(cell.Config{ShareSlack: slack}), site, 1.2, bench.NoFault, fmt.Sprint("slack ", slack))
			}
		case "racks":
			run(bench.Product(0), site, 0.9, bench.RackOutages, "cell")
			run(bench.Product(0), site, 0.9, bench.UnmarkedOutages, "cell")
			run(bench.Product(0), bench.Heavy(), 1.2, bench.NoFault, "cell")
			run(bench.Product(cell.BestFit), bench.Heavy(), 1.2, bench.NoFault, "without best fit")
		case "parts":
			parts(site)
		case "one":
			run(bench.Product(0), site, 1.2, bench.NoFault, "cell")
		case "faults":
			for _, f := range bench.Faults {
				run(bench.Product(0), site, 1.2, f, "cell")
			}
		}
	}
}

// seed and length of the runs; GYPSUMREEL_SEED sets another seed.
var seed, length = uint64(1), time.Hour

func chooseSeed() {
	if n, err := strconv.ParseUint(os.Getenv("GYPSUMREEL_SEED"), 10, 64); err == nil {
		seed = n
	}
}

func goals(site bench.Site) {
	for _, load := range []float64{0.6, 0.9, 1.2} {
		for _, p := range planners {
			run(p.make(), site, load, bench.NoFault, p.name)
		}
	}
}

// parts shows each mechanism with and without it, under the fault it is for.
func parts(site bench.Site) {
	for _, p := range []struct {
		part  cell.Mechanism
		fault bench.Fault
		name  string
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
		run(bench.Product(p.part), site, 1.2, p.fault, p.name)
	}
}

var planners = []struct {
	name string
	make func() plan.Planner
}{
	{"fifo", bench.FIFO},
	{"strict", bench.StrictPriority},
	{"drf", bench.DRF},
	{"cell", func() plan.Planner { return bench.Product(0) }},
}

func run(p plan.Planner, site bench.Site, load float64, f bench.Fault, name string) {
	r := bench.Run(p, bench.Setup{Site: site, Load: load, Fault: f, Seed: seed, Duration: length})
	if os.Getenv("GYPSUMREEL_REASONS") != "" {
		fmt.Println(r.LostByReason, r.ActionCounts)
	}
	r.Print(os.Stdout, fmt.Sprintf("%s %.0f%% %s %s", site.Name, 100*load, f, name))
}

// The goals of the policy on a short seeded run of each deployment at 120% load:
// urgent work is placed within 50 ms, and within 1.2 s when a zone is lost, the
// cell is packed, and teams are near their shares. Every decision is checked.
func TestGoals(t *testing.T) {
	for _, site := range []bench.Site{bench.Balastas(), bench.Coralwave()} {
		for _, f := range []bench.Fault{bench.NoFault, bench.ZoneLost} {
			t.Run(site.Name+" "+string(f), func(t *testing.T) {
				r := bench.Run(bench.Product(0), bench.Setup{Site: site, Load: 1.2, Fault: f, Seed: 1, Duration: 8 * time.Minute})
				if diff := cmp.Diff([]string(nil), r.Violations); diff != "" {
					t.Fatal(diff)
				}
				most := 50 * time.Millisecond
				if f == bench.ZoneLost {
					most = 1200 * time.Millisecond
				}
				if p99 := max(r.Waits[job.Urgent][1], r.UrgentAfterFault); p99 > most {
					t.Errorf("urgent work waits %v", p99)
				}
				if r.Packing < 0.95 {
					t.Errorf("packing %.3f of its bound", r.Packing)
				}
				if f == bench.NoFault && (r.ShareDistance > 0.01 || r.WorstDistance > 0.05) {
					t.Errorf("distance to share %.4f, worst %.4f", r.ShareDistance, r.WorstDistance)
				}
			})
		}
	}
}

// The same seed gives the same decisions, whatever the faults.
func TestSameSeedSameDecisions(t *testing.T) {
	play := func() bench.Result {
		r := bench.Run(bench.Product(0), bench.Setup{Site: bench.Coralwave(), Load: 1.2, Fault: bench.ZoneLost, Seed: 2, Duration: 4 * time.Minute})
		r.DecisionRate, r.DecisionP99 = 0, 0
		return r
	}
	if diff := cmp.Diff(play(), play()); diff != "" {
		t.Error(diff)
	}
}
