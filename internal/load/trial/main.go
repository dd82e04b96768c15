// Command trial simulates flows in virtual time (package policy/simulator) over many
// seeds and compares scheduling policies: the product's policy, the product's policy
// without one mechanism at a time, first come first fit, and strict priority. Every
// policy runs the same seeds.
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

// options are the command-line options.
type options struct {
	SeedCount       int           `long:"seeds" default:"40" description:"number of seeds that each policy runs"`
	FirstSeed       uint64        `long:"first" default:"1" description:"the first seed"`
	Servers         int           `long:"servers" default:"48" description:"approximate number of backend servers"`
	Lease           time.Duration `long:"lease" description:"how long a server runs without contact to the cell; drawn from the seed by default"`
	Policies        []string      `long:"way" description:"product, fifo, strict, or without-MECHANISM; may be repeated; all by default"`
	Contended       bool          `long:"contended" description:"customers compete: bursts beyond the room, one customer at several times its usual, and the order for it"`
	Plain           bool          `long:"plain" description:"with contended: the order for customers who do not compete"`
	Floor           float64       `long:"floor" description:"with contended: the floor of each queue, as a part of the capacity"`
	MaxParallelRuns int           `long:"jobs" default:"4" description:"number of parallel runs"`
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

// policyNames returns the names of all policies.
func policyNames() []string {
	names := []string{"product"}
	for name := range simulator.Mechanisms {
		names = append(names, "without-"+name)
	}
	slices.Sort(names[1:])
	return append(names, "strict", "fifo")
}

// parsePolicy returns the policy with the given name.
func parsePolicy(name string, lease time.Duration) (simulator.Policy, error) {
	p := simulator.Policy{Lease: lease}
	mechanism, hasPrefix := strings.CutPrefix(name, "without-")
	switch {
	case name == "product":
	case name == "fifo":
		p.FIFO, p.Disabled = true, simulator.LateLast|simulator.Headroom|simulator.GangReservation|simulator.QuestionSize|simulator.ParallelQuestions
	case name == "strict":
		p.StrictPriority, p.Disabled = true, simulator.LateLast|simulator.Headroom|simulator.GangReservation|simulator.QuestionSize|simulator.ParallelQuestions
	case hasPrefix && simulator.Mechanisms[mechanism] != 0:
		p.Disabled = simulator.Mechanisms[mechanism]
	default:
		return p, fmt.Errorf("unknown policy %q; known: %s", name, strings.Join(policyNames(), ", "))
	}
	return p, nil
}

func run(o options, out, progress io.Writer) error {
	names := o.Policies
	if len(names) == 0 {
		names = policyNames()
	}
	results := make([][]simulator.Result, len(names))
	var policies []simulator.Policy
	for i, name := range names {
		p, err := parsePolicy(name, o.Lease)
		if err != nil {
			return err
		}
		p.Contended, p.Floor = o.Contended && !o.Plain, o.Floor
		policies = append(policies, p)
		results[i] = make([]simulator.Result, o.SeedCount)
	}
	bar := progressbar.NewOptions(len(names)*o.SeedCount, progressbar.OptionSetWriter(progress), progressbar.OptionSetDescription("runs"), progressbar.OptionThrottle(time.Second))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, min(o.MaxParallelRuns, runtime.NumCPU()))
	for i := range names {
		for n := range o.SeedCount {
			wg.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				scenario := simulator.GenerateScenario(o.FirstSeed+uint64(n), o.Servers)
				if o.Contended {
					scenario = scenario.WithContention()
				}
				results[i][n] = simulator.New(scenario, policies[i]).Run()
				_ = bar.Add(1)
			})
		}
	}
	wg.Wait()
	fmt.Fprintln(progress)
	return writeTable(out, names, results)
}

// columns are the columns of the table. Each value is a mean over all runs.
var columns = []struct {
	name  string
	value func(simulator.Result) float64
}{
	{"worth", simulator.Result.Score},
	{"whole", func(r simulator.Result) float64 { return r.Overall.Value() }},
	{"windows", func(r simulator.Result) float64 { return r.WorstWindows }},
	{"tenants", func(r simulator.Result) float64 { return r.WorstCustomers }},
	{"large", func(r simulator.Result) float64 { return r.WorstLarge }},
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
	scoreBarWidth = 40
	columnPadding = 2
)

// writeTable prints one row per policy: the means over the seeds, the standard
// deviation of the score, and the mean difference of the score from that of the first
// policy on the same seed with its standard error. Below the table it prints a bar for
// the mean score of each policy.
func writeTable(out io.Writer, names []string, results [][]simulator.Result) error {
	t := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "way\t")
	for _, c := range columns {
		fmt.Fprintf(t, "%s\t", c.name)
	}
	fmt.Fprintln(t, "spread\tbeside first\t")
	for i, name := range names {
		fmt.Fprintf(t, "%s\t", name)
		for _, c := range columns {
			mean, _ := meanAndDeviation(results[i], c.value)
			fmt.Fprintf(t, "%.3f\t", mean)
		}
		_, spread := meanAndDeviation(results[i], simulator.Result.Score)
		seedIndex := -1
		difference, deviation := meanAndDeviation(results[i], func(r simulator.Result) float64 { seedIndex++; return r.Score() - results[0][seedIndex].Score() })
		fmt.Fprintf(t, "%.3f\t%+.4f ± %.4f\t\n", spread, difference, deviation/math.Sqrt(float64(len(results[i]))))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, name := range names {
		mean, _ := meanAndDeviation(results[i], simulator.Result.Score)
		fmt.Fprintf(out, "%24s %s %.3f\n", name, strings.Repeat("█", int(math.Round(max(mean, 0)*scoreBarWidth))), mean)
	}
	return nil
}

// meanAndDeviation returns the mean and the standard deviation of a value over the
// results.
func meanAndDeviation(results []simulator.Result, value func(simulator.Result) float64) (mean, deviation float64) {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = value(r)
		mean += values[i] / float64(len(results))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(results))
	}
	return mean, math.Sqrt(deviation)
}
