// Package cancel is the verb that cancels jobs.
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
		Long:   "Cancels the jobs with the given IDs, or all jobs of the team that carry every --label. What has not begun ends as not run.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	Label map[string]string `long:"label" description:"label as NAME:VALUE; may be repeated"`
}

// reached is the result with --json.
type reached struct {
	Reached uint32 `json:"reached"`
}

// Run cancels.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) == 0 && len(c.Label) == 0 {
		return verb.UsageError("Run `gypsumreel cancel ID...` or `gypsumreel cancel --label NAME:VALUE`.", "nothing to cancel")
	}
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	n, err := client.Cancel(ctx, args, c.Label)
	if err != nil {
		return remote.UserError(err)
	}
	return c.Print(env.Out, reached{n}, verb.TextTable{Rows: [][]string{{fmt.Sprintf("%d jobs reached", n)}}})
}
