package main

import (
	"gypsumreel/internal/cli/ack"
	"gypsumreel/internal/cli/cancel"
	"gypsumreel/internal/cli/check"
	"gypsumreel/internal/cli/control"
	"gypsumreel/internal/cli/demo"
	"gypsumreel/internal/cli/drain"
	"gypsumreel/internal/cli/dump"
	"gypsumreel/internal/cli/entry"
	"gypsumreel/internal/cli/explain"
	"gypsumreel/internal/cli/flow"
	"gypsumreel/internal/cli/key"
	"gypsumreel/internal/cli/load"
	"gypsumreel/internal/cli/member"
	"gypsumreel/internal/cli/status"
	"gypsumreel/internal/cli/submit"
	"gypsumreel/internal/cli/table"
	"gypsumreel/internal/cli/team"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/cli/wait"
	"gypsumreel/internal/cli/zone"
)

// commands returns the subcommands in the order of the help text.
func commands() []verb.Verb {
	return []verb.Verb{
		check.New(),
		control.New(),
		entry.New(),
		demo.New(),

		submit.New(),
		wait.New(),
		status.New(),
		cancel.New(),
		ack.New(),
		flow.New(),

		team.New(),
		key.New(),
		table.New(),
		drain.New(),
		zone.New(),
		member.New(),
		dump.New(),
		explain.New(),

		load.New(),
	}
}
