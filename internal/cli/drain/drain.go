// Package drain implements the verb that drains a backend server.
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
		Long: "Gives the backend SERVER no new work; running tasks finish or are checkpointed. " +
			"With --undo the server takes work again. Without a SERVER it lists all backend servers. A draining server with 0 tasks may be stopped.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	Undo bool `long:"undo" description:"let the server take work again"`
}

// Run starts or ends the drain of the server named by args, or lists all servers when
// args are empty.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	switch {
	case len(args) > 1:
		return verb.UsageError("Run `gypsumreel drain SERVER` for each of them.", "drain takes one server, got %d", len(args))
	case len(args) == 0 && (c.Undo || c.Change != ""):
		return verb.UsageError("Run `gypsumreel drain SERVER`.", "--undo and --change need a server")
	case len(args) == 0:
		return c.list(ctx, env)
	}
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: args[0], Drain: !c.Undo}}}
	result, err := c.SendChange(ctx, c.ChangeID, req, "")
	if err != nil {
		return err
	}
	effect := " drains"
	if c.Undo {
		effect = " takes work again"
	}
	return c.Print(env.Out, result, result.Describe("server "+args[0]+effect))
}

// serverLine is one server as printed with --json. CPU amounts are in thousandths of a
// core, memory amounts in MiB.
type serverLine struct {
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
	lines, table := []serverLine{}, verb.TextTable{Header: []string{"SERVER", "STATE", "ZONE", "RACK", "TASKS", "CPU", "MEMORY", "SLOTS"}}
	for _, s := range r.GetServers() {
		held, capacity := s.GetHeld(), s.GetCapacity()
		lines = append(lines, serverLine{
			s.GetServer(), s.GetState(), s.GetZone(), s.GetRack(), s.GetTasks(),
			held.GetCpu(), capacity.GetCpu(), held.GetMemory(), capacity.GetMemory(), held.GetSlots(), capacity.GetSlots(),
		})
		table.Rows = append(table.Rows, []string{
			s.GetServer(), s.GetState(), s.GetZone(), s.GetRack(), strconv.FormatUint(uint64(s.GetTasks()), 10),
			heldOfTotal(held.GetCpu(), capacity.GetCpu()), heldOfTotal(held.GetMemory(), capacity.GetMemory()), heldOfTotal(held.GetSlots(), capacity.GetSlots()),
		})
	}
	return c.Print(env.Out, lines, table)
}

func heldOfTotal(held, total int64) string {
	return strconv.FormatInt(held, 10) + "/" + strconv.FormatInt(total, 10)
}
