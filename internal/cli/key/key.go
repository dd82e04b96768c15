// Package key implements the verbs that grant, withdraw and list keys.
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
				Long:   "Generates a secret locally, sends only its digest, and prints the key ID.SECRET once.",
				Runner: &grantCommand{},
			},
			{Name: "withdraw", Short: "withdraw a key", Long: "Withdraws the key with the given ID. It stops working everywhere within seconds.", Runner: &withdrawCommand{}},
			{Name: "list", Short: "list keys", Long: "Lists all keys. The cell doesn't store secrets, so they can't be shown.", Runner: &listCommand{}},
			{
				Name: "secret", Short: "generate an enrolment secret",
				Long:   "Generates a secret for backend servers and its digest for the setting enrolment. Needs no cell.",
				Runner: &secretCommand{},
			},
		},
	}
}

type grantCommand struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	Team     string `long:"team" description:"team that the key is for"`
	Operator bool   `long:"operator" description:"an operator's key, which belongs to no team"`
	ID       string `long:"id" description:"id of the key; generated when left out"`
	Secret   string `long:"secret" env:"GYPSUMREEL_SECRET" description:"secret to use instead of a new one, to repeat a grant whose answer was lost"`
}

// grantResult is the result of a grant as printed with --json.
type grantResult struct {
	remote.ChangeResult
	ID   string `json:"id"`
	Key  string `json:"key"`
	Team string `json:"team,omitempty"`
}

// Run grants a key. When no answer arrives, the cell may have stored the grant, and
// only this process knows the secret. The error therefore contains the id and the
// secret needed to repeat the grant.
func (c *grantCommand) Run(ctx context.Context, env verb.Env, args []string) error {
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
	result, err := c.SendChange(ctx, c.ChangeID, req, fmt.Sprintf(" --id %s and GYPSUMREEL_SECRET=%s", c.ID, c.Secret))
	if err != nil {
		return err
	}
	fullKey := c.ID + "." + c.Secret
	return c.Print(env.Out, grantResult{ChangeResult: result, ID: c.ID, Key: fullKey, Team: c.Team}, verb.TextTable{Rows: [][]string{{fullKey}}})
}

type withdrawCommand struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
}

// Run withdraws the key named by args.
func (c *withdrawCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel key withdraw ID`; `gypsumreel key list` shows the ids.", "withdraw takes one id, got %d", len(args))
	}
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: args[0]}}}
	result, err := c.SendChange(ctx, c.ChangeID, req, "")
	if err != nil {
		return err
	}
	return c.Print(env.Out, result, result.Describe("key "+args[0]+" withdrawn"))
}

type listCommand struct {
	remote.Flags
	verb.OutputFlag
	Team string `long:"team" description:"only the keys of this team"`
}

// keyLine is one key as printed with --json.
type keyLine struct {
	ID       string `json:"id"`
	Team     string `json:"team,omitempty"`
	Operator bool   `json:"operator"`
	State    string `json:"state"`
}

// Run lists all keys, or with --team the keys of one team.
func (c *listCommand) Run(ctx context.Context, env verb.Env, _ []string) error {
	r, err := c.Flags.Show(ctx, v1.Part_PART_KEYS)
	if err != nil {
		return err
	}
	lines, table := []keyLine{}, verb.TextTable{Header: []string{"ID", "TEAM", "STATE"}}
	for _, k := range r.GetKeys() {
		if c.Team != "" && k.GetTeam() != c.Team {
			continue
		}
		l := keyLine{ID: k.GetId(), Team: k.GetTeam(), Operator: k.GetOperator(), State: keyState(k)}
		lines = append(lines, l)
		table.Rows = append(table.Rows, []string{l.ID, keyOwner(k), l.State})
	}
	return c.Print(env.Out, lines, table)
}

func keyState(k *v1.KeyLine) string {
	if k.GetWithdrawn() {
		return "withdrawn"
	}
	return "valid"
}

// keyOwner returns the team of a key, or "(operator)" for an operator's key.
func keyOwner(k *v1.KeyLine) string {
	if k.GetOperator() {
		return "(operator)"
	}
	return k.GetTeam()
}

type secretCommand struct{ verb.OutputFlag }

// secretResult is the result printed with --json.
type secretResult struct {
	Secret string `json:"secret"`
	Digest string `json:"digest"`
}

// Run generates an enrolment secret and prints it with its digest.
func (c *secretCommand) Run(_ context.Context, env verb.Env, _ []string) error {
	secret := key.NewSecret()
	digest := key.Digest(secret)
	result := secretResult{Secret: secret, Digest: hex.EncodeToString(digest[:])}
	return c.Print(env.Out, result, verb.TextTable{Rows: [][]string{{"secret, for backend servers:", result.Secret}, {"digest, for the setting enrolment:", result.Digest}}})
}
