// Package sheet reads and writes the operators' table as CSV for a spreadsheet.
//
// The header names the columns, in any order: team, any of the cells, and
// revision, which carries the revision that the sheet was exported from through
// the spreadsheet and back. An empty cell leaves a value as it is. Sheets saved
// with semicolons or tabs, with a decimal comma or with a byte-order mark, as
// spreadsheets of many countries do, are read as well.
package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	v1 "gypsumreel/internal/api/v1"
)

// Names of the columns that are no cells.
const (
	teamColumn     = "team"
	revisionColumn = "revision"
)

// Bounds of a sheet.
const (
	// MaxBytes is the longest sheet.
	MaxBytes = 8 << 20
	// MaxRows is the most teams.
	MaxRows = 10_000
	// MaxFaults is the most faults that are looked for: a large file that is no
	// sheet would else make a report far larger than itself.
	MaxFaults = 100
)

// Sheet is what a file asks for.
type Sheet struct {
	// BaseRevision is the revision that the sheet was exported from; 0 when it doesn't say.
	BaseRevision uint64
	Edits        []*v1.Edit
}

// Fault is one thing wrong with a sheet.
type Fault struct {
	File string
	// Line and Column count from 1; the column in bytes.
	Line, Column int
	Text         string
}

// Faults is every fault of a sheet.
type Faults []Fault

// Error returns one line file:line:column for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", one.File, one.Line, one.Column, one.Text)
	}
	return strings.Join(lines, "\n")
}

// Write writes rows as CSV.
func Write(w io.Writer, revision uint64, rows []*v1.Row) error {
	c := csv.NewWriter(w)
	head := []string{teamColumn}
	for _, cell := range cells {
		head = append(head, cell.Name)
	}
	_ = c.Write(append(head, revisionColumn)) // an error stays with the writer until Error
	for _, r := range rows {
		line := []string{r.GetTeam()}
		for _, cell := range cells {
			line = append(line, cell.Format(r))
		}
		_ = c.Write(append(line, strconv.FormatUint(revision, 10)))
	}
	c.Flush()
	return c.Error()
}

// reader reads one sheet and collects its faults.
type reader struct {
	file    string
	csv     *csv.Reader
	comma   bool
	columns []string
	sheet   Sheet
	teams   map[string]bool
	faults  Faults
}

// Read reads a sheet; name is used in reports. The error is Faults.
func Read(name string, text []byte) (Sheet, error) {
	if len(text) > MaxBytes {
		return Sheet{}, Faults{{File: name, Line: 1, Column: 1, Text: fmt.Sprintf("%d bytes; allowed: up to %d", len(text), MaxBytes)}}
	}
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	r := &reader{file: name, csv: csv.NewReader(bytes.NewReader(text)), teams: map[string]bool{}}
	r.csv.Comma = separator(text)
	r.comma = r.csv.Comma != ','
	r.csv.TrimLeadingSpace = r.csv.Comma != '\t'
	r.csv.FieldsPerRecord = -1
	r.run()
	if len(r.faults) > 0 {
		return Sheet{}, r.faults
	}
	return r.sheet, nil
}

// separator is the first of the usual ones in the header line.
func separator(text []byte) rune {
	head, _, _ := bytes.Cut(text, []byte("\n"))
	if i := bytes.IndexAny(head, ",;\t"); i >= 0 {
		return rune(head[i])
	}
	return ','
}

func (r *reader) run() {
	head, ok := r.next()
	if !ok {
		if len(r.faults) == 0 {
			r.faults = Faults{{File: r.file, Line: 1, Column: 1, Text: "the sheet is empty; allowed: a header line that names the columns"}}
		}
		return
	}
	r.header(head)
	if len(r.faults) > 0 {
		return
	}
	for {
		record, ok := r.next()
		if !ok {
			return
		}
		if len(r.faults) >= MaxFaults {
			r.report(0, "and perhaps more; mend these first")
			return
		}
		if len(r.sheet.Edits) >= MaxRows {
			r.report(0, fmt.Sprintf("more than %d teams", MaxRows))
			return
		}
		r.row(record)
	}
}

