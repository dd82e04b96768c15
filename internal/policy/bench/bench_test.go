package bench_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

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
			for _, slack := range []float64{0.005, 0.01, 0.02, 0.03} {
				for _, patience := range []time.Duration{5 * time.Second, 15 * time.Second, 30 * time.Second} {
					p := cell.New(cell.Config{Slack: slack, Patience: patience})
					run(p, site, 1.2, bench.None, fmt.Sprint(slack, " ", patience))
				}
			}
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
