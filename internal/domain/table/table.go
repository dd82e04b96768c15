// Package table holds the one table of weights and limits that operators edit.
package table

import (
	"github.com/google/btree"

	"gypsumreel/internal/domain/team"
)

// degree is that of the tree of rows; small nodes make a change copy little.
const degree = 16

// Table is one revision of the table. It is immutable: changes return a new one,
// which shares all rows that it does not change. The zero value is empty. One
// goroutine makes new revisions; revisions that it made may be read by others.
type Table struct {
	revision uint64
	rows     *btree.BTreeG[team.Row]
}

func byName(a, b team.Row) bool { return a.Name < b.Name }

// Restore returns the table with the given revision and rows.
func Restore(revision uint64, rows []team.Row) Table {
	t := Table{revision: revision, rows: btree.NewG(degree, byName)}
	for _, r := range rows {
		t.rows.ReplaceOrInsert(r)
	}
	return t
}

// Revision returns the number of accepted changes.
func (t Table) Revision() uint64 { return t.revision }

// Len returns the number of rows.
func (t Table) Len() int {
	if t.rows == nil {
		return 0
	}
	return t.rows.Len()
}

// Row returns a team's row.
func (t Table) Row(name string) (team.Row, bool) {
	if t.rows == nil {
		return team.Row{}, false
	}
	return t.rows.Get(team.Row{Name: name})
}

// Rows returns all rows in the order of their names.
func (t Table) Rows() []team.Row {
	if t.rows == nil {
		return nil
	}
	out := make([]team.Row, 0, t.rows.Len())
	t.rows.Ascend(func(r team.Row) bool {
		out = append(out, r)
		return true
	})
	return out
}

// Update returns the next revision, in which the rows set replace or join those
// of the same name and the rows named in removed are gone.
func (t Table) Update(set []team.Row, removed []string) Table {
	next := Table{revision: t.revision + 1}
	if t.rows == nil {
		next.rows = btree.NewG(degree, byName)
	} else {
		next.rows = t.rows.Clone()
	}
	for _, name := range removed {
		next.rows.Delete(team.Row{Name: name})
	}
	for _, r := range set {
		next.rows.ReplaceOrInsert(r)
	}
	return next
}
