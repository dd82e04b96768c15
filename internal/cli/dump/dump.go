// Package dump is the verb that prints the state of a process.
package dump

import (
	"context"
	"fmt"

	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "dump", Short: "print the state of a process",
		Long: "Prints the state of the process NAME as JSON, bounded in size and without secrets; " +
			"without a NAME that of the entry that answers. `gypsumreel member list` shows the names.",
		Runner: &command{},
	}
}

type command struct{ remote.Flags }

// Run prints a dump.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 1 {
		return verb.UsageError("Run `gypsumreel dump NAME` for each of them.", "dump takes one name, got %d", len(args))
	}
	name := ""
	if len(args) == 1 {
		name = args[0]
	}
	client, ctx, cancel, err := c.OperatorClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	text, err := client.Dump(ctx, name)
	if err != nil {
		return remote.UserError(err)
	}
	_, err = fmt.Fprintln(env.Out, text)
	return err
}
