package bench_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gypsumreel/internal/policy/bench"
	"gypsumreel/internal/policy/plan"
)

// TestMeasure prints the tables of docs/measures/policy.md. It runs for minutes
// and so only when asked: GYPSUMREEL_MEASURE=goals, faults or parts.
func TestMeasure(t *testing.T) {
	what := os.Getenv("GYPSUMREEL_MEASURE")
	if what == "" {
		t.Skip("set GYPSUMREEL_MEASURE to measure")
	}
	fmt.Println(bench.Header())
	for _, site := range []bench.Site{bench.Balastas(), bench.Coralwave()} {
		switch what {
		case "goals":
			goals(site)
		case "faults":
			for _, f := range bench.Faults {
				run(bench.Cell(0), site, 1.2, f, "cell")
			}
		}
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
	r := bench.Run(p, bench.Setup{Site: site, Load: load, Fault: f, Seed: 1, Length: 20 * time.Minute})
	r.Print(os.Stdout, fmt.Sprintf("%s %.0f%% %s %s", site.Name, 100*load, f, name))
}