// next returns a record; false at the end or at a fault of the CSV itself.
func (r *reader) next() ([]string, bool) {
	record, err := r.csv.Read()
	var bad *csv.ParseError
	switch {
	case err == nil:
		return record, true
	case errors.As(err, &bad):
		r.faults = append(r.faults, Fault{r.file, bad.Line, bad.Column, bad.Err.Error()})
	case !errors.Is(err, io.EOF):
		r.faults = append(r.faults, Fault{r.file, 1, 1, err.Error()})
	}
	return nil, false
}

func (r *reader) report(field int, text string) {
	line, column := r.csv.FieldPos(field)
	r.faults = append(r.faults, Fault{r.file, line, column, text})
}

func (r *reader) header(record []string) {
	seen := map[string]bool{}
	for i, name := range record {
		name = strings.ToLower(strings.TrimSpace(name))
		_, known := FindColumn(name)
		switch {
		case !known && name != teamColumn && name != revisionColumn:
			r.report(i, fmt.Sprintf("unknown column %q; allowed: %s", name, allowedColumns()))
		case seen[name]:
			r.report(i, fmt.Sprintf("column %q stands twice; allowed: once", name))
		}
		seen[name] = true
		r.columns = append(r.columns, name)
	}
	if !seen[teamColumn] {
		r.report(0, "no column team; allowed: "+allowedColumns())
	}
}

func allowedColumns() string {
	names := []string{teamColumn}
	for _, c := range cells {
		names = append(names, c.Name)
	}
	return strings.Join(append(names, revisionColumn), ", ")
}

func (r *reader) row(record []string) {
	if blank(record) {
		return
	}
	if len(record) > len(r.columns) {
		r.report(len(r.columns), "more cells than columns")
		return
	}
	edit := &v1.Edit{Row: &v1.Row{Limit: &v1.Size{}}}
	for i, text := range record {
		r.cell(edit, i, strings.TrimSpace(text))
	}
	switch name := edit.GetRow().GetTeam(); {
	case name == "":
		r.report(0, "the team's name is missing")
	case r.teams[name]:
		r.report(0, fmt.Sprintf("team %s stands twice; allowed: once", name))
	case len(edit.GetCells()) == 0:
		r.report(0, fmt.Sprintf("team %s has no value to set", name))
	default:
		r.teams[name] = true
		r.sheet.Edits = append(r.sheet.Edits, edit)
	}
}

func blank(record []string) bool {
	for _, text := range record {
		if strings.TrimSpace(text) != "" {
			return false
		}
	}
	return true
}

func (r *reader) cell(edit *v1.Edit, i int, text string) {
	switch name := r.columns[i]; {
	case text == "":
	case name == teamColumn:
		edit.Row.Team = text
	case name == revisionColumn:
		r.revision(i, text)
	default:
		c, _ := FindColumn(name)
		if r.comma {
			text = strings.Replace(text, ",", ".", 1)
		}
		if !c.Parse(edit.Row, text) {
			r.report(i, fmt.Sprintf("%s is %q; allowed: %s", name, text, c.Allowed))
			return
		}
		edit.Cells = append(edit.Cells, name)
	}
}

// revision takes the base that a row carries. It guards against rows pasted
// together from two exports: one of them would be applied over changes that its
// author never saw.
func (r *reader) revision(i int, text string) {
	n, err := strconv.ParseUint(text, 10, 64)
	switch {
	case err != nil || n == 0:
		r.report(i, fmt.Sprintf("revision is %q; allowed: the number that the export gave", text))
	case r.sheet.BaseRevision != 0 && r.sheet.BaseRevision != n:
		r.report(i, fmt.Sprintf("revision is %d here and %d above; allowed: rows of one export", n, r.sheet.BaseRevision))
	default:
		r.sheet.BaseRevision = n
	}
}
