// Package check implements the verb that validates a settings file.
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
		Long:   "Validates FILE as the daemons do at their start and prints every fault as FILE:LINE:COLUMN. Exit code 0 for a valid file, 2 otherwise.",
		Runner: &command{},
	}
}

type command struct {
	verb.OutputFlag
}

// checkResult is the result printed with --json.
type checkResult struct {
	Valid  bool             `json:"good"`
	Role   settings.Role    `json:"role,omitempty"`
	Faults []settings.Fault `json:"faults,omitempty"`
}

// Run validates the settings file named by args and prints its faults.
func (c *command) Run(_ context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel check FILE`.", "check takes one file, got %d", len(args))
	}
	s, err := settings.Load(args[0])
	if err == nil {
		table := verb.TextTable{Rows: [][]string{{fmt.Sprintf("%s: good settings for role %s", args[0], s.Role)}}}
		return c.Print(env.Out, checkResult{Valid: true, Role: s.Role}, table)
	}
	var faults settings.Faults
	if c.JSON && errors.As(err, &faults) {
		if err := c.Print(env.Out, checkResult{Faults: faults}, verb.TextTable{}); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(env.Err, err)
	}
	return &verb.Error{ExitCode: verb.ExitUsage}
}
