// Package demo is the verb that shows a whole cell at work, without any set-up.
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
		Long:   "Runs three control replicas, three entries and twelve fake backend servers on loopback for about 15 seconds, kills the leader halfway, withdraws a key, and prints what came of it. Exit code 0 only if every promise held.",
		Runner: &command{},
	}
}

type command struct {
	verb.OutputFlag
}

// Run runs the demo in a temporary folder.
func (c *command) Run(ctx context.Context, env verb.Env, _ []string) error {
	dir, err := os.MkdirTemp("", "gypsumreel-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := &scenario.Scenario{Dir: dir, Log: logr.Discard(), OnStep: progress(env.Err)}
	report, err := t.Run(ctx)
	if err != nil {
		return err
	}
	if err := c.Print(env.Out, report, grid(report)); err != nil {
		return err
	}
	if !report.Passed() {
		return &verb.Error{ExitCode: verb.ExitFailed, Message: fmt.Sprintf("%d promises did not hold", len(report.Violations))}
	}
	return nil
}

// progress shows the steps: as a bar on a terminal, as lines elsewhere.
func progress(w io.Writer) func(string, float64) {
	f, ok := w.(*os.File)
	if info, err := f.Stat(); !ok || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(what string, _ float64) { fmt.Fprintln(w, what) }
	}
	bar := progressbar.NewOptions(100, progressbar.OptionSetWriter(w), progressbar.OptionClearOnFinish())
	return func(what string, part float64) {
		bar.Describe(what)
		_ = bar.Set(int(part * 100))
	}
}

func grid(r *scenario.Report) verb.TextTable {
	row := func(what string, format string, args ...any) []string {
		return []string{what, fmt.Sprintf(format, args...)}
	}
	g := verb.TextTable{Header: []string{"WHAT", "FOUND"}, Rows: [][]string{
		row("jobs accepted", "%d", r.Accepted),
		row("done, answers whole", "%d", r.Done),
		row("refused as not run", "%d", r.Refused),
		row("unknown (may not be repeated)", "%d", r.Unknown),
		row("ran twice or in two places", "%d", r.Duplicates),
		row("lost", "%d", r.Lost),
		row("leader killed, next acceptance after", "%d ms", r.Failover),
		row("withdrawn key refused everywhere after", "%d ms", r.Withdrawal),
		row("submission to whole answer p50 / p99 / max", "%.1f / %.1f / %.1f ms", r.Wait.P50, r.Wait.P99, r.Wait.Max),
		row("took", "%.1f s", r.Seconds),
	}}
	for _, b := range r.Violations {
		g.Rows = append(g.Rows, row("broken promise", "%s", b))
	}
	return g
}
