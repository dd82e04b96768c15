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
				run(cell.New(cell.Config{GangPreemptDelay: patience}), site, 1.2, bench.None, fmt.Sprint("patience ", patience))
			}
			for _, slack := range []float64{0.005, 0.01, 0.02, 0.03} {
				run(cell.New(cell.Config{ShareSlack: slack}), site, 1.2, bench.None, fmt.Sprint("slack ", slack))
			}
		case "racks":
			run(bench.Cell(0), site, 0.9, bench.Racks, "cell")
			run(bench.Cell(0), site, 0.9, bench.Unmarked, "cell")
			run(bench.Cell(0), bench.Heavy(), 1.2, bench.None, "cell")
			run(bench.Cell(cell.BestFit), bench.Heavy(), 1.2, bench.None, "without best fit")
		case "parts":
			parts(site)
		case "one":
			run(bench.Cell(0), site, 1.2, bench.None, "cell")
		case "faults":
			for _, f := range bench.Faults {
				run(bench.Cell(0), site, 1.2, f, "cell")
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
			run(p.make(), site, load, bench.None, p.name)
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
		{0, bench.None, "whole"},
		{cell.UrgentReserve, bench.None, "without reserve"},
		{cell.UrgentPreempt, bench.None, "without urgent preemption"},
		{cell.UrgentReserve | cell.UrgentPreempt, bench.None, "without both"},
		{cell.SharePreempt, bench.None, "without taking back"},
		{cell.GangReservation, bench.None, "without gathering"},
		{cell.BestFit, bench.None, "without best fit"},
		{cell.RackLocality, bench.None, "without racks"},
		{cell.GangPriority, bench.None, "without lead of gangs"},
		{cell.ShortestFirst, bench.None, "without shortest first"},
		{0, bench.WrongRun, "whole"},
		{cell.RuntimeEstimates, bench.WrongRun, "without estimates"},
		{0, bench.ZoneLost, "whole"},
		{cell.UrgentReserve, bench.ZoneLost, "without reserve"},
		{cell.UrgentPreempt, bench.ZoneLost, "without urgent preemption"},
		{0, bench.Hole, "whole"},
		{cell.Quarantine, bench.Hole, "without quarantine"},
	} {
		run(bench.Cell(p.part), site, 1.2, p.fault, p.name)
	}
}

var planners = []struct {
	name string
	make func() plan.Planner
}{
	{"fifo", bench.Fifo},
	{"strict", bench.Strict},
	{"drf", bench.Plain},
	{"cell", func() plan.Planner { return bench.Cell(0) }},
}

func run(p plan.Planner, site bench.Site, load float64, f bench.Fault, name string) {
	r := bench.Run(p, bench.Setup{Site: site, Load: load, Fault: f, Seed: seed, Length: length})
	if os.Getenv("GYPSUMREEL_REASONS") != "" {
		fmt.Println(r.Reasons, r.Verbs)
	}
	r.Print(os.Stdout, fmt.Sprintf("%s %.0f%% %s %s", site.Name, 100*load, f, name))
}

// The goals of the policy on a short seeded run of each deployment at 120% load:
// urgent work is placed within 50 ms, and within 1.2 s when a zone is lost, the
// cell is packed, and teams are near their shares. Every decision is checked.
func TestGoals(t *testing.T) {
	for _, site := range []bench.Site{bench.Balastas(), bench.Coralwave()} {
		for _, f := range []bench.Fault{bench.None, bench.ZoneLost} {
			t.Run(site.Name+" "+string(f), func(t *testing.T) {
				r := bench.Run(bench.Cell(0), bench.Setup{Site: site, Load: 1.2, Fault: f, Seed: 1, Length: 8 * time.Minute})
				if diff := cmp.Diff([]string(nil), r.Broken); diff != "" {
					t.Fatal(diff)
				}
				most := 50 * time.Millisecond
				if f == bench.ZoneLost {
					most = 1200 * time.Millisecond
				}
				if p99 := max(r.Waits[job.Urgent][1], r.After); p99 > most {
					t.Errorf("urgent work waits %v", p99)
				}
				if r.Packing < 0.95 {
					t.Errorf("packing %.3f of its bound", r.Packing)
				}
				if f == bench.None && (r.Distance > 0.01 || r.Worst > 0.05) {
					t.Errorf("distance to share %.4f, worst %.4f", r.Distance, r.Worst)
				}
			})
		}
	}
}

// The same seed gives the same decisions, whatever the faults.
func TestSameSeedSameDecisions(t *testing.T) {
	play := func() bench.Result {
		r := bench.Run(bench.Cell(0), bench.Setup{Site: bench.Coralwave(), Load: 1.2, Fault: bench.ZoneLost, Seed: 2, Length: 4 * time.Minute})
		r.Rate, r.P99 = 0, 0
		return r
	}
	if diff := cmp.Diff(play(), play()); diff != "" {
		t.Error(diff)
	}
}
