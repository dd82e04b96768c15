// Package team holds the verbs that add, remove and list teams.
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
			{Name: "add", Short: "add a team", Long: "Adds a row for TEAM with weight 1, no share and no limit; change it with `gypsumreel table set`.", Runner: &add{}},
			{Name: "remove", Short: "remove a team", Long: "Removes the row of TEAM. Refused while it has work or valid keys.", Runner: &remove{}},
			{Name: "list", Short: "list teams", Long: "Lists the names of all teams.", Runner: &list{}},
		},
	}
}

type edit struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	table.BaseFlag
}

func (c *edit) apply(ctx context.Context, env verb.Env, args []string, e *v1.Edit, what string) error {
	if len(args) != 1 || args[0] == "" {
		return verb.UsageError("Give the name of one team.", "one team is expected, got %d", len(args))
	}
	e.Row.Team = args[0]
	made, err := table.SendTableChange(ctx, c.Flags, c.ChangeID, c.BaseFlag, &v1.TableChange{Edits: []*v1.Edit{e}})
	if err != nil {
		return err
	}
	return c.Print(env.Out, made, made.Describe("team "+args[0]+" "+what))
}

type add struct{ edit }

// Run adds a team.
func (c *add) Run(ctx context.Context, env verb.Env, args []string) error {
	const u = capacity.Unlimited
	row := &v1.Row{Weight: team.DefaultWeight, Queue: team.DefaultMaxWaitingJobs, Limit: &v1.Size{Cpu: u, Memory: u, Accel: u, Slots: u}}
	return c.apply(ctx, env, args, &v1.Edit{Row: row}, "added")
}

type remove struct{ edit }

// Run removes a team.
func (c *remove) Run(ctx context.Context, env verb.Env, args []string) error {
	return c.apply(ctx, env, args, &v1.Edit{Row: &v1.Row{}, Remove: true}, "removed")
}

type list struct {
	remote.Flags
	verb.OutputFlag
}

// Run lists teams.
func (c *list) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return err
	}
	names, g := []string{}, verb.TextTable{}
	for _, row := range r.GetRows() {
		names = append(names, row.GetTeam())
		g.Rows = append(g.Rows, []string{row.GetTeam()})
	}
	return c.Print(env.Out, names, g)
}
