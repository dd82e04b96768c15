// Package table holds the one table of weights and limits that operators edit.
package table

import (
	"maps"
	"slices"
	"strings"

	"gypsumreel/internal/domain/team"
)

// Table is one revision of the table. It is immutable: changes return a new one.
type Table struct {
	revision uint64
	rows     map[string]team.Row
}

// Restore returns the table with the given revision and rows.
func Restore(revision uint64, rows []team.Row) Table {
	m := make(map[string]team.Row, len(rows))
	for _, r := range rows {
		m[r.Name] = r
	}
	return Table{revision: revision, rows: m}
}

// Revision returns the number of accepted changes.
func (t Table) Revision() uint64 { return t.revision }

// Len returns the number of rows.
func (t Table) Len() int { return len(t.rows) }

// Row returns a team's row.
func (t Table) Row(name string) (team.Row, bool) {
	r, ok := t.rows[name]
	return r, ok
}

// Rows returns all rows in the order of their names.
func (t Table) Rows() []team.Row {
	return slices.SortedFunc(maps.Values(t.rows), func(a, b team.Row) int { return strings.Compare(a.Name, b.Name) })
}

// With returns the next revision, in which the rows set replace or join those
// of the same name and the rows named in removed are gone.
func (t Table) With(set []team.Row, removed []string) Table {
	m := maps.Clone(t.rows)
	if m == nil {
		m = make(map[string]team.Row, len(set))
	}
	for _, name := range removed {
		delete(m, name)
	}
	for _, r := range set {
		m[r.Name] = r
	}
	return Table{revision: t.revision + 1, rows: m}
}
