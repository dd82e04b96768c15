// Package check is the verb that validates a settings file.
package check

import (
	"context"
	"errors"
	"fmt"

	"gypsumreel/internal/base/settings"
	"gypsumreel/internal/cli/verb"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "check", Short: "check a settings file",
		Long:   "Reads FILE as the daemons do and prints every fault as FILE:LINE:COLUMN. Exit code 0 for a good file, 2 otherwise.",
		Runner: &command{},
	}
}

type command struct {
	verb.OutputFlag
}

// verdict is the result with --json.
type verdict struct {
	Valid  bool             `json:"good"`
	Role   settings.Role    `json:"role,omitempty"`
	Faults []settings.Fault `json:"faults,omitempty"`
}

// Run checks the one file named.
func (c *command) Run(_ context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel check FILE`.", "check takes one file, got %d", len(args))
	}
	s, err := settings.Load(args[0])
	if err == nil {
		g := verb.TextTable{Rows: [][]string{{fmt.Sprintf("%s: good settings for role %s", args[0], s.Role)}}}
		return c.Print(env.Out, verdict{Valid: true, Role: s.Role}, g)
	}
	var faults settings.Faults
	if c.JSON && errors.As(err, &faults) {
		if err := c.Print(env.Out, verdict{Faults: faults}, verb.TextTable{}); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(env.Err, err)
	}
	return &verb.Error{ExitCode: verb.ExitUsage}
}
