package table_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/team"
	_ "gypsumreel/internal/fake/seed"
)

// Revisions share rows. A later change must not affect an earlier revision.
func TestRevisionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current table.Table
		var revisions []table.Table
		var expectedRows [][]team.Row
		names := rapid.SliceOfN(rapid.StringMatching(`[a-e][0-9]`), 1, 40).Draw(t, "names")
		for i, name := range names {
			if rapid.Bool().Draw(t, "remove") {
				current = current.Update(nil, []string{name})
			} else {
				current = current.Update([]team.Row{team.New(name).WithWeight(uint32(i + 1))}, nil)
			}
			revisions, expectedRows = append(revisions, current), append(expectedRows, current.Rows())
		}
		for i, revision := range revisions {
			if diff := cmp.Diff(expectedRows[i], revision.Rows()); diff != "" || revision.Revision() != uint64(i+1) || revision.Len() != len(expectedRows[i]) {
				t.Fatalf("revision %d changed: %s", i+1, diff)
			}
		}
	})
}
