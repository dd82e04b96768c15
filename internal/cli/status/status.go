// Package status implements the verb that lists jobs.
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
		Name: "status", Short: "show the state of jobs",
		Long:   "Shows the jobs with the given IDs, or a page of all the team's jobs. With --all and an operator's key, the jobs of all teams.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	After string `long:"after" description:"list the jobs that follow this id"`
	All   bool   `long:"all" description:"the jobs of all teams, with an operator's key and the operators' address"`
	Limit uint32 `long:"limit" default:"100" description:"maximum number of jobs to show"`
}

// JobLine is one job as printed with --json.
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

// Run lists the team's jobs, or with --all the jobs of all teams.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if c.All {
		return c.listAllTeams(ctx, env, args)
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

// listAllTeams lists the jobs of all teams, which needs an operator's key.
func (c *command) listAllTeams(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 0 {
		return verb.UsageError("Leave the ids or --all out.", "job ids can't be combined with --all")
	}
	reply, err := c.Show(ctx, v1.Part_PART_JOBS)
	if err != nil {
		return err
	}
	jobs := reply.GetJobs()
	jobs = jobs[:min(len(jobs), int(c.Limit))]
	return c.Print(env.Out, JobLines(jobs), JobTable(jobs))
}

// JobLines converts jobs to the form printed with --json.
func JobLines(jobs []*v1.Summary) []JobLine {
	lines := make([]JobLine, len(jobs))
	for i, j := range jobs {
		lines[i] = JobLine{
			ID: j.GetId(), Team: j.GetTeam(), Kind: verb.KindName(j.GetKind()), Name: j.GetName(), Outcome: verb.OutcomeName(j.GetOutcome()),
			Code: j.GetStatus().GetCode(), Tasks: j.GetTasks(), Running: j.GetRunning(), Ended: j.GetEnded(),
		}
	}
	return lines
}

// JobTable returns the jobs as a text table.
func JobTable(jobs []*v1.Summary) verb.TextTable {
	table := verb.TextTable{Header: []string{"ID", "TEAM", "KIND", "NAME", "OUTCOME", "TASKS", "RUNNING", "ENDED", "TEXT"}}
	for _, l := range JobLines(jobs) {
		text := ""
		if l.Code != uint32(code.OK) {
			text = code.New(code.Code(l.Code), "").Error()
		}
		table.Rows = append(table.Rows, []string{l.ID, l.Team, l.Kind, l.Name, l.Outcome, formatCount(l.Tasks), formatCount(l.Running), formatCount(l.Ended), text})
	}
	return table
}

func formatCount(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
