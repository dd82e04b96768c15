// Package ack implements the verb that acknowledges job outcomes.
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
		Name: "ack", Short: "acknowledge outcomes",
		Long:   "Acknowledges the outcomes of the jobs with the given IDs. The cell may then discard them and their answers.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
}

// ackResult is the result printed with --json.
type ackResult struct {
	Acknowledged []string `json:"acknowledged"`
}

// Run acknowledges the outcomes of the jobs named by args.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) == 0 {
		return verb.UsageError("Run `gypsumreel ack ID...`.", "no job id given")
	}
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.Acknowledge(ctx, args); err != nil {
		return remote.UserError(err)
	}
	return c.Print(env.Out, ackResult{args}, verb.TextTable{Rows: [][]string{{fmt.Sprintf("%d acknowledged", len(args))}}})
}
