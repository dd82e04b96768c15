package table_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/team"
	_ "gypsumreel/internal/fake/seed"
)

// Revisions share rows; a later change must never show in an earlier revision.
func TestRevisionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now table.Table
		var all []table.Table
		var seen [][]team.Row
		names := rapid.SliceOfN(rapid.StringMatching(`[a-e][0-9]`), 1, 40).Draw(t, "names")
		for i, name := range names {
			if rapid.Bool().Draw(t, "remove") {
				now = now.Update(nil, []string{name})
			} else {
				now = now.Update([]team.Row{team.New(name).WithWeight(uint32(i + 1))}, nil)
			}
			all, seen = append(all, now), append(seen, now.Rows())
		}
		for i, old := range all {
			if diff := cmp.Diff(seen[i], old.Rows()); diff != "" || old.Revision() != uint64(i+1) || old.Len() != len(seen[i]) {
				t.Fatalf("revision %d changed: %s", i+1, diff)
			}
		}
	})
}
