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
	// barWidth is the length of the longest bar in characters.
	barWidth = 40
	// timelineWidth is the maximum number of columns of a timeline.
	timelineWidth = 60
	columnPadding = 2
)

// timelineLevels are the characters of a timeline, from 0 to the maximum.
var timelineLevels = []rune(" ▁▂▃▄▅▆▇█")

// Write writes the result as text.
func (r Result) Write(w io.Writer) error {
	fmt.Fprintf(w, "revision %s, table %d to %d, seed %d, %.4g jobs/s for %s, %d own backend servers\n",
		r.Info.Revision, r.Info.TableRevisions[0], r.Info.TableRevisions[1], r.Info.Seed, r.Info.Rate, r.Info.Duration, r.Info.Servers)
	c := r.Counts
	fmt.Fprintf(w, "sent %d  accepted %d  done %d  failed %d  stopped %d  refused %d  not run %d  unknown %d  unanswered %d  repeated tasks %d\n",
		c.Sent, c.Accepted, c.Done, c.Failed, c.Stopped, c.Refused, c.NotRun, c.Unknown, c.Unanswered, c.RepeatedTasks)
	violations := r.Violations
	fmt.Fprintf(w, "promises: lost %d  damaged %d  doubled %d  false %d  unran %d  faults %d\n", violations.LostJobs, violations.DamagedAnswers, violations.RepeatedOnceJobs, violations.FalseNotRun, violations.UnfinishedDone, len(violations.ServerFaults))
	for _, f := range violations.ServerFaults {
		fmt.Fprintln(w, "  "+f)
	}
	r.writeRefusals(w)
	if err := r.writeTable(w); err != nil {
		return err
	}
	r.writeBars(w)
	r.writeTimeline(w, "sent/s    ", func(s SecondCounts) int { return s.Sent })
	r.writeTimeline(w, "answered/s", func(s SecondCounts) int { return s.Answered })
	return nil
}

func (r Result) writeRefusals(w io.Writer) {
	names := make([]string, 0, len(r.Refusals))
	for name := range r.Refusals {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "refused: %6d  %s\n", r.Refusals[name], name)
	}
}

// waitRow is one row of the table of waits.
type waitRow struct {
	name  string
	waits WaitStats
}

func (k KindReport) waitRows() []waitRow {
	return []waitRow{{"accept", k.Accept}, {"start", k.Start}, {"answer", k.Answer}, {"lag", k.Lag}}
}

func (r Result) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\twait (ms)\tcount\tmean\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, kind := range mix.Kinds {
		k, ok := r.Kinds[kind.String()]
		if !ok {
			continue
		}
		for _, s := range k.waitRows() {
			waits := s.waits
			fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", kind, s.name, waits.Count, waits.Mean, waits.P50, waits.P90, waits.P99, waits.P999, waits.Max)
		}
	}
	return t.Flush()
}

// writeBars draws the waits for the answer as bars on a logarithmic scale.
func (r Result) writeBars(w io.Writer) {
	fmt.Fprintln(w, "wait until the answer, p50 / p99, logarithmic")
	maxP99 := 1.0
	for _, k := range r.Kinds {
		maxP99 = max(maxP99, k.Answer.P99)
	}
	length := func(ms float64) int {
		return int(math.Round(barWidth * math.Log10(1+ms) / math.Log10(1+maxP99)))
	}
	for _, kind := range mix.Kinds {
		k, ok := r.Kinds[kind.String()]
		if !ok || k.Answer.Count == 0 {
			continue
		}
		p50Length, p99Length := length(k.Answer.P50), length(k.Answer.P99)
		fmt.Fprintf(w, "%8s  %s%s  %.1f / %.1f ms\n", kind, strings.Repeat("█", p50Length), strings.Repeat("░", max(0, p99Length-p50Length)), k.Answer.P50, k.Answer.P99)
	}
}

// writeTimeline draws a count over the seconds of the run.
func (r Result) writeTimeline(w io.Writer, name string, count func(SecondCounts) int) {
	n := len(r.Seconds)
	if n == 0 {
		return
	}
	columns := min(n, timelineWidth)
	sums, maxSum := make([]float64, columns), 0.0
	for i, s := range r.Seconds {
		column := i * columns / n
		sums[column] += float64(count(s)) * float64(columns) / float64(n)
		maxSum = max(maxSum, sums[column])
	}
	var line strings.Builder
	for _, x := range sums {
		level := 0
		if maxSum > 0 {
			level = int(math.Ceil(x / maxSum * float64(len(timelineLevels)-1)))
		}
		line.WriteRune(timelineLevels[level])
	}
	fmt.Fprintf(w, "%s |%s| most %.0f\n", name, line.String(), maxSum)
}
