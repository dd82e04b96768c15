// Package table defines the table of team weights, shares and limits that
// operators edit.
package table

import (
	"github.com/google/btree"

	"gypsumreel/internal/domain/team"
)

// btreeDegree is the degree of the B-tree of rows. Small nodes keep the amount of
// data that a change copies small.
const btreeDegree = 16

// Table is one immutable revision of the table. A change returns a new Table that
// shares the unchanged rows. The zero value is an empty table. Only one goroutine
// may create revisions; any goroutine may read existing ones.
type Table struct {
	revision uint64
	rows     *btree.BTreeG[team.Row]
}

func byName(a, b team.Row) bool { return a.Name < b.Name }

// Restore returns a table with the given revision and rows.
func Restore(revision uint64, rows []team.Row) Table {
	t := Table{revision: revision, rows: btree.NewG(btreeDegree, byName)}
	for _, r := range rows {
		t.rows.ReplaceOrInsert(r)
	}
	return t
}

// Revision returns the revision number, which is the number of accepted changes.
func (t Table) Revision() uint64 { return t.revision }

// Len returns the number of rows.
func (t Table) Len() int {
	if t.rows == nil {
		return 0
	}
	return t.rows.Len()
}

// Row returns the row of the named team.
func (t Table) Row(name string) (team.Row, bool) {
	if t.rows == nil {
		return team.Row{}, false
	}
	return t.rows.Get(team.Row{Name: name})
}

// Rows returns all rows in order of team name.
func (t Table) Rows() []team.Row {
	if t.rows == nil {
		return nil
	}
	rows := make([]team.Row, 0, t.rows.Len())
	t.rows.Ascend(func(r team.Row) bool {
		rows = append(rows, r)
		return true
	})
	return rows
}

// Update returns the next revision. It removes the rows named in removed, then
// inserts the rows in changed, which replace existing rows of the same name.
func (t Table) Update(changed []team.Row, removed []string) Table {
	next := Table{revision: t.revision + 1}
	if t.rows == nil {
		next.rows = btree.NewG(btreeDegree, byName)
	} else {
		next.rows = t.rows.Clone()
	}
	for _, name := range removed {
		next.rows.Delete(team.Row{Name: name})
	}
	for _, r := range changed {
		next.rows.ReplaceOrInsert(r)
	}
	return next
}
