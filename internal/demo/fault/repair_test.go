package fault_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/ledger/state"
)

// replicaID returns the identity of a replica's latest run.
func (w *testCell) replicaID(name string) string {
	d, _ := w.cell.Node(name).State().(node.Dump)
	return d.Group.ID
}

// waitUntil waits for something to come true, and fails the test when it does not.
func (w *testCell) waitUntil(condition string, ok func() bool) {
	w.t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("in vain: %s", condition)
}

// changeMember makes one change of membership, asked for until it is in force.
func (w *testCell) changeMember(c *v1.MemberChange) {
	w.t.Helper()
	attempt := 0
	w.waitUntil(fmt.Sprint("member ", c), func() bool {
		attempt++
		_, err := w.operator.Change(w.ctx, &v1.ChangeRequest{
			Id: fmt.Sprintf("%s-%v-%d", c.GetReplica(), c.GetRemove(), attempt), Change: &v1.ChangeRequest_Member{Member: c},
		})
		return err == nil
	})
}

// memberLine returns a replica as the list of members shows it; nil for none.
func (w *testCell) memberLine(id string) *v1.MemberLine {
	r, err := w.operator.Show(w.ctx, v1.Part_PART_MEMBERS)
	if err != nil {
		return nil
	}
	for _, m := range r.GetMembers() {
		if m.GetName() == id {
			return m
		}
	}
	return nil
}

// joinWithBlankDisk starts a replica on a blank disk and adds it as a member.
func (w *testCell) joinWithBlankDisk(name string) string {
	w.t.Helper()
	if err := os.RemoveAll(filepath.Join(w.cell.Dir, name)); err != nil {
		w.t.Fatal(err)
	}
	if err := w.cell.Restart(name); err != nil {
		w.t.Fatal(err)
	}
	w.waitUntil("a new identity", func() bool { return w.replicaID(name) != "" })
	newID := w.replicaID(name)
	w.changeMember(&v1.MemberChange{Replica: newID, Address: w.net.Address(name)})
	return newID
}

func (w *testCell) removeMember(id string) {
	w.t.Helper()
	w.changeMember(&v1.MemberChange{Replica: id, Remove: true})
	if w.memberLine(id) != nil {
		w.t.Errorf("%s is still listed", id)
	}
}

func (w *testCell) waitForVoter(id string) {
	w.t.Helper()
	w.waitUntil(id+" votes", func() bool { return w.memberLine(id).GetState() == "voter" })
}

// editTable makes one table change and returns the new revision.
func (w *testCell) editTable(base uint64, queue uint32) uint64 {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, requestTimeout)
	defer cancel()
	row := &v1.Row{Team: "rail", Weight: 1, Queue: queue, Limit: &v1.Size{Cpu: teamCores, Memory: -1, Accel: -1, Slots: -1}}
	rev, err := w.operator.Change(ctx, &v1.ChangeRequest{
		Id: fmt.Sprint("edit-", base), Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: base, Edits: []*v1.Edit{{Row: row}}}},
	})
	if err != nil {
		w.t.Fatalf("edit from %d: %v", base, err)
	}
	return rev
}

// encodedStates returns the whole state of each replica.
func (w *testCell) encodedStates() (out [][]byte) {
	for _, name := range w.cell.ProcessNames("c", replicas) {
		err := w.cell.Node(name).Control.Execute(w.ctx, func(st *state.State) {
			b, err := st.Encode()
			if err != nil {
				w.t.Error(err)
			}
			out = append(out, b)
		})
		if err != nil {
			w.t.Fatal(err)
		}
	}
	return out
}

