// Package zone holds the verbs that drain availability zones.
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
		Name: "zone", Short: "list, drain and take back availability zones",
		Subverbs: []verb.Verb{
			{Name: "list", Short: "list the availability zones", Long: "Lists the availability zones with their backend servers and what these still run.", Runner: &list{}},
			{
				Name: "drain", Short: "give the servers of a zone no new work",
				Long:   "Gives the backend servers in ZONE no new work, also those that come there later; what runs there finishes, and services are moved. It holds until `zone undrain ZONE`.",
				Runner: &mark{drain: true},
			},
			{Name: "undrain", Short: "let the servers of a zone take work again", Long: "Lets the backend servers in ZONE take work again.", Runner: &mark{}},
		},
	}
}

type list struct {
	remote.Flags
	verb.OutputFlag
}

// line is one zone with --json; since is in seconds, 0 for a zone that is not drained.
type line struct {
	Zone    string  `json:"zone"`
	Drained bool    `json:"drained"`
	Since   float64 `json:"since"`
	Servers uint32  `json:"servers"`
	Tasks   uint32  `json:"tasks"`
}

// Run lists.
func (c *list) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Show(ctx, v1.Part_PART_ZONES)
	if err != nil {
		return err
	}
	out, g := []line{}, verb.TextTable{Header: []string{"ZONE", "STATE", "SINCE", "SERVERS", "TASKS"}}
	for _, z := range r.GetZones() {
		since := time.Duration(z.GetSince()) * time.Millisecond
		out = append(out, line{z.GetZone(), z.GetDrained(), since.Seconds(), z.GetServers(), z.GetTasks()})
		state, ago := "open", ""
		if z.GetDrained() {
			state, ago = "drained", since.Round(time.Second).String()
		}
		g.Rows = append(g.Rows, []string{z.GetZone(), state, ago, strconv.FormatUint(uint64(z.GetServers()), 10), strconv.FormatUint(uint64(z.GetTasks()), 10)})
	}
	return c.Print(env.Out, out, g)
}

type mark struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	drain bool
}

// Run drains a zone or takes it back.
func (c *mark) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel zone list` for their names.", "one zone is needed, got %d", len(args))
	}
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Zone{Zone: &v1.ZoneMark{Zone: args[0], Drain: c.drain}}}
	made, err := c.SendChange(ctx, c.ChangeID, req, "")
	if err != nil {
		return err
	}
	what := " takes work again"
	if c.drain {
		what = " is drained"
	}
	return c.Print(env.Out, made, made.Describe("zone "+args[0]+what))
}
