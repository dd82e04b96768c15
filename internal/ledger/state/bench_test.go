package state_test

import (
	"fmt"
	"testing"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/state"
)

// BenchmarkReplay measures the decoding and applying of 100,000 changes to a table of
// 960 rows. A restart does this work in addition to reading the journal.
func BenchmarkReplay(b *testing.B) {
	const changes = 100_000
	var log [][]byte
	appendChange := func(base uint64, edits ...*v1.Edit) {
		encoded, err := command.Encode(&record.Command{At: int64(base), What: &record.Command_Change{Change: &record.Change{
			By: "op", Request: &v1.ChangeRequest{Id: fmt.Sprint(base), Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: base, Edits: edits}}},
		}}})
		if err != nil {
			b.Fatal(err)
		}
		log = append(log, encoded)
	}
	limit := &v1.Size{Cpu: -1, Memory: -1, Accel: -1, Slots: -1}
	var rows []*v1.Edit
	for i := range 960 {
		rows = append(rows, &v1.Edit{Row: &v1.Row{Team: fmt.Sprint("team", i), Weight: 1, Limit: limit}})
	}
	appendChange(0, rows...)
	for i := uint64(1); i < changes; i++ {
		appendChange(i, &v1.Edit{Row: &v1.Row{Team: fmt.Sprint("team", i%960), Weight: uint32(i%100 + 1)}, Cells: []string{"weight"}})
	}
	b.ResetTimer()
	for range b.N {
		st := state.New()
		for _, data := range log {
			c, err := command.Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			st.Apply(c)
		}
		if got := st.Table().Revision(); got != changes {
			b.Fatalf("table revision %d after all changes", got)
		}
	}
}
