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
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 1000)
		committedEntries := append([]quorum.Entry{}, h.group.logEntries()...)
		h.group.holdCommits()
		h.withLedger(func(*state.State) { h.leader.SnapshotInterval = 1 })
		h.pushSubmit(batchSpec("ghost"))
		time.Sleep(time.Second) // the snapshot is written and waits for its commit
		for i := range 50 {
			index := uint64(len(committedEntries)) + 1
			committedEntries = append(committedEntries, quorum.Entry{Index: index, Term: 2, Kind: quorum.Empty})
			if i == 0 {
				h.group.notifications <- group.Follow{Term: 2, Leader: "c2/1"}
				h.group.notifications <- group.Restore{}
			}
		}
		h.group.notifications <- group.Apply{Entries: committedEntries}
		time.Sleep(time.Second)
		if len(h.group.compactedStates()) == 0 {
			t.Fatal("no snapshot of the state that was agreed on")
		}
		for _, data := range h.group.compactedStates() {
			st, err := state.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if _, ok := st.Find(state.RequestID{Team: "rail", ID: "ghost"}); ok {
				t.Error("a snapshot holds a job that nobody agreed on")
			}
		}
	})
}

// logEntries returns the log as it is.
func (g *fakeGroup) logEntries() []quorum.Entry { g.mu.Lock(); defer g.mu.Unlock(); return g.log }
