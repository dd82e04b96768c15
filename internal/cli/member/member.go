// Package member holds the verbs that list and change the control replicas.
package member

import (
	"context"
	"net/netip"
	"strconv"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "member", Short: "list, add and remove control replicas",
		Subverbs: []verb.Verb{
			{Name: "list", Short: "list the processes of the cell", Long: "Lists control replicas and entries with their state and the table's revision that they confirmed.", Runner: &list{}},
			{
				Name: "add", Short: "add a control replica",
				Long:   "Adds the replica NAME at ADDRESS (IP:port). It counts once it has caught up. A replaced replica needs a new name: a blank disk must never vote with an old one.",
				Runner: &add{},
			},
			{Name: "remove", Short: "remove a control replica", Long: "Removes the replica NAME; its name is never used again.", Runner: &remove{}},
		},
	}
}

type list struct {
	remote.Flags
	verb.OutputFlag
}

// line is one process with --json.
type line struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Leader   bool   `json:"leader"`
}

// Run lists.
func (c *list) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Show(ctx, v1.Part_PART_MEMBERS)
	if err != nil {
		return err
	}
	out, g := []line{}, verb.TextTable{Header: []string{"NAME", "ROLE", "ADDRESS", "STATE", "REVISION", "LEADER"}}
	for _, m := range r.GetMembers() {
		out = append(out, line{m.GetName(), m.GetRole(), m.GetAddress(), m.GetState(), m.GetRevision(), m.GetLeader()})
		leader := ""
		if m.GetLeader() {
			leader = "leader"
		}
		g.Rows = append(g.Rows, []string{m.GetName(), m.GetRole(), m.GetAddress(), m.GetState(), strconv.FormatUint(m.GetRevision(), 10), leader})
	}
	return c.Print(env.Out, out, g)
}

type change struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
}

func (c *change) send(ctx context.Context, env verb.Env, m *v1.MemberChange, what string) error {
	made, err := c.SendChange(ctx, c.ChangeID, &v1.ChangeRequest{Change: &v1.ChangeRequest_Member{Member: m}}, "")
	if err != nil {
		return err
	}
	return c.Print(env.Out, made, made.Describe("replica "+m.GetReplica()+" "+what))
}

type add struct{ change }

// Run adds a replica.
func (c *add) Run(ctx context.Context, env verb.Env, args []string) error {
	const next = "Run `gypsumreel member add NAME IP:PORT`."
	const both = 2
	if len(args) != both {
		return verb.UsageError(next, "add takes a name and an address, got %d", len(args))
	}
	if a, err := netip.ParseAddrPort(args[1]); err != nil || a.Port() == 0 {
		return verb.UsageError(next, "address %q is not allowed; allowed: IP:port", args[1])
	}
	return c.send(ctx, env, &v1.MemberChange{Replica: args[0], Address: args[1]}, "added")
}

type remove struct{ change }

// Run removes a replica.
func (c *remove) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel member remove NAME`.", "remove takes one name, got %d", len(args))
	}
	return c.send(ctx, env, &v1.MemberChange{Replica: args[0], Remove: true}, "removed")
}
