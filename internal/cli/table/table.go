// Package table holds the verbs that show and change the table of weights,
// shares and limits.
package table

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/sheet"
	"gypsumreel/internal/cli/verb"
)

// perms are those of an exported sheet.
const perms = 0o644

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "table", Short: "show, set, export and import the table",
		Subverbs: []verb.Verb{
			{Name: "show", Short: "show the table", Long: "Shows every team's row, what it holds now, and which processes have not confirmed the revision.", Runner: &show{}},
			{
				Name: "set", Short: "set cells of one team's row",
				Long:   "Sets cells, as in `gypsumreel table set TEAM weight=3 share=12.5% cpu=64 memory=unlimited`. A team without a row gets one.",
				Runner: &set{},
			},
			{Name: "export", Short: "write the table as CSV", Long: "Writes the table for a spreadsheet to the given FILE, or to standard output.", Runner: &export{}},
			{
				Name: "import", Short: "apply a CSV sheet",
				Long: "Applies the sheet in the given FILE, - for standard input. Its column revision, or --base, says what it started from; " +
					"when the table has changed since, nothing is applied (exit code 6). Empty cells stay as they are; with --replace teams that the sheet lacks lose their rows.",
				Runner: &load{},
			},
		},
	}
}

type show struct {
	remote.Flags
	verb.OutputFlag
}

// size is a size with --json; -1 is unlimited.
type size struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memory"`
	Accel  int64 `json:"accel"`
	Slots  int64 `json:"slots"`
}

func sizeOf(s *v1.Size) size {
	return size{s.GetCpu(), s.GetMemory(), s.GetAccel(), s.GetSlots()}
}

// row is a team with --json: share in thousandths, cpu in thousandths of a core.
type row struct {
	Team   string `json:"team"`
	Weight uint32 `json:"weight"`
	Share  uint32 `json:"share"`
	Limit  size   `json:"limit"`
	Queue  uint32 `json:"queue"`
	Held   size   `json:"held"`
}

// whole is the result with --json.
type whole struct {
	Revision uint64 `json:"revision"`
	Rows     []row  `json:"rows"`
	// Unconfirmed names the processes that serve an older revision.
	Unconfirmed []string `json:"unconfirmed"`
}

// Run shows.
func (c *show) Run(ctx context.Context, env verb.Env, _ []string) error {
	client, ctx, cancel, err := c.OperatorClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	r, err := client.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return remote.UserError(err)
	}
	m, err := client.Show(ctx, v1.Part_PART_MEMBERS)
	if err != nil {
		return remote.UserError(err)
	}
	out := whole{Revision: r.GetRevision(), Rows: []row{}, Unconfirmed: unconfirmed(m, r.GetRevision())}
	for i, one := range r.GetRows() {
		out.Rows = append(out.Rows, row{one.GetTeam(), one.GetWeight(), one.GetShare(), sizeOf(one.GetLimit()), one.GetQueue(), sizeOf(held(r, i))})
	}
	if err := c.Print(env.Out, out, grid(r)); err != nil || c.JSON {
		return err
	}
	_, err = fmt.Fprintf(env.Out, "revision %d%s\n", out.Revision, behind(out.Unconfirmed))
	return err
}

// unconfirmed takes the entries that report an older revision; control replicas
// serve what they have committed and report none.
func unconfirmed(m *v1.ShowReply, revision uint64) []string {
	out := []string{}
	for _, one := range m.GetMembers() {
		if one.GetRevision() < revision && one.GetRole() == "entry" {
			out = append(out, one.GetName())
		}
	}
	return out
}

func behind(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return ", not confirmed by " + strings.Join(names, ", ")
}

func held(r *v1.ShowReply, i int) *v1.Size {
	if i < len(r.GetHeld()) {
		return r.GetHeld()[i]
	}
	return &v1.Size{}
}

func grid(r *v1.ShowReply) verb.TextTable {
	g := verb.TextTable{Header: []string{"TEAM"}}
	for _, c := range sheet.Columns() {
		g.Header = append(g.Header, strings.ToUpper(c.Name))
	}
	g.Header = append(g.Header, "HELD CPU", "HELD MEMORY", "HELD ACCEL", "HELD SLOTS")
	for i, one := range r.GetRows() {
		line := []string{one.GetTeam()}
		for _, c := range sheet.Columns() {
			line = append(line, c.Format(one))
		}
		h := &v1.Row{Limit: held(r, i)}
		for _, name := range []string{"cpu", "memory", "accel", "slots"} {
			c, _ := sheet.FindColumn(name)
			line = append(line, c.Format(h))
		}
		g.Rows = append(g.Rows, line)
	}
	return g
}

