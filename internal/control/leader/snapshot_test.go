package leader_test

import (
	"testing"
	"time"

	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// A leader makes a snapshot of a state that is ahead of what a quorum has, and
// is deposed. The next leader's log reaches the index of that snapshot with
// other commands. Handed over now, it would bring back a job that was never
// accepted, and only on this replica.
func TestADeposedLeadersSnapshotIsDropped(t *testing.T) {
	run(t, func(c *cell) {
		c.announce("b1", 1000)
		agreed := append([]quorum.Entry{}, c.g.entries()...)
		c.g.hold()
		c.ledger(func(*state.State) { c.l.SnapshotInterval = 1 })
		c.submit(spec("ghost"))
		time.Sleep(time.Second) // the snapshot is written and waits for its commit
		for i := range 50 {
			index := uint64(len(agreed)) + 1
			agreed = append(agreed, quorum.Entry{Index: index, Term: 2, Kind: quorum.EntryNoOp})
			if i == 0 {
				c.g.notes <- group.Following{Term: 2, Leader: "c2/1"}
				c.g.notes <- group.RestoreSnapshot{}
			}
		}
		c.g.notes <- group.ApplyEntries{Entries: agreed}
		time.Sleep(time.Second)
		if len(c.g.snapshots()) == 0 {
			t.Fatal("no snapshot of the state that was agreed on")
		}
		for _, data := range c.g.snapshots() {
			st, err := state.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if _, ok := st.FindJob(state.RequestID{Team: "rail", ID: "ghost"}); ok {
				t.Error("a snapshot holds a job that nobody agreed on")
			}
		}
	})
}

// entries returns the log as it is.
func (g *fakeGroup) entries() []quorum.Entry { g.mu.Lock(); defer g.mu.Unlock(); return g.log }
