// Package drain is the verb that empties a backend server.
package drain

import (
	"context"
	"strconv"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "drain", Short: "drain a backend server, or list servers",
		Long: "Gives the backend SERVER no new work; what runs there finishes or is checkpointed. " +
			"With --undo it takes work again. Without a SERVER it lists all of them; one that drains and has 0 tasks may be stopped.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	Undo bool `long:"undo" description:"let the server take work again"`
}

// Run marks a server, or lists them.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	switch {
	case len(args) > 1:
		return verb.UsageError("Run `gypsumreel drain SERVER` for each of them.", "drain takes one server, got %d", len(args))
	case len(args) == 0 && (c.Undo || c.Change != ""):
		return verb.UsageError("Run `gypsumreel drain SERVER`.", "no server")
	case len(args) == 0:
		return c.list(ctx, env)
	}
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: args[0], Drain: !c.Undo}}}
	made, err := c.SendChange(ctx, c.ChangeID, req, "")
	if err != nil {
		return err
	}
	what := " drains"
	if c.Undo {
		what = " takes work again"
	}
	return c.Print(env.Out, made, made.Describe("server "+args[0]+what))
}

// line is one server with --json: cpu in thousandths of a core, memory in MiB.
type line struct {
	Server     string `json:"server"`
	State      string `json:"state"`
	Zone       string `json:"zone"`
	Rack       string `json:"rack"`
	Tasks      uint32 `json:"tasks"`
	HeldCPU    int64  `json:"heldcpu"`
	CPU        int64  `json:"cpu"`
	HeldMemory int64  `json:"heldmemory"`
	Memory     int64  `json:"memory"`
	HeldSlots  int64  `json:"heldslots"`
	Slots      int64  `json:"slots"`
}

func (c *command) list(ctx context.Context, env verb.Env) error {
	r, err := c.Show(ctx, v1.Part_PART_SERVERS)
	if err != nil {
		return err
	}
	out, g := []line{}, verb.TextTable{Header: []string{"SERVER", "STATE", "ZONE", "RACK", "TASKS", "CPU", "MEMORY", "SLOTS"}}
	for _, s := range r.GetServers() {
		h, all := s.GetHeld(), s.GetCapacity()
		out = append(out, line{
			s.GetServer(), s.GetState(), s.GetZone(), s.GetRack(), s.GetTasks(),
			h.GetCpu(), all.GetCpu(), h.GetMemory(), all.GetMemory(), h.GetSlots(), all.GetSlots(),
		})
		g.Rows = append(g.Rows, []string{
			s.GetServer(), s.GetState(), s.GetZone(), s.GetRack(), strconv.FormatUint(uint64(s.GetTasks()), 10),
			part(h.GetCpu(), all.GetCpu()), part(h.GetMemory(), all.GetMemory()), part(h.GetSlots(), all.GetSlots()),
		})
	}
	return c.Print(env.Out, out, g)
}

func part(held, all int64) string {
	return strconv.FormatInt(held, 10) + "/" + strconv.FormatInt(all, 10)
}