// BaseFlag is the flag of the verbs that change the table.
type BaseFlag struct {
	Revision *uint64 `long:"base" description:"revision that the change starts from; the current one when left out"`
}

// SendTableChange sends edits and prints what came of them. Without a base it reads the
// current revision first.
func SendTableChange(ctx context.Context, f remote.Flags, id remote.ChangeID, base BaseFlag, change *v1.TableChange) (remote.ChangeResult, error) {
	if base.Revision != nil {
		change.Base = *base.Revision
	} else {
		if id.Change != "" {
			return remote.ChangeResult{}, verb.UsageError("Give the --base that the first try printed or was given.", "--change without --base: a change sent again has to start from the same revision")
		}
		client, ctx, cancel, err := f.OperatorClient(ctx)
		if err != nil {
			return remote.ChangeResult{}, err
		}
		defer cancel()
		r, err := client.Show(ctx, v1.Part_PART_TABLE)
		if err != nil {
			return remote.ChangeResult{}, remote.UserError(err)
		}
		change.Base = r.GetRevision()
	}
	req := &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: change}}
	return f.SendChange(ctx, id, req, fmt.Sprintf(" --base %d", change.GetBase()))
}

type set struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	BaseFlag
}

// Run sets cells of one row.
func (c *set) Run(ctx context.Context, env verb.Env, args []string) error {
	edit, err := parse(args)
	if err != nil {
		return err
	}
	made, err := SendTableChange(ctx, c.Flags, c.ChangeID, c.BaseFlag, &v1.TableChange{Edits: []*v1.Edit{edit}})
	if err != nil {
		return err
	}
	return c.Print(env.Out, made, made.Describe("team "+edit.GetRow().GetTeam()+" set"))
}

func parse(args []string) (*v1.Edit, error) {
	const next = "Run `gypsumreel table set TEAM NAME=VALUE...`."
	const least = 2
	if len(args) < least {
		return nil, verb.UsageError(next, "set takes a team and at least one NAME=VALUE")
	}
	edit := &v1.Edit{Row: &v1.Row{Team: args[0], Limit: &v1.Size{}}}
	for _, a := range args[1:] {
		name, text, ok := strings.Cut(a, "=")
		cell, known := sheet.FindColumn(name)
		switch {
		case !ok || !known:
			return nil, verb.UsageError(next, "%q is not allowed; allowed names: weight, share, cpu, memory, accel, slots, queue", a)
		case !cell.Parse(edit.Row, text):
			return nil, verb.UsageError(next, "%s is %q; allowed: %s", name, text, cell.Allowed)
		}
		edit.Cells = append(edit.Cells, name)
	}
	return edit, nil
}

type export struct{ remote.Flags }

// Run writes the table.
func (c *export) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 1 {
		return verb.UsageError("Run `gypsumreel table export FILE`.", "export takes one file, got %d", len(args))
	}
	r, err := c.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return err
	}
	var b strings.Builder
	if err := sheet.Write(&b, r.GetRevision(), r.GetRows()); err != nil {
		return err
	}
	if len(args) == 0 || args[0] == "-" {
		_, err = io.WriteString(env.Out, b.String())
		return err
	}
	if err := os.WriteFile(args[0], []byte(b.String()), perms); err != nil {
		return verb.UsageError("Choose another FILE.", "%v", err)
	}
	return nil
}

type load struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	BaseFlag
	Replace bool `long:"replace" description:"remove the rows of teams that the sheet lacks"`
}

// Run applies a sheet.
func (c *load) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel table import FILE`.", "import takes one file, got %d", len(args))
	}
	text, err := read(env, args[0])
	if err != nil {
		return verb.UsageError("Choose another FILE.", "%v", err)
	}
	s, err := sheet.Read(args[0], text)
	if err != nil {
		return verb.UsageError("Nothing was sent. Mend the sheet and import it again.", "the sheet has faults:\n%v", err)
	}
	base := c.BaseFlag
	if base.Revision == nil && s.BaseRevision != 0 {
		base.Revision = &s.BaseRevision
	}
	if base.Revision == nil {
		return verb.UsageError("Export the table and edit that sheet, or give --base with the revision that `gypsumreel table show` prints.", "the sheet does not say which revision it started from")
	}
	made, err := SendTableChange(ctx, c.Flags, c.ChangeID, base, &v1.TableChange{Edits: s.Edits, Replace: c.Replace})
	if err != nil {
		return err
	}
	return c.Print(env.Out, made, made.Describe(strconv.Itoa(len(s.Edits))+" rows set"))
}

func read(env verb.Env, name string) ([]byte, error) {
	in := env.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, sheet.MaxBytes+1))
}
