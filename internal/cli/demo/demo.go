// Package demo implements the verb that runs a complete cell on the local machine
// without any set-up.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-logr/logr"
	"github.com/schollz/progressbar/v3"

	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/demo/scenario"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "demo", Short: "run a whole cell on this machine and check its promises",
		Long:   "Runs three control replicas, three entries and twelve fake backend servers on loopback for about 15 seconds, kills the leader halfway, withdraws a key, and prints the results. Exit code 0 only if every promise held.",
		Runner: &command{},
	}
}

type command struct {
	verb.OutputFlag
}

// Run runs the demo in a temporary directory and prints its report.
func (c *command) Run(ctx context.Context, env verb.Env, _ []string) error {
	dir, err := os.MkdirTemp("", "gypsumreel-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	demo := &scenario.Scenario{Dir: dir, Log: logr.Discard(), OnStep: showProgress(env.Err)}
	report, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	if err := c.Print(env.Out, report, reportTable(report)); err != nil {
		return err
	}
	if !report.Passed() {
		return &verb.Error{ExitCode: verb.ExitFailed, Message: fmt.Sprintf("%d promises did not hold", len(report.Violations))}
	}
	return nil
}

// showProgress returns a function that displays the current step and the completed
// fraction: as a progress bar on a terminal, as one line per step otherwise.
func showProgress(w io.Writer) func(string, float64) {
	f, ok := w.(*os.File)
	if info, err := f.Stat(); !ok || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(step string, _ float64) { fmt.Fprintln(w, step) }
	}
	bar := progressbar.NewOptions(100, progressbar.OptionSetWriter(w), progressbar.OptionClearOnFinish())
	return func(step string, fraction float64) {
		bar.Describe(step)
		_ = bar.Set(int(fraction * 100))
	}
}

func reportTable(report *scenario.Report) verb.TextTable {
	row := func(label string, format string, args ...any) []string {
		return []string{label, fmt.Sprintf(format, args...)}
	}
	table := verb.TextTable{Header: []string{"WHAT", "FOUND"}, Rows: [][]string{
		row("jobs accepted", "%d", report.Accepted),
		row("done, answers whole", "%d", report.Done),
		row("refused as not run", "%d", report.Refused),
		row("unknown (may not be repeated)", "%d", report.Unknown),
		row("ran twice or in two places", "%d", report.Duplicates),
		row("lost", "%d", report.Lost),
		row("leader killed, next acceptance after", "%d ms", report.Failover),
		row("withdrawn key refused everywhere after", "%d ms", report.Withdrawal),
		row("submission to whole answer p50 / p99 / max", "%.1f / %.1f / %.1f ms", report.Wait.P50, report.Wait.P99, report.Wait.Max),
		row("took", "%.1f s", report.Seconds),
	}}
	for _, promise := range report.Violations {
		table.Rows = append(table.Rows, row("broken promise", "%s", promise))
	}
	return table
}
