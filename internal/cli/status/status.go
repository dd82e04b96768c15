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
	verb.OutputFlag
	After string `long:"after" description:"start after this id"`
	All   bool   `long:"all" description:"the jobs of all teams, with an operator's key and the operators' address"`
	Limit uint32 `long:"limit" default:"100" description:"most jobs to show"`
}

// JobLine is one job with --json.
type JobLine struct {
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
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	jobs, err := client.List(ctx, &v1.ListRequest{Ids: args, After: c.After, Limit: c.Limit})
	if err != nil {
		return remote.UserError(err)
	}
	return c.Print(env.Out, JobLines(jobs), JobTable(jobs))
}

// everyone lists the jobs of all teams.
func (c *command) everyone(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 0 {
		return verb.UsageError("Leave the ids or --all out.", "ids belong to one team, --all to none")
	}
	r, err := c.Show(ctx, v1.Part_PART_JOBS)
	if err != nil {
		return err
	}
	jobs := r.GetJobs()
	jobs = jobs[:min(len(jobs), int(c.Limit))]
	return c.Print(env.Out, JobLines(jobs), JobTable(jobs))
}

// JobLines returns jobs as they are printed in JSON.
func JobLines(jobs []*v1.Summary) []JobLine {
	out := make([]JobLine, len(jobs))
	for i, j := range jobs {
		out[i] = JobLine{
			ID: j.GetId(), Team: j.GetTeam(), Kind: verb.KindName(j.GetKind()), Name: j.GetName(), Outcome: verb.OutcomeName(j.GetOutcome()),
			Code: j.GetStatus().GetCode(), Tasks: j.GetTasks(), Running: j.GetRunning(), Ended: j.GetEnded(),
		}
	}
	return out
}

// JobTable returns jobs as a person reads them.
func JobTable(jobs []*v1.Summary) verb.TextTable {
	g := verb.TextTable{Header: []string{"ID", "TEAM", "KIND", "NAME", "OUTCOME", "TASKS", "RUNNING", "ENDED", "TEXT"}}
	for _, l := range JobLines(jobs) {
		text := ""
		if l.Code != uint32(code.OK) {
			text = code.New(code.Code(l.Code), "").Error()
		}
		g.Rows = append(g.Rows, []string{l.ID, l.Team, l.Kind, l.Name, l.Outcome, number(l.Tasks), number(l.Running), number(l.Ended), text})
	}
	return g
}

func number(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
