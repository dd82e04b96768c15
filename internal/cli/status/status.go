// Package status is the verb that lists a team's jobs.
package status

import (
	"context"
	"strconv"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "status", Short: "show where jobs stand",
		Long:   "Shows the jobs with the given IDs, or a page of all the team's jobs. With --all and an operator's key, the jobs of all teams.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.Output
	After string `long:"after" description:"start after this id"`
	All   bool   `long:"all" description:"the jobs of all teams, with an operator's key and the operators' address"`
	Limit uint32 `long:"limit" default:"100" description:"most jobs to show"`
}

// Line is one job with --json.
type Line struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Code    uint32 `json:"code"`
	Tasks   uint32 `json:"tasks"`
	Running uint32 `json:"running"`
	Ended   uint32 `json:"ended"`
}

// Run lists.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if c.All {
		return c.everyone(ctx, env, args)
	}
	client, ctx, cancel, err := c.Caller(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	jobs, err := client.List(ctx, &v1.ListRequest{Ids: args, After: c.After, Limit: c.Limit})
	if err != nil {
		return remote.Explain(err)
	}
	return c.Print(env.Out, Lines(jobs), Grid(jobs))
}

// everyone lists the jobs of all teams.
func (c *command) everyone(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 0 {
		return verb.Misuse("Leave the ids or --all out.", "ids belong to one team, --all to none")
	}
	r, err := c.Show(ctx, v1.Part_PART_JOBS)
	if err != nil {
		return err
	}
	jobs := r.GetJobs()
	jobs = jobs[:min(len(jobs), int(c.Limit))]
	return c.Print(env.Out, Lines(jobs), Grid(jobs))
}

// Lines returns jobs as they are printed in JSON.
func Lines(jobs []*v1.Summary) []Line {
	out := make([]Line, len(jobs))
	for i, j := range jobs {
		out[i] = Line{
			ID: j.GetId(), Team: j.GetTeam(), Kind: verb.Kind(j.GetKind()), Name: j.GetName(), Outcome: verb.Outcome(j.GetOutcome()),
			Code: j.GetStatus().GetCode(), Tasks: j.GetTasks(), Running: j.GetRunning(), Ended: j.GetEnded(),
		}
	}
	return out
}

// Grid returns jobs as a person reads them.
func Grid(jobs []*v1.Summary) verb.Grid {
	g := verb.Grid{Head: []string{"ID", "TEAM", "KIND", "NAME", "OUTCOME", "TASKS", "RUNNING", "ENDED", "TEXT"}}
	for _, l := range Lines(jobs) {
		text := ""
		if l.Code != uint32(code.OK) {
			text = code.New(code.Code(l.Code), "").Error()
		}
		g.Rows = append(g.Rows, []string{l.ID, l.Team, l.Kind, l.Name, l.Outcome, number(l.Tasks), number(l.Running), number(l.Ended), text})
	}
	return g
}

func number(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
