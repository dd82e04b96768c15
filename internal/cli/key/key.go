// Package key holds the verbs that grant, withdraw and list keys.
package key

import (
	"context"
	"encoding/hex"
	"fmt"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/domain/key"
)

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "key", Short: "grant, withdraw and list keys",
		Subverbs: []verb.Verb{
			{
				Name: "grant", Short: "grant a key to a team or an operator",
				Long:   "Makes a secret here, sends only its digest, and prints the key ID.SECRET this one time.",
				Runner: &grant{},
			},
			{Name: "withdraw", Short: "withdraw a key", Long: "Withdraws the key with the given ID. It stops working everywhere within seconds.", Runner: &withdraw{}},
			{Name: "list", Short: "list keys", Long: "Lists all keys. Secrets are not kept and can't be shown.", Runner: &list{}},
			{
				Name: "secret", Short: "make an enrolment secret",
				Long:   "Makes a secret for backend servers and its digest for the setting enrolment. Needs no cell.",
				Runner: &secret{},
			},
		},
	}
}

type grant struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	Team     string `long:"team" description:"team that the key is for"`
	Operator bool   `long:"operator" description:"an operator's key, which belongs to no team"`
	ID       string `long:"id" description:"id of the key; made when left out"`
	Secret   string `long:"secret" env:"GYPSUMREEL_SECRET" description:"secret to use instead of a new one, to run a lost grant again"`
}

// granted is the result with --json.
type granted struct {
	remote.ChangeResult
	ID   string `json:"id"`
	Key  string `json:"key"`
	Team string `json:"team,omitempty"`
}

// Run grants a key. A grant without an answer may have been made, and its secret
// exists only here, so that the error then carries what is needed to ask again.
func (c *grant) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 0 || (c.Team == "") != c.Operator {
		return verb.UsageError("Run `gypsumreel key grant --team TEAM` or `gypsumreel key grant --operator`.", "a key is either for one team or for an operator")
	}
	if c.ID == "" {
		c.ID = remote.NewID()
	}
	if c.Secret == "" {
		c.Secret = key.NewSecret()
	}
	digest := key.Digest(c.Secret)
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: c.ID, Team: c.Team, Digest: digest[:], Operator: c.Operator}}}
	made, err := c.SendChange(ctx, c.ChangeID, req, fmt.Sprintf(" --id %s and GYPSUMREEL_SECRET=%s", c.ID, c.Secret))
	if err != nil {
		return err
	}
	text := c.ID + "." + c.Secret
	return c.Print(env.Out, granted{ChangeResult: made, ID: c.ID, Key: text, Team: c.Team}, verb.TextTable{Rows: [][]string{{text}}})
}

type withdraw struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
}

// Run withdraws the one key named.
func (c *withdraw) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel key withdraw ID`; `gypsumreel key list` shows the ids.", "withdraw takes one id, got %d", len(args))
	}
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: args[0]}}}
	made, err := c.SendChange(ctx, c.ChangeID, req, "")
	if err != nil {
		return err
	}
	return c.Print(env.Out, made, made.Describe("key "+args[0]+" withdrawn"))
}

type list struct {
	remote.Flags
	verb.OutputFlag
	Team string `long:"team" description:"only the keys of this team"`
}

// line is one key with --json.
type line struct {
	ID       string `json:"id"`
	Team     string `json:"team,omitempty"`
	Operator bool   `json:"operator"`
	State    string `json:"state"`
}

// Run lists keys.
func (c *list) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Flags.Show(ctx, v1.Part_PART_KEYS)
	if err != nil {
		return err
	}
	out, g := []line{}, verb.TextTable{Header: []string{"ID", "TEAM", "STATE"}}
	for _, k := range r.GetKeys() {
		if c.Team != "" && k.GetTeam() != c.Team {
			continue
		}
		l := line{ID: k.GetId(), Team: k.GetTeam(), Operator: k.GetOperator(), State: state(k)}
		out = append(out, l)
		g.Rows = append(g.Rows, []string{l.ID, owner(k), l.State})
	}
	return c.Print(env.Out, out, g)
}

func state(k *v1.KeyLine) string {
	if k.GetWithdrawn() {
		return "withdrawn"
	}
	return "valid"
}

func owner(k *v1.KeyLine) string {
	if k.GetOperator() {
		return "(operator)"
	}
	return k.GetTeam()
}

type secret struct{ verb.OutputFlag }

// made is the result with --json.
type made struct {
	Secret string `json:"secret"`
	Digest string `json:"digest"`
}

// Run makes a secret.
func (c *secret) Run(_ context.Context, env verb.Env, _ []string) error {
	text := key.NewSecret()
	digest := key.Digest(text)
	m := made{Secret: text, Digest: hex.EncodeToString(digest[:])}
	return c.Print(env.Out, m, verb.TextTable{Rows: [][]string{{"secret, for backend servers:", m.Secret}, {"digest, for the setting enrolment:", m.Digest}}})
}
