// Package zone implements the verbs that list and drain availability zones.
package zone

import (
	"context"
	"strconv"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "zone", Short: "list, drain and undrain availability zones",
		Subverbs: []verb.Verb{
			{Name: "list", Short: "list the availability zones", Long: "Lists the availability zones with the number of their backend servers and running tasks.", Runner: &listCommand{}},
			{
				Name: "drain", Short: "give the servers of a zone no new work",
				Long:   "Gives the backend servers in ZONE no new work, including servers that join the zone later. Running tasks finish, and services are moved. The drain lasts until `zone undrain ZONE`.",
				Runner: &markCommand{drain: true},
			},
			{Name: "undrain", Short: "let the servers of a zone take work again", Long: "Lets the backend servers in ZONE take work again.", Runner: &markCommand{}},
		},
	}
}

type listCommand struct {
	remote.Flags
	verb.OutputFlag
}

// zoneLine is one zone as printed with --json. Since is the time in seconds since the
// drain began, 0 for a zone that is not drained.
type zoneLine struct {
	Zone    string  `json:"zone"`
	Drained bool    `json:"drained"`
	Since   float64 `json:"since"`
	Servers uint32  `json:"servers"`
	Tasks   uint32  `json:"tasks"`
}

// Run lists the availability zones.
func (c *listCommand) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Show(ctx, v1.Part_PART_ZONES)
	if err != nil {
		return err
	}
	lines, table := []zoneLine{}, verb.TextTable{Header: []string{"ZONE", "STATE", "SINCE", "SERVERS", "TASKS"}}
	for _, z := range r.GetZones() {
		since := time.Duration(z.GetSince()) * time.Millisecond
		lines = append(lines, zoneLine{z.GetZone(), z.GetDrained(), since.Seconds(), z.GetServers(), z.GetTasks()})
		state, drainedFor := "open", ""
		if z.GetDrained() {
			state, drainedFor = "drained", since.Round(time.Second).String()
		}
		table.Rows = append(table.Rows, []string{z.GetZone(), state, drainedFor, strconv.FormatUint(uint64(z.GetServers()), 10), strconv.FormatUint(uint64(z.GetTasks()), 10)})
	}
	return c.Print(env.Out, lines, table)
}

// markCommand starts the drain of a zone when drain is set, and ends it otherwise.
type markCommand struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	drain bool
}

// Run starts or ends the drain of the zone named by args.
func (c *markCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel zone list` for their names.", "the verb takes one zone, got %d", len(args))
	}
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: args[0], Drain: c.drain}}}
	result, err := c.SendChange(ctx, c.ChangeID, req, "")
	if err != nil {
		return err
	}
	effect := " takes work again"
	if c.drain {
		effect = " is drained"
	}
	return c.Print(env.Out, result, result.Describe("zone "+args[0]+effect))
}