// A follower's disk dies. Whoever is on duty adds a new replica on a blank disk,
// and right after the old one is removed another replica dies for good. What was accepted before and during the repair must
// all be answered, and the table must not fall back: the blank disk counted for
// a quorum only once it held everything.
func TestCellSurvivesReplicaLossAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newConfiguredTestCell(t, func(_ string, l *leader.Leader) { l.SnapshotInterval = 50 })
		defer w.close()
		revision := uint64(1)
		for range 40 {
			revision = w.editTable(revision, 100+uint32(revision))
		}
		failedReplica := w.follower()
		oldID := w.replicaID(failedReplica)
		w.cell.Kill(failedReplica)
		results := make(chan []result, 1)
		go func() { results <- w.runJobs(jobSpecs()) }()
		w.cell.Replicas++
		newID := w.joinWithBlankDisk("c4")
		w.waitForVoter(newID)
		w.removeMember(oldID)
		revision = w.editTable(revision, 500)
		w.waitUntil("the new replica has the table", func() bool { return w.memberLine(newID).GetRevision() == revision })
		leader, _ := w.cell.Leader()
		w.cell.Kill(leader)
		w.waitUntil("another replica leads", func() bool { next, ok := w.cell.Leader(); return ok && next != leader })
		if violations := w.violations(<-results); len(violations) > 0 && !allFromReplica(violations, leader) {
			t.Error(violations)
		}
		laterJobs := []*v1.Spec{{Id: "after", Name: "after", Kind: v1.Kind_KIND_URGENT, Count: 1, Input: []byte("after"), Size: &v1.Size{Cpu: taskCores, Slots: 1}}}
		if r := w.runJobs(laterJobs)[0]; r.outcome != v1.Outcome_OUTCOME_DONE || r.code != code.OK {
			t.Errorf("after the second loss: %+v", r)
		}
		if r, err := w.operator.Show(w.ctx, v1.Part_PART_TABLE); err != nil || r.GetRevision() != revision || r.GetRows()[0].GetQueue() != 500 {
			t.Errorf("the table is %v, %v; revision %d was confirmed", r, err, revision)
		}
	})
}

// allFromReplica tells whether the only faults are that a killed replica has no ledger.
func allFromReplica(violations []string, name string) bool {
	for _, f := range violations {
		if len(f) < len(name) || f[:len(name)] != name {
			return false
		}
	}
	return true
}

// All instances lose power at once after a few hundred changes. Every replica
// comes back from its snapshot and journal with the state that it had, byte for
// byte: a difference would show later as a wrong answer or a broken promise.
func TestFullRestartRestoresSameState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newConfiguredTestCell(t, func(_ string, l *leader.Leader) { l.SnapshotInterval = 120 })
		defer w.close()
		revision := uint64(1)
		for range 300 {
			revision = w.editTable(revision, 100+uint32(revision))
		}
		if violations := w.violations(w.runJobs(jobSpecs())); len(violations) > 0 {
			t.Error(violations)
		}
		for _, prefix := range []string{"b", "e"} {
			for _, name := range w.cell.ProcessNames(prefix, map[string]int{"b": servers, "e": entries}[prefix]) {
				w.cell.Kill(name)
			}
		}
		time.Sleep(40 * time.Second) // their leases are over
		var before [][]byte
		w.waitUntil("the replicas agree", func() bool { before = w.encodedStates(); return allEqual(before) })
		for _, name := range w.cell.ProcessNames("c", replicas) {
			w.cell.Kill(name)
		}
		for _, name := range w.cell.ProcessNames("c", replicas) {
			if err := w.cell.Restart(name); err != nil {
				t.Fatal(err)
			}
		}
		w.waitUntil("a leader", func() bool { _, ok := w.cell.Leader(); return ok })
		time.Sleep(time.Second)
		after := w.encodedStates()
		if !allEqual(append(after, before...)) {
			t.Errorf("%d bytes before the restart; after it %d, %d and %d", len(before[0]), len(after[0]), len(after[1]), len(after[2]))
		}
	})
}

func allEqual(all [][]byte) bool {
	for _, b := range all[1:] {
		if !bytes.Equal(all[0], b) {
			return false
		}
	}
	return true
}

// A replica's memory or disk has changed a bit, and its state is no longer that
// of the others. It would pass the damage on once it leads: at the next check
// it ends with an error, and it comes back with fresh data as a new member.
func TestDivergedReplicaStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(t)
		defer w.close()
		divergedReplica := w.follower()
		oldID := w.replicaID(divergedReplica)
		err := w.cell.Node(divergedReplica).Control.Execute(w.ctx, func(st *state.State) {
			st.Apply(&record.Command{At: int64(st.Now()), What: &record.Command_Change{Change: &record.Change{By: "damage", Request: &v1.ChangeRequest{Id: "damage"}}}})
		})
		if err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-w.cell.ProcessErrors():
			if !errors.Is(err, leader.ErrDiverged) {
				t.Fatalf("it ended with %v", err)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("it goes on with a state of its own")
		}
		if violations := w.violations(w.runJobs(jobSpecs())); len(violations) > 0 {
			t.Error(violations)
		}
		newID := w.joinWithBlankDisk(divergedReplica)
		if newID == oldID {
			t.Error("a blank disk has the old identity")
		}
		// One machine never counts twice: it votes once its old identity is gone.
		w.removeMember(oldID)
		w.waitForVoter(newID)
		w.waitUntil("it holds what the others hold", func() bool { return allEqual(w.encodedStates()) })
	})
}
