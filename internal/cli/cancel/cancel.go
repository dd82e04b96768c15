// Package cancel implements the verb that cancels jobs.
package cancel

import (
	"context"
	"fmt"

	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "cancel", Short: "cancel jobs by id or by label",
		Long:   "Cancels the jobs with the given IDs, or all jobs of the team that carry every --label. Jobs that have not started end as not run.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	Label map[string]string `long:"label" description:"label as NAME:VALUE; may be repeated"`
}

// cancelResult is the result printed with --json.
type cancelResult struct {
	// Reached is the number of jobs that the request matched.
	Reached uint32 `json:"reached"`
}

// Run cancels the jobs named by args or selected by --label.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) == 0 && len(c.Label) == 0 {
		return verb.UsageError("Run `gypsumreel cancel ID...` or `gypsumreel cancel --label NAME:VALUE`.", "no job id and no label given")
	}
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	matchedCount, err := client.Cancel(ctx, args, c.Label)
	if err != nil {
		return remote.UserError(err)
	}
	return c.Print(env.Out, cancelResult{matchedCount}, verb.TextTable{Rows: [][]string{{fmt.Sprintf("%d jobs reached", matchedCount)}}})
}
