// Package table implements the verbs that show and change the table of the teams'
// weights, shares and limits.
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

// exportFilePerms are the permissions of an exported sheet.
const exportFilePerms = 0o644

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "table", Short: "show, set, export and import the table",
		Subverbs: []verb.Verb{
			{Name: "show", Short: "show the table", Long: "Shows every team's row, the capacity that it holds, and which processes have not confirmed the revision.", Runner: &showCommand{}},
			{
				Name: "set", Short: "set cells of one team's row",
				Long:   "Sets cells of a row, as in `gypsumreel table set TEAM weight=3 share=12.5% cpu=64 memory=unlimited`. A team without a row gets one.",
				Runner: &setCommand{},
			},
			{Name: "export", Short: "write the table as CSV", Long: "Writes the table as CSV for a spreadsheet to the given FILE, or to standard output.", Runner: &exportCommand{}},
			{
				Name: "import", Short: "apply a CSV sheet",
				Long: "Applies the sheet in the given FILE, - for standard input. Its column revision, or --base, names the revision that the sheet is based on. " +
					"When the table has changed since, nothing is applied (exit code 6). Empty cells leave the value unchanged. With --replace teams that the sheet lacks lose their rows.",
				Runner: &importCommand{},
			},
		},
	}
}

type showCommand struct {
	remote.Flags
	verb.OutputFlag
}

// sizeResult is a size as printed with --json. CPU is in thousandths of a core, memory
// in MiB; -1 means unlimited.
type sizeResult struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memory"`
	Accel  int64 `json:"accel"`
	Slots  int64 `json:"slots"`
}

func newSizeResult(s *v1.Size) sizeResult {
	return sizeResult{s.GetCpu(), s.GetMemory(), s.GetAccel(), s.GetSlots()}
}

// teamRow is the row of a team as printed with --json. Share is in thousandths of the
// cell.
type teamRow struct {
	Team   string     `json:"team"`
	Weight uint32     `json:"weight"`
	Share  uint32     `json:"share"`
	Limit  sizeResult `json:"limit"`
	Queue  uint32     `json:"queue"`
	Held   sizeResult `json:"held"`
}

// tableResult is the table as printed with --json.
type tableResult struct {
	Revision uint64    `json:"revision"`
	Rows     []teamRow `json:"rows"`
	// Unconfirmed lists the entries that still serve an older revision.
	Unconfirmed []string `json:"unconfirmed"`
}

// Run prints the table.
func (c *showCommand) Run(ctx context.Context, env verb.Env, _ []string) error {
	client, ctx, cancel, err := c.OperatorClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	tableReply, err := client.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return remote.UserError(err)
	}
	membersReply, err := client.Show(ctx, v1.Part_PART_MEMBERS)
	if err != nil {
		return remote.UserError(err)
	}
	result := tableResult{Revision: tableReply.GetRevision(), Rows: []teamRow{}, Unconfirmed: unconfirmedEntries(membersReply, tableReply.GetRevision())}
	for i, row := range tableReply.GetRows() {
		result.Rows = append(result.Rows, teamRow{row.GetTeam(), row.GetWeight(), row.GetShare(), newSizeResult(row.GetLimit()), row.GetQueue(), newSizeResult(heldByRow(tableReply, i))})
	}
	if err := c.Print(env.Out, result, textTable(tableReply)); err != nil || c.JSON {
		return err
	}
	_, err = fmt.Fprintf(env.Out, "revision %d%s\n", result.Revision, unconfirmedSuffix(result.Unconfirmed))
	return err
}

// unconfirmedEntries returns the names of the entries that report a revision older than
// the given one. Control replicas are left out: they serve the committed table and report
// no revision.
func unconfirmedEntries(m *v1.ShowReply, revision uint64) []string {
	names := []string{}
	for _, member := range m.GetMembers() {
		if member.GetRevision() < revision && member.GetRole() == "entry" {
			names = append(names, member.GetName())
		}
	}
	return names
}

func unconfirmedSuffix(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return ", not confirmed by " + strings.Join(names, ", ")
}

// heldByRow returns the capacity that the team of row i holds, or zero if the reply does
// not contain it.
func heldByRow(r *v1.ShowReply, i int) *v1.Size {
	if i < len(r.GetHeld()) {
		return r.GetHeld()[i]
	}
	return &v1.Size{}
}

