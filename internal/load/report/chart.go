package report

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"

	"gypsumreel/internal/load/mix"
)

const (
	// barWidth is the length of the longest bar.
	barWidth = 40
	// lineWidth is the number of columns of a course over time.
	lineWidth = 60
	padding   = 2
)

// levels are the heights of a course over time.
var levels = []rune(" ▁▂▃▄▅▆▇█")

// Write prints the result for a person.
func (r Result) Write(w io.Writer) error {
	fmt.Fprintf(w, "revision %s, table %d to %d, seed %d, %.4g jobs/s for %s, %d own backend servers\n",
		r.Info.Revision, r.Info.TableRevisions[0], r.Info.TableRevisions[1], r.Info.Seed, r.Info.Rate, r.Info.Duration, r.Info.Servers)
	c := r.Counts
	fmt.Fprintf(w, "sent %d  accepted %d  done %d  failed %d  stopped %d  refused %d  not run %d  unknown %d  unanswered %d  repeated tasks %d\n",
		c.Sent, c.Accepted, c.Done, c.Failed, c.Stopped, c.Refused, c.NotRun, c.Unknown, c.Unanswered, c.RepeatedTasks)
	p := r.Violations
	fmt.Fprintf(w, "promises: lost %d  damaged %d  doubled %d  false %d  unran %d  faults %d\n", p.LostJobs, p.DamagedAnswers, p.RepeatedOnceJobs, p.FalseNotRun, p.UnfinishedDone, len(p.ServerFaults))
	for _, f := range p.ServerFaults {
		fmt.Fprintln(w, "  "+f)
	}
	r.refusals(w)
	if err := r.table(w); err != nil {
		return err
	}
	r.bars(w)
	r.course(w, "sent/s    ", func(s SecondCounts) int { return s.Sent })
	r.course(w, "answered/s", func(s SecondCounts) int { return s.Answered })
	return nil
}

func (r Result) refusals(w io.Writer) {
	names := make([]string, 0, len(r.Refusals))
	for name := range r.Refusals {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "refused: %6d  %s\n", r.Refusals[name], name)
	}
}

// step is one wait of a kind by name.
type step struct {
	name  string
	waits WaitStats
}

func (k KindReport) steps() []step {
	return []step{{"accept", k.Accept}, {"start", k.Start}, {"answer", k.Answer}, {"lag", k.Lag}}
}

func (r Result) table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\twait (ms)\tcount\tmean\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, kind := range mix.Kinds {
		k, ok := r.Kinds[kind.String()]
		if !ok {
			continue
		}
		for _, s := range k.steps() {
			x := s.waits
			fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", kind, s.name, x.Count, x.Mean, x.P50, x.P90, x.P99, x.P999, x.Max)
		}
	}
	return t.Flush()
}

// bars draws the wait for a start on a scale of powers of ten.
func (r Result) bars(w io.Writer) {
	fmt.Fprintln(w, "wait until the answer, p50 / p99, logarithmic")
	top := 1.0
	for _, k := range r.Kinds {
		top = max(top, k.Answer.P99)
	}
	length := func(ms float64) int {
		return int(math.Round(barWidth * math.Log10(1+ms) / math.Log10(1+top)))
	}
	for _, kind := range mix.Kinds {
		k, ok := r.Kinds[kind.String()]
		if !ok || k.Answer.Count == 0 {
			continue
		}
		half, most := length(k.Answer.P50), length(k.Answer.P99)
		fmt.Fprintf(w, "%8s  %s%s  %.1f / %.1f ms\n", kind, strings.Repeat("█", half), strings.Repeat("░", max(0, most-half)), k.Answer.P50, k.Answer.P99)
	}
}

// course draws a count over the seconds of the run.
func (r Result) course(w io.Writer, name string, of func(SecondCounts) int) {
	n := len(r.Seconds)
	if n == 0 {
		return
	}
	columns := min(n, lineWidth)
	sums, top := make([]float64, columns), 0.0
	for i, s := range r.Seconds {
		at := i * columns / n
		sums[at] += float64(of(s)) * float64(columns) / float64(n)
		top = max(top, sums[at])
	}
	var line strings.Builder
	for _, x := range sums {
		level := 0
		if top > 0 {
			level = int(math.Ceil(x / top * float64(len(levels)-1)))
		}
		line.WriteRune(levels[level])
	}
	fmt.Fprintf(w, "%s |%s| most %.0f\n", name, line.String(), top)
}
