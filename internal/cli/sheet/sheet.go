// Package sheet reads and writes the operators' table as CSV for a spreadsheet.
//
// The header names the columns in any order: team, any of the value columns, and
// revision, the table revision that the sheet was exported from. An empty cell leaves
// the value unchanged. Sheets with semicolons or tabs as separators, with decimal commas
// or with a byte-order mark are accepted too, because spreadsheets write them in many
// locales.
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

// Names of the columns that hold no value to set.
const (
	teamColumn     = "team"
	revisionColumn = "revision"
)

// Bounds of a sheet.
const (
	// MaxBytes is the maximum size of a sheet.
	MaxBytes = 8 << 20
	// MaxRows is the maximum number of teams.
	MaxRows = 10_000
	// MaxFaults is the number of faults after which reading stops. Without it, a large
	// file that is not a sheet produces a report far larger than the file.
	MaxFaults = 100
)

// Sheet is the parsed content of a file.
type Sheet struct {
	// BaseRevision is the revision that the sheet was exported from, 0 if not given.
	BaseRevision uint64
	// Edits holds one edit for each team of the sheet.
	Edits []*v1.Edit
}

// Fault is one error in a sheet with its position.
type Fault struct {
	File string
	// Line and Column count from 1. Column counts bytes.
	Line, Column int
	// Text describes the error.
	Text string
}

// Faults holds all errors found in a sheet.
type Faults []Fault

// Error returns one line for each fault, in the form file:line:column: text.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", fault.File, fault.Line, fault.Column, fault.Text)
	}
	return strings.Join(lines, "\n")
}

// Write writes the rows as CSV. Each row carries the given table revision.
func Write(w io.Writer, revision uint64, rows []*v1.Row) error {
	writer := csv.NewWriter(w)
	header := []string{teamColumn}
	for _, column := range cellColumns {
		header = append(header, column.Name)
	}
	_ = writer.Write(append(header, revisionColumn)) // the error is returned by writer.Error below
	for _, r := range rows {
		record := []string{r.GetTeam()}
		for _, column := range cellColumns {
			record = append(record, column.Format(r))
		}
		_ = writer.Write(append(record, strconv.FormatUint(revision, 10)))
	}
	writer.Flush()
	return writer.Error()
}

// reader reads one sheet and collects its faults.
type reader struct {
	fileName string
	csv      *csv.Reader
	// decimalComma is true when the separator is not a comma, so that numbers may
	// contain a decimal comma.
	decimalComma bool
	// columns holds the column names of the header in the order of the sheet.
	columns   []string
	sheet     Sheet
	seenTeams map[string]bool
	faults    Faults
}

// Read parses a sheet. The name is the file name in error messages. The error, if any,
// is of type Faults.
func Read(name string, text []byte) (Sheet, error) {
	if len(text) > MaxBytes {
		return Sheet{}, Faults{{File: name, Line: 1, Column: 1, Text: fmt.Sprintf("%d bytes; allowed: up to %d", len(text), MaxBytes)}}
	}
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	r := &reader{fileName: name, csv: csv.NewReader(bytes.NewReader(text)), seenTeams: map[string]bool{}}
	r.csv.Comma = separator(text)
	r.decimalComma = r.csv.Comma != ','
	r.csv.TrimLeadingSpace = r.csv.Comma != '\t'
	r.csv.FieldsPerRecord = -1
	r.readAll()
	if len(r.faults) > 0 {
		return Sheet{}, r.faults
	}
	return r.sheet, nil
}

// separator returns the first comma, semicolon or tab of the header line, and a comma if
// there is none.
func separator(text []byte) rune {
	header, _, _ := bytes.Cut(text, []byte("\n"))
	if i := bytes.IndexAny(header, ",;\t"); i >= 0 {
		return rune(header[i])
	}
	return ','
}

// readAll reads the header and all rows. It stops after MaxFaults faults or MaxRows
// teams.
func (r *reader) readAll() {
	header, ok := r.nextRecord()
	if !ok {
		if len(r.faults) == 0 {
			r.faults = Faults{{File: r.fileName, Line: 1, Column: 1, Text: "the sheet is empty; allowed: a header line that names the columns"}}
		}
		return
	}
	r.readHeader(header)
	if len(r.faults) > 0 {
		return
	}
	for {
		record, ok := r.nextRecord()
		if !ok {
			return
		}
		if len(r.faults) >= MaxFaults {
			r.addFault(0, "there may be more faults; correct these first")
			return
		}
		if len(r.sheet.Edits) >= MaxRows {
			r.addFault(0, fmt.Sprintf("more than %d teams", MaxRows))
			return
		}
		r.readRow(record)
	}
}