// textTable returns the rows of the table and the capacity that each team holds.
func textTable(r *v1.ShowReply) verb.TextTable {
	out := verb.TextTable{Header: []string{"TEAM"}}
	for _, column := range sheet.Columns() {
		out.Header = append(out.Header, strings.ToUpper(column.Name))
	}
	out.Header = append(out.Header, "HELD CPU", "HELD MEMORY", "HELD ACCEL", "HELD SLOTS")
	for i, row := range r.GetRows() {
		cells := []string{row.GetTeam()}
		for _, column := range sheet.Columns() {
			cells = append(cells, column.Format(row))
		}
		heldRow := &v1.Row{Limit: heldByRow(r, i)}
		for _, name := range []string{"cpu", "memory", "accel", "slots"} {
			column, _ := sheet.FindColumn(name)
			cells = append(cells, column.Format(heldRow))
		}
		out.Rows = append(out.Rows, cells)
	}
	return out
}

// BaseFlag is the flag of the verbs that change the table. The cell refuses a change
// whose base revision is not the current one.
type BaseFlag struct {
	Revision *uint64 `long:"base" description:"revision that the change is based on; the current one when left out"`
}

// SendTableChange sends a change of the table. Without a base revision it first reads the current
// revision and uses that.
func SendTableChange(ctx context.Context, f remote.Flags, id remote.ChangeID, base BaseFlag, change *v1.TableChange) (remote.ChangeResult, error) {
	if base.Revision != nil {
		change.Base = *base.Revision
	} else {
		if id.Change != "" {
			return remote.ChangeResult{}, verb.UsageError("Give the --base that the first attempt printed or was given.", "--change without --base: a repeated change needs the same base revision")
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

type setCommand struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	BaseFlag
}

// Run sets the cells given by args in one team's row.
func (c *setCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	edit, err := parseEdit(args)
	if err != nil {
		return err
	}
	result, err := SendTableChange(ctx, c.Flags, c.ChangeID, c.BaseFlag, &v1.TableChange{Edits: []*v1.Edit{edit}})
	if err != nil {
		return err
	}
	return c.Print(env.Out, result, result.Describe("team "+edit.GetRow().GetTeam()+" set"))
}

// parseEdit converts the arguments TEAM NAME=VALUE... to an edit.
func parseEdit(args []string) (*v1.Edit, error) {
	const usage = "Run `gypsumreel table set TEAM NAME=VALUE...`."
	const minArgs = 2
	if len(args) < minArgs {
		return nil, verb.UsageError(usage, "set takes a team and at least one NAME=VALUE")
	}
	edit := &v1.Edit{Row: &v1.Row{Team: args[0], Limit: &v1.Size{}}}
	for _, a := range args[1:] {
		name, text, ok := strings.Cut(a, "=")
		column, known := sheet.FindColumn(name)
		switch {
		case !ok || !known:
			return nil, verb.UsageError(usage, "%q is not allowed; allowed names: weight, share, cpu, memory, accel, slots, queue", a)
		case !column.Parse(edit.Row, text):
			return nil, verb.UsageError(usage, "%s is %q; allowed: %s", name, text, column.Allowed)
		}
		edit.Cells = append(edit.Cells, name)
	}
	return edit, nil
}

type exportCommand struct{ remote.Flags }

// Run writes the table as CSV.
func (c *exportCommand) Run(ctx context.Context, env verb.Env, args []string) error {
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
	if err := os.WriteFile(args[0], []byte(b.String()), exportFilePerms); err != nil {
		return verb.UsageError("Choose another FILE.", "%v", err)
	}
	return nil
}

type importCommand struct {
	remote.Flags
	verb.OutputFlag
	remote.ChangeID
	BaseFlag
	Replace bool `long:"replace" description:"remove the rows of teams that the sheet lacks"`
}

// Run applies the sheet named by args.
func (c *importCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel table import FILE`.", "import takes one file, got %d", len(args))
	}
	text, err := readFile(env, args[0])
	if err != nil {
		return verb.UsageError("Choose another FILE.", "%v", err)
	}
	imported, err := sheet.Read(args[0], text)
	if err != nil {
		return verb.UsageError("Nothing was sent. Correct the sheet and import it again.", "the sheet is invalid:\n%v", err)
	}
	base := c.BaseFlag
	if base.Revision == nil && imported.BaseRevision != 0 {
		base.Revision = &imported.BaseRevision
	}
	if base.Revision == nil {
		return verb.UsageError("Export the table and edit that sheet, or give --base with the revision that `gypsumreel table show` prints.", "the sheet does not name the revision that it is based on")
	}
	result, err := SendTableChange(ctx, c.Flags, c.ChangeID, base, &v1.TableChange{Edits: imported.Edits, Replace: c.Replace})
	if err != nil {
		return err
	}
	return c.Print(env.Out, result, result.Describe(strconv.Itoa(len(imported.Edits))+" rows set"))
}

func readFile(env verb.Env, name string) ([]byte, error) {
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
