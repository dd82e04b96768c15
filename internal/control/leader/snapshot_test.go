package leader_test

import (
	"testing"
	"time"

	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// Guards against a snapshot that holds uncommitted commands. A leader encodes a
// snapshot that is ahead of the commit index and is deposed. When the next leader's
// log reaches that index with other commands, the old snapshot would bring back a
// job that was never accepted, on this replica only.
func TestADeposedLeadersSnapshotIsDropped(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.announceServer("b1", 1000)
		committedEntries := append([]quorum.Entry{}, h.group.logEntries()...)
		h.group.holdCommits()
		h.withLedger(func(*state.State) { h.leader.SnapshotInterval = 1 })
		h.pushSubmit(batchSpec("uncommitted"))
		time.Sleep(time.Second) // the snapshot is encoded and waits for its commit
		for i := range 50 {
			index := uint64(len(committedEntries)) + 1
			committedEntries = append(committedEntries, quorum.Entry{Index: index, Term: 2, Kind: quorum.EntryNoOp})
			if i == 0 {
				h.group.notifications <- group.Following{Term: 2, Leader: "c2/1"}
				h.group.notifications <- group.RestoreSnapshot{}
			}
		}
		h.group.notifications <- group.ApplyEntries{Entries: committedEntries}
		time.Sleep(time.Second)
		if len(h.group.compactedStates()) == 0 {
			t.Fatal("no snapshot of the committed state was made")
		}
		for _, data := range h.group.compactedStates() {
			st, err := state.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if _, ok := st.FindJob(state.RequestID{Team: "rail", ID: "uncommitted"}); ok {
				t.Error("a snapshot holds a job that was never committed")
			}
		}
	})
}

// logEntries returns the entries of the log.
func (g *fakeGroup) logEntries() []quorum.Entry { g.mu.Lock(); defer g.mu.Unlock(); return g.log }