// nextRecord returns the next record. It returns false at the end of the sheet or at
// invalid CSV.
func (r *reader) nextRecord() ([]string, bool) {
	record, err := r.csv.Read()
	var parseErr *csv.ParseError
	switch {
	case err == nil:
		return record, true
	case errors.As(err, &parseErr):
		r.faults = append(r.faults, Fault{r.fileName, parseErr.Line, parseErr.Column, parseErr.Err.Error()})
	case !errors.Is(err, io.EOF):
		r.faults = append(r.faults, Fault{r.fileName, 1, 1, err.Error()})
	}
	return nil, false
}

// addFault records a fault at the position of the given field of the current record.
func (r *reader) addFault(field int, text string) {
	line, column := r.csv.FieldPos(field)
	r.faults = append(r.faults, Fault{r.fileName, line, column, text})
}

func (r *reader) readHeader(record []string) {
	seen := map[string]bool{}
	for i, name := range record {
		name = strings.ToLower(strings.TrimSpace(name))
		_, known := FindColumn(name)
		switch {
		case !known && name != teamColumn && name != revisionColumn:
			r.addFault(i, fmt.Sprintf("unknown column %q; allowed: %s", name, allowedColumns()))
		case seen[name]:
			r.addFault(i, fmt.Sprintf("column %q appears twice; allowed: once", name))
		}
		seen[name] = true
		r.columns = append(r.columns, name)
	}
	if !seen[teamColumn] {
		r.addFault(0, "no column team; allowed: "+allowedColumns())
	}
}

func allowedColumns() string {
	names := []string{teamColumn}
	for _, c := range cellColumns {
		names = append(names, c.Name)
	}
	return strings.Join(append(names, revisionColumn), ", ")
}

// readRow converts a record to an edit. Blank records are skipped.
func (r *reader) readRow(record []string) {
	if isBlank(record) {
		return
	}
	if len(record) > len(r.columns) {
		r.addFault(len(r.columns), "more cells than columns")
		return
	}
	edit := &v1.Edit{Row: &v1.Row{Limit: &v1.Size{}}}
	for i, text := range record {
		r.readCell(edit, i, strings.TrimSpace(text))
	}
	switch name := edit.GetRow().GetTeam(); {
	case name == "":
		r.addFault(0, "the team's name is missing")
	case r.seenTeams[name]:
		r.addFault(0, fmt.Sprintf("team %s appears twice; allowed: once", name))
	case len(edit.GetCells()) == 0:
		r.addFault(0, fmt.Sprintf("team %s has no value to set", name))
	default:
		r.seenTeams[name] = true
		r.sheet.Edits = append(r.sheet.Edits, edit)
	}
}

func isBlank(record []string) bool {
	for _, text := range record {
		if strings.TrimSpace(text) != "" {
			return false
		}
	}
	return true
}

// readCell stores the text of column i in the edit. An empty text changes nothing.
func (r *reader) readCell(edit *v1.Edit, i int, text string) {
	switch name := r.columns[i]; {
	case text == "":
	case name == teamColumn:
		edit.Row.Team = text
	case name == revisionColumn:
		r.readRevision(i, text)
	default:
		c, _ := FindColumn(name)
		if r.decimalComma {
			text = strings.Replace(text, ",", ".", 1)
		}
		if !c.Parse(edit.Row, text) {
			r.addFault(i, fmt.Sprintf("%s is %q; allowed: %s", name, text, c.Allowed))
			return
		}
		edit.Cells = append(edit.Cells, name)
	}
}

// readRevision reads the base revision of a row. All rows must have the same revision:
// if rows of two exports were combined, the older ones would overwrite changes that
// their author has not seen.
func (r *reader) readRevision(i int, text string) {
	n, err := strconv.ParseUint(text, 10, 64)
	switch {
	case err != nil || n == 0:
		r.addFault(i, fmt.Sprintf("revision is %q; allowed: the number that the export gave", text))
	case r.sheet.BaseRevision != 0 && r.sheet.BaseRevision != n:
		r.addFault(i, fmt.Sprintf("revision is %d here and %d above; allowed: rows of one export", n, r.sheet.BaseRevision))
	default:
		r.sheet.BaseRevision = n
	}
}
