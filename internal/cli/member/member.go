// Package member implements the verbs that list the processes of the cell and that add
// and remove control replicas.
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
			{Name: "list", Short: "list the processes of the cell", Long: "Lists control replicas and entries with their state and the table revision that they have confirmed.", Runner: &listCommand{}},
			{
				Name: "add", Short: "add a control replica",
				Long:   "Adds the replica NAME at ADDRESS (IP:port). It gets a vote once it has caught up with the log. A replaced replica needs a new name, because a replica that lost its disk must not vote under its old name.",
				Runner: &addCommand{},
			},
			{Name: "remove", Short: "remove a control replica", Long: "Removes the replica NAME. The name can't be used again.", Runner: &removeCommand{}},
		},
	}
}

type listCommand struct {
	remote.Flags
	verb.OutputFlag
}

// processLine is one process as printed with --json.
type processLine struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Leader   bool   `json:"leader"`
}

// Run lists the control replicas and entries of the cell.
func (c *listCommand) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Show(ctx, v1.Part_PART_MEMBERS)
	if err != nil {
		return err
	}
	lines, table := []processLine{}, verb.TextTable{Header: []string{"NAME", "ROLE", "ADDRESS", "STATE", "REVISION", "LEADER"}}
	for _, m := range r.GetMembers() {
		lines = append(lines, processLine{m.GetName(), m.GetRole(), m.GetAddress(), m.GetState(), m.GetRevision(), m.GetLeader()})
		leader := ""
		if m.GetLeader() {
			leader = "leader"
		}
		table.Rows = append(table.Rows, []string{m.GetName(), m.GetRole(), m.GetAddress(), m.GetState(), strconv.FormatUint(m.GetRevision(), 10), leader})
	}
	return c.Print(env.Out, lines, table)
}

// changeFlags are the flags of the verbs that change the membership.
type changeFlags struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
}

func (c *changeFlags) sendMemberChange(ctx context.Context, env verb.Env, change *v1.MemberChange, effect string) error {
	result, err := c.SendChange(ctx, c.ChangeID, &v1.ChangeRequest{Change: &v1.ChangeRequest_Member{Member: change}}, "")
	if err != nil {
		return err
	}
	return c.Print(env.Out, result, result.Describe("replica "+change.GetReplica()+" "+effect))
}

type addCommand struct{ changeFlags }

// Run adds the replica whose name and address are given by args.
func (c *addCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	const usage = "Run `gypsumreel member add NAME IP:PORT`."
	const argCount = 2
	if len(args) != argCount {
		return verb.UsageError(usage, "add takes a name and an address, got %d", len(args))
	}
	if a, err := netip.ParseAddrPort(args[1]); err != nil || a.Port() == 0 {
		return verb.UsageError(usage, "address %q is not allowed; allowed: IP:port", args[1])
	}
	return c.sendMemberChange(ctx, env, &v1.MemberChange{Replica: args[0], Address: args[1]}, "added")
}

type removeCommand struct{ changeFlags }

// Run removes the replica named by args.
func (c *removeCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel member remove NAME`.", "remove takes one name, got %d", len(args))
	}
	return c.sendMemberChange(ctx, env, &v1.MemberChange{Replica: args[0], Remove: true}, "removed")
}
