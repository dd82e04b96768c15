// Package ack is the verb that lets the cell forget outcomes.
package ack

import (
	"context"
	"fmt"

	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "ack", Short: "let the cell forget outcomes",
		Long:   "Acknowledges the outcomes of the jobs with the given IDs. The cell may forget them and their answers.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
}

// forgotten is the result with --json.
type forgotten struct {
	Acknowledged []string `json:"acknowledged"`
}

// Run acknowledges.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) == 0 {
		return verb.UsageError("Run `gypsumreel ack ID...`.", "no id")
	}
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.Acknowledge(ctx, args); err != nil {
		return remote.UserError(err)
	}
	return c.Print(env.Out, forgotten{args}, verb.TextTable{Rows: [][]string{{fmt.Sprintf("%d acknowledged", len(args))}}})
}
