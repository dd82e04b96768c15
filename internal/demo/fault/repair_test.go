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

// replicaID returns the identity that the named replica had at its last start.
func (w *testCell) replicaID(name string) string {
	d, _ := w.cell.Node(name).State().(node.Dump)
	return d.Group.ID
}

// waitUntil polls ok until it returns true. It fails the test after a minute.
func (w *testCell) waitUntil(condition string, ok func() bool) {
	w.t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("not reached within one minute: %s", condition)
}

// changeMember requests one membership change and retries until it succeeds.
func (w *testCell) changeMember(c *v1.MemberChange) {
	w.t.Helper()
	attempt := 0
	w.waitUntil(fmt.Sprint("membership change ", c), func() bool {
		attempt++
		_, err := w.operator.Change(w.ctx, &v1.ChangeRequest{
			Id: fmt.Sprintf("%s-%v-%d", c.GetReplica(), c.GetRemove(), attempt), Change: &v1.ChangeRequest_Member{Member: c},
		})
		return err == nil
	})
}

// memberLine returns the line of a replica in the list of members, or nil if it is not
// listed.
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

// joinWithBlankDisk starts a replica on an empty disk, adds it as a member and returns its
// new identity.
func (w *testCell) joinWithBlankDisk(name string) string {
	w.t.Helper()
	if err := os.RemoveAll(filepath.Join(w.cell.Dir, name)); err != nil {
		w.t.Fatal(err)
	}
	if err := w.cell.Restart(name); err != nil {
		w.t.Fatal(err)
	}
	w.waitUntil(name+" has an identity", func() bool { return w.replicaID(name) != "" })
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
	w.waitUntil(id+" is a voter", func() bool { return w.memberLine(id).GetState() == "voter" })
}

// editTable changes the queue limit of the team and returns the new revision of the table.
func (w *testCell) editTable(base uint64, queue uint32) uint64 {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, requestTimeout)
	defer cancel()
	row := &v1.Row{Team: "rail", Weight: 1, Queue: queue, Limit: &v1.Size{Cpu: teamCores, Memory: -1, Accel: -1, Slots: -1}}
	revision, err := w.operator.Change(ctx, &v1.ChangeRequest{
		Id: fmt.Sprint("edit-", base), Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: base, Edits: []*v1.Edit{{Row: row}}}},
	})
	if err != nil {
		w.t.Fatalf("table change on revision %d: %v", base, err)
	}
	return revision
}

// encodedStates returns the encoded ledger state of each replica.
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

// A follower loses its disk, and an operator replaces it by a new replica with an empty
// disk. Right after the old replica is removed, another replica fails permanently. All jobs
// accepted before and during the repair must be answered, and the table must not revert to
// an older revision. This fails if the new replica votes before it has the complete log.
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
			t.Errorf("job after the second replica failure: %+v", r)
		}
		if r, err := w.operator.Show(w.ctx, v1.Part_PART_TABLE); err != nil || r.GetRevision() != revision || r.GetRows()[0].GetQueue() != 500 {
			t.Errorf("table is %v (error: %v), want the confirmed revision %d with queue 500", r, err, revision)
		}
	})
}

// allFromReplica reports whether all violations concern the named replica, which has no
// ledger to check after it was killed.
func allFromReplica(violations []string, name string) bool {
	for _, violation := range violations {
		if len(violation) < len(name) || violation[:len(name)] != name {
			return false
		}
	}
	return true
}

// All instances lose power at the same time after a few hundred changes. Every replica must
// restore exactly the same state, byte for byte, from its snapshot and journal. A
// difference would later cause wrong answers or violated guarantees.
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
		time.Sleep(40 * time.Second) // longer than any lease of a backend server
		var before [][]byte
		w.waitUntil("all replicas have the same state", func() bool { before = w.encodedStates(); return allEqual(before) })
		for _, name := range w.cell.ProcessNames("c", replicas) {
			w.cell.Kill(name)
		}
		for _, name := range w.cell.ProcessNames("c", replicas) {
			if err := w.cell.Restart(name); err != nil {
				t.Fatal(err)
			}
		}
		w.waitUntil("a leader is elected", func() bool { _, ok := w.cell.Leader(); return ok })
		time.Sleep(time.Second)
		after := w.encodedStates()
		if !allEqual(append(after, before...)) {
			t.Errorf("states differ: %d bytes before the restart, %d, %d and %d bytes after it", len(before[0]), len(after[0]), len(after[1]), len(after[2]))
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

// A bit error in memory or on disk makes the state of one replica differ from the others.
// As leader it would spread the corrupt state. The replica must stop with an error at the
// next consistency check, and it can join again as a new member with an empty disk.
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
				t.Fatalf("replica ended with error %v, want %v", err, leader.ErrDiverged)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("replica with a diverged state still runs after 30 s")
		}
		if violations := w.violations(w.runJobs(jobSpecs())); len(violations) > 0 {
			t.Error(violations)
		}
		newID := w.joinWithBlankDisk(divergedReplica)
		if newID == oldID {
			t.Error("replica with an empty disk has its old identity")
		}
		// A machine must not vote twice, so the new identity becomes a voter only after the
		// old one is removed.
		w.removeMember(oldID)
		w.waitForVoter(newID)
		w.waitUntil("the new replica has the same state as the others", func() bool { return allEqual(w.encodedStates()) })
	})
}
