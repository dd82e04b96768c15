// Package team implements the verbs that add, remove and list teams.
package team

import (
	"context"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/table"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/team"
)

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "team", Short: "add, remove and list teams",
		Subverbs: []verb.Verb{
			{Name: "add", Short: "add a team", Long: "Adds a row for TEAM with weight 1, no share and no limit. Change the row with `gypsumreel table set`.", Runner: &addCommand{}},
			{Name: "remove", Short: "remove a team", Long: "Removes the row of TEAM. Refused while the team has work or valid keys.", Runner: &removeCommand{}},
			{Name: "list", Short: "list teams", Long: "Lists the names of all teams.", Runner: &listCommand{}},
		},
	}
}

// editCommand holds the flags of the verbs that add and remove a team's row.
type editCommand struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	table.BaseFlag
}

func (c *editCommand) apply(ctx context.Context, env verb.Env, args []string, edit *v1.Edit, effect string) error {
	if len(args) != 1 || args[0] == "" {
		return verb.UsageError("Give the name of one team.", "one team is expected, got %d", len(args))
	}
	edit.Row.Team = args[0]
	result, err := table.SendTableChange(ctx, c.Flags, c.ChangeID, c.BaseFlag, &v1.TableChange{Edits: []*v1.Edit{edit}})
	if err != nil {
		return err
	}
	return c.Print(env.Out, result, result.Describe("team "+args[0]+" "+effect))
}

type addCommand struct{ editCommand }

// Run adds the team named by args.
func (c *addCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	const unlimited = capacity.Unlimited
	row := &v1.Row{Weight: team.DefaultWeight, Queue: team.DefaultMaxWaitingJobs, Limit: &v1.Size{Cpu: unlimited, Memory: unlimited, Accel: unlimited, Slots: unlimited}}
	return c.apply(ctx, env, args, &v1.Edit{Row: row}, "added")
}

type removeCommand struct{ editCommand }

// Run removes the team named by args.
func (c *removeCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	return c.apply(ctx, env, args, &v1.Edit{Row: &v1.Row{}, Remove: true}, "removed")
}

type listCommand struct {
	remote.Flags
	verb.OutputFlag
}

// Run lists the names of all teams.
func (c *listCommand) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return err
	}
	names, rows := []string{}, verb.TextTable{}
	for _, row := range r.GetRows() {
		names = append(names, row.GetTeam())
		rows.Rows = append(rows.Rows, []string{row.GetTeam()})
	}
	return c.Print(env.Out, names, rows)
}
