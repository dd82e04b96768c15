// Command trial plays flows in virtual time (package policy/model) over many seeds
// and compares ways to decide: the product's, the product's without one mechanism
// at a time, first come first fit, and strict priority. Every way plays the same
// seeds.
package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/schollz/progressbar/v3"

	"gypsumreel/internal/policy/simulator"
)

// options are the command line.
type options struct {
	SeedCount int           `long:"seeds" default:"40" description:"how many seeds each way plays"`
	FirstSeed uint64        `long:"first" default:"1" description:"the first seed"`
	Servers   int           `long:"servers" default:"48" description:"backend servers, about"`
	Lease     time.Duration `long:"lease" description:"how long a server runs on unheard; drawn by the seed when left out"`
	Policies  []string      `long:"way" description:"product, fifo, strict, or without-MECHANISM; may be repeated; all when left out"`
	Parallel  int           `long:"jobs" default:"4" description:"plays at a time"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// names lists all ways.
func names() []string {
	out := []string{"product"}
	for name := range simulator.Mechanisms {
		out = append(out, "without-"+name)
	}
	slices.Sort(out[1:])
	return append(out, "strict", "fifo")
}

// policyOf returns the way of that name.
func policyOf(name string, lease time.Duration) (simulator.Policy, error) {
	p := simulator.Policy{Lease: lease}
	part, without := strings.CutPrefix(name, "without-")
	switch {
	case name == "product":
	case name == "fifo":
		p.FIFO, p.Disabled = true, simulator.LateLast|simulator.Headroom|simulator.GangReservation|simulator.QuestionSize|simulator.ParallelQuestions
	case name == "strict":
		p.StrictPriority, p.Disabled = true, simulator.LateLast|simulator.Headroom|simulator.GangReservation|simulator.QuestionSize|simulator.ParallelQuestions
	case without && simulator.Mechanisms[part] != 0:
		p.Disabled = simulator.Mechanisms[part]
	default:
		return p, fmt.Errorf("%q is no way to decide; there are %s", name, strings.Join(names(), ", "))
	}
	return p, nil
}

func run(o options, out, progress io.Writer) error {
	ways := o.Policies
	if len(ways) == 0 {
		ways = names()
	}
	results := make([][]simulator.Result, len(ways))
	var policies []simulator.Policy
	for i, name := range ways {
		p, err := policyOf(name, o.Lease)
		if err != nil {
			return err
		}
		policies = append(policies, p)
		results[i] = make([]simulator.Result, o.SeedCount)
	}
	bar := progressbar.NewOptions(len(ways)*o.SeedCount, progressbar.OptionSetWriter(progress), progressbar.OptionSetDescription("plays"), progressbar.OptionThrottle(time.Second))
	var wg sync.WaitGroup
	free := make(chan struct{}, min(o.Parallel, runtime.NumCPU()))
	for i := range ways {
		for n := range o.SeedCount {
			wg.Go(func() {
				free <- struct{}{}
				defer func() { <-free }()
				results[i][n] = simulator.New(simulator.GenerateScenario(o.FirstSeed+uint64(n), o.Servers), policies[i]).Run()
				_ = bar.Add(1)
			})
		}
	}
	wg.Wait()
	fmt.Fprintln(progress)
	return write(out, ways, results)
}

// columns are the figures of a table, each of one play.
var columns = []struct {
	name string
	of   func(simulator.Result) float64
}{
	{"worth", simulator.Result.Score},
	{"whole", func(r simulator.Result) float64 { return r.Overall.Value() }},
	{"windows", func(r simulator.Result) float64 { return r.WorstWindows }},
	{"tenants", func(r simulator.Result) float64 { return r.WorstCustomers }},
	{"nines", func(r simulator.Result) float64 { return r.UnservedScore }},
	{"urgent", func(r simulator.Result) float64 { return r.Kinds[0].Value() }},
	{"plan", func(r simulator.Result) float64 { return r.Kinds[1].Value() }},
	{"batch", func(r simulator.Result) float64 { return r.Kinds[2].Value() }},
	{"never", func(r simulator.Result) float64 { return float64(r.Unserved) / float64(r.Requests) }},
	{"urgent p50 s", func(r simulator.Result) float64 { return r.UrgentLatency[0] }},
	{"wasted", func(r simulator.Result) float64 { return r.WastedCoreSeconds }},
	{"busy", func(r simulator.Result) float64 { return r.Utilization }},
	{"asking", func(r simulator.Result) float64 { return r.BusyHelpers }},
	{"questions", func(r simulator.Result) float64 { return float64(r.Questions) }},
}

const (
	barWidth = 40
	padding  = 2
)

// write prints a row a way: means over the seeds, the spread of the worth, and how
// far the worth is from that of the first way, seed by seed.
func write(out io.Writer, ways []string, results [][]simulator.Result) error {
	t := tabwriter.NewWriter(out, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "way\t")
	for _, c := range columns {
		fmt.Fprintf(t, "%s\t", c.name)
	}
	fmt.Fprintln(t, "spread\tbeside first\t")
	for i, name := range ways {
		fmt.Fprintf(t, "%s\t", name)
		for _, c := range columns {
			mean, _ := meanOf(results[i], c.of)
			fmt.Fprintf(t, "%.3f\t", mean)
		}
		_, spread := meanOf(results[i], simulator.Result.Score)
		n := -1
		beside, err := meanOf(results[i], func(r simulator.Result) float64 { n++; return r.Score() - results[0][n].Score() })
		fmt.Fprintf(t, "%.3f\t%+.4f ± %.4f\t\n", spread, beside, err/math.Sqrt(float64(len(results[i]))))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, name := range ways {
		mean, _ := meanOf(results[i], simulator.Result.Score)
		fmt.Fprintf(out, "%24s %s %.3f\n", name, strings.Repeat("█", int(math.Round(max(mean, 0)*barWidth))), mean)
	}
	return nil
}

// meanOf returns the mean and the standard deviation of a figure.
func meanOf(all []simulator.Result, of func(simulator.Result) float64) (mean, deviation float64) {
	values := make([]float64, len(all))
	for i, r := range all {
		values[i] = of(r)
		mean += values[i] / float64(len(all))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(all))
	}
	return mean, math.Sqrt(deviation)
}
